"""Prompts that workers have still to read, as all edges near here know it. Each edge tells its fellows of every
prompt that it sends, so that none of them falls upon a worker that is busy reading: streams there would
pause meanwhile. What was told wears off at the pace at which workers were seen to read.
"""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any

from messaging import Long, Message, Origin, Part, Text

__all__ = ["Readings", "Sent"]

_FORGET = 0.999
_MOST_FELLOWS = 24
_GUESS_PER_MS = 20.0


class Sent(Message):
    """A prompt of so many tokens, as far as it is not kept there, has just been sent to this worker."""

    worker: Text
    tokens: Long


class Readings(Part):
    """`fellows` gives the edges that share workers with this one, those of its own zone first."""

    __slots__ = ("_due", "_fellows", "per_ms")
    HANDLES = (Sent,)

    def __init__(self, fellows: Callable[[], Iterable[str]]) -> None:
        self._fellows = fellows
        self._due: dict[str, tuple[float, int]] = {}
        self.per_ms = _GUESS_PER_MS

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        raise TypeError(type(message).__name__)

    @receive.register
    def _(self, message: Sent, origin: Origin) -> None:
        self._add(message.worker, message.tokens)

    def sent(self, worker: str, tokens: int) -> None:
        if tokens > 0:
            self._add(worker, tokens)
            for address in list(self._fellows())[:_MOST_FELLOWS]:
                self.node.post(address, Sent(worker=worker, tokens=tokens))

    def has_read(self, tokens: int, took_ms: int) -> None:
        """The pace is that of the quickest seen, which read alone; it is slowly forgotten."""
        if tokens > 0 and took_ms > 0:
            self.per_ms = max(self.per_ms * _FORGET, min(tokens / took_ms, 2 * self.per_ms))

    def _add(self, worker: str, tokens: int) -> None:
        self._due[worker] = (self.left_tokens(worker) + tokens, self.node.env.now())

    def left_tokens(self, worker: str) -> float:
        tokens, at_ms = self._due.get(worker, (0.0, 0))
        return max(0.0, tokens - (self.node.env.now() - at_ms) * self.per_ms)

    def left_ms(self, worker: str) -> float:
        """How long the worker is thought to go on reading."""
        return self.left_tokens(worker) / self.per_ms

    def tick(self) -> None:
        for worker in [worker for worker in self._due if self.left_tokens(worker) <= 0]:
            del self._due[worker]
