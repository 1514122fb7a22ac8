"""Reads that wait until a quorum has confirmed the leader's epoch.

Each read gets a probe, a number that is sent to the followers and returned by them. A read is
confirmed once f followers have returned its probe or a later one: none of them had been fenced by a
higher epoch when the read began.
"""

from collections.abc import Callable

__all__ = ["PendingReads", "ReadCallback"]

ReadCallback = Callable[[bool], None]


class _PendingRead:
    """A read, its probe, and its start (`at_ms`) in milliseconds of the leader's clock."""

    __slots__ = ("at_ms", "done", "probe")

    def __init__(self, probe: int, at_ms: int, done: ReadCallback) -> None:
        self.probe = probe
        self.at_ms = at_ms
        self.done = done


class PendingReads:
    """The reads that wait, in the order of their probes; `last_probe` is the latest one issued."""

    __slots__ = ("_rows", "last_probe")

    def __init__(self) -> None:
        self._rows: list[_PendingRead] = []
        self.last_probe = 0

    def add(self, done: ReadCallback, at_ms: int) -> None:
        """Add a read with a new probe."""
        self.last_probe += 1
        self._rows.append(_PendingRead(self.last_probe, at_ms, done))

    def confirm(self, probe: int) -> None:
        """Complete the reads up to a probe that a quorum has returned, with True."""
        while self._rows and self._rows[0].probe <= probe:
            self._rows.pop(0).done(True)

    def expire(self, until_ms: int) -> None:
        """Fail the reads that began at `until_ms` or before, with False."""
        while self._rows and self._rows[0].at_ms <= until_ms:
            self._rows.pop(0).done(False)

    def take_all(self) -> list[ReadCallback]:
        """Remove all reads and return their callbacks."""
        rows, self._rows = self._rows, []
        return [row.done for row in rows]
