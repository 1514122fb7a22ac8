"""Virtual time and the network. Events happen in the order of their times and of their making, so a
seed gives the same run every time. The network delays, loses and doubles messages, and cuts pairs of
hosts; a frozen host's messages wait in its buffers until it wakes, as they would on a real link.
"""

import heapq
import random
from collections.abc import Callable
from typing import Any

from vellum import Message

__all__ = ["Network", "VirtualTime"]

_BUFFERED = 2000


class VirtualTime:
    __slots__ = ("_count", "_heap", "now_ms", "rng")

    def __init__(self, seed: int) -> None:
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, wait_ms: float, what: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self.now_ms + max(0.0, wait_ms), self._count, what))

    def run_until(self, end_ms: float) -> None:
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, what = heapq.heappop(self._heap)
            what()
        self.now_ms = end_ms


class Network:
    __slots__ = (
        "_last_ms",
        "_time",
        "cut_pairs",
        "cut_hosts",
        "double_rate",
        "hosts",
        "loss_rate",
        "slow_ms",
        "sent",
        "zones",
    )

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self.hosts: dict[str, Any] = {}
        self.cut_pairs: set[tuple[str, str]] = set()
        self.cut_hosts: set[str] = set()
        self.loss_rate = 0.0
        self.double_rate = 0.0
        self.slow_ms: dict[str, float] = {}
        self.zones: dict[str, str] = {}
        self._last_ms: dict[tuple[str, str], float] = {}
        self.sent = 0

    def cut(self, one: str, other: str) -> None:
        self.cut_pairs.update(((one, other), (other, one)))

    def split(self, groups: list[list[str]]) -> None:
        for place, group in enumerate(groups):
            for other in groups[place + 1 :]:
                for a in group:
                    for b in other:
                        self.cut(a, b)

    def isolate(self, address: str) -> None:
        self.cut_hosts.add(address)

    def heal(self) -> None:
        self.cut_pairs.clear()
        self.cut_hosts.clear()
        self.loss_rate = self.double_rate = 0.0
        self.slow_ms.clear()

    def passes(self, one: str, other: str) -> bool:
        if one == other:
            return True
        return (one, other) not in self.cut_pairs and not self.cut_hosts & {one, other}

    def delay(self, one: str, other: str) -> float:
        slow_ms = self.slow_ms.get(one, 0.0) + self.slow_ms.get(other, 0.0)
        near = self.zones.get(one) == self.zones.get(other)
        return (
            (0.2 if near else 1.0)
            + self._time.rng.random() * (0.5 if near else 1.0)
            + slow_ms * self._time.rng.random()
        )

    def send(self, sender: str, to: str, ref: int, re: int, message: Message) -> None:
        self.sent += 1
        rng = self._time.rng
        if not self.passes(sender, to) or (
            self.loss_rate and sender != to and rng.random() < self.loss_rate
        ):
            return
        copies = 2 if self.double_rate and rng.random() < self.double_rate else 1
        for _ in range(copies):
            copy = type(message)(**message.as_dict())
            due_ms = self._time.now_ms + (self.delay(sender, to) if sender != to else 0.01)
            if copies == 1 and not self.loss_rate:
                due_ms = max(due_ms, self._last_ms.get((sender, to), 0.0))
                self._last_ms[(sender, to)] = due_ms
            self._time.after(
                due_ms - self._time.now_ms,
                lambda copy=copy: self._arrive(sender, to, ref, re, copy),
            )

    def _arrive(self, sender: str, to: str, ref: int, re: int, message: Message) -> None:
        host = self.hosts.get(to)
        if host is None or not host.up or not self.passes(sender, to):
            return
        if host.frozen:
            if len(host.buffer) < _BUFFERED:
                host.buffer.append((sender, ref, re, message))
            return
        host.node.receive(sender, ref, re, message)
