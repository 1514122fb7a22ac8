"""The state of batch jobs and idempotency keys, built by applying the entries of the log in order.

`BatchState.apply` rejects no entry, since every entry in the log is a decision already made; an
entry that doesn't apply to the present state has no effect. Replicas that apply the same entries
have the same state. An item goes from waiting to claimed to finished; a claim that ends without a
result makes it wait again.
"""

from collections.abc import Callable
from functools import singledispatchmethod

from messaging import Message, encode

from batch_state.entries import (
    AttemptFailed,
    ForwardJobAdmitted,
    ItemClaimed,
    ItemFinished,
    ItemReturned,
    ItemsClaimed,
    JobAdmitted,
    JobArchived,
    JobCancelled,
    JobExpired,
    KeyArchived,
    KeyClosed,
    KeyExpired,
    KeyOpened,
    ListingAdvanced,
    ListingLeaseGranted,
    ResultListed,
    RolloutAdmitted,
)
from batch_state.idempotency_keys import IdempotencyKey
from batch_state.jobs import AdmissionEntry, Item, Job
from batch_state.outcomes import ItemState, KeyState, RecordKind

__all__ = ["BatchState", "IdempotencyKey", "Item", "Job"]


class BatchState:
    """Jobs and idempotency keys after a sequence of log entries.

    `open_jobs` holds the jobs that are neither cancelled nor fully listed, and `waiting_tokens` the
    number of tokens of unfinished forwarded items, by path. `unarchived` holds the (kind, name) of
    closed jobs and completed keys that aren't archived yet, in the order in which they closed.
    """

    __slots__ = ("jobs", "keys", "open_jobs", "unarchived", "waiting_tokens")

    def __init__(self) -> None:
        self.waiting_tokens: dict[str, int] = {}
        self.jobs: dict[str, Job] = {}
        self.keys: dict[str, IdempotencyKey] = {}
        self.open_jobs: dict[str, Job] = {}
        self.unarchived: dict[tuple[str, str], None] = {}

    def backlog(self, path: str) -> int:
        """Return how many jobs other than rollouts are open on a path."""
        return sum(1 for job in self.open_jobs.values() if job.path == path and not job.rollout)

    def open_request_bytes(self) -> int:
        """Return the size of the requests of items that open jobs keep in memory."""
        return sum(job.request_bytes for job in self.open_jobs.values())

    def rollout_backlog(self, path: str) -> int:
        """Return how many rollouts are open on a path."""
        return sum(1 for job in self.open_jobs.values() if job.path == path and job.rollout)

    @singledispatchmethod
    def apply(self, entry: Message) -> None:
        """Apply one entry."""
        raise TypeError(f"expected a log entry of batch_state, got {type(entry).__name__}")

    # Admission, cancellation and removal of jobs.

    @apply.register(JobAdmitted)
    @apply.register(ForwardJobAdmitted)
    @apply.register(RolloutAdmitted)
    def _(self, entry: AdmissionEntry) -> None:
        if entry.job_id not in self.jobs:
            job = self.jobs[entry.job_id] = Job(entry)
            if job.open:
                self.open_jobs[entry.job_id] = job
                self._count_tokens(job.path, job.tokens)

    @apply.register
    def _(self, entry: JobCancelled) -> None:
        job = self._job_to_change(entry.job_id)
        if job is not None and not job.cancelled:
            job.cancelled = True
            job.cancelled_at_ms = entry.at_ms
            self._count_tokens(job.path, -job.tokens)
            job.tokens = 0
            self._close_job(job)

    @apply.register
    def _(self, entry: JobExpired) -> None:
        self.jobs.pop(entry.job_id, None)
        self.open_jobs.pop(entry.job_id, None)
        self.unarchived.pop((RecordKind.JOB, entry.job_id), None)

    def _close_job(self, job: Job) -> None:
        self.open_jobs.pop(job.job_id, None)
        if job.archived is None:
            self.unarchived[(RecordKind.JOB, job.job_id)] = None

    def _count_tokens(self, path: str, tokens: int) -> None:
        count = self.waiting_tokens.get(path, 0) + tokens
        if count:
            self.waiting_tokens[path] = count
        else:
            self.waiting_tokens.pop(path, None)

    # Claims and results of items.

    @apply.register
    def _(self, entry: ItemClaimed) -> None:
        self._claim(entry.job_id, entry.index, entry.edge, entry.claim_number)

    @apply.register
    def _(self, entry: ItemsClaimed) -> None:
        for index, claim_number in zip(entry.indexes, entry.claim_numbers, strict=True):
            self._claim(entry.job_id, index, entry.edge, claim_number)

    def _claim(self, job_id: str, index: int, edge: str, claim_number: int) -> None:
        item = self._item_to_change(job_id, index)
        if (
            item is not None
            and item.state != ItemState.FINISHED
            and claim_number > item.claim_number
        ):
            self.jobs[job_id].claim(index, edge, claim_number)

    @apply.register
    def _(self, entry: ItemReturned) -> None:
        item = self._item_to_change(entry.job_id, entry.index)
        if item is not None and item.claimed_under(entry.claim_number):
            self.jobs[entry.job_id].return_claim(entry.index)

    @apply.register
    def _(self, entry: AttemptFailed) -> None:
        item = self._item_to_change(entry.job_id, entry.index)
        if item is not None and item.claimed_under(entry.claim_number):
            item.failures = entry.failures
            item.failed_at = (*item.failed_at, entry.worker)
            self.jobs[entry.job_id].return_claim(entry.index)

    @apply.register
    def _(self, entry: ItemFinished) -> None:
        item = self._item_to_change(entry.job_id, entry.index)
        if item is not None and item.state != ItemState.FINISHED:
            self.jobs[entry.job_id].finish(entry.index, entry.outcome, entry.body, entry.worker)

    def _item_to_change(self, job_id: str, index: int) -> Item | None:
        job = self._job_to_change(job_id)
        if job is None or not 0 <= index < len(job.items):
            return None
        return job.items[index]

    def _job_to_change(self, job_id: str) -> Job | None:
        """Return the job, if it exists, and invalidate its cached entries before it changes."""
        job = self.jobs.get(job_id)
        if job is not None:
            job.cached_entries = None
        return job

    # Listing of results.

    @apply.register
    def _(self, entry: ListingLeaseGranted) -> None:
        job = self._job_to_change(entry.job_id)
        if job is not None and entry.epoch > job.listing_epoch:
            job.listing_edge = entry.edge
            job.listing_epoch = entry.epoch

    @apply.register
    def _(self, entry: ListingAdvanced) -> None:
        job = self._job_to_change(entry.job_id)
        if (
            job is not None
            and entry.epoch == job.listing_epoch
            and job.listed < entry.up_to <= job.listable
        ):
            job.listed = entry.up_to
            if not job.open:
                self._close_job(job)

    @apply.register
    def _(self, entry: ResultListed) -> None:
        job = self._job_to_change(entry.job_id)
        if job is None or not job.open or not 0 <= entry.index < len(job.items):
            return
        item = job.items[entry.index]
        lease_allows = entry.epoch > job.listing_epoch or (
            entry.epoch == job.listing_epoch and entry.edge == job.listing_edge
        )
        if item.state == ItemState.FINISHED or not lease_allows:
            return
        job.listing_edge, job.listing_epoch = entry.edge, entry.epoch
        tokens = job.finish(entry.index, entry.outcome, entry.text, entry.worker)
        self._count_tokens(job.path, -tokens)
        job.drop_request(entry.index)
        job.order.append(entry.index)
        job.listed = len(job.order)
        if not job.open:
            self._close_job(job)

    # Idempotency keys.

    @apply.register
    def _(self, entry: KeyOpened) -> None:
        key = self.keys.get(entry.key)
        if key is None or key.state == KeyState.VOID:
            self.keys[entry.key] = IdempotencyKey(entry)

    @apply.register
    def _(self, entry: KeyClosed) -> None:
        key = self.keys.get(entry.key)
        if key is not None and key.request_id == entry.request_id and key.may_change:
            key.close(entry)
            if key.state == KeyState.DONE:
                self.unarchived[(RecordKind.KEY, entry.key)] = None

    @apply.register
    def _(self, entry: KeyExpired) -> None:
        self.keys.pop(entry.key, None)
        self.unarchived.pop((RecordKind.KEY, entry.key), None)

    # Archiving.

    @apply.register
    def _(self, entry: JobArchived) -> None:
        """Drop the results of the job if it is closed; add it without them if it is missing."""
        job = self.jobs.get(entry.job_id)
        if job is None:
            job = self.jobs[entry.job_id] = Job.from_archive(entry)
        if not job.open:
            job.archive(entry)
            self.open_jobs.pop(entry.job_id, None)
            self.unarchived.pop((RecordKind.JOB, entry.job_id), None)

    @apply.register
    def _(self, entry: KeyArchived) -> None:
        """Drop the response body of the key if it is done; add it without one if it is missing."""
        key = self.keys.get(entry.key)
        if key is None:
            key = self.keys[entry.key] = IdempotencyKey.from_archive(entry)
        if key.state == KeyState.DONE and key.request_id == entry.request_id:
            key.archive(entry)
            self.unarchived.pop((RecordKind.KEY, entry.key), None)

    def dump(self) -> list[Message]:
        """Return the entries that, applied in order to an empty state, rebuild this one."""
        entries: list[Message] = []
        for job in self.jobs.values():
            entries += job.dump()
        for key in self.keys.values():
            entries += key.dump()
        return entries

    def encoded(self, wrap: Callable[[bytes], bytes] = lambda row: row) -> list[bytes]:
        """Return the entries of `dump` as bytes, each passed through `wrap`.

        The bytes of closed jobs and of keys are cached with the `wrap` of the first call, so that a
        further snapshot encodes only open jobs and what has changed.
        """
        names = [
            *((RecordKind.JOB, job_id) for job_id in self.jobs),
            *((RecordKind.KEY, key) for key in self.keys),
        ]
        return [row for kind, name in names for row in self.encoded_entries(kind, name, wrap)]

    def encoded_entries(self, kind: str, name: str, wrap: Callable[[bytes], bytes]) -> list[bytes]:
        """Return the encoded entries of one job or key, cached unless it is an open job.

        `kind` is a `RecordKind`.
        """
        if kind == RecordKind.KEY:
            key = self.keys[name]
            if key.cached_entries is None:
                key.cached_entries = [wrap(encode(entry)) for entry in key.dump()]
            return key.cached_entries
        job = self.jobs[name]
        if job.cached_entries is None or job.open:
            job.cached_entries = [wrap(encode(entry)) for entry in job.dump()]
        return job.cached_entries

    def copy(self) -> "BatchState":
        """Return a copy to which entries can be applied without changing this state.

        Closed jobs, and keys that can't be closed any more, are shared: of the entries that the
        leader appends, only those of archiving change them. The copy's `unarchived` is empty.
        """
        copied = BatchState()
        for job_id, job in self.jobs.items():
            if job.open:
                for entry in job.dump():
                    copied.apply(entry)
            else:
                copied.jobs[job_id] = job
        for name, key in self.keys.items():
            if key.may_change:
                for entry in key.dump():
                    copied.apply(entry)
            else:
                copied.keys[name] = key
        return copied
