"""The framework in which sans-I/O cores run.

A node is a set of parts, each of which handles its own types of messages. The environment (Env)
provides a clock, randomness and a way to send; it is either a process or the simulator. A request
is a message with a reference number that the answer repeats.
"""

import random
from collections.abc import Callable
from typing import Any, Protocol

from messaging.message import Message

__all__ = ["Environment", "Node", "Origin", "Component"]


class Environment(Protocol):
    """What a node needs of its environment; times are in milliseconds."""

    address: str
    rng: random.Random

    def now(self) -> int:
        """Return the monotonic clock."""
        ...

    def wall(self) -> int:
        """Return the time of day since the Unix epoch, which may jump."""
        ...

    def token(self) -> str:
        """Return a short random text that is unique in practice."""
        ...

    def send(self, to: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Send a message, without any promise of delivery.

        `request_id` numbers a request; `in_reply_to` is the number of the request that the message
        answers. Each is 0 where it does not apply.
        """
        ...

    def log(self, event: str, level: str = "INFO", **fields: Any) -> None:
        """Write a log line."""
        ...


class Origin:
    """Where a message came from: its sender's address, and the number of the request or 0."""

    __slots__ = ("request_id", "sender")

    def __init__(self, sender: str, request_id: int) -> None:
        self.sender = sender
        self.request_id = request_id


class Component:
    """One concern of a node.

    HANDLES has the types of messages that `receive` takes. All methods run on one thread and must
    not block.
    """

    __slots__ = ("node",)
    HANDLES: tuple[type, ...] = ()

    def attach(self, node: "Node") -> None:
        """Bind the part to its node; called once, before anything else."""
        self.node = node

    def receive(self, message: Message, origin: Origin) -> None:
        """Handle a message of one of the types in HANDLES."""
        raise NotImplementedError(type(message).__name__)

    def tick(self) -> None:
        """Do periodic work; called every few milliseconds."""
        return None

    def connection_closed(self, address: str) -> None:
        """Take note that the connection from an address has ended, perhaps with its process."""

    def connection_refused(self, address: str) -> None:
        """Take note that nothing listens at an address: its process has ended."""

    def resumed(self, gap_ms: int) -> None:
        """Drop claims held in memory, because the node stood still for `gap_ms`.

        Called before any other work.
        """


class Node:
    """A set of parts with one clock, one address and one table of open requests.

    `settings` are those of the process (`runtime.settings.Settings`).
    """

    __slots__ = (
        "_asks",
        "_last_tick_ms",
        "_next_request_id",
        "_paths",
        "env",
        "settings",
        "components",
    )

    def __init__(self, env: Environment, settings: Any, components: list[Component]) -> None:
        self.env = env
        self.settings = settings
        self.components = components
        self._asks: dict[int, tuple[Callable, int]] = {}
        self._next_request_id = env.rng.getrandbits(40) + 1
        self._last_tick_ms = env.now()
        self._paths: dict[type, Component] = {}
        for part in components:
            part.attach(self)
            for kind in part.HANDLES:
                self._paths[kind] = part

    @property
    def address(self) -> str:
        """The address of this node, IP:PORT."""
        return self.env.address

    def send(self, to: str, message: Message) -> None:
        """Send a message that expects no answer."""
        self.env.send(to, 0, 0, message)

    def request(
        self, to: str, message: Message, timeout_ms: int, on_reply: Callable[[Any], None]
    ) -> None:
        """Send a request; `on_reply` gets the answer, or None after `timeout_ms`."""
        self._next_request_id += 1
        self._asks[self._next_request_id] = (on_reply, self.env.now() + timeout_ms)
        self.env.send(to, self._next_request_id, 0, message)

    def reply(self, origin: Origin, message: Message) -> None:
        """Answer a request; a message that was no request gets nothing."""
        if origin.request_id:
            self.env.send(origin.sender, 0, origin.request_id, message)

    def receive(self, sender: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Pass an answer to its requester, or a message to the part that handles its type."""
        self._check_frozen()
        if in_reply_to:
            waiting = self._asks.pop(in_reply_to, None)
            if waiting is not None:
                waiting[0](message if self.env.now() <= waiting[1] else None)
            return
        part = self._paths.get(type(message))
        if part is not None:
            part.receive(message, Origin(sender, request_id))

    def tick(self) -> None:
        """Time out open requests and let each part do its periodic work."""
        self._check_frozen()
        now_ms = self.env.now()
        for request_id in [
            request_id for request_id, (_, due_ms) in self._asks.items() if due_ms <= now_ms
        ]:
            on_reply, _ = self._asks.pop(request_id)
            on_reply(None)
        for part in self.components:
            part.tick()

    def _check_frozen(self) -> None:
        now_ms = self.env.now()
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if gap_ms > self.settings.freeze_threshold_ms:
            self.env.log("frozen", "WARNING", gap_ms=gap_ms)
            for part in self.components:
                part.resumed(gap_ms)
