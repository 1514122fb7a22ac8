"""Which worker was lately sent which part of a prompt, and so probably keeps it. A worker keeps a part only
together with all before it, and lets go of what was unused longest once its memory is full; this map
does the same by the tokens sent, so it is bounded as the workers' memories are."""

from collections import OrderedDict
from collections.abc import Iterable

__all__ = ["PartMap"]

_GUESS_TOKENS = 100_000


class PartMap:
    __slots__ = ("_held", "_tokens")

    def __init__(self) -> None:
        self._held: dict[str, OrderedDict[str, int]] = {}
        self._tokens: dict[str, int] = {}

    def sent(self, worker: str, parts: Iterable[tuple[str, int]], cache_tokens: int) -> None:
        held = self._held.setdefault(worker, OrderedDict())
        for part, tokens in reversed(list(parts)):
            self._tokens[worker] = self._tokens.get(worker, 0) + tokens - held.pop(part, 0)
            held[part] = tokens
        while held and self._tokens[worker] > (cache_tokens or _GUESS_TOKENS):
            _, tokens = held.popitem(last=False)
            self._tokens[worker] -= tokens

    def share(self, worker: str, parts: list[tuple[str, int]]) -> float:
        """The share of the prompt's tokens that this worker need not read again."""
        held = self._held.get(worker)
        if not held or not parts:
            return 0.0
        kept = 0
        for part, tokens in parts:
            if part not in held:
                break
            kept += tokens
        return kept / max(1, sum(tokens for _, tokens in parts))

    def forget(self, worker: str) -> None:
        self._held.pop(worker, None)
        self._tokens.pop(worker, None)
