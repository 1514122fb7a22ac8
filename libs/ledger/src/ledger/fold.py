"""The fold: single dispatch over the entries, one function for each change of state. It refuses
nothing, since what is in the log has been decided; an entry that no longer applies changes nothing.
An item goes waiting, claimed, finished; results are listed as far as `placed` says."""

from collections.abc import Callable
from functools import singledispatchmethod

from ledger import entries as e
from vellum import Message, encode

__all__ = ["Item", "Key", "Ledger", "Lot"]


class Item:
    __slots__ = ("body", "edge", "number", "outcome", "result", "state", "worker")

    def __init__(self, body: str) -> None:
        self.body = body
        self.state = "waiting"
        self.edge = ""
        self.number = 0
        self.outcome = ""
        self.result = ""
        self.worker = ""


class Lot:
    """`waiting` counts the items nobody has claimed, `claims` has those that somebody has."""

    __slots__ = ("atMs", "batonEdge", "batonEpoch", "claims", "digest", "dueMs", "ended", "endedAtMs", "items", "left",
                 "lotId", "path", "placed", "rows", "safe", "shelf", "total", "waiting")

    def __init__(self, entry: e.LotAdmitted) -> None:
        self.lotId = entry.lotId
        self.digest = entry.digest
        self.path = entry.path
        self.items = [Item(body) for body in entry.items]
        self.safe = entry.safe
        self.dueMs = entry.dueMs
        self.atMs = entry.atMs
        self.left = self.total = self.waiting = len(self.items)
        self.claims: dict[int, Item] = {}
        self.shelf: e.LotShelved | None = None
        self.placed = 0
        self.batonEdge = ""
        self.batonEpoch = 0
        self.ended = False
        self.endedAtMs = 0
        self.rows: list[bytes] | None = None

    @property
    def open(self) -> bool:
        return not self.ended and self.placed < self.total

    @property
    def ready(self) -> int:
        """How far results could be placed now."""
        upTo = self.placed
        while upTo < len(self.items) and self.items[upTo].state == "finished":
            upTo += 1
        return upTo


class Key:
    __slots__ = ("atMs", "body", "digest", "edge", "rows", "shelf", "state", "status", "transaction")

    def __init__(self, entry: e.KeyOpened) -> None:
        self.digest = entry.digest
        self.edge = entry.edge
        self.transaction = entry.transaction
        self.state = "open"
        self.status = 0
        self.body = ""
        self.atMs = entry.atMs
        self.shelf: e.KeyShelved | None = None
        self.rows: list[bytes] | None = None


