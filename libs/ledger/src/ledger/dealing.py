"""Dealing items out to edges. A claim is in the log before the edge hears of it, settled first when
the item is not safe to repeat. An edge that falls silent loses its claims: safe items are dealt
again under a higher number, the fate of the others is unknown and is listed as that. The baton of a
lot goes to the edge that finished the next result; a lost one is issued again, higher."""

from collections.abc import Callable
from typing import Any

from ledger import entries as e
from ledger import messages as m
from ledger.fold import Lot
from vellum import Message, encode

__all__ = ["Dealer"]

_UNKNOWN_BODY = '{"error":{"verdict":"mayHaveRun","code":"edge-lost","message":"the node running this item was lost"}}'


class Dealer:
    __slots__ = ("_claimedMs", "_edges", "_holder", "_node", "_sinceMs")

    def __init__(self, holder: Any, node: Any) -> None:
        self._holder = holder
        self._node = node
        self._sinceMs = node.env.now()
        self._edges: dict[str, int] = {}
        self._claimedMs: dict[tuple[str, int], int] = {}

    def beat(self, message: m.EdgeBeat, reply: Callable[[Message], None]) -> None:
        nowMs = self._node.env.now()
        self._edges[message.edge] = nowMs
        ledger = self._holder.ledger
        self._return_unheard(message)
        stops = sorted(lotId for lotId in {row.rpartition("#")[0] for row in message.running} if self._over(lotId))
        batons = [encode(m.Baton(lotId=lot.lotId, epoch=lot.batonEpoch, upTo=lot.ready))
                  for lot in ledger.opened.values()
                  if lot.ready > lot.placed and lot.batonEdge == message.edge and lot.batonEpoch]
        for lot in list(ledger.opened.values()):
            if lot.ready > lot.placed and not self._live(lot.batonEdge):
                self._pass_baton(lot, message.edge)
        work, safeOnly = self._pick(message)
        waiting, paths = self._waiting()

        def logged(outcome: str) -> None:
            rows = work if outcome == "kept" else []
            reply(m.HolderBeat(epoch=self._holder.epoch, holderMs=self._node.env.now(),
                               work=[encode(row) for row in rows], batons=batons, stops=stops, waiting=waiting,
                               paths=paths))

        if not work:
            logged("kept")
            return
        claims = [e.ItemClaimed(lotId=row.lotId, index=row.index, edge=message.edge, number=row.number)
                  for row in work]
        self._claimedMs.update({(row.lotId, row.index): nowMs for row in work})
        self._holder.append(claims, not safeOnly, logged)

    def _over(self, lotId: str) -> bool:
        """Over for good: an edge forgets what it ran, so this has to be settled."""
        lot = self._holder.settled.lots.get(lotId)
        return not lot.open if lot is not None else lotId not in self._holder.ledger.lots

    def _waiting(self) -> tuple[int, list[str]]:
        """How many items wait, and on which paths: an edge then offers its room for these."""
        lots = self._holder.ledger.opened.values()
        return sum(lot.waiting for lot in lots), sorted({lot.path for lot in lots if lot.waiting})

    def _return_unheard(self, message: m.EdgeBeat) -> None:
        """A claim whose notice was lost: the edge doesn't list it, and would no longer take the notice."""
        nowMs = self._node.env.now()
        running = set(message.running)
        rows: list[Message] = []
        for lot in self._holder.ledger.opened.values():
            for index, item in lot.claims.items():
                if item.edge != message.edge or f"{lot.lotId}#{index}" in running:
                    continue
                if nowMs - self._claimedMs.get((lot.lotId, index), self._sinceMs) > 2 * self._node.params.askMs:
                    rows.append(e.ItemReturned(lotId=lot.lotId, index=index, number=item.number))
        if rows:
            self._holder.append(rows, False, lambda outcome: None, True)

    def _pick(self, message: m.EdgeBeat) -> tuple[list[m.Work], bool]:
        """The lots due first, as many items as the edge has room for."""
        work: list[m.Work] = []
        safeOnly = True
        if not message.room:
            return work, safeOnly
        lots = sorted(self._holder.ledger.opened.values(), key=lambda lot: (lot.dueMs, lot.atMs, lot.lotId))
        for lot in lots:
            if len(work) >= message.room:
                break
            if not lot.waiting or lot.path not in message.paths:
                continue
            for index, item in enumerate(lot.items):
                if len(work) >= message.room:
                    break
                if item.state == "waiting":
                    work.append(m.Work(lotId=lot.lotId, index=index, number=item.number + 1, path=lot.path,
                                       safe=lot.safe, body=item.body, dueMs=lot.dueMs))
                    safeOnly = safeOnly and lot.safe
        return work, safeOnly

    def finish(self, message: m.Finish, reply: Callable[[Message], None]) -> None:
        """An outcome of `again` hands a claim back: the item certainly has not run. What is not safe to
        repeat is acknowledged once settled: an edge that forgot it would make it look never begun."""
        ledger = self._holder.ledger
        lot = ledger.lots.get(message.lotId)
        self._edges[message.edge] = self._node.env.now()
        self._claimedMs.pop((message.lotId, message.index), None)
        if lot is None or lot.ended or not 0 <= message.index < len(lot.items):
            self._holder.append([], True, lambda outcome: reply(
                m.FinishReceipt(ok=outcome == "kept", batonEpoch=0, upTo=0)), True)
            return
        item = lot.items[message.index]
        rows: list[Message] = []
        if message.outcome == "again":
            if item.state == "claimed" and item.number == message.number:
                rows.append(e.ItemReturned(lotId=message.lotId, index=message.index, number=message.number))
        elif item.state != "finished":
            rows.append(e.ItemFinished(lotId=message.lotId, index=message.index, outcome=message.outcome,
                                       body=message.body, worker=message.worker))

        def logged(outcome: str) -> None:
            if outcome == "kept" and lot.open and lot.ready > lot.placed:
                if lot.batonEdge == message.edge or not self._live(lot.batonEdge) or self._finished_next(lot, message):
                    self._pass_baton(lot, message.edge)
            mine = lot.batonEdge == message.edge and lot.ready > lot.placed
            reply(m.FinishReceipt(ok=outcome == "kept", batonEpoch=lot.batonEpoch if mine else 0,
                                  upTo=lot.ready if mine else 0))

        self._holder.append(rows, not lot.safe, logged, True)

    def _finished_next(self, lot: Lot, message: m.Finish) -> bool:
        return message.index == lot.placed

    def _pass_baton(self, lot: Lot, edge: str) -> None:
        if lot.batonEdge != edge:
            self._holder.append([e.BatonPassed(lotId=lot.lotId, edge=edge, epoch=lot.batonEpoch + 1)], False,
                                lambda outcome: None, True)

    def _live(self, edge: str) -> bool:
        if not edge:
            return False
        return self._node.env.now() - self._edges.get(edge, self._sinceMs) <= self._node.params.deadMs

    def _lost(self, edge: str) -> bool:
        """Silent for longer than any edge keeps its claims, or than this holder has been in office."""
        return self._node.env.now() - self._edges.get(edge, self._sinceMs) > self._node.params.reclaimMs

    def tick(self) -> None:
        rows: list[Message] = []
        for lot in self._holder.ledger.opened.values():
            for index, item in lot.claims.items():
                if not self._lost(item.edge):
                    continue
                if lot.safe:
                    rows.append(e.ItemReturned(lotId=lot.lotId, index=index, number=item.number))
                else:
                    rows.append(e.ItemFinished(lotId=lot.lotId, index=index, outcome="mayHaveRun",
                                               body=_UNKNOWN_BODY, worker=""))
        if rows:
            self._node.env.log("claims-taken-back", "WARNING", count=len(rows))
            self._holder.append(rows, False, lambda outcome: None, True)
