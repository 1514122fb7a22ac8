"""Estimates of the prompt tokens that workers have still to process (prefill).

Each edge notifies nearby edges of every prompt that it sends, so that none of them chooses a worker
that is busy with prefill: streams at such a worker pause meanwhile. The estimates decline at the
prefill rate that was observed.
"""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any

from messaging import Component, Message, Origin

__all__ = ["PrefillStarted", "PrefillTracker"]

# Factor by which the rate declines with each observation of a slower prompt.
_RATE_DECAY = 0.999
# Factor by which one observation may raise the rate at most.
_MAX_RATE_GROWTH = 2
_MAX_PEERS = 24
_DEFAULT_TOKENS_PER_MS = 20.0


class PrefillStarted(Message, wire_name="Sent"):
    """Notifies edges that a prompt was sent to a worker.

    `tokens` is the number of its tokens that the worker has probably not cached.
    """

    worker: str
    tokens: int


class PrefillTracker(Component):
    """Estimates for each worker the prompt tokens that it has still to process.

    `tokens_per_ms` is the estimated prefill rate of a worker.

    Parameters
    ----------
    peers
        Returns the addresses of the edges that share workers with this one, those of its own zone
        first. Only the first 24 are notified.
    """

    __slots__ = ("_peers", "_pending", "tokens_per_ms")
    HANDLES = (PrefillStarted,)

    def __init__(self, peers: Callable[[], Iterable[str]]) -> None:
        self._peers = peers
        self._pending: dict[str, tuple[float, int]] = {}
        self.tokens_per_ms = _DEFAULT_TOKENS_PER_MS

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle a message of another edge; raises TypeError for an unknown type."""
        raise TypeError(f"expected PrefillStarted, got {type(message).__name__}")

    @receive.register
    def _(self, message: PrefillStarted, origin: Origin) -> None:
        self._add(message.worker, message.tokens)

    def record_prompt(self, worker: str, tokens: int) -> None:
        """Record that this edge sent a prompt to a worker, and notify the other edges.

        `tokens` is the number of its tokens that the worker has probably not cached; 0 is ignored.
        """
        if tokens > 0:
            self._add(worker, tokens)
            for address in list(self._peers())[:_MAX_PEERS]:
                self.node.send(address, PrefillStarted(worker=worker, tokens=tokens))

    def prefill_finished(self, tokens: int, took_ms: int) -> None:
        """Update the prefill rate from a prompt of `tokens` that took `took_ms` milliseconds.

        The rate is that of the fastest prompt observed, which the worker processed alone. It decays
        slowly with each further observation.
        """
        if tokens > 0 and took_ms > 0:
            seen_rate = min(tokens / took_ms, _MAX_RATE_GROWTH * self.tokens_per_ms)
            self.tokens_per_ms = max(self.tokens_per_ms * _RATE_DECAY, seen_rate)

    def _add(self, worker: str, tokens: int) -> None:
        self._pending[worker] = (self.left_tokens(worker) + tokens, self.node.env.now())

    def left_tokens(self, worker: str) -> float:
        """Return the estimated number of prompt tokens that a worker has still to process."""
        tokens, at_ms = self._pending.get(worker, (0.0, 0))
        return max(0.0, tokens - (self.node.env.now() - at_ms) * self.tokens_per_ms)

    def left_ms(self, worker: str) -> float:
        """Return for how many milliseconds a worker is expected to process prompts."""
        return self.left_tokens(worker) / self.tokens_per_ms

    def tick(self) -> None:
        """Remove the workers that are expected to have processed all prompts."""
        for worker in [worker for worker in self._pending if self.left_tokens(worker) <= 0]:
            del self._pending[worker]
