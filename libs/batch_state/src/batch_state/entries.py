"""The entries of the log.

Each is a fact that the leader has decided; applying the same entries in the same order gives the
same state on every replica. A snapshot is a short sequence of the same entries. Fields that end in
`_ms` are milliseconds of the log's own time; `epoch` is that of a job's listing lease.
"""

from messaging import Message

__all__ = [
    "AttemptFailed",
    "ForwardJobAdmitted",
    "ItemClaimed",
    "ItemFinished",
    "ItemReturned",
    "ItemsClaimed",
    "JobAdmitted",
    "JobArchived",
    "JobCancelled",
    "JobExpired",
    "KeyArchived",
    "KeyClosed",
    "KeyExpired",
    "KeyOpened",
    "ListingAdvanced",
    "ListingLeaseGranted",
    "ResultListed",
    "RolloutAdmitted",
]


class JobAdmitted(Message, wire_name="LotAdmitted"):
    """A job was admitted; an item that isn't `safe` must not be run twice."""

    job_id: str
    digest: str
    path: str
    items: list[str]
    safe: bool
    due_ms: int
    at_ms: int


class ForwardJobAdmitted(Message, wire_name="ForwardLotAdmitted"):
    """A job of forwarded calls was admitted.

    `calls` are encoded ForwardItems. From `expires_ms` on an item that has not ended is given up;
    `version` is the version of the profiles at the leader that admitted the job.
    """

    job_id: str
    digest: str
    path: str
    item_ids: list[str]
    tokens: list[int]
    calls: list[bytes]
    attempts: int
    due_ms: int
    expires_ms: int
    version: int
    at_ms: int


class RolloutAdmitted(Message):
    """A rollout, a job of the lowest class, was admitted.

    Each prompt is sampled `samples` times by the policy of these weights. If `expires_ms` isn't 0,
    the rollout ends then.
    """

    job_id: str
    digest: str
    path: str
    items: list[str]
    samples: int
    weights: str
    expires_ms: int
    at_ms: int


class ItemsClaimed(Message):
    """Items of one forwarded job were claimed for one edge."""

    job_id: str
    edge: str
    indexes: list[int]
    claim_numbers: list[int]


class AttemptFailed(Message):
    """An attempt at a forwarded item failed; `failures` counts this one.

    `worker` is avoided when the item is dispatched again.
    """

    job_id: str
    index: int
    claim_number: int
    failures: int
    worker: str


class ResultListed(Message):
    """A forwarded item ended and was listed as the next result.

    The listing lease passes to `edge` under `epoch` in the same entry. The order of these entries
    is the order of the results.
    """

    job_id: str
    index: int
    outcome: str
    text: bytes
    worker: str
    edge: str
    epoch: int


class ItemClaimed(Message):
    """An item was claimed for an edge, under a number that rises with each claim."""

    job_id: str
    index: int
    edge: str
    claim_number: int


class ItemFinished(Message):
    """An item ended; its result may be listed."""

    job_id: str
    index: int
    outcome: str
    body: str
    worker: str


class ItemReturned(Message):
    """The claim of this number was returned; the item waits again."""

    job_id: str
    index: int
    claim_number: int


class ListingLeaseGranted(Message, wire_name="BatonPassed"):
    """The right to list a job's results passed to an edge, under a higher epoch."""

    job_id: str
    edge: str
    epoch: int


class ListingAdvanced(Message, wire_name="ResultsPlaced"):
    """Results were listed up to a position; void unless `epoch` is the listing lease's."""

    job_id: str
    up_to: int
    epoch: int


class JobCancelled(Message, wire_name="LotEnded"):
    """A job was cancelled before all of its results were listed."""

    job_id: str
    at_ms: int


class JobExpired(Message, wire_name="LotForgotten"):
    """A job that is over left the state, because its retention time has passed."""

    job_id: str


class KeyOpened(Message):
    """A request that isn't safe to repeat was opened under a key."""

    key: str
    digest: str
    edge: str
    request_id: str
    at_ms: int


class KeyClosed(Message):
    """A request ended, or its outcome is in doubt, as `state` says."""

    key: str
    request_id: str
    state: str
    status: int
    body: str
    at_ms: int


class JobArchived(Message, wire_name="LotShelved"):
    """Only in snapshots: a job that is over, whose results are in an archive file.

    `block_offsets` and `block_sizes` are the offsets and lengths in bytes of the file's blocks,
    `first_positions` the index of the first result in each.
    """

    job_id: str
    digest: str
    path: str
    safe: bool
    due_ms: int
    at_ms: int
    total: int
    finished: int
    listed: int
    cancelled: bool
    cancelled_at_ms: int
    file: str
    block_offsets: list[int]
    block_sizes: list[int]
    first_positions: list[int]


class KeyArchived(Message, wire_name="KeyShelved"):
    """Only in snapshots: a key whose final answer is in an archive file.

    `block_offset` and `block_size` are the offset and length in bytes of its block.
    """

    key: str
    digest: str
    edge: str
    request_id: str
    status: int
    at_ms: int
    file: str
    block_offset: int
    block_size: int


class KeyExpired(Message, wire_name="KeyForgotten"):
    """A key left the state, because its retention time has passed."""

    key: str
