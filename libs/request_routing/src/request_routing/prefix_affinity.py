"""Prefix-cache affinity: which worker was recently sent which segment of a prompt.

A worker caches a segment only together with all segments before it, and evicts the least recently
used ones when its cache is full. This map does the same with the sizes of the segments that were
sent, so its size is bounded by the size of the workers' caches.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from request_routing.calls import PromptPart

__all__ = ["PrefixAffinity"]

# Assumed size of a worker's cache if the profile does not give it.
_DEFAULT_CACHE_TOKENS = 100_000


class PrefixAffinity:
    """Estimates of the workers' prompt caches: for each worker an LRU map of prompt segments."""

    __slots__ = ("_cached", "_cached_tokens", "_workers_by_part")

    def __init__(self) -> None:
        self._cached: dict[str, OrderedDict[str, int]] = {}
        self._workers_by_part: dict[str, set[str]] = {}
        self._cached_tokens: dict[str, int] = {}

    def record_prompt(self, worker: str, parts: Iterable[PromptPart], cache_tokens: int) -> None:
        """Record that a prompt was sent to a worker.

        The first segments become the most recently used ones, as other prompts share them.

        Parameters
        ----------
        worker
            Identity of the worker.
        parts
            The prompt's segments in order.
        cache_tokens
            Size of the worker's cache in tokens, from its profile; 0 if unknown, in which case a
            default is used.
        """
        cached = self._cached.setdefault(worker, OrderedDict())
        for part_id, tokens in reversed(list(parts)):
            known_tokens = cached.pop(part_id, 0)
            self._cached_tokens[worker] = self._cached_tokens.get(worker, 0) + tokens - known_tokens
            cached[part_id] = tokens
            self._workers_by_part.setdefault(part_id, set()).add(worker)
        while cached and self._cached_tokens[worker] > (cache_tokens or _DEFAULT_CACHE_TOKENS):
            part_id, tokens = cached.popitem(last=False)
            self._cached_tokens[worker] -= tokens
            self._evicted(worker, part_id)

    def _evicted(self, worker: str, part_id: str) -> None:
        workers = self._workers_by_part[part_id]
        workers.discard(worker)
        if not workers:
            del self._workers_by_part[part_id]

    def share(self, worker: str, parts: Sequence[PromptPart]) -> float:
        """Return the fraction (0 to 1) of a prompt's tokens that a worker has probably cached.

        Only the segments before the first one that is not cached count.
        """
        cached = self._cached.get(worker)
        if not cached or not parts:
            return 0.0
        cached_tokens = 0
        for part_id, tokens in parts:
            if part_id not in cached:
                break
            cached_tokens += tokens
        return cached_tokens / max(1, sum(tokens for _, tokens in parts))

    def workers_with(self, parts: Sequence[PromptPart]) -> set[str]:
        """Return the workers that have probably cached the longest known prefix of a prompt.

        These are the ones that were sent the last of its segments that was sent to any worker.
        """
        return next(
            (
                self._workers_by_part[part_id]
                for part_id, _ in reversed(parts)
                if part_id in self._workers_by_part
            ),
            set(),
        )

    def retain_workers(self, workers: Iterable[str]) -> None:
        """Remove the estimates of all workers but these."""
        for worker in self._cached.keys() - set(workers):
            for part_id in self._cached.pop(worker):
                self._evicted(worker, part_id)
            del self._cached_tokens[worker]

    def __len__(self) -> int:
        return sum(map(len, self._cached.values()))
