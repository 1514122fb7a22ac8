"""Live calls that wait at the edge for a slot: by deadline, and only while an estimate from what was seen
of slots and service times says that they will make it, in half of the time they have left. Who can't is
told so at once. The estimate errs on the long side where nothing was seen yet.
"""

import math
from bisect import bisect_right, insort_right
from typing import Any

__all__ = ["WaitingLine"]

_GUESS = 0.05
_KNOWN = 0.2
_SHARE = 0.5


class WaitingLine:
    __slots__ = ("_last_ms", "_rows", "_service_ms")

    def __init__(self) -> None:
        self._rows: dict[str, list[Any]] = {}
        self._service_ms: dict[str, float] = {}
        self._last_ms: dict[str, int] = {}

    def __len__(self) -> int:
        return sum(map(len, self._rows.values()))

    def served(self, path: str, took_ms: int) -> None:
        self._service_ms[path] = (
            self._service_ms.get(path, took_ms) * (1 - _KNOWN) + took_ms * _KNOWN
        )

    def seen_worker(self, path: str, now_ms: int) -> None:
        self._last_ms[path] = now_ms

    def service_ms(self, tx: Any) -> float:
        return self._service_ms.get(tx.profile.name, tx.profile.deadline_ms * _GUESS)

    def estimate_ms(self, tx: Any, before: int, slots: int, edges: int) -> float:
        """How long until a slot is free for one that has so many before it, here and alike elsewhere."""
        return math.ceil((before + 1) * edges / max(1, slots)) * self.service_ms(tx)

    def before(self, carriage: Any) -> int:
        """How many of its path are due earlier."""
        return bisect_right(
            self._rows.get(carriage.tx.profile.name, []),
            carriage.tx.due_ms,
            key=lambda row: row.tx.due_ms,
        )

    def makes_it(self, tx: Any, wait_ms: float, now_ms: int) -> bool:
        return wait_ms + self.service_ms(tx) <= _SHARE * (tx.due_ms - now_ms)

    def missed_lately(self, path: str, now_ms: int, within_ms: int) -> bool:
        """No worker now, but there was one a moment ago: another may well be on its way."""
        return now_ms - self._last_ms.get(path, -1 << 40) <= within_ms

    def add(self, carriage: Any) -> None:
        insort_right(
            self._rows.setdefault(carriage.tx.profile.name, []),
            carriage,
            key=lambda row: row.tx.due_ms,
        )

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
