"""Drives the chart of a transaction in the simulator, as the edge's carrier does in a process: the
same chart, placement, roster and holder's client; only sockets are replaced by the network."""

import math
from collections.abc import Callable
from typing import Any

from circulation import Budget, Step, Transaction, choose
from colophon import Verdict
from ledger import messages as m

__all__ = ["SimCarrier", "SimItems"]


class SimCarrier:
    """One transaction from begin to its last step; `piece` gets what is delivered, `done` the step."""

    __slots__ = ("_call", "_done", "_fleet", "_host", "_life", "_lot", "_node", "_piece", "_prefix", "_send", "_sending", "_texts",
                 "stopped", "tx")

    def __init__(self, fleet: Any, host: Any, tx: Transaction, call: dict[str, Any], prefix: str, lot: bool,
                 piece: Callable[[int, str], None] | None, done: Callable[[Step], None]) -> None:
        self._fleet, self._host, self._node, self._life = fleet, host, host.node, host.life
        self.tx, self._call, self._prefix, self._lot = tx, call, prefix, lot
        self._piece, self._done = piece, done
        self._send = 0
        self._sending: Any = None
        self._texts: list[str] = []
        self.stopped = False

    def start(self) -> None:
        self._step(self.tx.begin())

    def stop(self) -> None:
        """The edge drops the item; the connection to the worker is closed."""
        self.stopped = True
        if self._sending is not None:
            self._sending.sending -= 1
            self._sending = None

    def _alive(self) -> bool:
        return self._host.up and self._host.life == self._life and not self.stopped

    def _step(self, step: Step) -> None:
        tx = self.tx
        if step.name == "open":
            self._node.holder.ask(m.OpenKey(key=tx.key, digest=str(self._call.get("body", "")),
                                            edge=self._node.lots.edge, transaction=tx.transactionId, epoch=0,
                                            holderMs=0),
                                  max(100, tx.dueMs - self._node.env.now()), self._opened)
        elif step.name == "place":
            self._place()
        elif step.name == "send":
            self._begin_send(step.value)
        elif step.name == "close":
            status, body = step.value if step.value is not None else (0, "")
            self._node.holder.ask(m.CloseKey(key=tx.key, transaction=tx.transactionId, state=step.closeAs,
                                             status=status, body=body), self._node.params.askMs * 2,
                                  lambda receipt: self._step(tx.closed()) if self._alive() else None)
        else:
            self._done(step)

    def _opened(self, receipt: Any) -> None:
        if not self._alive():
            return
        if receipt is None:
            self._step(self.tx.open_receipt("unknown"))
        else:
            self._step(self.tx.open_receipt(receipt.outcome, receipt.status, receipt.body))

    def _place(self) -> None:
        tx, params = self.tx, self._node.params
        workers = [worker for worker in self._node.roster.workers() if tx.profile.allows(worker.identity, worker.labels)]
        share = params.liveShare if self._lot else 1 - tx.profile.liveShare
        worker = choose(workers, self._prefix, self._lot, params.zone, tx.profile.zone == "near", share,
                        tx.profile.lotShare, frozenset(tx.avoid))
        self._step(tx.placed(worker, bool(workers)))

    def _begin_send(self, worker: Any) -> None:
        self._send += 1
        number = self._send
        worker.sending += 1
        self._sending = worker
        self._texts = []
        fleet, time = self._fleet, self._fleet.time
        state = {"over": False}

        def over(mayHaveRun: bool, reason: str, failed: bool = False) -> None:
            if state["over"] or number != self._send:
                return
            state["over"] = True
            if not self._alive():
                return
            worker.sending -= 1
            self._sending = None
            if failed:
                self._node.roster.connection_failed(worker)
            self._step(self.tx.failed(worker.stamp, mayHaveRun, reason, self._node.env.now()))

        def reply(what: str, *args: Any) -> None:
            if fleet.network.passes(worker.address, self._host.address):
                delayMs = fleet.network.delay(worker.address, self._host.address)
                time.after(delayMs, lambda: self._host.when_awake(lambda: arrived(what, *args), self._life))

        def arrived(what: str, *args: Any) -> None:
            if state["over"] or not self._alive():
                return
            if what == "refused-connection":
                over(False, what, True)
            elif what == "wrong-worker":
                self._node.roster.mismatched(worker)
                over(False, what)
            elif what == "busy":
                over(False, what)
            elif what == "lost":
                over(True, what, True)
            elif what == "head":
                self.tx.begun()
            elif what == "piece":
                self._take_piece(*args)
            elif len(self._texts) != args[0]:
                over(True, "not whole")
            else:
                state["over"] = True
                worker.sending -= 1
                self._sending = None
                self._step(self.tx.ended(200, "|".join(self._texts)))

        target = fleet.worker_at(worker.address)
        leftMs = max(1, self.tx.dueMs - self._node.env.now())
        time.after(leftMs, lambda: self._host.when_awake(lambda: over(True, "deadline"), self._life))
        if target is None or not fleet.network.passes(self._host.address, worker.address):
            time.after(min(leftMs, 300), lambda: over(False, "no connection", True))
            return
        def watch() -> None:
            if state["over"] or number != self._send or not self._alive():
                return
            if self.tx.safe and not self.tx.delivered and self._node.roster.silent(worker):
                over(True, "worker silent")
            else:
                time.after(100, lambda: self._host.when_awake(watch, self._life))

        watch()
        stamp, call = worker.stamp, {**self._call, "transaction": self.tx.transactionId}
        self._fleet.history.add("send", time.nowMs, worker=stamp, transaction=self.tx.transactionId)
        time.after(fleet.network.delay(self._host.address, worker.address), lambda: target.call(stamp, call, reply))

    def _take_piece(self, place: int, text: str) -> None:
        if place != len(self._texts):
            return
        self._texts.append(text)
        if self._piece is not None:
            self.tx.piece_delivered()
            self._piece(place, text)


