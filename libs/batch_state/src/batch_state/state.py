"""The fold of the log's entries into a ledger, one handler for each type of entry.

It refuses nothing, since what is in the log has been decided; an entry that no longer applies
changes nothing. An item goes from waiting to claimed to finished.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from messaging import Message, encode

from batch_state import entries as e
from batch_state.jobs import Item, Job

__all__ = ["Item", "IdempotencyKey", "BatchState", "Job"]


class IdempotencyKey:
    """A transaction that isn't safe to repeat, under a client's key.

    `state` is `open`, `doubt`, `void` or `done`; `status` and `body` are its final answer, which is
    in an archive file once `shelf` is set.
    """

    __slots__ = (
        "at_ms",
        "body",
        "digest",
        "edge",
        "rows",
        "shelf",
        "state",
        "status",
        "transaction",
    )

    def __init__(self, entry: e.KeyOpened) -> None:
        self.digest = entry.digest
        self.edge = entry.edge
        self.transaction = entry.transaction
        self.state = "open"
        self.status = 0
        self.body = ""
        self.at_ms = entry.at_ms
        self.shelf: e.KeyArchived | None = None
        self.rows: list[bytes] | None = None


class BatchState:
    """The state that the entries of the log add up to.

    `open_jobs` has the lots that still run, `waiting_tokens` the tokens of forwarded items that
    haven't ended, by path. `unarchived` names lots and keys that are over and can be archived.
    """

    __slots__ = ("unarchived", "keys", "jobs", "open_jobs", "waiting_tokens")

    def __init__(self) -> None:
        self.waiting_tokens: dict[str, int] = {}
        self.jobs: dict[str, Job] = {}
        self.keys: dict[str, IdempotencyKey] = {}
        self.open_jobs: dict[str, Job] = {}
        self.unarchived: dict[tuple[str, str], None] = {}

    def backlog(self, path: str) -> int:
        """Return how many lots other than rollouts are open on a path."""
        return sum(1 for job in self.open_jobs.values() if job.path == path and not job.rollout)

    def rollout_backlog(self, path: str) -> int:
        """Return how many rollouts are open on a path."""
        return sum(1 for job in self.open_jobs.values() if job.path == path and job.rollout)

    def _count_tokens(self, path: str, tokens: int) -> None:
        count = self.waiting_tokens.get(path, 0) + tokens
        if count:
            self.waiting_tokens[path] = count
        else:
            self.waiting_tokens.pop(path, None)

    @singledispatchmethod
    def apply(self, entry: Message) -> None:
        """Apply one entry."""
        raise TypeError(type(entry).__name__)

    @apply.register
    def _(self, entry: e.JobAdmitted) -> None:
        self._admit(entry)

    @apply.register
    def _(self, entry: e.ForwardJobAdmitted) -> None:
        self._admit(entry)

    @apply.register
    def _(self, entry: e.RolloutAdmitted) -> None:
        self._admit(entry)

    def _admit(self, entry: e.JobAdmitted | e.ForwardJobAdmitted | e.RolloutAdmitted) -> None:
        if entry.job_id not in self.jobs:
            job = self.jobs[entry.job_id] = Job(entry)
            if job.open:
                self.open_jobs[entry.job_id] = job
                self._count_tokens(job.path, job.tokens)

    @apply.register
    def _(self, entry: e.ItemClaimed) -> None:
        self._claim(entry.job_id, entry.index, entry.edge, entry.number)

    @apply.register
    def _(self, entry: e.ItemsClaimed) -> None:
        for index, number in zip(entry.indexes, entry.numbers, strict=True):
            self._claim(entry.job_id, index, entry.edge, number)

    def _claim(self, job_id: str, index: int, edge: str, number: int) -> None:
        item = self._item(job_id, index)
        if item is not None and item.state != "finished" and number > item.number:
            self.jobs[job_id].claim(index, edge, number)

    @apply.register
    def _(self, entry: e.ItemFinished) -> None:
        item = self._item(entry.job_id, entry.index)
        if item is not None and item.state != "finished":
            self.jobs[entry.job_id].finish(entry.index, entry.outcome, entry.body, entry.worker)

    @apply.register
    def _(self, entry: e.ResultListed) -> None:
        job = self._job(entry.job_id)
        if job is None or not job.open or not 0 <= entry.index < len(job.items):
            return
        item = job.items[entry.index]
        higher = entry.epoch > job.listing_epoch or (
            entry.epoch == job.listing_epoch and entry.edge == job.listing_edge
        )
        if item.state == "finished" or not higher:
            return
        job.listing_edge, job.listing_epoch = entry.edge, entry.epoch
        self._count_tokens(
            job.path, -job.finish(entry.index, entry.outcome, entry.text, entry.worker)
        )
        item.body = b""
        job.order.append(entry.index)
        job.listed = len(job.order)
        if not job.open:
            self._over(job)

    @apply.register
    def _(self, entry: e.ItemReturned) -> None:
        item = self._item(entry.job_id, entry.index)
        if item is not None and item.state == "claimed" and item.number == entry.number:
            self.jobs[entry.job_id].give_back(entry.index)

    @apply.register
    def _(self, entry: e.AttemptFailed) -> None:
        item = self._item(entry.job_id, entry.index)
        if item is not None and item.state == "claimed" and item.number == entry.number:
            item.failures = entry.failures
            item.failed_at = (*item.failed_at, entry.worker)
            self.jobs[entry.job_id].give_back(entry.index)

    @apply.register
    def _(self, entry: e.ListingLeaseGranted) -> None:
        job = self._job(entry.job_id)
        if job is not None and entry.epoch > job.listing_epoch:
            job.listing_edge = entry.edge
            job.listing_epoch = entry.epoch

    @apply.register
    def _(self, entry: e.ListingAdvanced) -> None:
        job = self._job(entry.job_id)
        if (
            job is not None
            and entry.epoch == job.listing_epoch
            and job.listed < entry.up_to <= job.listable
        ):
            job.listed = entry.up_to
            if not job.open:
                self._over(job)

    @apply.register
    def _(self, entry: e.JobCancelled) -> None:
        job = self._job(entry.job_id)
        if job is not None and not job.cancelled:
            job.cancelled = True
            job.cancelled_at_ms = entry.at_ms
            self._count_tokens(job.path, -job.tokens)
            job.tokens = 0
            self._over(job)

    @apply.register
    def _(self, entry: e.JobExpired) -> None:
        self.jobs.pop(entry.job_id, None)
        self.open_jobs.pop(entry.job_id, None)
        self.unarchived.pop(("lot", entry.job_id), None)

    def _over(self, job: Job) -> None:
        self.open_jobs.pop(job.job_id, None)
        if job.shelf is None:
            self.unarchived[("lot", job.job_id)] = None

    @apply.register
    def _(self, entry: e.JobArchived) -> None:
        """Drop the results of a lot that is here too, or add the lot without them."""
        job = self.jobs.get(entry.job_id)
        if job is None:
            job = self.jobs[entry.job_id] = Job(
                e.JobAdmitted(
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
        if not job.open:
            job.shelf, job.items, job.claims, job.rows = entry, [], {}, None
            job.pending, job.order = {}, []
            self.open_jobs.pop(entry.job_id, None)
            self.unarchived.pop(("lot", entry.job_id), None)

    @apply.register
    def _(self, entry: e.KeyArchived) -> None:
        key = self.keys.get(entry.key)
        if key is None:
            key = self.keys[entry.key] = IdempotencyKey(
                e.KeyOpened(
                    key=entry.key,
                    digest=entry.digest,
                    edge=entry.edge,
                    transaction=entry.transaction,
                    at_ms=entry.at_ms,
                )
            )
            key.state, key.status = "done", entry.status
        if key.state == "done" and key.transaction == entry.transaction:
            key.shelf, key.body, key.rows = entry, "", None
            self.unarchived.pop(("key", entry.key), None)

    @apply.register
    def _(self, entry: e.KeyOpened) -> None:
        key = self.keys.get(entry.key)
        if key is None or key.state == "void":
            self.keys[entry.key] = IdempotencyKey(entry)

    @apply.register
    def _(self, entry: e.KeyClosed) -> None:
        key = self.keys.get(entry.key)
        if (
            key is not None
            and key.transaction == entry.transaction
            and key.state in ("open", "doubt")
        ):
            key.state = entry.state
            key.status = entry.status
            key.body = entry.body
            key.rows = None
            if key.state == "done":
                self.unarchived[("key", entry.key)] = None

    @apply.register
    def _(self, entry: e.KeyExpired) -> None:
        self.keys.pop(entry.key, None)
        self.unarchived.pop(("key", entry.key), None)

    def _item(self, job_id: str, index: int) -> Item | None:
        job = self._job(job_id)
        if job is None or not 0 <= index < len(job.items):
            return None
        return job.items[index]

    def _job(self, job_id: str) -> Job | None:
        """Return a lot that is about to change; its cached rows are dropped."""
        job = self.jobs.get(job_id)
        if job is not None:
            job.rows = None
        return job

    def dump(self) -> list[Message]:
        """Return entries that fold to this very ledger."""
        rows: list[Message] = []
        for job in self.jobs.values():
            rows += job.dump()
        for name, key in self.keys.items():
            rows += self._dump_key(name, key)
        return rows

    def encoded(self, wrap: Callable[[bytes], bytes] = lambda row: row) -> list[bytes]:
        """Return the same entries as bytes, each passed through `wrap`.

        Those of what is over are cached, so that a snapshot costs little more than what is new in
        it.
        """
        return [
            row
            for kind, held in (("lot", self.jobs), ("key", self.keys))
            for name in held
            for row in self.encoded_entries(kind, name, wrap)
        ]

    def encoded_entries(self, kind: str, name: str, wrap: Callable[[bytes], bytes]) -> list[bytes]:
        """Return the encoded entries of one lot or key."""
        held: Any = self.jobs[name] if kind == "lot" else self.keys[name]
        if held.rows is None or (kind == "lot" and held.open):
            held.rows = [
                wrap(encode(row))
                for row in (held.dump() if kind == "lot" else self._dump_key(name, held))
            ]
        return held.rows

    def copy(self) -> "BatchState":
        """Return an independent ledger; lots and keys that can't change any more are shared."""
        twin = BatchState()
        for job_id, job in self.jobs.items():
            if job.open:
                for row in job.dump():
                    twin.apply(row)
            else:
                twin.jobs[job_id] = job
        for name, key in self.keys.items():
            if key.state in ("open", "doubt"):
                for row in self._dump_key(name, key):
                    twin.apply(row)
            else:
                twin.keys[name] = key
        return twin

    def _dump_key(self, name: str, key: IdempotencyKey) -> list[Message]:
        if key.shelf is not None:
            return [key.shelf]
        rows: list[Message] = [
            e.KeyOpened(
                key=name,
                digest=key.digest,
                edge=key.edge,
                transaction=key.transaction,
                at_ms=key.at_ms,
            )
        ]
        if key.state != "open":
            rows.append(
                e.KeyClosed(
                    key=name,
                    transaction=key.transaction,
                    state=key.state,
                    status=key.status,
                    body=key.body,
                    at_ms=key.at_ms,
                )
            )
        return rows
