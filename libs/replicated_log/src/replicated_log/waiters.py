"""Appends that have not been acknowledged yet."""

from collections.abc import Callable
from enum import StrEnum

__all__ = ["Outcome", "Waiter"]


class Outcome(StrEnum):
    """What became of an append."""

    KEPT = "kept"
    FULL = "full"
    UNKNOWN = "unknown"


class Waiter:
    """Who waits for a record to be held by enough stores, or settled."""

    __slots__ = ("at_ms", "done", "seq", "settled")

    def __init__(
        self, seq: int, settled: bool, at_ms: int, done: Callable[[Outcome], None]
    ) -> None:
        self.seq = seq
        self.settled = settled
        self.at_ms = at_ms
        self.done = done
