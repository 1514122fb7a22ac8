"""Appends that have not been acknowledged yet."""

from collections.abc import Callable
from enum import StrEnum

__all__ = ["Outcome", "PendingAppend"]


class Outcome(StrEnum):
    """What became of an append.

    KEPT: it is acknowledged. FULL: it was refused for want of room and has no effect. UNKNOWN: it
    may or may not survive.
    """

    ACKNOWLEDGED = "kept"
    FULL = "full"
    UNKNOWN = "unknown"


class PendingAppend:
    """A caller that waits until a record is held in memory by a quorum, or settled.

    Settled means durable on f+1 disks. `at_ms` is when the wait began.
    """

    __slots__ = ("at_ms", "done", "seq", "durable")

    def __init__(
        self, seq: int, durable: bool, at_ms: int, done: Callable[[Outcome], None]
    ) -> None:
        self.seq = seq
        self.durable = durable
        self.at_ms = at_ms
        self.done = done