class Ledger:
    """`fresh` names what is over since somebody last asked: lots and keys that may be put on shelves."""

    __slots__ = ("fresh", "keys", "lots", "opened")

    def __init__(self) -> None:
        self.lots: dict[str, Lot] = {}
        self.keys: dict[str, Key] = {}
        self.opened: dict[str, Lot] = {}
        self.fresh: dict[tuple[str, str], None] = {}

    def room_used(self, path: str) -> int:
        return sum(1 for lot in self.opened.values() if lot.path == path)

    @singledispatchmethod
    def apply(self, entry: Message) -> None:
        raise TypeError(type(entry).__name__)

    @apply.register
    def _(self, entry: e.LotAdmitted) -> None:
        if entry.lotId not in self.lots:
            lot = self.lots[entry.lotId] = Lot(entry)
            if lot.open:
                self.opened[entry.lotId] = lot

    @apply.register
    def _(self, entry: e.ItemClaimed) -> None:
        item = self._item(entry.lotId, entry.index)
        if item is not None and item.state != "finished" and entry.number > item.number:
            lot = self.lots[entry.lotId]
            lot.waiting -= item.state == "waiting"
            lot.claims[entry.index] = item
            item.state = "claimed"
            item.edge = entry.edge
            item.number = entry.number

    @apply.register
    def _(self, entry: e.ItemFinished) -> None:
        item = self._item(entry.lotId, entry.index)
        if item is not None and item.state != "finished":
            lot = self.lots[entry.lotId]
            lot.waiting -= item.state == "waiting"
            lot.claims.pop(entry.index, None)
            item.state = "finished"
            item.outcome = entry.outcome
            item.result = entry.body
            item.worker = entry.worker
            lot.left -= 1

    @apply.register
    def _(self, entry: e.ItemReturned) -> None:
        item = self._item(entry.lotId, entry.index)
        if item is not None and item.state == "claimed" and item.number == entry.number:
            item.state = "waiting"
            item.edge = ""
            lot = self.lots[entry.lotId]
            lot.waiting += 1
            del lot.claims[entry.index]

    @apply.register
    def _(self, entry: e.BatonPassed) -> None:
        lot = self._lot(entry.lotId)
        if lot is not None and entry.epoch > lot.batonEpoch:
            lot.batonEdge = entry.edge
            lot.batonEpoch = entry.epoch

    @apply.register
    def _(self, entry: e.ResultsPlaced) -> None:
        lot = self._lot(entry.lotId)
        if lot is not None and entry.epoch == lot.batonEpoch and lot.placed < entry.upTo <= lot.ready:
            lot.placed = entry.upTo
            if not lot.open:
                self._over(lot)

    @apply.register
    def _(self, entry: e.LotEnded) -> None:
        lot = self._lot(entry.lotId)
        if lot is not None and not lot.ended:
            lot.ended = True
            lot.endedAtMs = entry.atMs
            self._over(lot)

    @apply.register
    def _(self, entry: e.LotForgotten) -> None:
        self.lots.pop(entry.lotId, None)
        self.opened.pop(entry.lotId, None)
        self.fresh.pop(("lot", entry.lotId), None)

    def _over(self, lot: Lot) -> None:
        self.opened.pop(lot.lotId, None)
        if lot.shelf is None:
            self.fresh[("lot", lot.lotId)] = None

    @apply.register
    def _(self, entry: e.LotShelved) -> None:
        """Of a lot that is here too, the results leave memory; all else stays as it is."""
        lot = self.lots.get(entry.lotId)
        if lot is None:
            lot = self.lots[entry.lotId] = Lot(e.LotAdmitted(
                lotId=entry.lotId, digest=entry.digest, path=entry.path, items=[], safe=entry.safe, dueMs=entry.dueMs, atMs=entry.atMs))
            lot.total, lot.placed = entry.total, entry.placed
            lot.left = entry.total - entry.finished
            lot.ended, lot.endedAtMs = entry.ended, entry.endedAtMs
        if not lot.open:
            lot.shelf, lot.items, lot.claims, lot.rows = entry, [], {}, None
            self.opened.pop(entry.lotId, None)
            self.fresh.pop(("lot", entry.lotId), None)

    @apply.register
    def _(self, entry: e.KeyShelved) -> None:
        key = self.keys.get(entry.key)
        if key is None:
            key = self.keys[entry.key] = Key(e.KeyOpened(key=entry.key, digest=entry.digest, edge=entry.edge,
                                                         transaction=entry.transaction, atMs=entry.atMs))
            key.state, key.status = "done", entry.status
        if key.state == "done" and key.transaction == entry.transaction:
            key.shelf, key.body, key.rows = entry, "", None
            self.fresh.pop(("key", entry.key), None)

    @apply.register
    def _(self, entry: e.KeyOpened) -> None:
        key = self.keys.get(entry.key)
        if key is None or key.state == "void":
            self.keys[entry.key] = Key(entry)

    @apply.register
    def _(self, entry: e.KeyClosed) -> None:
        key = self.keys.get(entry.key)
        if key is not None and key.transaction == entry.transaction and key.state in ("open", "doubt"):
            key.state = entry.state
            key.status = entry.status
            key.body = entry.body
            key.rows = None
            if key.state == "done":
                self.fresh[("key", entry.key)] = None

    @apply.register
    def _(self, entry: e.KeyForgotten) -> None:
        self.keys.pop(entry.key, None)
        self.fresh.pop(("key", entry.key), None)

    def _item(self, lotId: str, index: int) -> Item | None:
        lot = self._lot(lotId)
        if lot is None or not 0 <= index < len(lot.items):
            return None
        return lot.items[index]

    def _lot(self, lotId: str) -> Lot | None:
        """A lot that is about to change: what was kept of its rows no longer holds."""
        lot = self.lots.get(lotId)
        if lot is not None:
            lot.rows = None
        return lot

    def dump(self) -> list[Message]:
        """Entries that fold to this very ledger."""
        rows: list[Message] = []
        for lot in self.lots.values():
            rows += self._dump_lot(lot)
        for name, key in self.keys.items():
            rows += self._dump_key(name, key)
        return rows

    def encoded(self, wrap: Callable[[bytes], bytes] = lambda row: row) -> list[bytes]:
        """The same as bytes. Those of what is over are kept, so that a snapshot costs little more than
        what is new in it."""
        rows: list[bytes] = []
        for lot in self.lots.values():
            if lot.rows is None or lot.open:
                lot.rows = [wrap(encode(row)) for row in self._dump_lot(lot)]
            rows += lot.rows
        for name, key in self.keys.items():
            if key.rows is None:
                key.rows = [wrap(encode(row)) for row in self._dump_key(name, key)]
            rows += key.rows
        return rows

    def copy(self) -> "Ledger":
        """A ledger that may go its own way; it shares the lots and keys that can't change any more."""
        twin = Ledger()
        for lotId, lot in self.lots.items():
            if lot.open:
                for row in self._dump_lot(lot):
                    twin.apply(row)
            else:
                twin.lots[lotId] = lot
        for name, key in self.keys.items():
            if key.state in ("open", "doubt"):
                for row in self._dump_key(name, key):
                    twin.apply(row)
            else:
                twin.keys[name] = key
        return twin

    def _dump_lot(self, lot: Lot) -> list[Message]:
        if lot.shelf is not None:
            return [e.LotShelved(**{**lot.shelf.as_dict(), "ended": lot.ended, "endedAtMs": lot.endedAtMs})]
        rows: list[Message] = [e.LotAdmitted(lotId=lot.lotId, digest=lot.digest, path=lot.path, safe=lot.safe,
                                             items=[item.body for item in lot.items], dueMs=lot.dueMs, atMs=lot.atMs)]
        for index, item in enumerate(lot.items):
            if item.number:
                rows.append(e.ItemClaimed(lotId=lot.lotId, index=index, edge=item.edge, number=item.number))
            if item.number and item.state == "waiting":
                rows.append(e.ItemReturned(lotId=lot.lotId, index=index, number=item.number))
            if item.state == "finished":
                rows.append(e.ItemFinished(lotId=lot.lotId, index=index, outcome=item.outcome, body=item.result,
                                           worker=item.worker))
        if lot.batonEpoch:
            rows.append(e.BatonPassed(lotId=lot.lotId, edge=lot.batonEdge, epoch=lot.batonEpoch))
        if lot.placed:
            rows.append(e.ResultsPlaced(lotId=lot.lotId, upTo=lot.placed, epoch=lot.batonEpoch))
        if lot.ended:
            rows.append(e.LotEnded(lotId=lot.lotId, atMs=lot.endedAtMs))
        return rows

    def _dump_key(self, name: str, key: Key) -> list[Message]:
        if key.shelf is not None:
            return [key.shelf]
        rows: list[Message] = [e.KeyOpened(key=name, digest=key.digest, edge=key.edge, transaction=key.transaction,
                                           atMs=key.atMs)]
        if key.state != "open":
            rows.append(e.KeyClosed(key=name, transaction=key.transaction, state=key.state, status=key.status,
                                    body=key.body, atMs=key.atMs))
        return rows
