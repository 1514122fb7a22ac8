"""The state of batch jobs and idempotency keys, built by applying the entries of the log in order.

`BatchState.apply` refuses nothing, since what is in the log has been decided; an entry that no
longer applies changes nothing. Every replica that applies the same entries has the same state. An
item goes from waiting to claimed to finished.
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
    """The state that the entries of the log add up to.

    `open_jobs` has the jobs that still run, `waiting_tokens` the tokens of forwarded items that
    haven't ended, by path. `unarchived` has the (kind, name) of jobs and keys that are over and can
    be archived.
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

    def rollout_backlog(self, path: str) -> int:
        """Return how many rollouts are open on a path."""
        return sum(1 for job in self.open_jobs.values() if job.path == path and job.rollout)

    @singledispatchmethod
    def apply(self, entry: Message) -> None:
        """Apply one entry."""
        raise TypeError(type(entry).__name__)

    # -- admission, cancellation and removal of jobs ---------------------------------------------

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

    # -- claims and results of items -------------------------------------------------------------

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
            self.jobs[entry.job_id].give_back(entry.index)

    @apply.register
    def _(self, entry: AttemptFailed) -> None:
        item = self._item_to_change(entry.job_id, entry.index)
        if item is not None and item.claimed_under(entry.claim_number):
            item.failures = entry.failures
            item.failed_at = (*item.failed_at, entry.worker)
            self.jobs[entry.job_id].give_back(entry.index)

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
        """Return a job that is about to change; its cached entries are dropped."""
        job = self.jobs.get(job_id)
        if job is not None:
            job.cached_entries = None
        return job

    # -- listing of results ----------------------------------------------------------------------

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
        item.body = b""
        job.order.append(entry.index)
        job.listed = len(job.order)
        if not job.open:
            self._close_job(job)

    # -- idempotency keys ------------------------------------------------------------------------

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

    # -- archiving -------------------------------------------------------------------------------

    @apply.register
    def _(self, entry: JobArchived) -> None:
        """Drop the results of a job that is here too, or add the job without them."""
        job = self.jobs.get(entry.job_id)
        if job is None:
            job = self.jobs[entry.job_id] = Job.from_archive(entry)
        if not job.open:
            job.archive(entry)
            self.open_jobs.pop(entry.job_id, None)
            self.unarchived.pop((RecordKind.JOB, entry.job_id), None)

    @apply.register
    def _(self, entry: KeyArchived) -> None:
        """Drop the answer of a key that is here too, or add the key without it."""
        key = self.keys.get(entry.key)
        if key is None:
            key = self.keys[entry.key] = IdempotencyKey.from_archive(entry)
        if key.state == KeyState.DONE and key.request_id == entry.request_id:
            key.archive(entry)
            self.unarchived.pop((RecordKind.KEY, entry.key), None)

    # -- snapshots and copies --------------------------------------------------------------------

    def dump(self) -> list[Message]:
        """Return entries that rebuild this very state."""
        entries: list[Message] = []
        for job in self.jobs.values():
            entries += job.dump()
        for key in self.keys.values():
            entries += key.dump()
        return entries

    def encoded(self, wrap: Callable[[bytes], bytes] = lambda row: row) -> list[bytes]:
        """Return the same entries as bytes, each passed through `wrap`.

        Those of what is over are cached, so that a snapshot costs little more than what is new in
        it.
        """
        names = [
            *((RecordKind.JOB, job_id) for job_id in self.jobs),
            *((RecordKind.KEY, key) for key in self.keys),
        ]
        return [row for kind, name in names for row in self.encoded_entries(kind, name, wrap)]

    def encoded_entries(self, kind: str, name: str, wrap: Callable[[bytes], bytes]) -> list[bytes]:
        """Return the encoded entries of one job or key; `kind` is a `RecordKind`."""
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
        """Return an independent state; jobs and keys that can't change any more are shared."""
        twin = BatchState()
        for job_id, job in self.jobs.items():
            if job.open:
                for entry in job.dump():
                    twin.apply(entry)
            else:
                twin.jobs[job_id] = job
        for name, key in self.keys.items():
            if key.may_change:
                for entry in key.dump():
                    twin.apply(entry)
            else:
                twin.keys[name] = key
        return twin
