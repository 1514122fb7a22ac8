"""Requests about forwarded jobs, whose items are calls that are passed on to workers unchanged.

`due_ms` and `keep_ms` of a submission are in milliseconds from its admission. The `outcome` of a
response is a `JobOutcome`, that of an item an `ItemResult`.
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

    `headers` has names and values alternately. `part_ids` and `part_tokens` are parallel lists of
    the parts of the prompt, in order.
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

    `calls` are encoded ForwardItems, and `tokens` how much each counts in the path's backlog.
    `version` is the version of the profiles at the edge. Items that haven't ended after `keep_ms`
    end as dead.
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
    """A forwarded item to run within `remaining_ms`.

    `call` is an encoded ForwardItem, and `avoid` names the workers that failed on the item.
    """

    job_id: str
    index: int
    claim_number: int
    path: str
    call: bytes
    avoid: list[str]
    remaining_ms: int


class ItemOutcome(Message, wire_name="ItemEnd"):
    """The outcome of a claim of a forwarded item.

    `outcome` is an `ItemResult`: finished, dead (no worker can run the item), failed (the attempt
    failed) or again (no attempt was made, and the claim is returned).
    """

    job_id: str
    index: int
    claim_number: int
    outcome: str
    text: bytes
    worker: str


class ReportItemOutcomes(Message, wire_name="EndItems"):
    """Report the outcomes of several forwarded items; `rows` are encoded ItemOutcomes."""

    edge: str
    rows: list[bytes]


class ListForwardResults(Message, wire_name="ReadPage"):
    """List results of a forwarded job, as soon as there is one, or after `wait_ms`.

    The page has at most `limit_bytes`, but its first result may be larger.
    """

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
    """A page of encoded ForwardResults; `complete` if the job lists no further results."""

    outcome: str
    rows: list[bytes]
    total: int
    complete: bool


class GetItem(Message, wire_name="ReadItem"):
    """Get the call of an item that hasn't ended."""

    job_id: str
    item_id: str


class GetItemResponse(Message, wire_name="ItemReceipt"):
    """The response to GetItem; `call` is an encoded ForwardItem."""

    outcome: str
    call: bytes
