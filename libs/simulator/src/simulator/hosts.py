"""Simulated machines, each with an address, a wall clock, a process and optionally a disk.

The process can be killed, frozen and restarted, the machine can lose power, and its wall clock can
be stepped.
"""

import random
from collections.abc import Callable
from typing import Any

from messaging import Message
from runtime.settings import Settings

__all__ = ["SimEnvironment", "SimHost"]

RecordEvent = Callable[[str, str, dict[str, Any]], None]
"""Called with a host's name, an event and its fields."""

BufferedMessage = tuple[str, int, int, Message]
"""The sender, `request_id`, `in_reply_to` and the message, as in `messaging.Environment.send`."""

_TICK_MS = 25.0
_WALL_CLOCK_START_MS = 1_700_000_000_000


class SimEnvironment:
    """The environment of a node (`messaging.Environment`) in virtual time."""

    __slots__ = ("_host", "address", "rng")

    def __init__(self, host: "SimHost", seed: int) -> None:
        self._host = host
        self.address = host.address
        self.rng = random.Random(seed)

    def now(self) -> int:
        """Milliseconds of the host's boot clock."""
        boot_ms: int = self._host.boot_ms
        return int(self._host.time.now_ms) + boot_ms

    def wall(self) -> int:
        """Milliseconds of the host's wall clock, including injected steps."""
        return _WALL_CLOCK_START_MS + int(self._host.time.now_ms) + self._host.wall_step_ms

    def token(self) -> str:
        """Return a random identifier of 48 bits in hexadecimal."""
        return f"{self.rng.getrandbits(48):012x}"

    def send(self, to: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Send a message over the simulated network; see `messaging.Environment.send`."""
        self._host.network.send(self.address, to, request_id, in_reply_to, message)

    def log(self, event: str, level: str = "INFO", **fields: Any) -> None:
        """Record an event of the node in the fleet's list of events; `level` is ignored."""
        self._host.trace(event, fields)


class SimHost:
    """A machine and its process; `incarnation` counts starts and kills of the process.

    `make` builds a new node at each start; `record_event` receives the events of host and node.
    """

    __slots__ = (
        "_make",
        "_record_event",
        "address",
        "boot_ms",
        "buffer",
        "deferred",
        "disk",
        "frozen",
        "incarnation",
        "name",
        "network",
        "node",
        "role",
        "settings",
        "time",
        "up",
        "wall_step_ms",
    )

    def __init__(
        self,
        name: str,
        role: str,
        address: str,
        time: Any,
        network: Any,
        settings: Settings,
        disk: Any,
        make: Callable[["SimHost", SimEnvironment], Any],
        record_event: RecordEvent,
    ) -> None:
        self.name, self.role, self.address = name, role, address
        self.time, self.network, self.settings, self.disk = time, network, settings, disk
        self._make, self._record_event = make, record_event
        self.node: Any = None
        self.up = False
        self.frozen = False
        self.buffer: list[BufferedMessage] = []
        self.deferred: list[tuple[Callable[[], None], int]] = []
        self.incarnation = 0
        self.boot_ms = time.rng.randrange(1, 10_000_000)
        self.wall_step_ms = 0
        network.hosts[address] = self

    def trace(self, event: str, fields: dict[str, Any]) -> None:
        """Record an event of this host."""
        self._record_event(self.name, event, fields)

    def start(self) -> None:
        """Start the process with a new node and the same disk; do nothing if it is running."""
        if self.up:
            return
        self.incarnation += 1
        if self.incarnation > 1 and self.settings.first_start:
            self.settings = self.settings.model_copy(update={"first_start": False})
        self.up, self.frozen = True, False
        self.buffer.clear()
        self.deferred.clear()
        if self.disk is not None:
            self.disk.bind(self)
        self.node = self._make(self, SimEnvironment(self, self.time.rng.getrandbits(48)))
        self.trace("started", {})
        self._tick(self.incarnation)

    def _tick(self, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.up:
            return
        if not self.frozen:
            self.node.tick()
        self.time.after(
            _TICK_MS * (0.9 + 0.2 * self.time.rng.random()), lambda: self._tick(incarnation)
        )

    def kill(self) -> None:
        """End the process at once; all its writes stay on disk."""
        if self.up:
            self.up = False
            self.incarnation += 1
            self.trace("killed", {})

    def lose_power(self) -> None:
        """End the process; writes that were not flushed may be lost."""
        self.kill()
        if self.disk is not None:
            self.disk.lose_power()

    def lose_disk(self) -> None:
        """End the process and wipe the disk."""
        self.kill()
        if self.disk is not None:
            self.disk.wipe()

    def freeze(self) -> None:
        """Stop the process; incoming messages and due actions are held back until it wakes."""
        if self.up:
            self.frozen = True
            self.trace("frozen-by-fault", {})

    def wake(self) -> None:
        """Resume the process, and deliver all buffered messages, then run all deferred actions.

        Half of the time the node ticks before the first of them.
        """
        if not self.up or not self.frozen:
            return
        self.frozen = False
        self.trace("woken", {})
        messages, self.buffer = self.buffer, []
        deferred, self.deferred = self.deferred, []
        if self.time.rng.random() < 0.5:
            self.node.tick()
        for sender, request_id, in_reply_to, message in messages:
            if self.up:
                self.node.receive(sender, request_id, in_reply_to, message)
        for action, incarnation in deferred:
            if incarnation == self.incarnation:
                action()

    def when_awake(self, action: Callable[[], None], incarnation: int) -> None:
        """Run `action` now, or once the process wakes if it is frozen.

        It is dropped if the process is no longer of this incarnation by then.
        """
        if self.frozen:
            self.deferred.append((action, incarnation))
        elif incarnation == self.incarnation:
            action()
