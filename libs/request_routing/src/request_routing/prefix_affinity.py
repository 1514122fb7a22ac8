"""Prefix-cache affinity: which worker was lately sent which part of a prompt.

A worker caches a part only together with all parts before it, and evicts the least recently used
once its memory is full. This map does the same by the tokens sent, so it is bounded as the workers'
caches are.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from request_routing.calls import PromptPart

__all__ = ["PrefixAffinity"]

_DEFAULT_CACHE_TOKENS = 100_000


class PrefixAffinity:
    """An estimate of each worker's prompt cache: an LRU map from prompt parts to their tokens."""

    __slots__ = ("_cached", "_cached_tokens", "_workers_by_part")

    def __init__(self) -> None:
        self._cached: dict[str, OrderedDict[str, int]] = {}
        self._workers_by_part: dict[str, set[str]] = {}
        self._cached_tokens: dict[str, int] = {}

    def sent(self, worker: str, parts: Iterable[PromptPart], cache_tokens: int) -> None:
        """Record that a prompt's `parts` were sent to `worker`.

        The first parts count as used last, as they are what other prompts share. `cache_tokens` is
        the size of the worker's cache in tokens, from its profile; 0 means unknown, and a guess is
        used.
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
        """Return the share (0 to 1) of the prompt's tokens that this worker has probably cached."""
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
        """Return the workers that were sent the last part of this prompt that anybody was sent."""
        return next(
            (
                self._workers_by_part[part_id]
                for part_id, _ in reversed(parts)
                if part_id in self._workers_by_part
            ),
            set(),
        )

    def keep_only(self, workers: Iterable[str]) -> None:
        """Forget all workers but these."""
        for worker in self._cached.keys() - set(workers):
            for part_id in self._cached.pop(worker):
                self._evicted(worker, part_id)
            del self._cached_tokens[worker]

    def __len__(self) -> int:
        return sum(map(len, self._cached.values()))
