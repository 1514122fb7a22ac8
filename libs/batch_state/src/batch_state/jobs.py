"""The state of a job and its items.

Results of ordinary jobs and rollouts are listed in the order of the items, up to `Job.listed`.
Results of forwarded jobs are listed in the order in which they were committed, `Job.order`.
"""

from typing import Any

from messaging import Message, encode

from batch_state.entries import (
    ForwardJobAdmitted,
    JobAdmitted,
    JobArchived,
    RolloutAdmitted,
)
from batch_state.job_entries import entries_of
from batch_state.messages import ForwardResult, ResultRow
from batch_state.outcomes import ItemState

__all__ = ["AdmissionEntry", "Item", "Job"]

AdmissionEntry = JobAdmitted | ForwardJobAdmitted | RolloutAdmitted
"""The log entries that create a job."""


class Item:
    """One item of a job: waiting, claimed or finished.

    `body` and `result` are the request and the response: text, or bytes in a forwarded job.
    `claim_number` is the number of the latest claim, 0 before the first; `edge` is the edge of that
    claim, empty while the item waits. `failures` counts failed attempts at a forwarded item, and
    `failed_at` names their workers.
    """

    __slots__ = (
        "body",
        "claim_number",
        "edge",
        "failed_at",
        "failures",
        "item_id",
        "outcome",
        "result",
        "state",
        "tokens",
        "worker",
    )

    def __init__(self, body: Any, item_id: str = "", tokens: int = 0) -> None:
        self.body = body
        self.item_id = item_id
        self.tokens = tokens
        self.state = ItemState.WAITING
        self.edge = ""
        self.claim_number = 0
        self.failures = 0
        self.failed_at: tuple[str, ...] = ()
        self.outcome = ""
        self.result: Any = ""
        self.worker = ""

    def claimed_under(self, claim_number: int) -> bool:
        """Whether the item is claimed now, under the claim of this number."""
        return self.state == ItemState.CLAIMED and self.claim_number == claim_number


def _items(entry: AdmissionEntry) -> list[Item]:
    if isinstance(entry, ForwardJobAdmitted):
        rows = zip(entry.item_ids, entry.tokens, entry.calls, strict=True)
        return [Item(call, item_id, tokens) for item_id, tokens, call in rows]
    if isinstance(entry, RolloutAdmitted):
        return [Item(body) for body in entry.items for _ in range(entry.samples)]
    return [Item(body) for body in entry.items]


