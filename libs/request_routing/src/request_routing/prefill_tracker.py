"""Prompts that workers have still to read, as all nearby edges know it.

Each edge tells the others of every prompt that it sends, so that none of them chooses a worker that
is busy reading: its streams would pause meanwhile. What was told wears off at the pace at which
workers were seen to read.
"""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any

from messaging import Component, Message, Origin

__all__ = ["PrefillTracker", "PrefillStarted"]

_FORGET = 0.999
_MOST_FELLOWS = 24
_GUESS_PER_MS = 20.0


class PrefillStarted(Message, wire_name="Sent"):
    """A prompt was sent to this worker; `tokens` are those that it has probably not cached."""

    worker: str
    tokens: int


class PrefillTracker(Component):
    """The tokens that each worker has still to read; `per_ms` is the pace in tokens per ms.

    `fellows` gives the addresses of the edges that share workers with this one, those of its own
    zone first.
    """

    __slots__ = ("_due", "_fellows", "per_ms")
    HANDLES = (PrefillStarted,)

    def __init__(self, fellows: Callable[[], Iterable[str]]) -> None:
        self._fellows = fellows
        self._due: dict[str, tuple[float, int]] = {}
        self.per_ms = _GUESS_PER_MS

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Take a message of another edge; raises TypeError for an unknown type."""
        raise TypeError(type(message).__name__)

    @receive.register
    def _(self, message: PrefillStarted, origin: Origin) -> None:
        self._add(message.worker, message.tokens)

    def sent(self, worker: str, tokens: int) -> None:
        """Record a prompt that this edge sent, and tell the other edges."""
        if tokens > 0:
            self._add(worker, tokens)
            for address in list(self._fellows())[:_MOST_FELLOWS]:
                self.node.send(address, PrefillStarted(worker=worker, tokens=tokens))

    def has_read(self, tokens: int, took_ms: int) -> None:
        """Learn the pace from a prompt of `tokens` that took `took_ms` to be read.

        It is that of the quickest prompt seen, which was read alone, and is slowly forgotten.
        """
        if tokens > 0 and took_ms > 0:
            self.per_ms = max(self.per_ms * _FORGET, min(tokens / took_ms, 2 * self.per_ms))

    def _add(self, worker: str, tokens: int) -> None:
        self._due[worker] = (self.left_tokens(worker) + tokens, self.node.env.now())

    def left_tokens(self, worker: str) -> float:
        """Return how many tokens the worker is thought to have still to read."""
        tokens, at_ms = self._due.get(worker, (0.0, 0))
        return max(0.0, tokens - (self.node.env.now() - at_ms) * self.per_ms)

    def left_ms(self, worker: str) -> float:
        """Return for how many milliseconds the worker is thought to go on reading."""
        return self.left_tokens(worker) / self.per_ms

    def tick(self) -> None:
        """Forget the workers that have read everything."""
        for worker in [worker for worker in self._due if self.left_tokens(worker) <= 0]:
            del self._due[worker]