class SimItems:
    """Runs the items that one edge was dealt."""

    __slots__ = ("_budgets", "_fleet", "_host")

    def __init__(self, fleet: Any, host: Any) -> None:
        self._fleet, self._host = fleet, host
        self._budgets: dict[str, Budget] = {}

    def room(self) -> tuple[int, frozenset[str]]:
        node = self._host.node
        if node.why_unready():
            return 0, frozenset()
        workers = node.roster.workers()
        free = sum(max(0, worker.slots - math.ceil(worker.slots * node.params.liveShare) - worker.weight)
                   for worker in workers)
        paths = node.tree().served_by(frozenset((worker.identity, worker.labels) for worker in workers))
        return math.ceil(free / max(1, len(self._fleet.of("edge")))), paths

    def start(self, work: Any, done: Callable[[str, str, str], None]) -> Callable[[], None]:
        node, life = self._host.node, self._host.life
        profile = node.tree().usable(work.path)
        if profile is None:
            done("again", "", "")
            return lambda: None
        tx = Transaction(f"{node.env.token()}-{work.lotId}-{work.index}", profile, "", node.env.now(),
                         self._budgets.setdefault(work.path, Budget()), node.env.now() + 4000, claimed=True)
        tx.safe = work.safe

        def ended(step: Step) -> None:
            if step.name == "finish":
                done("ran", step.value[1], "")
            elif step.refusal.verdict is Verdict.NOT_RUN or work.safe:
                self._fleet.time.after(200, lambda: self._host.when_awake(lambda: done("again", "", ""), life))
            else:
                done("mayHaveRun", "unknown", "")

        carrier = SimCarrier(self._fleet, self._host, tx, {
            "call": f"item:{work.lotId}:{work.index}", "path": work.path, "safe": work.safe, "lot": work.lotId,
            "index": work.index, "key": ""}, work.body, True, None, ended)
        carrier.start()

        return carrier.stop
