"""Requests about batch jobs of our own interface: submission, progress, results and reports.

`due_ms` of a submission is in milliseconds from now, elsewhere in the log's own time. An item that
isn't `safe` must not be run twice. `outcome` of a response is a `JobOutcome`, that of an item an
`ItemResult`.
"""

from messaging import Message

__all__ = [
    "AdvanceListing",
    "CancelJob",
    "GetJob",
    "ItemAssignment",
    "JobResponse",
    "ListResults",
    "ListResultsResponse",
    "ReportResult",
    "ReportResultResponse",
    "ResultRow",
    "SubmitJob",
]


class SubmitJob(Message, wire_name="HandIn"):
    """Submit a job; `digest`, that of the content, recognises the same submission sent again."""

    job_id: str
    digest: str
    path: str
    items: list[str]
    safe: bool
    due_ms: int
    epoch: int
    leader_ms: int


class JobResponse(Message, wire_name="LotReceipt"):
    """The state of a job, or why there is none."""

    outcome: str
    job_id: str
    digest: str
    path: str
    total: int
    finished: int
    listed: int
    running: int
    due_ms: int
    cancelled: bool


class GetJob(Message, wire_name="ReadLot"):
    """Get the state of a job."""

    job_id: str


class CancelJob(Message, wire_name="EndLot"):
    """Cancel a job: what hasn't finished is not run any more."""

    job_id: str


class ListResults(Message, wire_name="ReadResults"):
    """List results from an index on, at most `limit`."""

    job_id: str
    from_index: int
    limit: int


class ResultRow(Message):
    """One result of a job, at the index of its item."""

    index: int
    outcome: str
    body: str


class ListResultsResponse(Message, wire_name="ResultsReceipt"):
    """A page of results: encoded ResultRows, and that `listed` of `total` are listed."""

    outcome: str
    rows: list[bytes]
    listed: int
    total: int
    cancelled: bool


class ItemAssignment(Message, wire_name="Work"):
    """An item for an edge to run under claim `claim_number`."""

    job_id: str
    index: int
    claim_number: int
    path: str
    safe: bool
    body: str
    due_ms: int


class ReportResult(Message, wire_name="Finish"):
    """Report an item's result; the outcome `again` returns the claim, as it has not run."""

    job_id: str
    index: int
    claim_number: int
    outcome: str
    body: str
    worker: str
    edge: str


class ReportResultResponse(Message, wire_name="FinishReceipt"):
    """The response to ReportResult, AdvanceListing and ReportItemOutcomes.

    A `listing_epoch` above 0 grants the listing lease.
    """

    ok: bool
    listing_epoch: int
    up_to: int


class AdvanceListing(Message, wire_name="Place"):
    """List the results of a job up to a position, under the listing lease's epoch."""

    job_id: str
    edge: str
    epoch: int
    up_to: int
