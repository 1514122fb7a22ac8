"""Live calls that wait at the edge for a slot: by deadline, and only while an estimate from what was seen
of slots and service times says that they will make it, in half of the time they have left. Who can't is
told so at once. The estimate errs on the long side where nothing was seen yet."""

import math
from bisect import bisect_right, insort_right
from typing import Any

__all__ = ["WaitingLine"]

_GUESS = 0.05
_KNOWN = 0.2
_SHARE = 0.5


class WaitingLine:
    __slots__ = ("_lastMs", "_rows", "_serviceMs")

    def __init__(self) -> None:
        self._rows: dict[str, list[Any]] = {}
        self._serviceMs: dict[str, float] = {}
        self._lastMs: dict[str, int] = {}

    def __len__(self) -> int:
        return sum(map(len, self._rows.values()))

    def served(self, path: str, tookMs: int) -> None:
        self._serviceMs[path] = self._serviceMs.get(path, tookMs) * (1 - _KNOWN) + tookMs * _KNOWN

    def seen_worker(self, path: str, nowMs: int) -> None:
        self._lastMs[path] = nowMs

    def serviceMs(self, tx: Any) -> float:
        return self._serviceMs.get(tx.profile.name, tx.profile.deadlineMs * _GUESS)

    def estimate_ms(self, tx: Any, before: int, slots: int, edges: int) -> float:
        """How long until a slot is free for one that has so many before it, here and alike elsewhere."""
        return math.ceil((before + 1) * edges / max(1, slots)) * self.serviceMs(tx)

    def before(self, carriage: Any) -> int:
        """How many of its path are due earlier."""
        return bisect_right(self._rows.get(carriage.tx.profile.name, []), carriage.tx.dueMs, key=lambda row: row.tx.dueMs)

    def makes_it(self, tx: Any, waitMs: float, nowMs: int) -> bool:
        return waitMs + self.serviceMs(tx) <= _SHARE * (tx.dueMs - nowMs)

    def missed_lately(self, path: str, nowMs: int, withinMs: int) -> bool:
        """No worker now, but there was one a moment ago: another may well be on its way."""
        return nowMs - self._lastMs.get(path, -1 << 40) <= withinMs

    def add(self, carriage: Any) -> None:
        insort_right(self._rows.setdefault(carriage.tx.profile.name, []), carriage, key=lambda row: row.tx.dueMs)

    def drop(self, carriage: Any) -> None:
        rows = self._rows.get(carriage.tx.profile.name, [])
        if carriage in rows:
            rows.remove(carriage)
            if not rows:
                del self._rows[carriage.tx.profile.name]

    def paths(self) -> list[str]:
        return list(self._rows)

    def first(self, path: str) -> Any:
        return self._rows.get(path, [None])[0]

    def rows(self, path: str) -> list[Any]:
        return list(self._rows.get(path, []))
