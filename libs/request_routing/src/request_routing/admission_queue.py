"""The queue of live requests that wait at the edge for a slot, in the order of their deadlines.

A request waits only while an estimate, made from the slots and service times seen, says that it
gets an answer within half of the time it has left; else it is refused at once. Where nothing was
seen yet the estimate errs on the long side.
"""

import math
from bisect import bisect_right, insort_right
from typing import Any

__all__ = ["AdmissionQueue"]

_GUESS = 0.05
_KNOWN = 0.2
_SHARE = 0.5


class AdmissionQueue:
    """One queue for each route, ordered by deadline, with the route's service time."""

    __slots__ = ("_last_ms", "_rows", "_service_ms")

    def __init__(self) -> None:
        self._rows: dict[str, list[Any]] = {}
        self._service_ms: dict[str, float] = {}
        self._last_ms: dict[str, int] = {}

    def __len__(self) -> int:
        return sum(map(len, self._rows.values()))

    def served(self, path: str, took_ms: int) -> None:
        """Record a service time, in milliseconds, into the route's running mean."""
        self._service_ms[path] = (
            self._service_ms.get(path, took_ms) * (1 - _KNOWN) + took_ms * _KNOWN
        )

    def seen_worker(self, path: str, now_ms: int) -> None:
        """Record that the route has a worker now."""
        self._last_ms[path] = now_ms

    def service_ms(self, tx: Any) -> float:
        """Return the expected service time in milliseconds."""
        return self._service_ms.get(tx.profile.name, tx.profile.deadline_ms * _GUESS)

    def estimate_ms(self, tx: Any, before: int, slots: int, edges: int) -> float:
        """Return in how many milliseconds a request with `before` others before it has a slot.

        The other edges are taken to have as many waiting.
        """
        return math.ceil((before + 1) * edges / max(1, slots)) * self.service_ms(tx)

    def before(self, carriage: Any) -> int:
        """Return how many requests of its route are due earlier."""
        return bisect_right(
            self._rows.get(carriage.tx.profile.name, []),
            carriage.tx.due_ms,
            key=lambda row: row.tx.due_ms,
        )

    def makes_it(self, tx: Any, wait_ms: float, now_ms: int) -> bool:
        """Whether a request that waits `wait_ms` is answered within its share of the time left."""
        return wait_ms + self.service_ms(tx) <= _SHARE * (tx.due_ms - now_ms)

    def missed_lately(self, path: str, now_ms: int, within_ms: int) -> bool:
        """Whether there was a worker within the last `within_ms`: another may well be starting."""
        return now_ms - self._last_ms.get(path, -1 << 40) <= within_ms

    def add(self, carriage: Any) -> None:
        """Put a request into its route's queue."""
        insort_right(
            self._rows.setdefault(carriage.tx.profile.name, []),
            carriage,
            key=lambda row: row.tx.due_ms,
        )

    def drop(self, carriage: Any) -> None:
        """Take a request out of its route's queue, if it is there."""
        rows = self._rows.get(carriage.tx.profile.name, [])
        if carriage in rows:
            rows.remove(carriage)
            if not rows:
                del self._rows[carriage.tx.profile.name]

    def paths(self) -> list[str]:
        """Return the names of the routes with a queue."""
        return list(self._rows)

    def first(self, path: str) -> Any:
        """Return the request that is due first, or None."""
        return self._rows.get(path, [None])[0]

    def rows(self, path: str) -> list[Any]:
        """Return a route's queue, earliest deadline first."""
        return list(self._rows.get(path, []))
