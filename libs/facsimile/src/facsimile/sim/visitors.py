"""Simulated visitors and operators. Each does what its kind does: asks live, resends what is not safe
to repeat through other edges when in doubt, hands in lots and comes back for results, ends some; and
operators send changes, sometimes two at once. All they see goes into the history."""

import json
from collections.abc import Callable
from typing import Any

from catalogue import Change
from circulation import Budget, Step, Transaction
from facsimile.sim.carrying import SimCarrier
from ledger import messages as m
from readingroom.visitors import not_ready
from vellum import decode

__all__ = ["Operators", "Visitors", "tree_of"]

_PATIENCE_MS = 8000.0
ROOM = 3


def tree_of(mark: str, room: int = ROOM) -> dict[str, Any]:
    return {"profiles": {
        "base": {"abstract": True, "workers": {"labels": ["gpu"]}, "deadlineMs": 3000},
        "rulings": {"parent": "base", "deadlineMs": 2000}, "narrations": {"parent": "base"}, "moves": {"parent": "base", "repeatable": False},
        "summaries": {"parent": "base", "waitingRoom": room},
        "claims": {"parent": "base", "waitingRoom": room, "repeatable": False},
        f"mark-{mark}": {"abstract": True}}}


class Visitors:
    __slots__ = ("_budget", "_calls", "_fleet", "_history", "_rng", "_time", "lots")

    def __init__(self, fleet: Any) -> None:
        self._fleet, self._time, self._history = fleet, fleet.time, fleet.history
        self._rng = fleet.time.rng
        self._budget = Budget()
        self._calls = 0
        self.lots: dict[str, dict[str, Any]] = {}

    def _edge(self, avoid: str = "") -> Any:
        edges = [host for host in self._fleet.of("edge") if host.up and host.name != avoid]
        return self._rng.choice(edges) if edges else None

    def _at(self, host: Any, what: Callable[[], None]) -> None:
        life = host.life

        def arrive() -> None:
            if host.up and host.life == life:
                host.when_awake(what, life)

        self._time.after(1.0, arrive)

    # -- live ----------------------------------------------------------------------------------

    def live(self, path: str, key: str = "", tries: int = 1, avoid: str = "", done: Callable | None = None,
             asked: str = "") -> None:
        host = self._edge(avoid)
        if host is None:
            return
        self._calls += 1
        call = f"call{self._calls}"
        row = self._history.add("call", self._time.nowMs, call=call, path=path, key=key, edge=host.name,
                                asked=asked or key, outcome="none", verdict="", pieces=[], transaction="", body="",
                                code="", answeredMs=0.0)

        def answered(outcome: str, verdict: str, code: str = "", body: str = "") -> None:
            if row["outcome"] != "none":
                return
            row.update(outcome=outcome, verdict=verdict, code=code, body=body, answeredMs=self._time.nowMs)
            if key and verdict == "mayHaveRun" and tries > 1:
                self._time.after(200, lambda: self.live(path, key, tries - 1, host.name, asked=asked))
            if done is not None:
                done(row)

        def begin() -> None:
            node = host.node
            if node.why_unready():
                answered("error", str(not_ready("", bool(key)).verdict), "not-ready")
                return
            profile = node.tree().usable(path)
            if profile is None:
                answered("error", "notRun", "unknown-path")
                return
            tx = Transaction(node.env.token(), profile, key, node.env.now(), self._budget)
            row["transaction"] = tx.transactionId

            def ended(step: Step) -> None:
                if step.name in ("finish", "replay"):
                    answered(step.name, "ran", "", step.value[1])
                else:
                    answered("cut" if step.name == "cut" else "error", str(step.refusal.verdict), step.refusal.code)

            SimCarrier(self._fleet, host, tx, {"call": call, "path": path, "safe": profile.repeatable, "lot": "",
                                               "index": -1, "key": key, "body": asked or key}, f"{path}{self._calls % 4}", False,
                       lambda place, text: row["pieces"].append(text), ended).start()

        self._at(host, begin)
        self._time.after(_PATIENCE_MS, lambda: answered("lost", "mayHaveRun"))

    # -- lots ----------------------------------------------------------------------------------

    def hand_in(self, path: str, count: int, tries: int = 3, lotId: str = "", avoid: str = "",
                done: Callable | None = None) -> str:
        if not lotId:
            lotId = f"lot{len(self.lots) + 1}"
            self.lots[lotId] = {"path": path, "count": count, "acked": False, "results": {}, "ended": False, "done": False}
        host = self._edge(avoid)
        if host is None:
            return lotId
        row = self._history.add("hand-in", self._time.nowMs, lot=lotId, path=path, outcome="none", verdict="",
                                count=count, answeredMs=0.0)

        def answered(outcome: str, verdict: str) -> None:
            if row["outcome"] != "none":
                return
            row.update(outcome=outcome, verdict=verdict, answeredMs=self._time.nowMs)
            if outcome in ("admitted", "known"):
                if not self.lots[lotId]["acked"]:
                    self._time.after(700, lambda: self.follow(lotId, self._time.nowMs - 700))
                self.lots[lotId]["acked"] = True
            elif verdict == "mayHaveRun" and tries > 1:
                self._time.after(100, lambda: self.hand_in(path, count, tries - 1, lotId, host.name, done))
            if done is not None:
                done(row)

        def receipt(message: Any) -> None:
            outcome = message.outcome if message is not None else "unknown"
            verdicts = {"admitted": "ran", "known": "ran", "conflict": "notRun", "noRoom": "notRun", "full": "notRun",
                        "noPath": "notRun"}
            answered(outcome, verdicts.get(outcome, "mayHaveRun"))

        def begin() -> None:
            node = host.node
            profile = node.tree().usable(path)
            if node.why_unready() or profile is None:
                answered("unready", str(not_ready("", True).verdict))
                return
            life = host.life
            node.holder.ask(m.HandIn(lotId=lotId, digest=lotId, path=path, safe=profile.repeatable, epoch=0, holderMs=0,
                                     items=[f"{lotId}-{place}" for place in range(count)],
                                     dueMs=node.env.wall() + 10000), node.params.forceMs,
                            lambda message: receipt(message) if host.life == life else None)

        self._at(host, begin)
        self._time.after(_PATIENCE_MS, lambda: answered("lost", "mayHaveRun"))
        return lotId

    def follow(self, lotId: str, fromMs: float) -> None:
        """Comes back until all of the lot is listed, as a bureau would."""
        lot = self.lots[lotId]
        if lot["ended"] or lot["done"]:
            return

        def seen(message: Any) -> None:
            if message.outcome == "known" and message.placed == message.total and not message.ended and not lot["done"]:
                lot["done"] = True
                self._history.add("lot-done", self._time.nowMs, lot=lotId, fromMs=fromMs)

        self.read(lotId, seen)
        self._time.after(700, lambda: self.follow(lotId, fromMs))

    def read(self, lotId: str, done: Callable[[Any], None] | None = None) -> None:
        """Reads results from a random place on; each is remembered as it was first read."""
        host = self._edge()
        if host is None:
            return
        lot = self.lots[lotId]
        start = self._rng.choice((0, len(lot["results"])))
        life, beganMs = host.life, self._time.nowMs

        def receipt(message: Any) -> None:
            if message is None or host.life != life or not host.up:
                return
            rows = [decode(data) for data in message.rows]
            self._history.add("read", self._time.nowMs, beganMs=beganMs, lot=lotId, outcome=message.outcome, start=start,
                              listed=message.placed, total=message.total, ended=message.ended,
                              results=[(row.index, row.outcome, row.body) for row in rows])
            lot["results"].update({row.index: row.body for row in rows})
            if done is not None:
                done(message)

        self._at(host, lambda: host.node.holder.ask(
            m.ReadResults(lotId=lotId, fromIndex=start, limit=1000), host.node.params.forceMs, receipt))

    def end(self, lotId: str) -> None:
        host = self._edge()
        if host is None:
            return
        life = host.life

        def receipt(message: Any) -> None:
            if message is not None and message.outcome == "known" and host.life == life and host.up:
                host.node.lots.stop(lotId, "ended here")
                self.lots[lotId]["ended"] = True
                self._history.add("end", self._time.nowMs, lot=lotId)

        self._at(host, lambda: host.node.holder.ask(m.EndLot(lotId=lotId), host.node.params.forceMs, receipt))


