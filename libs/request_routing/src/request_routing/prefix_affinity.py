"""Prefix-cache affinity: which worker was lately sent which part of a prompt.

A worker caches a part only together with all parts before it, and evicts the least recently used
once its memory is full. This map does the same by the tokens sent, so it is bounded as the workers'
caches are.
"""

from collections import OrderedDict
from collections.abc import Iterable

__all__ = ["PrefixAffinity"]

_GUESS_TOKENS = 100_000


class PrefixAffinity:
    """An estimate of each worker's prompt cache: an LRU map from prompt parts to their tokens."""

    __slots__ = ("_held", "_holders", "_tokens")

    def __init__(self) -> None:
        self._held: dict[str, OrderedDict[str, int]] = {}
        self._holders: dict[str, set[str]] = {}
        self._tokens: dict[str, int] = {}

    def sent(self, worker: str, parts: Iterable[tuple[str, int]], cache_tokens: int) -> None:
        """Record that `parts` (each an id and its tokens) were sent to `worker`.

        The first parts count as used last, as they are what other prompts share. `cache_tokens` is
        the size of the worker's cache in tokens, from its profile; 0 means unknown, and a guess is
        used.
        """
        held = self._held.setdefault(worker, OrderedDict())
        for part, tokens in reversed(list(parts)):
            self._tokens[worker] = self._tokens.get(worker, 0) + tokens - held.pop(part, 0)
            held[part] = tokens
            self._holders.setdefault(part, set()).add(worker)
        while held and self._tokens[worker] > (cache_tokens or _GUESS_TOKENS):
            part, tokens = held.popitem(last=False)
            self._tokens[worker] -= tokens
            self._let_go(worker, part)

    def _let_go(self, worker: str, part: str) -> None:
        holders = self._holders[part]
        holders.discard(worker)
        if not holders:
            del self._holders[part]

    def share(self, worker: str, parts: list[tuple[str, int]]) -> float:
        """Return the share (0 to 1) of the prompt's tokens that this worker has probably cached."""
        held = self._held.get(worker)
        if not held or not parts:
            return 0.0
        kept = 0
        for part, tokens in parts:
            if part not in held:
                break
            kept += tokens
        return kept / max(1, sum(tokens for _, tokens in parts))

    def holders(self, parts: list[tuple[str, int]]) -> set[str]:
        """Return the workers that were sent the last part of this prompt that anybody was sent."""
        return next(
            (self._holders[part] for part, _ in reversed(parts) if part in self._holders), set()
        )

    def keep_only(self, workers: Iterable[str]) -> None:
        """Forget all workers but these."""
        for worker in self._held.keys() - set(workers):
            for part in self._held.pop(worker):
                self._let_go(worker, part)
            del self._tokens[worker]

    def __len__(self) -> int:
        return sum(map(len, self._held.values()))
