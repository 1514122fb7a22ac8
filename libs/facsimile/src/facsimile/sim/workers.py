"""A simulated model worker: slots, beats to any edge, a leave, and runs that send their pieces one by
one. It can crash in the middle, go dark, leave, or be replaced by another at the same address."""

from collections.abc import Callable
from typing import Any

from circulation import WorkerNews

__all__ = ["SimWorker"]

_BEAT_MS = 300.0


class SimWorker:
    __slots__ = ("_beat", "_edges", "_fleet", "address", "busy", "dark", "gone", "history", "identity", "incarnation",
                 "labels", "leaving", "pieces", "pieceMs", "slots", "time", "zone")

    def __init__(self, fleet: Any, identity: str, address: str, labels: list[str], slots: int, zone: str) -> None:
        self._fleet = fleet
        self.time, self.history = fleet.time, fleet.history
        self.identity, self.address, self.labels, self.slots, self.zone = identity, address, labels, slots, zone
        self.incarnation = int(self.time.nowMs) + 1
        self.pieces, self.pieceMs = 6, 12.0
        self.busy = 0
        self.dark = self.gone = self.leaving = False
        self._beat = 0
        self._beats()

    @property
    def stamp(self) -> str:
        return f"{self.identity}/{self.incarnation}"

    def _beats(self) -> None:
        if self.gone or self.leaving:
            return
        self._beat += 1
        if not self.dark:
            self._tell(False)
        self.time.after(_BEAT_MS * (0.9 + 0.2 * self.time.rng.random()), self._beats)

    def _tell(self, leaving: bool) -> bool:
        """To one edge after another until one takes it, as the HTTP call would."""
        edges = [host for host in self._fleet.of("edge") if host.up and not host.frozen
                 and self._fleet.network.passes(self.address, host.address)]
        if not edges:
            return False
        edge = self.time.rng.choice(edges)
        edge.node.roster.hear(WorkerNews(
            identity=self.identity, incarnation=self.incarnation, address=self.address, zone=self.zone,
            labels=self.labels, beat=self._beat, running=self.busy, waiting=0, slots=self.slots, cacheUse=0.0,
            leaving=leaving))
        return True

    def leave(self) -> None:
        self.leaving = True
        if self._tell(True):
            self.history.add("worker-left", self.time.nowMs, worker=self.stamp, how="left")

    def crash(self) -> None:
        self.gone = True
        self.history.add("worker-left", self.time.nowMs, worker=self.stamp, how="crashed")

    def call(self, stamp: str, call: dict[str, Any], reply: Callable[..., None]) -> None:
        """`reply(what, *args)`: refused, head, piece, end, lost. Nothing at all while dark."""
        if self.gone:
            reply("refused-connection")
            return
        if self.dark:
            return
        if stamp != self.stamp:
            reply("wrong-worker")
            return
        if self.busy >= 2 * self.slots or self.leaving:
            reply("busy")
            return
        self.busy += 1
        self.history.add("run", self.time.nowMs, worker=self.stamp, identity=self.identity, labels=self.labels,
                         address=self.address, asked=call.get("body", ""), **call)
        self.time.after(self.pieceMs, lambda: self._piece(call, 0, reply))

    def _piece(self, call: dict[str, Any], place: int, reply: Callable[..., None]) -> None:
        if self.gone:
            self.busy -= 1
            reply("lost")
            return
        if self.dark:
            self.time.after(50.0, lambda: self._piece(call, place, reply))
            return
        if place == 0:
            reply("head", call["transaction"])
        if place < self.pieces:
            reply("piece", place, f"{call['transaction']}:{place}")
            self.time.after(self.pieceMs * (0.5 + self.time.rng.random()), lambda: self._piece(call, place + 1, reply))
            return
        self.busy -= 1
        self.history.add("run-ended", self.time.nowMs, worker=self.stamp, transaction=call["transaction"],
                         pieces=self.pieces)
        reply("end", self.pieces)