class Operators:
    __slots__ = ("_fleet", "_history", "_time", "acked", "changes", "version")

    def __init__(self, fleet: Any) -> None:
        self._fleet, self._time, self._history = fleet, fleet.time, fleet.history
        self.changes = 0
        self.version = 0
        self.acked: dict[str, tuple[int, str]] = {}

    def ask_again(self, count: int) -> None:
        """The last acknowledged changes, sent once more under their ids."""
        rows = list(self.acked.items())[-count:]
        left = {mark for mark, _ in rows}

        def send(mark: str, named: int, body: str) -> None:
            def told(receipt: Any) -> None:
                if mark in left and receipt.outcome in ("ok", "lost"):
                    left.discard(mark)
                    self._history.add("final-change", self._time.nowMs, mark=mark, outcome=receipt.outcome,
                                      version=receipt.version)

            host = self._time.rng.choice(self._fleet.running("control"))
            host.node.owner.submit(Change(key="profiles", version=named, changeId=mark, body=body, hops=0), told)

        for _ in range(4):
            for mark, (named, body) in rows:
                if mark in left:
                    send(mark, named, body)
            self._fleet.run_until_true(lambda: not left, 3000)

    def change(self, tries: int = 3, mark: str = "", version: int | None = None, done: Callable | None = None) -> None:
        hosts = self._fleet.running("control")
        if not hosts:
            return
        host = self._time.rng.choice(hosts)
        if not mark:
            self.changes += 1
            mark = f"change{self.changes}"
        named = self.version if version is None else version
        row = self._history.add("change", self._time.nowMs, mark=mark, named=named, outcome="none", version=0,
                                answeredMs=0.0)
        body = json.dumps(tree_of(mark), sort_keys=True)
        life = host.life

        def answered(receipt: Any) -> None:
            if row["outcome"] != "none" or host.life != life or not host.up:
                return
            row.update(outcome=receipt.outcome, version=receipt.version, answeredMs=self._time.nowMs)
            if receipt.outcome in ("ok", "lost"):
                self.version = max(self.version, receipt.version)
                if receipt.outcome == "ok":
                    self.acked[mark] = (named, body)
            elif tries > 1:
                self._time.after(100, lambda: self.change(tries - 1, mark, named, done))
            if done is not None:
                done(row)

        def begin() -> None:
            if host.up and host.life == life:
                host.when_awake(lambda: host.node.owner.submit(
                    Change(key="profiles", version=named, changeId=mark, body=body, hops=0), answered), life)

        self._time.after(1.0, begin)
