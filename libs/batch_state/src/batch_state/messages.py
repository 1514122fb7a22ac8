"""Requests of the edges to the holder of the log, and its answers, here called receipts.

A request that might run something late carries the holder's clock, `holder_ms`, as the edge last
heard it; one that took too long is refused as stale, so that an outcome reported as unknown can't
turn into a run long after. Fields that end in `_ms` are milliseconds. `epoch` is the holder's, and
in ListingLease and AdvanceListing the lease's. `due_ms` and `keep_ms` of a submission are from now;
elsewhere `due_ms` is in the log's own time. An item that isn't `safe` must not be run twice.

Receipts about lots have the outcomes admitted, known, missing, conflict (another content under the
same id), no_room, no_path, beyond (no such index), stale, full and unknown. Receipts about keys
have opened, open, doubt, recorded (with the final answer), known, conflict, stale, full and
unknown.
"""

from messaging import Message

__all__ = [
    "ListingLease",
    "CloseKey",
    "EdgeHeartbeat",
    "ReportItemOutcomes",
    "CancelJob",
    "ReportResult",
    "ReportResultResponse",
    "SubmitForwardJob",
    "ForwardItem",
    "ForwardResult",
    "ForwardAssignment",
    "SubmitJob",
    "EdgeHeartbeatResponse",
    "ItemOutcome",
    "GetItemResponse",
    "KeyResponse",
    "JobResponse",
    "NotLeader",
    "OpenKey",
    "ListForwardResultsResponse",
    "AdvanceListing",
    "GetItem",
    "GetJob",
    "ListForwardResults",
    "ListResults",
    "ResultRow",
    "ListResultsResponse",
    "RolloutHeartbeatResponse",
    "RolloutHeartbeat",
    "SubmitRollout",
    "RolloutAssignment",
    "StaleRequest",
    "ItemAssignment",
]


class EdgeHeartbeat(Message, wire_name="EdgeBeat"):
    """An edge's heartbeat: free slots, their paths, and the items it runs as LOT#INDEX."""

    edge: str
    address: str
    capacity: int
    paths: list[str]
    running: list[str]


class RolloutHeartbeat(Message, wire_name="RolloutBeat"):
    """An EdgeHeartbeat with how many samples of rollouts may start, and on which paths."""

    edge: str
    address: str
    capacity: int
    paths: list[str]
    running: list[str]
    sample_capacity: int
    sample_paths: list[str]


class ItemAssignment(Message, wire_name="Work"):
    """An item for an edge to run; `number` is that of its claim."""

    job_id: str
    index: int
    number: int
    path: str
    safe: bool
    body: str
    due_ms: int


class RolloutAssignment(Message, wire_name="RolloutWork"):
    """A sample for an edge to run; `index` is `prompt` * samples of each prompt + `sample`."""

    safe = True
    job_id: str
    index: int
    number: int
    path: str
    body: str
    prompt: int
    sample: int
    weights: str


class ListingLease(Message, wire_name="Baton"):
    """Tells an edge that it may list the results of a lot up to a position."""

    job_id: str
    epoch: int
    up_to: int


class EdgeHeartbeatResponse(Message, wire_name="HolderBeat"):
    """The answer to EdgeHeartbeat: items to run, listing leases, jobs to stop, and the backlog."""

    epoch: int
    holder_ms: int
    work: list[bytes]
    listing_leases: list[bytes]
    stops: list[str]
    waiting: int
    paths: list[str]


class RolloutHeartbeatResponse(Message, wire_name="RolloutAnswer"):
    """An EdgeHeartbeatResponse with how many samples run, and whether jobs need their slots."""

    epoch: int
    holder_ms: int
    work: list[bytes]
    listing_leases: list[bytes]
    stops: list[str]
    waiting: int
    paths: list[str]
    samples_out: int
    recalled: bool


class NotLeader(Message, wire_name="NotHolder"):
    """The answer of a store that isn't the holder, with who is as far as it knows."""

    epoch: int
    address: str


class SubmitJob(Message, wire_name="HandIn"):
    """Submit a lot; `digest`, that of the content, recognises the same submission sent again."""

    job_id: str
    digest: str
    path: str
    items: list[str]
    safe: bool
    due_ms: int
    epoch: int
    holder_ms: int


