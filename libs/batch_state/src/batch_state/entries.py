"""The entries of the replicated log.

Each entry records a decision of the leader; replicas that apply the same entries in the same order
have the same state. A snapshot is a shorter sequence of such entries that gives that state. Fields
that end in `_ms` are in milliseconds of the log's own time, which `LeaderService.log_ms` defines;
`epoch` is the epoch of a job's listing lease.
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
    """An ordinary job was admitted; unless `safe`, none of its items may run twice."""

    job_id: str
    digest: str
    path: str
    items: list[str]
    safe: bool
    due_ms: int
    at_ms: int


class ForwardJobAdmitted(Message, wire_name="ForwardLotAdmitted"):
    """A forwarded job was admitted.

    `calls` are encoded ForwardItems. Items that have not ended at `expires_ms` end as dead.
    `version` is the version of the profiles that the leader had at admission.
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
    """A rollout, a job of the lowest priority, was admitted.

    `items` are prompts; each is sampled `samples` times from the policy that `weights` names.
    Unless `expires_ms` is 0, the rollout is cancelled at that time.
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
    """Items of one forwarded job were claimed for one edge.

    `indexes` and `claim_numbers` are parallel lists.
    """

    job_id: str
    edge: str
    indexes: list[int]
    claim_numbers: list[int]


class AttemptFailed(Message):
    """An attempt at a forwarded item failed.

    `failures` is the number of failed attempts at the item, including this one. `worker` is avoided
    when the item is dispatched again.
    """

    job_id: str
    index: int
    claim_number: int
    failures: int
    worker: str


class ResultListed(Message):
    """A forwarded item ended and was listed as the job's next result.

    The entry also grants the listing lease to `edge` under `epoch`. The job's results have the
    order of these entries in the log.
    """

    job_id: str
    index: int
    outcome: str
    text: bytes
    worker: str
    edge: str
    epoch: int


class ItemClaimed(Message):
    """An item was claimed for an edge; `claim_number` rises with each claim of the item."""

    job_id: str
    index: int
    edge: str
    claim_number: int


class ItemFinished(Message):
    """An item of an ordinary job or a rollout ended; its result may be listed."""

    job_id: str
    index: int
    outcome: str
    body: str
    worker: str


class ItemReturned(Message):
    """The claim of this number ended without a result; the item waits to be dispatched again."""

    job_id: str
    index: int
    claim_number: int


class ListingLeaseGranted(Message, wire_name="BatonPassed"):
    """A job's listing lease was granted to an edge under a higher epoch."""

    job_id: str
    edge: str
    epoch: int


class ListingAdvanced(Message, wire_name="ResultsPlaced"):
    """Results before position `up_to` were listed.

    It has no effect unless `epoch` is that of the present listing lease.
    """

    job_id: str
    up_to: int
    epoch: int


class JobCancelled(Message, wire_name="LotEnded"):
    """A job was cancelled before all of its results were listed."""

    job_id: str
    at_ms: int


class JobExpired(Message, wire_name="LotForgotten"):
    """A closed job was removed because its retention period has passed."""

    job_id: str


class KeyOpened(Message):
    """A request that isn't safe to repeat was opened under an idempotency key."""

    key: str
    digest: str
    edge: str
    request_id: str
    at_ms: int


class KeyClosed(Message):
    """A request under an idempotency key ended; `state` is a `KeyState`, possibly IN_DOUBT."""

    key: str
    request_id: str
    state: str
    status: int
    body: str
    at_ms: int


class JobArchived(Message, wire_name="LotShelved"):
    """Only in snapshots: a closed job whose results are in an archive file.

    `block_offsets` and `block_sizes` are the offsets and sizes, in bytes, of the file's blocks;
    `first_positions` are the positions of the first result in each block.
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
    """Only in snapshots: an idempotency key whose final response is in an archive file.

    `block_offset` and `block_size` are the offset and size, in bytes, of the block that has it.
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
    """An idempotency key was removed because its retention period has passed."""

    key: str
