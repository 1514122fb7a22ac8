"""Virtual time and the simulated network.

Events are processed in the order of their times, and events of the same time in the order of their
scheduling, so that a seed always gives the same run. The network delays, loses and duplicates
messages, and partitions hosts. Messages to a frozen host are buffered until it wakes, as in the
socket buffers of a real connection.
"""

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from messaging import Message

__all__ = ["Network", "VirtualTime"]

_BUFFER_LIMIT = 2000
"""The number of messages that are buffered for a frozen host; further ones are dropped."""


class VirtualTime:
    """The clock of a run, its random generator and its queue of events."""

    __slots__ = ("_count", "_heap", "now_ms", "rng")

    def __init__(self, seed: int) -> None:
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._count = 0

    def after(self, wait_ms: float, action: Callable[[], object]) -> None:
        """Schedule `action` in `wait_ms`; it never runs before the current event has ended."""
        self._count += 1
        heapq.heappush(self._heap, (self.now_ms + max(0.0, wait_ms), self._count, action))

    def run_until(self, end_ms: float) -> None:
        """Run all events up to `end_ms`, and advance the clock to it."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._heap)
            action()
        self.now_ms = end_ms


class Network:
    """The links between all hosts.

    Messages on a link are delivered in order unless losses or duplicates are injected. Delays are
    0.2 to 0.7 ms within a zone and 1 to 2 ms between zones, plus up to `slow_ms` of both hosts.
    `zones` has the zone of each address. `sent` counts all messages, also lost ones.
    """

    __slots__ = (
        "_last_ms",
        "duplicate_rate",
        "hosts",
        "isolated_hosts",
        "loss_rate",
        "partitioned_pairs",
        "sent",
        "slow_ms",
        "time",
        "zones",
    )

    def __init__(self, time: VirtualTime) -> None:
        self.time = time
        self.hosts: dict[str, Any] = {}
        self.partitioned_pairs: set[tuple[str, str]] = set()
        self.isolated_hosts: set[str] = set()
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.slow_ms: dict[str, float] = {}
        self.zones: dict[str, str] = {}
        self._last_ms: dict[tuple[str, str], float] = {}
        self.sent = 0

    def partition(self, one: str, other: str) -> None:
        """Drop all messages between two hosts, in both directions."""
        self.partitioned_pairs.update(((one, other), (other, one)))

    def split(self, groups: list[list[str]]) -> None:
        """Drop all messages between hosts that are in different groups."""
        for index, group in enumerate(groups):
            for other_group in groups[index + 1 :]:
                for one in group:
                    for other in other_group:
                        self.partition(one, other)

    def isolate(self, address: str) -> None:
        """Drop all messages to and from a host."""
        self.isolated_hosts.add(address)

    def heal(self) -> None:
        """Undo all partitions, losses, duplicates and added delays."""
        self.partitioned_pairs.clear()
        self.isolated_hosts.clear()
        self.loss_rate = self.duplicate_rate = 0.0
        self.slow_ms.clear()

    def passes(self, one: str, other: str) -> bool:
        """Return whether two addresses are connected, that is neither partitioned nor isolated."""
        if one == other:
            return True
        return (one, other) not in self.partitioned_pairs and not self.isolated_hosts & {one, other}

    def delay(self, one: str, other: str) -> float:
        """Draw the delay of a message in milliseconds."""
        slow_ms = self.slow_ms.get(one, 0.0) + self.slow_ms.get(other, 0.0)
        same_zone = self.zones.get(one) == self.zones.get(other)
        return (
            (0.2 if same_zone else 1.0)
            + self.time.rng.random() * (0.5 if same_zone else 1.0)
            + slow_ms * self.time.rng.random()
        )

    def send(
        self, sender: str, to: str, request_id: int, in_reply_to: int, message: Message
    ) -> None:
        """Send a copy of a message, subject to the network's faults.

        It is also dropped if the hosts are no longer connected at its delivery, or if the
        receiver's process is down then.
        """
        self.sent += 1
        rng = self.time.rng
        if not self.passes(sender, to) or (
            self.loss_rate and sender != to and rng.random() < self.loss_rate
        ):
            return
        copies = 2 if self.duplicate_rate and rng.random() < self.duplicate_rate else 1
        for _ in range(copies):
            copy = type(message)(**message.as_dict())
            due_ms = self.time.now_ms + (self.delay(sender, to) if sender != to else 0.01)
            if copies == 1 and not self.loss_rate:
                due_ms = max(due_ms, self._last_ms.get((sender, to), 0.0))
                self._last_ms[(sender, to)] = due_ms
            self.time.after(
                due_ms - self.time.now_ms,
                partial(self._arrive, sender, to, request_id, in_reply_to, copy),
            )

    def _arrive(
        self, sender: str, to: str, request_id: int, in_reply_to: int, message: Message
    ) -> None:
        host = self.hosts.get(to)
        if host is None or not host.up or not self.passes(sender, to):
            return
        if host.frozen:
            if len(host.buffer) < _BUFFER_LIMIT:
                host.buffer.append((sender, request_id, in_reply_to, message))
            return
        host.node.receive(sender, request_id, in_reply_to, message)
