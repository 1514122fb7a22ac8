"""Virtual time and the network. Events happen in the order of their times and of their making, so a
seed gives the same run every time. The network delays, loses and doubles messages, and cuts pairs of
hosts; a frozen host's messages wait in its buffers until it wakes, as they would on a real link."""

import heapq
import random
from collections.abc import Callable
from typing import Any

from vellum import Message

__all__ = ["Network", "VirtualTime"]

_BUFFERED = 2000


class VirtualTime:
    __slots__ = ("_count", "_heap", "nowMs", "rng")

    def __init__(self, seed: int) -> None:
        self.nowMs = 0.0
        self.rng = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, waitMs: float, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self.nowMs + max(0.0, waitMs), self._count, what))

    def run_until(self, endMs: float) -> None:
        while self._heap and self._heap[0][0] <= endMs:
            self.nowMs, _, what = heapq.heappop(self._heap)
            what()
        self.nowMs = endMs


class Network:
    __slots__ = ("_lastMs", "_time", "cutPairs", "cutHosts", "doubleRate", "hosts", "lossRate", "slowMs", "sent", "zones")

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self.hosts: dict[str, Any] = {}
        self.cutPairs: set[tuple[str, str]] = set()
        self.cutHosts: set[str] = set()
        self.lossRate = 0.0
        self.doubleRate = 0.0
        self.slowMs: dict[str, float] = {}
        self.zones: dict[str, str] = {}
        self._lastMs: dict[tuple[str, str], float] = {}
        self.sent = 0

    def cut(self, one: str, other: str) -> None:
        self.cutPairs.update(((one, other), (other, one)))

    def split(self, groups: list[list[str]]) -> None:
        for place, group in enumerate(groups):
            for other in groups[place + 1:]:
                for a in group:
                    for b in other:
                        self.cut(a, b)

    def isolate(self, address: str) -> None:
        self.cutHosts.add(address)

    def heal(self) -> None:
        self.cutPairs.clear()
        self.cutHosts.clear()
        self.lossRate = self.doubleRate = 0.0
        self.slowMs.clear()

    def passes(self, one: str, other: str) -> bool:
        if one == other:
            return True
        return (one, other) not in self.cutPairs and not self.cutHosts & {one, other}

    def delay(self, one: str, other: str) -> float:
        slowMs = self.slowMs.get(one, 0.0) + self.slowMs.get(other, 0.0)
        near = self.zones.get(one) == self.zones.get(other)
        return (0.2 if near else 1.0) + self._time.rng.random() * (0.5 if near else 1.0) + slowMs * self._time.rng.random()

    def send(self, sender: str, to: str, ref: int, re: int, message: Message) -> None:
        self.sent += 1
        rng = self._time.rng
        if not self.passes(sender, to) or (self.lossRate and sender != to and rng.random() < self.lossRate):
            return
        copies = 2 if self.doubleRate and rng.random() < self.doubleRate else 1
        for _ in range(copies):
            copy = type(message)(**message.as_dict())
            dueMs = self._time.nowMs + (self.delay(sender, to) if sender != to else 0.01)
            if copies == 1 and not self.lossRate:
                dueMs = max(dueMs, self._lastMs.get((sender, to), 0.0))
                self._lastMs[(sender, to)] = dueMs
            self._time.after(dueMs - self._time.nowMs,
                             lambda copy=copy: self._arrive(sender, to, ref, re, copy))

    def _arrive(self, sender: str, to: str, ref: int, re: int, message: Message) -> None:
        host = self.hosts.get(to)
        if host is None or not host.up or not self.passes(sender, to):
            return
        if host.frozen:
            if len(host.buffer) < _BUFFERED:
                host.buffer.append((sender, ref, re, message))
            return
        host.node.receive(sender, ref, re, message)
