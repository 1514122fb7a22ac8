"""The holder's desk: it decides, logs, and answers edges. Admission is exact because only the
holder admits and it counts what it has logged, settled or not; what the outside may rely on is
answered once settled. A store that is not the holder says who is.
"""

from collections import Counter
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from vellum import Message, Origin, Part

from ledger import entries as e
from ledger import messages as m
from ledger.dealing import Dealer
from ledger.fold import Ledger
from ledger.lots import Lot
from ledger.reading import Reading

__all__ = ["Desk"]

_KEPT = "kept"
_PAGE_BYTES = 1 << 20
_LOT_KEEP_FACTOR = 7


def _lot_receipt(outcome: str, lot_id: str, lot: Lot | None) -> m.LotReceipt:
    if lot is None:
        return m.LotReceipt(
            outcome=outcome,
            lot_id=lot_id,
            digest="",
            path="",
            total=0,
            finished=0,
            placed=0,
            running=0,
            due_ms=0,
            ended=False,
        )
    running = 0 if lot.ended else len(lot.claims)
    return m.LotReceipt(
        outcome=outcome,
        lot_id=lot_id,
        digest=lot.digest,
        path=lot.path,
        total=lot.total,
        finished=lot.total - lot.left,
        placed=lot.placed,
        running=running,
        due_ms=lot.due_ms,
        ended=lot.ended,
    )


