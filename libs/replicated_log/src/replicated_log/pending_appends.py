"""Appends that wait for their acknowledgement."""

from collections.abc import Callable
from enum import StrEnum

__all__ = ["AppendCallback", "Outcome", "PendingAppend", "PendingAppends"]


class Outcome(StrEnum):
    """The outcome of an append.

    - ACKNOWLEDGED: a quorum has the records.
    - FULL: rejected because a disk is full; the append has no effect.
    - UNKNOWN: the records may or may not survive.
    """

    ACKNOWLEDGED = "kept"
    FULL = "full"
    UNKNOWN = "unknown"


AppendCallback = Callable[[Outcome], None]


class PendingAppend:
    """An append that waits until a quorum has its last record `seq`.

    The record has to be in the memory of the quorum or, if `durable` is set, committed, that is
    durable on f+1 disks. `at_ms` is the start of the wait in milliseconds of the leader's clock.
    """

    __slots__ = ("at_ms", "done", "durable", "seq")

    def __init__(self, seq: int, durable: bool, at_ms: int, done: AppendCallback) -> None:
        self.seq = seq
        self.durable = durable
        self.at_ms = at_ms
        self.done = done


class PendingAppends:
    """The appends that wait, in the order of their records."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows: list[PendingAppend] = []

    def __bool__(self) -> bool:
        return bool(self._rows)

    def add(self, pending: PendingAppend) -> None:
        """Add an append; its records follow those of all others."""
        self._rows.append(pending)

    def any_before(self, at_ms: int) -> bool:
        """Whether an append has waited since `at_ms` or earlier."""
        return any(pending.at_ms <= at_ms for pending in self._rows)

    def finish(self, outcome: Outcome, is_finished: Callable[[PendingAppend], bool]) -> None:
        """Remove the appends for which `is_finished` holds and report `outcome` for each."""
        finished = [pending for pending in self._rows if is_finished(pending)]
        if finished:
            self._rows = [pending for pending in self._rows if pending not in finished]
            for pending in finished:
                pending.done(outcome)

    def take_all(self) -> list[PendingAppend]:
        """Remove and return all appends."""
        rows, self._rows = self._rows, []
        return rows
