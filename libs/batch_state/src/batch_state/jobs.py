"""A lot and its items as the fold of the log has them.

Results of an ordinary lot are listed in the order of its items, up to `listed`; those of a
forwarded lot in the order in which they were settled, `order`.
"""

from messaging import Message, encode

from batch_state import entries as e
from batch_state import messages as m

__all__ = ["Item", "Job"]


class Item:
    """One item of a lot: waiting, claimed or finished.

    `body` is what is asked: text, or the bytes of a forwarded call. `number` is that of its latest
    claim; `failed_at` has the workers that failed on it.
    """

    __slots__ = (
        "body",
        "edge",
        "failed_at",
        "failures",
        "item_id",
        "number",
        "outcome",
        "result",
        "state",
        "tokens",
        "worker",
    )

    def __init__(self, body: str | bytes, item_id: str = "", tokens: int = 0) -> None:
        self.body = body
        self.item_id = item_id
        self.tokens = tokens
        self.state = "waiting"
        self.edge = ""
        self.number = 0
        self.failures = 0
        self.failed_at: tuple[str, ...] = ()
        self.outcome = ""
        self.result: str | bytes = ""
        self.worker = ""


class Job:
    """A lot and the state of its items.

    `pending` has the indexes of unclaimed items in the order in which they are dealt, `claims` the
    claimed items. `tokens` counts items that haven't ended; `rows` caches encoded entries for
    snapshots.
    """

    __slots__ = (
        "at_ms",
        "attempts",
        "listing_edge",
        "listing_epoch",
        "claims",
        "digest",
        "due_ms",
        "cancelled",
        "cancelled_at_ms",
        "expires_ms",
        "forward",
        "items",
        "unfinished",
        "job_id",
        "order",
        "path",
        "pending",
        "listed",
        "rollout",
        "rows",
        "safe",
        "samples",
        "shelf",
        "tokens",
        "total",
        "version",
        "weights",
    )

    def __init__(self, entry: e.JobAdmitted | e.ForwardJobAdmitted | e.RolloutAdmitted) -> None:
        self.job_id = entry.job_id
        self.digest = entry.digest
        self.path = entry.path
        self.rollout = isinstance(entry, e.RolloutAdmitted)
        self.samples, self.weights = (entry.samples, entry.weights) if self.rollout else (1, "")
        self.due_ms = entry.expires_ms if self.rollout else entry.due_ms
        self.at_ms = entry.at_ms
        self.forward = isinstance(entry, e.ForwardJobAdmitted)
        if self.forward:
            self.items = [
                Item(call, item_id, tokens)
                for item_id, tokens, call in zip(
                    entry.item_ids, entry.tokens, entry.calls, strict=True
                )
            ]
            self.safe, self.attempts = True, entry.attempts
            self.expires_ms, self.version = entry.expires_ms, entry.version
        elif self.rollout:
            self.items = [Item(body) for body in entry.items for _ in range(entry.samples)]
            self.safe, self.attempts, self.expires_ms, self.version = True, 0, entry.expires_ms, 0
        else:
            self.items = [Item(body) for body in entry.items]
            self.safe, self.attempts, self.expires_ms, self.version = entry.safe, 0, 0, 0
        self.unfinished = self.total = len(self.items)
        self.tokens = sum(item.tokens for item in self.items)
        self.pending: dict[int, None] = dict.fromkeys(range(self.total))
        self.claims: dict[int, Item] = {}
        self.order: list[int] = []
        self.shelf: e.JobArchived | None = None
        self.listed = 0
        self.listing_edge = ""
        self.listing_epoch = 0
        self.cancelled = False
        self.cancelled_at_ms = 0
        self.rows: list[bytes] | None = None

    @property
    def open(self) -> bool:
        """Whether the lot still runs: neither ended nor listed to its last result."""
        return not self.cancelled and self.listed < self.total

    @property
    def waiting(self) -> int:
        """How many items nobody has claimed."""
        return len(self.pending)

    @property
    def listable(self) -> int:
        """Up to which position results could be listed now.

        Those of a forwarded lot are listed as they are settled.
        """
        if self.forward:
            return self.listed
        up_to = self.listed
        while up_to < len(self.items) and self.items[up_to].state == "finished":
            up_to += 1
        return up_to

    def row(self, position: int) -> bytes:
        """Return the encoded result at a position, as it is read and as it is archived."""
        if self.forward:
            item = self.items[self.order[position]]
            return encode(
                m.ForwardResult(item_id=item.item_id, outcome=item.outcome, text=item.result)
            )
        item = self.items[position]
        return encode(m.ResultRow(index=position, outcome=item.outcome, body=item.result))

    # -- changes of an item's state --------------------------------------------------------------

    def claim(self, index: int, edge: str, number: int) -> None:
        """Note that an edge has claimed an item."""
        item = self.items[index]
        self.pending.pop(index, None)
        self.claims[index] = item
        item.state, item.edge, item.number = "claimed", edge, number

    def give_back(self, index: int) -> None:
        """Return an item's claim; it is dealt again after those that wait already."""
        item = self.claims.pop(index)
        self.pending[index] = None
        item.state, item.edge = "waiting", ""

    def finish(self, index: int, outcome: str, result: str | bytes, worker: str) -> int:
        """Note how an item ended, and return its tokens, which no longer count."""
        item = self.items[index]
        self.pending.pop(index, None)
        self.claims.pop(index, None)
        item.state, item.outcome, item.result, item.worker = "finished", outcome, result, worker
        self.unfinished -= 1
        self.tokens -= item.tokens
        return item.tokens

    # -- entries that fold to this very lot ------------------------------------------------------

    def dump(self) -> list[Message]:
        """Return entries that fold to this very lot."""
        if self.shelf is not None:
            return [
                e.JobArchived(
                    **{
                        **self.shelf.as_dict(),
                        "cancelled": self.cancelled,
                        "cancelled_at_ms": self.cancelled_at_ms,
                    }
                )
            ]
        rows = self._dump_forward() if self.forward else self._dump_own()
        if self.cancelled:
            rows.append(e.JobCancelled(job_id=self.job_id, at_ms=self.cancelled_at_ms))
        return rows

    def _dump_own(self) -> list[Message]:
        rows: list[Message] = [self._admitted()]
        for index, item in enumerate(self.items):
            if item.number:
                rows.append(
                    e.ItemClaimed(
                        job_id=self.job_id, index=index, edge=item.edge, number=item.number
                    )
                )
            if item.number and item.state == "waiting":
                rows.append(e.ItemReturned(job_id=self.job_id, index=index, number=item.number))
            if item.state == "finished":
                rows.append(
                    e.ItemFinished(
                        job_id=self.job_id,
                        index=index,
                        outcome=item.outcome,
                        body=item.result,
                        worker=item.worker,
                    )
                )
        if self.listing_epoch:
            rows.append(
                e.ListingLeaseGranted(
                    job_id=self.job_id, edge=self.listing_edge, epoch=self.listing_epoch
                )
            )
        if self.listed:
            rows.append(
                e.ListingAdvanced(job_id=self.job_id, up_to=self.listed, epoch=self.listing_epoch)
            )
        return rows

    def _admitted(self) -> Message:
        if self.rollout:
            return e.RolloutAdmitted(
                job_id=self.job_id,
                digest=self.digest,
                path=self.path,
                samples=self.samples,
                weights=self.weights,
                items=[item.body for item in self.items[:: self.samples]],
                expires_ms=self.expires_ms,
                at_ms=self.at_ms,
            )
        return e.JobAdmitted(
            job_id=self.job_id,
            digest=self.digest,
            path=self.path,
            safe=self.safe,
            items=[item.body for item in self.items],
            due_ms=self.due_ms,
            at_ms=self.at_ms,
        )

    def _dump_forward(self) -> list[Message]:
        rows: list[Message] = [
            e.ForwardJobAdmitted(
                job_id=self.job_id,
                digest=self.digest,
                path=self.path,
                item_ids=[item.item_id for item in self.items],
                tokens=[item.tokens for item in self.items],
                calls=[item.body for item in self.items],
                attempts=self.attempts,
                due_ms=self.due_ms,
                expires_ms=self.expires_ms,
                version=self.version,
                at_ms=self.at_ms,
            )
        ]
        for index in [*self.pending, *self.claims]:
            item = self.items[index]
            for place, worker in enumerate(item.failed_at, 1):
                rows.append(
                    e.ItemsClaimed(job_id=self.job_id, edge="", indexes=[index], numbers=[place])
                )
                rows.append(
                    e.AttemptFailed(
                        job_id=self.job_id, index=index, number=place, failures=place, worker=worker
                    )
                )
            if item.number > item.failures or item.state == "claimed":
                rows.append(
                    e.ItemsClaimed(
                        job_id=self.job_id, edge=item.edge, indexes=[index], numbers=[item.number]
                    )
                )
                if item.state == "waiting":
                    rows.append(e.ItemReturned(job_id=self.job_id, index=index, number=item.number))
        for index in self.order:
            item = self.items[index]
            rows.append(
                e.ResultListed(
                    job_id=self.job_id,
                    index=index,
                    outcome=item.outcome,
                    text=item.result,
                    worker=item.worker,
                    edge=self.listing_edge,
                    epoch=self.listing_epoch,
                )
            )
        return rows