class Desk(Part):
    """`profiles` gives number and tree of the profiles in force here; `who_holds` gives the holder's epoch
    and address as far as this store knows.
    """

    __slots__ = (
        "_base_ms",
        "_dealer",
        "_holder",
        "_office_ms",
        "_profiles",
        "_reading",
        "_refused_ms",
        "_settled",
        "_swept_ms",
        "_who_holds",
        "counts",
        "make_outlook",
        "mend",
        "shelves",
    )
    HANDLES = (
        m.EdgeBeat,
        m.RolloutBeat,
        m.RolloutHandIn,
        m.HandIn,
        m.ReadLot,
        m.ReadResults,
        m.EndLot,
        m.Finish,
        m.Place,
        m.OpenKey,
        m.CloseKey,
        m.ForwardHandIn,
        m.EndItems,
        m.ReadPage,
        m.ReadItem,
    )

    def __init__(
        self,
        profiles: Callable[[], tuple[int, Any]],
        who_holds: Callable[[], tuple[int, str]],
        settled: Callable[[], Ledger],
    ) -> None:
        self._profiles = profiles
        self._who_holds = who_holds
        self._settled = settled
        self._holder: Any = None
        self._dealer: Dealer | None = None
        self._reading: Reading | None = None
        self._swept_ms = 0
        self._base_ms = self._office_ms = 0
        self._refused_ms: dict[str, int] = {}
        self.counts: dict[str, int] = {}
        self.shelves: Any = None
        self.make_outlook: Callable[[], Any] | None = None
        self.mend: Callable[[str, str], None] = lambda kind, name: None

    def take_holder(self, holder: Any) -> None:
        """Who waits at a desk that is closed is told to go on to the next holder."""
        for part in (self._dealer, self._reading):
            if part is not None:
                part.stop(self._not_holder())
        self._holder = holder
        self._refused_ms.clear()
        self._office_ms = self.node.env.now()
        self._dealer = self._reading = None
        if holder is not None:
            ages = [
                row.at_ms
                for rows in (holder.ledger.lots, holder.ledger.keys)
                for row in rows.values()
            ]
            self._base_ms = max(ages, default=self.node.env.wall())
            self._reading = Reading(holder, self.node, self._settled, self.shelves, self.mend)
            self._dealer = Dealer(
                holder,
                self.node,
                self._log_ms,
                self._profiles,
                self._reading.wake,
                self.make_outlook() if self.make_outlook is not None else None,
            )

    def _not_holder(self) -> m.NotHolder:
        epoch, address = self._who_holds()
        return m.NotHolder(epoch=epoch, address=address)

    def receive(self, message: Message, origin: Origin) -> None:
        if self._holder is None or self._holder.deposed:
            self.node.reply(origin, self._not_holder())
            return
        name = type(message).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        self._on(message, origin)

    def rooms_used(self) -> dict[str, int]:
        """Open lots by path, as the holder counts them; nothing elsewhere."""
        if self._holder is None or self._holder.deposed:
            return {}
        return dict(
            Counter(lot.path for lot in self._holder.ledger.opened.values() if not lot.rollout)
        )

    def _stale(self, message: Any) -> bool:
        """A stamp of another holder or of long ago: the ask may be one that was given up."""
        age_ms = self.node.env.now() - message.holder_ms
        return message.epoch != self._holder.epoch or not 0 <= age_ms <= self.node.params.fresh_ms

    @singledispatchmethod
    def _on(self, message: Message, origin: Origin) -> None:
        raise TypeError(type(message).__name__)

    # -- lots ----------------------------------------------------------------------------------

    @_on.register
    def _(self, message: m.HandIn, origin: Origin) -> None:
        ledger = self._holder.ledger
        room = self._profiles()[1].room(message.path)
        if self._known(message, origin):
            return
        if self._stale(message) or message.holder_ms <= self._refused_ms.get(message.lot_id, -1):
            self.node.reply(origin, _lot_receipt("stale", message.lot_id, None))
        elif room is None:
            self._when_confirmed(
                origin,
                lambda ok: _lot_receipt("no_path" if ok else "unknown", message.lot_id, None),
            )
        elif ledger.room_used(message.path) >= room:
            self._refuse(message, origin)
        else:
            self._admit(
                message,
                origin,
                e.LotAdmitted(
                    lot_id=message.lot_id,
                    digest=message.digest,
                    path=message.path,
                    items=message.items,
                    safe=message.safe,
                    due_ms=self._log_ms() + message.due_ms,
                    at_ms=self._log_ms(),
                ),
            )

    @_on.register
    def _(self, message: m.RolloutHandIn, origin: Origin) -> None:
        """Rollouts have a waiting room of their own, so that they take none of the lots'."""
        if self._known(message, origin):
            return
        profile = self._profiles()[1].usable(message.path)
        if self._stale(message) or message.holder_ms <= self._refused_ms.get(message.lot_id, -1):
            self.node.reply(origin, _lot_receipt("stale", message.lot_id, None))
        elif profile is None or not profile.loan_share:
            self._when_confirmed(
                origin,
                lambda ok: _lot_receipt("no_path" if ok else "unknown", message.lot_id, None),
            )
        elif self._holder.ledger.rollouts_open(message.path) >= profile.rollout_room:
            self._refuse(message, origin)
        else:
            self._admit(
                message,
                origin,
                e.RolloutAdmitted(
                    lot_id=message.lot_id,
                    digest=message.digest,
                    path=message.path,
                    items=message.items,
                    samples=message.samples,
                    weights=message.weights,
                    expires_ms=self._log_ms() + message.due_ms if message.due_ms else 0,
                    at_ms=self._log_ms(),
                ),
            )

    @_on.register
    def _(self, message: m.ForwardHandIn, origin: Origin) -> None:
        """The waiting room of a forwarded lot is counted in tokens; profiles that are older here than at the
        edge refuse nothing.
        """
        if self._known(message, origin):
            return
        number, tree = self._profiles()
        profile = tree.usable(message.path)
        if self._stale(message) or message.holder_ms <= self._refused_ms.get(message.lot_id, -1):
            self.node.reply(
                origin, m.Stale(epoch=self._holder.epoch, holder_ms=self.node.env.now())
            )
        elif number < message.version:
            self.node.reply(origin, _lot_receipt("unknown", message.lot_id, None))
        elif profile is None:
            self._when_confirmed(
                origin,
                lambda ok: _lot_receipt("no_path" if ok else "unknown", message.lot_id, None),
            )
        elif not self._fits(message, profile.waiting_tokens or 0):
            self._refuse(message, origin)
        else:
            self._admit(
                message,
                origin,
                e.ForwardLotAdmitted(
                    lot_id=message.lot_id,
                    digest=message.digest,
                    path=message.path,
                    item_ids=message.item_ids,
                    tokens=message.tokens,
                    calls=message.calls,
                    attempts=message.attempts,
                    due_ms=self._log_ms() + message.due_ms,
                    expires_ms=self._log_ms() + message.keep_ms,
                    version=number,
                    at_ms=self._log_ms(),
                ),
            )

    def _fits(self, message: m.ForwardHandIn, most: int) -> bool:
        return (
            not most
            or self._holder.ledger.waiting_tokens.get(message.path, 0) + sum(message.tokens) <= most
        )

    def _known(self, message: Any, origin: Origin) -> bool:
        known = self._holder.ledger.lots.get(message.lot_id)
        if known is not None:
            same = known.digest == message.digest
            self._when_settled(
                origin,
                lambda ok: _lot_receipt(
                    "unknown" if not ok else "known" if same else "conflict", message.lot_id, known
                ),
            )
        return known is not None

    def _refuse(self, message: Any, origin: Origin) -> None:
        self._refused_ms[message.lot_id] = message.holder_ms
        self._when_confirmed(
            origin, lambda ok: _lot_receipt("no_room" if ok else "unknown", message.lot_id, None)
        )

    def _admit(self, message: Any, origin: Origin, entry: Message) -> None:
        ledger = self._holder.ledger
        taken = self._log(
            origin,
            [entry],
            lambda outcome: _lot_receipt(
                "admitted" if outcome == _KEPT else outcome,
                message.lot_id,
                ledger.lots.get(message.lot_id),
            ),
        )
        if taken and isinstance(entry, e.ForwardLotAdmitted):
            self._dealer.wake()
        elif not taken:
            self._refused_ms[message.lot_id] = message.holder_ms

    @_on.register
    def _(self, message: m.ReadLot, origin: Origin) -> None:
        self._when_confirmed(
            origin,
            lambda ok: (
                self._lot_now(message.lot_id)
                if ok
                else _lot_receipt("unknown", message.lot_id, None)
            ),
        )

    def _lot_now(self, lot_id: str) -> m.LotReceipt:
        lot = self._settled().lots.get(lot_id)
        if lot is None and lot_id in self._holder.ledger.lots:
            return _lot_receipt("unknown", lot_id, None)
        return _lot_receipt("known" if lot else "missing", lot_id, lot)

    @_on.register
    def _(self, message: m.ReadResults, origin: Origin) -> None:
        self._when_confirmed(
            origin,
            lambda ok: (
                self._page(message)
                if ok
                else m.ResultsReceipt(outcome="unknown", rows=[], placed=0, total=0, ended=False)
            ),
        )

    def _page(self, message: m.ReadResults) -> m.ResultsReceipt:
        lot = self._settled().lots.get(message.lot_id)
        if lot is None:
            outcome = "unknown" if message.lot_id in self._holder.ledger.lots else "missing"
            return m.ResultsReceipt(outcome=outcome, rows=[], placed=0, total=0, ended=False)
        if message.from_index > lot.total:
            return m.ResultsReceipt(
                outcome="beyond", rows=[], placed=lot.placed, total=lot.total, ended=lot.ended
            )
        rows = self._shelved(lot, message) if lot.shelf is not None else self._held(lot, message)
        if rows is None:
            self.mend("lot", lot.lot_id)
            return m.ResultsReceipt(outcome="unknown", rows=[], placed=0, total=0, ended=False)
        return m.ResultsReceipt(
            outcome="known", rows=rows, placed=lot.placed, total=lot.total, ended=lot.ended
        )

    def _shelved(self, lot: Lot, message: m.ReadResults) -> list[bytes] | None:
        rows: list[bytes] = []
        while len(rows) < message.limit and sum(map(len, rows)) <= _PAGE_BYTES:
            more = self.shelves.results(
                lot, message.from_index + len(rows), message.limit - len(rows)
            )
            if more is None:
                return None
            if not more:
                break
            rows += more
        return rows

    def _held(self, lot: Lot, message: m.ReadResults) -> list[bytes]:
        rows, size_bytes = [], 0
        for index in range(message.from_index, min(lot.placed, message.from_index + message.limit)):
            rows.append(lot.row(index))
            size_bytes += len(rows[-1])
            if size_bytes > _PAGE_BYTES:
                break
        return rows

    @_on.register
    def _(self, message: m.EndLot, origin: Origin) -> None:
        lot = self._holder.ledger.lots.get(message.lot_id)
        if lot is None:
            self._when_confirmed(
                origin,
                lambda ok: _lot_receipt("missing" if ok else "unknown", message.lot_id, None),
            )
        elif not lot.open:
            self._when_settled(
                origin, lambda ok: _lot_receipt("known" if ok else "unknown", message.lot_id, lot)
            )
        else:
            self._log(
                origin,
                [e.LotEnded(lot_id=message.lot_id, at_ms=self._log_ms())],
                lambda outcome: self._ended(lot, outcome),
                urgent=True,
            )

    def _ended(self, lot: Lot, outcome: str) -> m.LotReceipt:
        if self._dealer is not None and outcome == _KEPT:
            self._dealer.wake()
            self._reading.wake({lot.lot_id})
        return _lot_receipt("known" if outcome == _KEPT else outcome, lot.lot_id, lot)

    @_on.register
    def _(self, message: m.ReadPage, origin: Origin) -> None:
        self._reading.read(message, lambda receipt: self.node.reply(origin, receipt))

    @_on.register
    def _(self, message: m.ReadItem, origin: Origin) -> None:
        self._reading.item(message, lambda receipt: self.node.reply(origin, receipt))

    # -- items ---------------------------------------------------------------------------------

    @_on.register(m.EdgeBeat)
    @_on.register(m.RolloutBeat)
    def _(self, message: m.EdgeBeat | m.RolloutBeat, origin: Origin) -> None:
        self._dealer.beat(message, lambda receipt: self.node.reply(origin, receipt))

    @_on.register
    def _(self, message: m.Finish, origin: Origin) -> None:
        self._dealer.finish(message, lambda receipt: self.node.reply(origin, receipt))

    @_on.register
    def _(self, message: m.EndItems, origin: Origin) -> None:
        self._dealer.end_items(message, lambda receipt: self.node.reply(origin, receipt))

    @_on.register
    def _(self, message: m.Place, origin: Origin) -> None:
        lot = self._holder.ledger.lots.get(message.lot_id)
        may = (
            lot is not None
            and lot.open
            and message.epoch == lot.baton_epoch
            and message.edge == lot.baton_edge
            and lot.placed < message.up_to <= lot.ready
        )
        if not may:
            self.node.reply(origin, m.FinishReceipt(ok=False, baton_epoch=0, up_to=0))
            return
        self._log(
            origin,
            [e.ResultsPlaced(lot_id=message.lot_id, up_to=message.up_to, epoch=message.epoch)],
            lambda outcome: m.FinishReceipt(ok=outcome == _KEPT, baton_epoch=0, up_to=0),
            urgent=True,
        )

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
            body = (
                key.body
                if key.shelf is None or outcome != "recorded"
                else self.shelves.receipt(key)
            )
            if body is None:
                self.mend("key", message.key)
                self.node.reply(origin, m.KeyReceipt(outcome="unknown", status=0, body=""))
                return
            self._when_settled(
                origin,
                lambda ok: m.KeyReceipt(
                    outcome=outcome if ok else "unknown", status=key.status, body=body
                ),
            )
        elif self._stale(message):
            self.node.reply(origin, m.KeyReceipt(outcome="stale", status=0, body=""))
        else:
            entry = e.KeyOpened(
                key=message.key,
                digest=message.digest,
                edge=message.edge,
                transaction=message.transaction,
                at_ms=self._log_ms(),
            )
            self._log(
                origin,
                [entry],
                lambda outcome: m.KeyReceipt(
                    outcome="opened" if outcome == _KEPT else outcome, status=0, body=""
                ),
            )

    @_on.register
    def _(self, message: m.CloseKey, origin: Origin) -> None:
        key = self._holder.ledger.keys.get(message.key)
        if key is None or key.transaction != message.transaction or key.state == message.state:
            self._when_settled(
                origin,
                lambda ok: m.KeyReceipt(outcome="known" if ok else "unknown", status=0, body=""),
            )
            return
        entry = e.KeyClosed(
            key=message.key,
            transaction=message.transaction,
            state=message.state,
            status=message.status,
            body=message.body,
            at_ms=self._log_ms(),
        )
        self._log(
            origin,
            [entry],
            lambda outcome: m.KeyReceipt(
                outcome="known" if outcome == _KEPT else outcome, status=0, body=""
            ),
            urgent=True,
        )

    # -- common --------------------------------------------------------------------------------

    def _log(
        self,
        origin: Origin,
        rows: list[Message],
        make: Callable[[str], Message],
        urgent: bool = False,
    ) -> bool:
        """A refusal for want of room counts only if this store still was the holder when it refused."""

        def logged(outcome: str) -> None:
            if outcome == "full":
                self._holder.read(
                    lambda ok: self.node.reply(origin, make("full" if ok else "unknown"))
                )
            else:
                self.node.reply(origin, make(str(outcome)))

        return self._holder.append(rows, True, logged, urgent)

    def _when_settled(self, origin: Origin, make: Callable[[bool], Message]) -> None:
        self._holder.append(
            [], True, lambda outcome: self.node.reply(origin, make(outcome == _KEPT)), True
        )

    def _when_confirmed(self, origin: Origin, make: Callable[[bool], Message]) -> None:
        self._holder.read(lambda ok: self.node.reply(origin, make(ok)))

    def tick(self) -> None:
        if self._dealer is None or self._holder.deposed:
            return
        self._dealer.tick()
        self._reading.tick()
        now_ms = self.node.env.now()
        if now_ms - self._swept_ms > self.node.params.resume_ms:
            self._swept_ms = now_ms
            floor_ms = now_ms - 2 * self.node.params.fresh_ms
            self._refused_ms = {
                lot_id: at_ms for lot_id, at_ms in self._refused_ms.items() if at_ms > floor_ms
            }
            self._forget()

    def _log_ms(self) -> int:
        """The log's own time: it goes on from the newest entry and by boot time only, so that no step of
        a clock makes anything look old. Time without a holder doesn't count.
        """
        return self._base_ms + self.node.env.now() - self._office_ms

    def _forget(self) -> None:
        """What is over and older than the time it is kept leaves the ledger, by entries like any other."""
        floor_ms = self._log_ms() - self.node.params.keep_ms
        ledger = self._holder.ledger
        rows: list[Message] = [
            e.KeyForgotten(key=name) for name, key in ledger.keys.items() if key.at_ms < floor_ms
        ]
        lot_floor_ms = self._log_ms() - _LOT_KEEP_FACTOR * self.node.params.keep_ms
        rows += [
            e.LotForgotten(lot_id=lot.lot_id)
            for lot in ledger.lots.values()
            if not lot.open and lot.at_ms < lot_floor_ms
        ]
        if rows:
            self._holder.append(rows, False, lambda outcome: None, True)
