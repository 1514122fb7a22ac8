"""Requests about forwarded jobs, whose items are calls that are passed on to workers.

`due_ms` and `keep_ms` of a submission are in milliseconds from now. `outcome` of a response is a
`JobOutcome`, that of an item an `ItemResult`.
"""

from messaging import Message

__all__ = [
    "ForwardAssignment",
    "ForwardItem",
    "ForwardResult",
    "GetItem",
    "GetItemResponse",
    "ItemOutcome",
    "ListForwardResults",
    "ListForwardResultsResponse",
    "ReportItemOutcomes",
    "SubmitForwardJob",
]


class ForwardItem(Message):
    """The call that an item of a forwarded job makes to a worker.

    `headers` has names and values in turn, `part_ids` and `part_tokens` the parts of its prompt in
    order.
    """

    item_id: str
    target: str
    host: str
    headers: list[str]
    body: bytes
    part_ids: list[str]
    part_tokens: list[int]
    tokens_in: int
    tokens_out: int


class SubmitForwardJob(Message, wire_name="ForwardHandIn"):
    """Submit a job of forwarded calls.

    `calls` are encoded ForwardItems, `tokens` what each counts for in the queue; `version` is the
    number of the profiles at the edge.
    From `keep_ms` on an item that hasn't ended is given up.
    """

    job_id: str
    digest: str
    path: str
    item_ids: list[str]
    tokens: list[int]
    calls: list[bytes]
    attempts: int
    due_ms: int
    keep_ms: int
    version: int
    epoch: int
    leader_ms: int


class ForwardAssignment(Message, wire_name="ForwardWork"):
    """A forwarded item to run within `remaining_ms`; `avoid` are the workers that failed on it."""

    job_id: str
    index: int
    claim_number: int
    path: str
    call: bytes
    avoid: list[str]
    remaining_ms: int


class ItemOutcome(Message, wire_name="ItemEnd"):
    """How an attempt at an item of a forwarded job ended.

    `outcome` is finished, dead (no worker can do it), failed (an attempt) or again (no attempt).
    """

    job_id: str
    index: int
    claim_number: int
    outcome: str
    text: bytes
    worker: str


class ReportItemOutcomes(Message, wire_name="EndItems"):
    """Report the ends of several forwarded items; `rows` are encoded ItemOutcomes."""

    edge: str
    rows: list[bytes]


class ListForwardResults(Message, wire_name="ReadPage"):
    """List forwarded results; answered once there is one or after `wait_ms`."""

    job_id: str
    from_position: int
    limit_bytes: int
    wait_ms: int


class ForwardResult(Message, wire_name="ForwardRow"):
    """One result of a forwarded job."""

    item_id: str
    outcome: str
    text: bytes


class ListForwardResultsResponse(Message, wire_name="PageReceipt"):
    """A page of encoded ForwardResults; `complete` says that no more will come."""

    outcome: str
    rows: list[bytes]
    total: int
    complete: bool


class GetItem(Message, wire_name="ReadItem"):
    """Get the call of an item that hasn't ended."""

    job_id: str
    item_id: str


class GetItemResponse(Message, wire_name="ItemReceipt"):
    """The response to GetItem: an encoded ForwardItem."""

    outcome: str
    call: bytes
