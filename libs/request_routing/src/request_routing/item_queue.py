"""Batch items that an edge was assigned and that no worker has yet, in the order they came."""

from collections import deque
from collections.abc import Callable
from typing import Any

from request_routing.in_flight import InFlightRequest

__all__ = ["ItemQueue"]


class ItemQueue:
    """Waits with items until a worker is free, under the profiles they were queued with.

    `profiles` gives the profiles in force.
    """

    __slots__ = ("_profiles", "_queue", "_queued_under")

    def __init__(self, profiles: Callable[[], Any]) -> None:
        self._profiles = profiles
        self._queue: deque[InFlightRequest] = deque()
        self._queued_under: Any = None

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, request: InFlightRequest) -> None:
        """Queue an item."""
        if not self._queue:
            self._queued_under = self._profiles()
        self._queue.append(request)

    def remove(self, request: InFlightRequest) -> None:
        """Take an item out of the queue, if it is there."""
        if request in self._queue:
            self._queue.remove(request)

    def expired(self, now_ms: int) -> list[InFlightRequest]:
        """Return the items that are late, or all of them once other profiles are in force."""
        profiles = self._profiles()
        expired = [
            request
            for request in self._queue
            if profiles is not self._queued_under or request.lifecycle.due_ms <= now_ms
        ]
        self._queued_under = profiles
        return expired

    def first(self) -> InFlightRequest | None:
        """Return the item that came first, or None."""
        return self._queue[0] if self._queue else None
