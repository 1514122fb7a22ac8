"""Appends that have not been acknowledged yet."""

from collections.abc import Callable
from enum import StrEnum

__all__ = ["AppendCallback", "Outcome", "PendingAppend", "PendingAppends"]


class Outcome(StrEnum):
    """What became of an append.

    ACKNOWLEDGED: it is on a quorum. FULL: it was refused for want of space and has no effect.
    UNKNOWN: it may or may not survive.
    """

    ACKNOWLEDGED = "kept"
    FULL = "full"
    UNKNOWN = "unknown"


AppendCallback = Callable[[Outcome], None]


class PendingAppend:
    """A caller that waits until a record is in the memory of a quorum or, if `durable`, committed.

    Committed means durable on f+1 disks. `at_ms` is when the wait began.
    """

    __slots__ = ("at_ms", "done", "durable", "seq")

    def __init__(self, seq: int, durable: bool, at_ms: int, done: AppendCallback) -> None:
        self.seq = seq
        self.durable = durable
        self.at_ms = at_ms
        self.done = done


class PendingAppends:
    """The callers that wait, in the order of their appends."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows: list[PendingAppend] = []

    def __bool__(self) -> bool:
        return bool(self._rows)

    def add(self, pending: PendingAppend) -> None:
        """Add the latest append."""
        self._rows.append(pending)

    def any_before(self, at_ms: int) -> bool:
        """Whether an append has waited since `at_ms` or longer."""
        return any(pending.at_ms <= at_ms for pending in self._rows)

    def finish(self, outcome: Outcome, is_finished: Callable[[PendingAppend], bool]) -> None:
        """Give an outcome to the appends that are finished; they no longer wait then."""
        finished = [pending for pending in self._rows if is_finished(pending)]
        if finished:
            self._rows = [pending for pending in self._rows if pending not in finished]
            for pending in finished:
                pending.done(outcome)

    def take_all(self) -> list[PendingAppend]:
        """Return all appends; nobody waits after that."""
        rows, self._rows = self._rows, []
        return rows
