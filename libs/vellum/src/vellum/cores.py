"""The frame in which cores run. A node is a set of parts, each handling its own message types by
single dispatch; the surroundings (Env) give it a clock, a way to post and a disk, and are either a
process or the simulator. Asking is posting with a number that the receipt brings back."""

import random
from collections.abc import Callable
from typing import Any, Protocol

from vellum.message import Message

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

    def woke(self, gapMs: int) -> None:
        """The node was frozen: claims held in memory are to be dropped before anything else."""


class Node:
    __slots__ = ("_asks", "_lastTickMs", "_nextRef", "_paths", "env", "params", "parts")

    def __init__(self, env: Env, params: Any, parts: list[Part]) -> None:
        self.env = env
        self.params = params
        self.parts = parts
        self._asks: dict[int, tuple[Callable, int]] = {}
        self._nextRef = env.rng.getrandbits(40) + 1
        self._lastTickMs = env.now()
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

    def ask(self, to: str, message: Message, waitMs: int, done: Callable[[Message | None], None]) -> None:
        self._nextRef += 1
        self._asks[self._nextRef] = (done, self.env.now() + waitMs)
        self.env.post(to, self._nextRef, 0, message)

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
        nowMs = self.env.now()
        for ref in [ref for ref, (_, dueMs) in self._asks.items() if dueMs <= nowMs]:
            done, _ = self._asks.pop(ref)
            done(None)
        for part in self.parts:
            part.tick()

    def _check_frozen(self) -> None:
        nowMs = self.env.now()
        gapMs = nowMs - self._lastTickMs
        self._lastTickMs = nowMs
        if gapMs > self.params.frozenMs:
            self.env.log("frozen", "WARNING", gapMs=gapMs)
            for part in self.parts:
                part.woke(gapMs)
