"""The queues of live requests that wait at the edge for a slot, one per route, by deadline."""

from bisect import insort_right

from request_routing.in_flight import InFlightRequest
from request_routing.lifecycle import RequestLifecycle

__all__ = ["AdmissionQueue"]


def _due_ms(request: InFlightRequest) -> int:
    return request.lifecycle.due_ms


class AdmissionQueue:
    """One queue per route, ordered by deadline."""

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        self._queues: dict[str, list[InFlightRequest]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def add(self, request: InFlightRequest) -> None:
        """Add a request to the queue of its route."""
        queue = self._queues.setdefault(_route(request.lifecycle), [])
        insort_right(queue, request, key=_due_ms)

    def remove(self, request: InFlightRequest) -> None:
        """Remove a request from the queue of its route, if it is queued."""
        route = _route(request.lifecycle)
        queue = self._queues.get(route, [])
        if request in queue:
            queue.remove(request)
            if not queue:
                del self._queues[route]

    def all(self) -> list[InFlightRequest]:
        """Return the queued requests, those of each route by deadline."""
        return [request for queue in self._queues.values() for request in queue]


def _route(lifecycle: RequestLifecycle) -> str:
    return str(lifecycle.profile.name)
