"""Requests about ordinary jobs: submission, state, results, and reports of edges.

The `due_ms` of a submission is in milliseconds from its admission, elsewhere in the log's own time.
An item that isn't `safe` must not run twice. The `outcome` of a response is a `JobOutcome`, that of
an item an `ItemResult` or another outcome that the edge reports.
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
    """Submit a job; `digest`, that of the content, identifies a repeated submission."""

    job_id: str
    digest: str
    path: str
    items: list[str]
    safe: bool
    due_ms: int
    epoch: int
    leader_ms: int


class JobResponse(Message, wire_name="LotReceipt"):
    """The response to requests about a job; without a job it has only the outcome and id."""

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
    """Cancel a job: unfinished items are stopped or not started."""

    job_id: str


class ListResults(Message, wire_name="ReadResults"):
    """List at most `limit` results from an index on."""

    job_id: str
    from_index: int
    limit: int


class ResultRow(Message):
    """One result of a job, at the index of its item."""

    index: int
    outcome: str
    body: str


class ListResultsResponse(Message, wire_name="ResultsReceipt"):
    """A page of encoded ResultRows, of a job that has listed `listed` of `total` results."""

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
    """Report an item's result; the outcome `again` returns the claim, as the item has not run."""

    job_id: str
    index: int
    claim_number: int
    outcome: str
    body: str
    worker: str
    edge: str


class ReportResultResponse(Message, wire_name="FinishReceipt"):
    """The response to ReportResult, AdvanceListing and ReportItemOutcomes.

    A `listing_epoch` above 0 means that the edge has the listing lease under that epoch, and may
    list results up to the position `up_to`.
    """

    ok: bool
    listing_epoch: int
    up_to: int


class AdvanceListing(Message, wire_name="Place"):
    """List the results of a job up to a position, under a listing lease of this epoch."""

    job_id: str
    edge: str
    epoch: int
    up_to: int
