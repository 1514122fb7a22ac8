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

    `opened` has the lots that still run, `waiting_tokens` the tokens of forwarded items that
    haven't ended, by path. `fresh` names lots and keys that are over and can be archived.
    """

    __slots__ = ("fresh", "keys", "lots", "opened", "waiting_tokens")

    def __init__(self) -> None:
        self.waiting_tokens: dict[str, int] = {}
        self.lots: dict[str, Job] = {}
        self.keys: dict[str, IdempotencyKey] = {}
        self.opened: dict[str, Job] = {}
        self.fresh: dict[tuple[str, str], None] = {}

    def room_used(self, path: str) -> int:
        """Return how many lots other than rollouts are open on a path."""
        return sum(1 for lot in self.opened.values() if lot.path == path and not lot.rollout)

    def rollouts_open(self, path: str) -> int:
        """Return how many rollouts are open on a path."""
        return sum(1 for lot in self.opened.values() if lot.path == path and lot.rollout)

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
        if entry.lot_id not in self.lots:
            lot = self.lots[entry.lot_id] = Job(entry)
            if lot.open:
                self.opened[entry.lot_id] = lot
                self._count_tokens(lot.path, lot.tokens)

    @apply.register
    def _(self, entry: e.ItemClaimed) -> None:
        self._claim(entry.lot_id, entry.index, entry.edge, entry.number)

    @apply.register
    def _(self, entry: e.ItemsClaimed) -> None:
        for index, number in zip(entry.indexes, entry.numbers, strict=True):
            self._claim(entry.lot_id, index, entry.edge, number)

    def _claim(self, lot_id: str, index: int, edge: str, number: int) -> None:
        item = self._item(lot_id, index)
        if item is not None and item.state != "finished" and number > item.number:
            self.lots[lot_id].claim(index, edge, number)

    @apply.register
    def _(self, entry: e.ItemFinished) -> None:
        item = self._item(entry.lot_id, entry.index)
        if item is not None and item.state != "finished":
            self.lots[entry.lot_id].finish(entry.index, entry.outcome, entry.body, entry.worker)

    @apply.register
    def _(self, entry: e.ResultListed) -> None:
        lot = self._lot(entry.lot_id)
        if lot is None or not lot.open or not 0 <= entry.index < len(lot.items):
            return
        item = lot.items[entry.index]
        higher = entry.epoch > lot.baton_epoch or (
            entry.epoch == lot.baton_epoch and entry.edge == lot.baton_edge
        )
        if item.state == "finished" or not higher:
            return
        lot.baton_edge, lot.baton_epoch = entry.edge, entry.epoch
        self._count_tokens(
            lot.path, -lot.finish(entry.index, entry.outcome, entry.text, entry.worker)
        )
        item.body = b""
        lot.order.append(entry.index)
        lot.placed = len(lot.order)
        if not lot.open:
            self._over(lot)

    @apply.register
    def _(self, entry: e.ItemReturned) -> None:
        item = self._item(entry.lot_id, entry.index)
        if item is not None and item.state == "claimed" and item.number == entry.number:
            self.lots[entry.lot_id].give_back(entry.index)

    @apply.register
    def _(self, entry: e.AttemptFailed) -> None:
        item = self._item(entry.lot_id, entry.index)
        if item is not None and item.state == "claimed" and item.number == entry.number:
            item.failures = entry.failures
            item.failed_at = (*item.failed_at, entry.worker)
            self.lots[entry.lot_id].give_back(entry.index)

    @apply.register
    def _(self, entry: e.ListingLeaseGranted) -> None:
        lot = self._lot(entry.lot_id)
        if lot is not None and entry.epoch > lot.baton_epoch:
            lot.baton_edge = entry.edge
            lot.baton_epoch = entry.epoch

    @apply.register
    def _(self, entry: e.ListingAdvanced) -> None:
        lot = self._lot(entry.lot_id)
        if (
            lot is not None
            and entry.epoch == lot.baton_epoch
            and lot.placed < entry.up_to <= lot.ready
        ):
            lot.placed = entry.up_to
            if not lot.open:
                self._over(lot)

    @apply.register
    def _(self, entry: e.JobCancelled) -> None:
        lot = self._lot(entry.lot_id)
        if lot is not None and not lot.ended:
            lot.ended = True
            lot.ended_at_ms = entry.at_ms
            self._count_tokens(lot.path, -lot.tokens)
            lot.tokens = 0
            self._over(lot)

    @apply.register
    def _(self, entry: e.JobExpired) -> None:
        self.lots.pop(entry.lot_id, None)
        self.opened.pop(entry.lot_id, None)
        self.fresh.pop(("lot", entry.lot_id), None)

    def _over(self, lot: Job) -> None:
        self.opened.pop(lot.lot_id, None)
        if lot.shelf is None:
            self.fresh[("lot", lot.lot_id)] = None

    @apply.register
    def _(self, entry: e.JobArchived) -> None:
        """Drop the results of a lot that is here too, or add the lot without them."""
        lot = self.lots.get(entry.lot_id)
        if lot is None:
            lot = self.lots[entry.lot_id] = Job(
                e.JobAdmitted(
                    lot_id=entry.lot_id,
                    digest=entry.digest,
                    path=entry.path,
                    items=[],
                    safe=entry.safe,
                    due_ms=entry.due_ms,
                    at_ms=entry.at_ms,
                )
            )
            lot.total, lot.placed = entry.total, entry.placed
            lot.left = entry.total - entry.finished
            lot.ended, lot.ended_at_ms = entry.ended, entry.ended_at_ms
        if not lot.open:
            lot.shelf, lot.items, lot.claims, lot.rows = entry, [], {}, None
            lot.pending, lot.order = {}, []
            self.opened.pop(entry.lot_id, None)
            self.fresh.pop(("lot", entry.lot_id), None)

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
            self.fresh.pop(("key", entry.key), None)

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
                self.fresh[("key", entry.key)] = None

    @apply.register
    def _(self, entry: e.KeyExpired) -> None:
        self.keys.pop(entry.key, None)
        self.fresh.pop(("key", entry.key), None)

    def _item(self, lot_id: str, index: int) -> Item | None:
        lot = self._lot(lot_id)
        if lot is None or not 0 <= index < len(lot.items):
            return None
        return lot.items[index]

    def _lot(self, lot_id: str) -> Job | None:
        """Return a lot that is about to change; its cached rows are dropped."""
        lot = self.lots.get(lot_id)
        if lot is not None:
            lot.rows = None
        return lot

    def dump(self) -> list[Message]:
        """Return entries that fold to this very ledger."""
        rows: list[Message] = []
        for lot in self.lots.values():
            rows += lot.dump()
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
            for kind, held in (("lot", self.lots), ("key", self.keys))
            for name in held
            for row in self.rows_of(kind, name, wrap)
        ]

    def rows_of(self, kind: str, name: str, wrap: Callable[[bytes], bytes]) -> list[bytes]:
        """Return the encoded entries of one lot or key."""
        held: Any = self.lots[name] if kind == "lot" else self.keys[name]
        if held.rows is None or (kind == "lot" and held.open):
            held.rows = [
                wrap(encode(row))
                for row in (held.dump() if kind == "lot" else self._dump_key(name, held))
            ]
        return held.rows

    def copy(self) -> "BatchState":
        """Return an independent ledger; lots and keys that can't change any more are shared."""
        twin = BatchState()
        for lot_id, lot in self.lots.items():
            if lot.open:
                for row in lot.dump():
                    twin.apply(row)
            else:
                twin.lots[lot_id] = lot
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
