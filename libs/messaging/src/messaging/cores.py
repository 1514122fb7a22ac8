"""The frame in which cores run. A node is a set of parts, each handling its own message types by
single dispatch; the surroundings (Env) give it a clock, a way to post and a disk, and are either a
process or the simulator. Asking is posting with a number that the receipt brings back.
"""

import random
from collections.abc import Callable
from typing import Any, Protocol

from messaging.message import Message

__all__ = ["Env", "Node", "Origin", "Part"]


class Env(Protocol):
    address: str
    rng: random.Random

    def now(self) -> int: ...
    def wall(self) -> int: ...
    def token(self) -> str: ...
    def post(self, to: str, ref: int, re: int, message: Message) -> None: ...
    def log(self, event: str, level: str = "INFO", **fields: Any) -> None: ...


class Origin:
    __slots__ = ("ref", "sender")

    def __init__(self, sender: str, ref: int) -> None:
        self.sender = sender
        self.ref = ref


class Part:
    """One concern of a node. HANDLES names the message types that receive() dispatches on."""

    __slots__ = ("node",)
    HANDLES: tuple[type, ...] = ()

    def attach(self, node: "Node") -> None:
        self.node = node

    def receive(self, message: Message, origin: Origin) -> None:
        raise NotImplementedError(type(message).__name__)

    def tick(self) -> None:
        return None

    def closed(self, address: str) -> None:
        """The connection from there has ended: its process may have."""

    def refused(self, address: str) -> None:
        """Nothing listens there: its process has ended."""

    def woke(self, gap_ms: int) -> None:
        """The node was frozen: claims held in memory are to be dropped before anything else."""


class Node:
    __slots__ = ("_asks", "_last_tick_ms", "_next_ref", "_paths", "env", "params", "parts")

    def __init__(self, env: Env, params: Any, parts: list[Part]) -> None:
        self.env = env
        self.params = params
        self.parts = parts
        self._asks: dict[int, tuple[Callable, int]] = {}
        self._next_ref = env.rng.getrandbits(40) + 1
        self._last_tick_ms = env.now()
        self._paths: dict[type, Part] = {}
        for part in parts:
            part.attach(self)
            for kind in part.HANDLES:
                self._paths[kind] = part

    @property
    def address(self) -> str:
        return self.env.address

    def post(self, to: str, message: Message) -> None:
        self.env.post(to, 0, 0, message)

    def ask(
        self, to: str, message: Message, wait_ms: int, done: Callable[[Message | None], None]
    ) -> None:
        self._next_ref += 1
        self._asks[self._next_ref] = (done, self.env.now() + wait_ms)
        self.env.post(to, self._next_ref, 0, message)

    def reply(self, origin: Origin, message: Message) -> None:
        if origin.ref:
            self.env.post(origin.sender, 0, origin.ref, message)

    def receive(self, sender: str, ref: int, re: int, message: Message) -> None:
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
        if gap_ms > self.params.frozen_ms:
            self.env.log("frozen", "WARNING", gap_ms=gap_ms)
            for part in self.parts:
                part.woke(gap_ms)