class SubmitRollout(Message, wire_name="RolloutHandIn"):
    """Submit a rollout; `due_ms` is from now, 0 for no deadline."""

    job_id: str
    digest: str
    path: str
    items: list[str]
    samples: int
    weights: str
    due_ms: int
    epoch: int
    holder_ms: int


class JobResponse(Message, wire_name="LotReceipt"):
    """The state of a lot, or why there is none."""

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
    """Ask for the state of a lot."""

    job_id: str


class CancelJob(Message, wire_name="EndLot"):
    """End a lot: what hasn't finished is not run any more."""

    job_id: str


class ListResults(Message, wire_name="ReadResults"):
    """Ask for listed results from an index on."""

    job_id: str
    from_index: int
    limit: int


class ResultRow(Message):
    """One result of a lot, at the index of its item."""

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


class ReportResult(Message, wire_name="Finish"):
    """Report an item's end; the outcome `again` returns the claim, as it has not run."""

    job_id: str
    index: int
    number: int
    outcome: str
    body: str
    worker: str
    edge: str


class ReportResultResponse(Message, wire_name="FinishReceipt"):
    """The answer to ReportResult, AdvanceListing and ReportItemOutcomes.

    A `listing_epoch` above 0 grants the listing lease.
    """

    ok: bool
    listing_epoch: int
    up_to: int


class AdvanceListing(Message, wire_name="Place"):
    """List the results of a lot up to a position, under the listing lease's epoch."""

    job_id: str
    edge: str
    epoch: int
    up_to: int


class OpenKey(Message):
    """Open a transaction that isn't safe to repeat, under a client's key."""

    key: str
    digest: str
    edge: str
    transaction: str
    epoch: int
    holder_ms: int


class CloseKey(Message):
    """Record how a transaction ended: its state, HTTP status and body."""

    key: str
    transaction: str
    state: str
    status: int
    body: str


class KeyResponse(Message, wire_name="KeyReceipt"):
    """The answer to OpenKey and CloseKey, with the final answer if it is recorded."""

    outcome: str
    status: int
    body: str


class ForwardItem(Message):
    """The call that an item of a forwarded lot makes to a worker.

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
    """Submit a lot of forwarded calls.

    `calls` are encoded ForwardItems, `tokens` what each counts for in the queue; `version` is the
    number of the profiles at the edge.
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
    holder_ms: int


class StaleRequest(Message, wire_name="Stale"):
    """The stamp of a request is too old or of another epoch; this one would do."""

    epoch: int
    holder_ms: int


class ForwardAssignment(Message, wire_name="ForwardWork"):
    """A forwarded item to run within `left_ms`; `avoid` are the workers that failed on it."""

    job_id: str
    index: int
    number: int
    path: str
    call: bytes
    avoid: list[str]
    left_ms: int


class ItemOutcome(Message, wire_name="ItemEnd"):
    """How an item of a forwarded lot ended.

    `outcome` is finished, dead (no worker can do it), failed (an attempt) or again (no attempt).
    """

    job_id: str
    index: int
    number: int
    outcome: str
    text: bytes
    worker: str


class ReportItemOutcomes(Message, wire_name="EndItems"):
    """Report the ends of several forwarded items; `rows` are encoded ItemEnds."""

    edge: str
    rows: list[bytes]


class ListForwardResults(Message, wire_name="ReadPage"):
    """Ask for forwarded results; answered once there is one or after `wait_ms`."""

    job_id: str
    from_position: int
    limit_bytes: int
    wait_ms: int


class ForwardResult(Message, wire_name="ForwardRow"):
    """One result of a forwarded lot."""

    item_id: str
    outcome: str
    text: bytes


class ListForwardResultsResponse(Message, wire_name="PageReceipt"):
    """A page of encoded ForwardRows; `over` says that no more will come."""

    outcome: str
    rows: list[bytes]
    total: int
    over: bool


class GetItem(Message, wire_name="ReadItem"):
    """Ask for the call of an item that hasn't ended."""

    job_id: str
    item_id: str


class GetItemResponse(Message, wire_name="ItemReceipt"):
    """The answer to GetItem: an encoded ForwardItem."""

    outcome: str
    call: bytes
