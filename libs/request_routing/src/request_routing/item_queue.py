"""The queue of batch items that are assigned to this edge and wait for a free worker."""

from collections import deque
from collections.abc import Callable
from typing import Any

from request_routing.in_flight import InFlightRequest

__all__ = ["ItemQueue"]


class ItemQueue:
    """A FIFO queue of batch items, which expire when other profiles come into force.

    Parameters
    ----------
    profiles
        Returns the profiles in force.
    """

    __slots__ = ("_profiles", "_queue", "_queued_under")

    def __init__(self, profiles: Callable[[], Any]) -> None:
        self._profiles = profiles
        self._queue: deque[InFlightRequest] = deque()
        self._queued_under: Any = None

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, request: InFlightRequest) -> None:
        """Append an item to the queue."""
        if not self._queue:
            self._queued_under = self._profiles()
        self._queue.append(request)

    def remove(self, request: InFlightRequest) -> None:
        """Remove an item, if it is queued."""
        if request in self._queue:
            self._queue.remove(request)

    def expired(self, now_ms: int) -> list[InFlightRequest]:
        """Return the items that are past their deadline at `now_ms`.

        If other profiles have come into force, the first call after that returns all items. Items
        stay in the queue until they are removed.
        """
        profiles = self._profiles()
        expired = [
            request
            for request in self._queue
            if profiles is not self._queued_under or request.lifecycle.due_ms <= now_ms
        ]
        self._queued_under = profiles
        return expired

    def first(self) -> InFlightRequest | None:
        """Return the item that was queued first, or None."""
        return self._queue[0] if self._queue else None
