"""Prompts that workers have still to read (prefill), as all nearby edges know it.

Each edge tells the others of every prompt that it sends, so that none of them chooses a worker that
is busy reading: its streams would pause meanwhile. The estimate goes down at the rate at which
workers were seen to read.
"""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any

from messaging import Component, Message, Origin

__all__ = ["PrefillStarted", "PrefillTracker"]

_RATE_DECAY = 0.999
_MAX_RATE_GROWTH = 2
_MAX_PEERS = 24
_DEFAULT_TOKENS_PER_MS = 20.0


class PrefillStarted(Message, wire_name="Sent"):
    """A prompt was sent to this worker; `tokens` are those that it has probably not cached."""

    worker: str
    tokens: int


class PrefillTracker(Component):
    """The tokens that each worker has still to read, and `tokens_per_ms`, the rate of reading.

    `peers` gives the addresses of the edges that share workers with this one, those of its own zone
    first.
    """

    __slots__ = ("_peers", "_unread", "tokens_per_ms")
    HANDLES = (PrefillStarted,)

    def __init__(self, peers: Callable[[], Iterable[str]]) -> None:
        self._peers = peers
        self._unread: dict[str, tuple[float, int]] = {}
        self.tokens_per_ms = _DEFAULT_TOKENS_PER_MS

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
            for address in list(self._peers())[:_MAX_PEERS]:
                self.node.send(address, PrefillStarted(worker=worker, tokens=tokens))

    def prefill_finished(self, tokens: int, took_ms: int) -> None:
        """Learn the rate from a prompt of `tokens` that took `took_ms` to be read.

        It is that of the quickest prompt seen, which was read alone, and is slowly forgotten.
        """
        if tokens > 0 and took_ms > 0:
            seen_rate = min(tokens / took_ms, _MAX_RATE_GROWTH * self.tokens_per_ms)
            self.tokens_per_ms = max(self.tokens_per_ms * _RATE_DECAY, seen_rate)

    def _add(self, worker: str, tokens: int) -> None:
        self._unread[worker] = (self.left_tokens(worker) + tokens, self.node.env.now())

    def left_tokens(self, worker: str) -> float:
        """Return how many tokens the worker has probably still to read."""
        tokens, at_ms = self._unread.get(worker, (0.0, 0))
        return max(0.0, tokens - (self.node.env.now() - at_ms) * self.tokens_per_ms)

    def left_ms(self, worker: str) -> float:
        """Return for how many milliseconds the worker will probably go on reading."""
        return self.left_tokens(worker) / self.tokens_per_ms

    def tick(self) -> None:
        """Forget the workers that have read everything."""
        for worker in [worker for worker in self._unread if self.left_tokens(worker) <= 0]:
            del self._unread[worker]
