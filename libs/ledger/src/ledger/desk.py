"""The holder's desk: it decides, logs, and answers edges. Admission is exact because only the
holder admits and it counts what it has logged, settled or not; what the outside may rely on is
answered once settled. A store that is not the holder says who is."""

from collections import Counter
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from ledger import entries as e
from ledger import messages as m
from ledger.dealing import Dealer
from ledger.fold import Ledger, Lot
from vellum import Message, Origin, Part, encode

__all__ = ["Desk"]

_KEPT = "kept"
_PAGE_BYTES = 1 << 20
_LOT_KEEP_FACTOR = 7


def _lot_receipt(outcome: str, lotId: str, lot: Lot | None) -> m.LotReceipt:
    if lot is None:
        return m.LotReceipt(outcome=outcome, lotId=lotId, digest="", path="", total=0, finished=0, placed=0,
                            running=0, dueMs=0, ended=False)
    running = 0 if lot.ended else len(lot.claims)
    return m.LotReceipt(outcome=outcome, lotId=lotId, digest=lot.digest, path=lot.path, total=lot.total,
                        finished=lot.total - lot.left, placed=lot.placed, running=running, dueMs=lot.dueMs,
                        ended=lot.ended)


class Desk(Part):
    """`rooms` gives the waiting room of a path in the profiles in force here, or None if there is no
    such path; `whoHolds` gives the holder's epoch and address as far as this store knows."""

    __slots__ = ("_baseMs", "_dealer", "_holder", "_officeMs", "_refusedMs", "_rooms", "_settled", "_sweptMs", "_whoHolds", "counts", "mend", "shelves")
    HANDLES = (m.EdgeBeat, m.HandIn, m.ReadLot, m.ReadResults, m.EndLot, m.Finish, m.Place, m.OpenKey, m.CloseKey)

    def __init__(self, rooms: Callable[[str], int | None], whoHolds: Callable[[], tuple[int, str]],
                 settled: Callable[[], Ledger]) -> None:
        self._rooms = rooms
        self._whoHolds = whoHolds
        self._settled = settled
        self._holder: Any = None
        self._dealer: Dealer | None = None
        self._sweptMs = 0
        self._baseMs = self._officeMs = 0
        self._refusedMs: dict[str, int] = {}
        self.counts: dict[str, int] = {}
        self.shelves: Any = None
        self.mend: Callable[[str, str], None] = lambda kind, name: None

    def take_holder(self, holder: Any) -> None:
        self._holder = holder
        self._refusedMs.clear()
        self._officeMs = self.node.env.now()
        if holder is not None:
            ages = [row.atMs for rows in (holder.ledger.lots, holder.ledger.keys) for row in rows.values()]
            self._baseMs = max(ages, default=self.node.env.wall())
        self._dealer = Dealer(holder, self.node) if holder is not None else None

    def receive(self, message: Message, origin: Origin) -> None:
        if self._holder is None or self._holder.deposed:
            epoch, address = self._whoHolds()
            self.node.reply(origin, m.NotHolder(epoch=epoch, address=address))
            return
        name = type(message).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        self._on(message, origin)

    def rooms_used(self) -> dict[str, int]:
        """Open lots by path, as the holder counts them; nothing elsewhere."""
        if self._holder is None or self._holder.deposed:
            return {}
        return dict(Counter(lot.path for lot in self._holder.ledger.opened.values()))

    def _stale(self, message: Any) -> bool:
        """A stamp of another holder or of long ago: the ask may be one that was given up."""
        ageMs = self.node.env.now() - message.holderMs
        return message.epoch != self._holder.epoch or not 0 <= ageMs <= self.node.params.freshMs

    @singledispatchmethod
    def _on(self, message: Message, origin: Origin) -> None:
        raise TypeError(type(message).__name__)

    # -- lots ----------------------------------------------------------------------------------

    @_on.register
    def _(self, message: m.HandIn, origin: Origin) -> None:
        holder = self._holder
        ledger: Ledger = holder.ledger
        known = ledger.lots.get(message.lotId)
        if known is not None:
            same = known.digest == message.digest
            self._when_settled(origin, lambda ok: _lot_receipt(
                "unknown" if not ok else "known" if same else "conflict", message.lotId, known))
            return
        room = self._rooms(message.path)
        if self._stale(message) or message.holderMs <= self._refusedMs.get(message.lotId, -1):
            self.node.reply(origin, _lot_receipt("stale", message.lotId, None))
        elif room is None:
            self._when_confirmed(origin, lambda ok: _lot_receipt("noPath" if ok else "unknown", message.lotId, None))
        elif ledger.room_used(message.path) >= room:
            self._refusedMs[message.lotId] = message.holderMs
            self._when_confirmed(origin, lambda ok: _lot_receipt("noRoom" if ok else "unknown", message.lotId, None))
        else:
            entry = e.LotAdmitted(lotId=message.lotId, digest=message.digest, path=message.path, items=message.items,
                                  safe=message.safe, dueMs=self._log_ms() + message.dueMs, atMs=self._log_ms())
            taken = self._log(origin, [entry], lambda outcome: _lot_receipt(
                "admitted" if outcome == _KEPT else outcome, message.lotId, ledger.lots.get(message.lotId)))
            if not taken:
                self._refusedMs[message.lotId] = message.holderMs

    @_on.register
    def _(self, message: m.ReadLot, origin: Origin) -> None:
        self._when_confirmed(origin, lambda ok: self._lot_now(message.lotId) if ok else
                             _lot_receipt("unknown", message.lotId, None))

    def _lot_now(self, lotId: str) -> m.LotReceipt:
        lot = self._settled().lots.get(lotId)
        if lot is None and lotId in self._holder.ledger.lots:
            return _lot_receipt("unknown", lotId, None)
        return _lot_receipt("known" if lot else "missing", lotId, lot)

    @_on.register
    def _(self, message: m.ReadResults, origin: Origin) -> None:
        self._when_confirmed(origin, lambda ok: self._page(message) if ok else m.ResultsReceipt(
            outcome="unknown", rows=[], placed=0, total=0, ended=False))

    def _page(self, message: m.ReadResults) -> m.ResultsReceipt:
        lot = self._settled().lots.get(message.lotId)
        if lot is None:
            outcome = "unknown" if message.lotId in self._holder.ledger.lots else "missing"
            return m.ResultsReceipt(outcome=outcome, rows=[], placed=0, total=0, ended=False)
        if message.fromIndex > lot.total:
            return m.ResultsReceipt(outcome="beyond", rows=[], placed=lot.placed, total=lot.total, ended=lot.ended)
        rows = self._shelved(lot, message) if lot.shelf is not None else self._held(lot, message)
        if rows is None:
            self.mend("lot", lot.lotId)
            return m.ResultsReceipt(outcome="unknown", rows=[], placed=0, total=0, ended=False)
        return m.ResultsReceipt(outcome="known", rows=rows, placed=lot.placed, total=lot.total, ended=lot.ended)

    def _shelved(self, lot: Lot, message: m.ReadResults) -> list[bytes] | None:
        rows: list[bytes] = []
        while len(rows) < message.limit and sum(map(len, rows)) <= _PAGE_BYTES:
            more = self.shelves.results(lot, message.fromIndex + len(rows), message.limit - len(rows))
            if more is None:
                return None
            if not more:
                break
            rows += more
        return rows

    def _held(self, lot: Lot, message: m.ReadResults) -> list[bytes]:
        rows, sizeBytes = [], 0
        for index in range(message.fromIndex, min(lot.placed, message.fromIndex + message.limit)):
            item = lot.items[index]
            rows.append(encode(m.ResultRow(index=index, outcome=item.outcome, body=item.result)))
            sizeBytes += len(item.result)
            if sizeBytes > _PAGE_BYTES:
                break
        return rows

    @_on.register
    def _(self, message: m.EndLot, origin: Origin) -> None:
        lot = self._holder.ledger.lots.get(message.lotId)
        if lot is None:
            self._when_confirmed(origin, lambda ok: _lot_receipt("missing" if ok else "unknown", message.lotId, None))
        elif not lot.open:
            self._when_settled(origin, lambda ok: _lot_receipt("known" if ok else "unknown", message.lotId, lot))
        else:
            self._log(origin, [e.LotEnded(lotId=message.lotId, atMs=self._log_ms())],
                      lambda outcome: _lot_receipt("known" if outcome == _KEPT else outcome, message.lotId, lot),
                      urgent=True)

    # -- items ---------------------------------------------------------------------------------

    @_on.register
    def _(self, message: m.EdgeBeat, origin: Origin) -> None:
        self._dealer.beat(message, lambda receipt: self.node.reply(origin, receipt))

    @_on.register
    def _(self, message: m.Finish, origin: Origin) -> None:
        self._dealer.finish(message, lambda receipt: self.node.reply(origin, receipt))

    @_on.register
    def _(self, message: m.Place, origin: Origin) -> None:
        lot = self._holder.ledger.lots.get(message.lotId)
        may = (lot is not None and lot.open and message.epoch == lot.batonEpoch and message.edge == lot.batonEdge
               and lot.placed < message.upTo <= lot.ready)
        if not may:
            self.node.reply(origin, m.FinishReceipt(ok=False, batonEpoch=0, upTo=0))
            return
        self._log(origin, [e.ResultsPlaced(lotId=message.lotId, upTo=message.upTo, epoch=message.epoch)],
                  lambda outcome: m.FinishReceipt(ok=outcome == _KEPT, batonEpoch=0, upTo=0), urgent=True)

    # -- transactions that are not safe to repeat ------------------------------------------------

    @_on.register
    def _(self, message: m.OpenKey, origin: Origin) -> None:
        key = self._holder.ledger.keys.get(message.key)
        if key is not None and key.state != "void":
            outcome = {"open": "open", "doubt": "doubt"}.get(key.state, "recorded")
            if key.digest != message.digest:
                outcome = "conflict"
            elif key.transaction == message.transaction and key.state == "open":
                outcome = "opened"
            body = key.body if key.shelf is None or outcome != "recorded" else self.shelves.receipt(key)
            if body is None:
                self.mend("key", message.key)
                self.node.reply(origin, m.KeyReceipt(outcome="unknown", status=0, body=""))
                return
            self._when_settled(origin, lambda ok: m.KeyReceipt(
                outcome=outcome if ok else "unknown", status=key.status, body=body))
        elif self._stale(message):
            self.node.reply(origin, m.KeyReceipt(outcome="stale", status=0, body=""))
        else:
            entry = e.KeyOpened(key=message.key, digest=message.digest, edge=message.edge,
                                transaction=message.transaction, atMs=self._log_ms())
            self._log(origin, [entry], lambda outcome: m.KeyReceipt(
                outcome="opened" if outcome == _KEPT else outcome, status=0, body=""))

    @_on.register
    def _(self, message: m.CloseKey, origin: Origin) -> None:
        key = self._holder.ledger.keys.get(message.key)
        if key is None or key.transaction != message.transaction or key.state == message.state:
            self._when_settled(origin, lambda ok: m.KeyReceipt(outcome="known" if ok else "unknown", status=0, body=""))
            return
        entry = e.KeyClosed(key=message.key, transaction=message.transaction, state=message.state,
                            status=message.status, body=message.body, atMs=self._log_ms())
        self._log(origin, [entry], lambda outcome: m.KeyReceipt(
            outcome="known" if outcome == _KEPT else outcome, status=0, body=""), urgent=True)

    # -- common --------------------------------------------------------------------------------

    def _log(self, origin: Origin, rows: list[Message], make: Callable[[str], Message], urgent: bool = False) -> bool:
        """A refusal for want of room counts only if this store still was the holder when it refused."""
        def logged(outcome: str) -> None:
            if outcome == "full":
                self._holder.read(lambda ok: self.node.reply(origin, make("full" if ok else "unknown")))
            else:
                self.node.reply(origin, make(str(outcome)))

        return self._holder.append(rows, True, logged, urgent)

    def _when_settled(self, origin: Origin, make: Callable[[bool], Message]) -> None:
        self._holder.append([], True, lambda outcome: self.node.reply(origin, make(outcome == _KEPT)), True)

    def _when_confirmed(self, origin: Origin, make: Callable[[bool], Message]) -> None:
        self._holder.read(lambda ok: self.node.reply(origin, make(ok)))

    def tick(self) -> None:
        if self._dealer is None or self._holder.deposed:
            return
        self._dealer.tick()
        nowMs = self.node.env.now()
        if nowMs - self._sweptMs > self.node.params.resumeMs:
            self._sweptMs = nowMs
            floorMs = nowMs - 2 * self.node.params.freshMs
            self._refusedMs = {lotId: atMs for lotId, atMs in self._refusedMs.items() if atMs > floorMs}
            self._forget()

    def _log_ms(self) -> int:
        """The log's own time: it goes on from the newest entry and by boot time only, so that no step of
        a clock makes anything look old. Time without a holder doesn't count."""
        return self._baseMs + self.node.env.now() - self._officeMs

    def _forget(self) -> None:
        """What is over and older than the time it is kept leaves the ledger, by entries like any other."""
        floorMs = self._log_ms() - self.node.params.keepMs
        ledger = self._holder.ledger
        rows: list[Message] = [e.KeyForgotten(key=name) for name, key in ledger.keys.items() if key.atMs < floorMs]
        lotFloorMs = self._log_ms() - _LOT_KEEP_FACTOR * self.node.params.keepMs
        rows += [e.LotForgotten(lotId=lot.lotId) for lot in ledger.lots.values()
                 if not lot.open and lot.atMs < lotFloorMs]
        if rows:
            self._holder.append(rows, False, lambda outcome: None, True)
