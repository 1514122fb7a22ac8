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

    def post(self, to: str, ref: int, re: int, message: Message) -> None:
        """Send a message; `ref` numbers a request and `re` the request that it answers, else 0.

        Nothing is promised about delivery.
        """
        ...

    def log(self, event: str, level: str = "INFO", **fields: Any) -> None:
        """Write a log line."""
        ...


class Origin:
    """Where a message came from: its sender's address, and the number of the request or 0."""

    __slots__ = ("ref", "sender")

    def __init__(self, sender: str, ref: int) -> None:
        self.sender = sender
        self.ref = ref


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

    def closed(self, address: str) -> None:
        """Take note that the connection from an address has ended, perhaps with its process."""

    def refused(self, address: str) -> None:
        """Take note that nothing listens at an address: its process has ended."""

    def woke(self, gap_ms: int) -> None:
        """Drop claims held in memory, because the node stood still for `gap_ms`.

        Called before any other work.
        """


class Node:
    """A set of parts with one clock, one address and one table of open requests.

    `settings` are those of the process (`runtime.settings.Settings`).
    """

    __slots__ = ("_asks", "_last_tick_ms", "_next_ref", "_paths", "env", "settings", "parts")

    def __init__(self, env: Environment, settings: Any, parts: list[Component]) -> None:
        self.env = env
        self.settings = settings
        self.parts = parts
        self._asks: dict[int, tuple[Callable, int]] = {}
        self._next_ref = env.rng.getrandbits(40) + 1
        self._last_tick_ms = env.now()
        self._paths: dict[type, Component] = {}
        for part in parts:
            part.attach(self)
            for kind in part.HANDLES:
                self._paths[kind] = part

    @property
    def address(self) -> str:
        """The address of this node, IP:PORT."""
        return self.env.address

    def post(self, to: str, message: Message) -> None:
        """Send a message that expects no answer."""
        self.env.post(to, 0, 0, message)

    def ask(
        self, to: str, message: Message, wait_ms: int, done: Callable[[Message | None], None]
    ) -> None:
        """Send a request; `done` gets the answer, or None after `wait_ms`."""
        self._next_ref += 1
        self._asks[self._next_ref] = (done, self.env.now() + wait_ms)
        self.env.post(to, self._next_ref, 0, message)

    def reply(self, origin: Origin, message: Message) -> None:
        """Answer a request; a message that was no request gets nothing."""
        if origin.ref:
            self.env.post(origin.sender, 0, origin.ref, message)

    def receive(self, sender: str, ref: int, re: int, message: Message) -> None:
        """Pass an answer to its requester, or a message to the part that handles its type."""
        self._check_frozen()
        if re:
            waiting = self._asks.pop(re, None)
            if waiting is not None:
                waiting[0](message if self.env.now() <= waiting[1] else None)
            return
        part = self._paths.get(type(message))
        if part is not None:
            part.receive(message, Origin(sender, ref))

    def tick(self) -> None:
        """Time out open requests and let each part do its periodic work."""
        self._check_frozen()
        now_ms = self.env.now()
        for ref in [ref for ref, (_, due_ms) in self._asks.items() if due_ms <= now_ms]:
            done, _ = self._asks.pop(ref)
            done(None)
        for part in self.parts:
            part.tick()

    def _check_frozen(self) -> None:
        now_ms = self.env.now()
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if gap_ms > self.settings.frozen_ms:
            self.env.log("frozen", "WARNING", gap_ms=gap_ms)
            for part in self.parts:
                part.woke(gap_ms)