class Job:
    """A job and the state of its items.

    `pending` holds the indexes of waiting items in the order of dispatch, and `claims` the claimed
    items by index. `listed` is the number of listed results, `tokens` the number of tokens of items
    that haven't ended, and `request_bytes` the size of the requests that it keeps. `listing_edge`
    has the listing lease, under `listing_epoch`. `archived` is set once the results are in an
    archive file; `items` is then empty. `cached_entries` are the encoded entries for snapshots.

    Times are in milliseconds of the log's own time: `at_ms` of the admission, `due_ms` of the
    deadline. At `expires_ms`, unfinished items of a forwarded job end as dead, and a rollout is
    cancelled; ordinary jobs, and rollouts with an `expires_ms` of 0, don't expire.
    """

    __slots__ = (
        "archived",
        "at_ms",
        "attempts",
        "cached_entries",
        "cancelled",
        "cancelled_at_ms",
        "claims",
        "digest",
        "due_ms",
        "expires_ms",
        "forward",
        "items",
        "job_id",
        "listed",
        "listing_edge",
        "listing_epoch",
        "order",
        "path",
        "pending",
        "request_bytes",
        "rollout",
        "safe",
        "samples",
        "tokens",
        "total",
        "unfinished",
        "version",
        "weights",
    )

    def __init__(self, entry: AdmissionEntry) -> None:
        self.job_id = entry.job_id
        self.digest = entry.digest
        self.path = entry.path
        self.at_ms = entry.at_ms
        self._set_kind(entry)
        self.items = _items(entry)
        self.unfinished = self.total = len(self.items)
        self.tokens = sum(item.tokens for item in self.items)
        self.request_bytes = sum(len(item.body) for item in self.items)
        self.pending: dict[int, None] = dict.fromkeys(range(self.total))
        self.claims: dict[int, Item] = {}
        self.order: list[int] = []
        self.archived: JobArchived | None = None
        self.listed = 0
        self.listing_edge = ""
        self.listing_epoch = 0
        self.cancelled = False
        self.cancelled_at_ms = 0
        self.cached_entries: list[bytes] | None = None

    def _set_kind(self, entry: AdmissionEntry) -> None:
        """Set the attributes that depend on the kind of job: ordinary, forwarded or rollout."""
        self.forward = isinstance(entry, ForwardJobAdmitted)
        self.rollout = isinstance(entry, RolloutAdmitted)
        self.safe = True
        self.samples, self.weights = 1, ""
        self.attempts = self.version = self.expires_ms = 0
        if isinstance(entry, ForwardJobAdmitted):
            self.due_ms, self.expires_ms = entry.due_ms, entry.expires_ms
            self.attempts, self.version = entry.attempts, entry.version
        elif isinstance(entry, RolloutAdmitted):
            self.due_ms = self.expires_ms = entry.expires_ms
            self.samples, self.weights = entry.samples, entry.weights
        else:
            self.due_ms, self.safe = entry.due_ms, entry.safe

    @classmethod
    def from_archive(cls, entry: JobArchived) -> "Job":
        """Return a job built from its archive entry alone; the caller must still `archive` it."""
        job = cls(
            JobAdmitted(
                job_id=entry.job_id,
                digest=entry.digest,
                path=entry.path,
                items=[],
                safe=entry.safe,
                due_ms=entry.due_ms,
                at_ms=entry.at_ms,
            )
        )
        job.total, job.listed = entry.total, entry.listed
        job.unfinished = entry.total - entry.finished
        job.cancelled, job.cancelled_at_ms = entry.cancelled, entry.cancelled_at_ms
        return job

    @property
    def open(self) -> bool:
        """Whether the job is neither cancelled nor fully listed."""
        return not self.cancelled and self.listed < self.total

    @property
    def waiting(self) -> int:
        """The number of items that wait to be claimed."""
        return len(self.pending)

    @property
    def listable(self) -> int:
        """The position up to which results could be listed now.

        In a forwarded job that is `listed`, as its results are listed as they are committed.
        """
        if self.forward:
            return self.listed
        up_to = self.listed
        while up_to < len(self.items) and self.items[up_to].state == ItemState.FINISHED:
            up_to += 1
        return up_to

    def encoded_result(self, position: int) -> bytes:
        """Return the encoded result at a position; reads and archive files have the same bytes."""
        if self.forward:
            item = self.items[self.order[position]]
            return encode(
                ForwardResult(item_id=item.item_id, outcome=item.outcome, text=item.result)
            )
        item = self.items[position]
        return encode(ResultRow(index=position, outcome=item.outcome, body=item.result))

    def claim(self, index: int, edge: str, claim_number: int) -> None:
        """Record that an item is claimed for an edge."""
        item = self.items[index]
        self.pending.pop(index, None)
        self.claims[index] = item
        item.state, item.edge, item.claim_number = ItemState.CLAIMED, edge, claim_number

    def return_claim(self, index: int) -> None:
        """End the claim of an item without a result; the item goes to the end of `pending`."""
        item = self.claims.pop(index)
        self.pending[index] = None
        item.state, item.edge = ItemState.WAITING, ""

    def finish(self, index: int, outcome: str, result: Any, worker: str) -> int:
        """Record the result of an item; return its number of tokens, subtracted from `tokens`."""
        item = self.items[index]
        self.pending.pop(index, None)
        self.claims.pop(index, None)
        item.state = ItemState.FINISHED
        item.outcome, item.result, item.worker = outcome, result, worker
        self.unfinished -= 1
        self.tokens -= item.tokens
        return item.tokens

    def drop_request(self, index: int) -> None:
        """Drop the request of an item that was listed."""
        item = self.items[index]
        self.request_bytes -= len(item.body)
        item.body = b""

    def archive(self, entry: JobArchived) -> None:
        """Drop the items and their results, which are in the archive file from now on."""
        self.request_bytes = 0
        self.archived, self.items, self.claims, self.cached_entries = entry, [], {}, None
        self.pending, self.order = {}, []

    def dump(self) -> list[Message]:
        """Return the entries that rebuild this job."""
        return entries_of(self)
