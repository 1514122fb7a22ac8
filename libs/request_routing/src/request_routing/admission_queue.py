"""The queue of live requests that wait at the edge for a slot, in the order of their deadlines.

A request waits only while an estimate, made from the slots and service times seen, says that it
gets an answer within half of the time it has left; else it is refused at once. Where nothing was
seen yet the estimate errs on the long side.
"""

import math
from bisect import bisect_right, insort_right

from request_routing.in_flight import InFlightRequest
from request_routing.lifecycle import RequestLifecycle
from request_routing.worker import NEVER_MS

__all__ = ["AdmissionQueue"]

_DEFAULT_SERVICE_SHARE = 0.05
_NEWEST_WEIGHT = 0.2
_WAIT_SHARE = 0.5


def _due_ms(request: InFlightRequest) -> int:
    return request.lifecycle.due_ms


class AdmissionQueue:
    """One queue for each route, ordered by deadline, with the route's service time."""

    __slots__ = ("_queues", "_service_ms", "_worker_seen_ms")

    def __init__(self) -> None:
        self._queues: dict[str, list[InFlightRequest]] = {}
        self._service_ms: dict[str, float] = {}
        self._worker_seen_ms: dict[str, int] = {}

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    # -- the queues ----------------------------------------------------------------------------

    def add(self, request: InFlightRequest) -> None:
        """Put a request into its route's queue."""
        queue = self._queues.setdefault(_route(request.lifecycle), [])
        insort_right(queue, request, key=_due_ms)

    def remove(self, request: InFlightRequest) -> None:
        """Take a request out of its route's queue, if it is there."""
        route = _route(request.lifecycle)
        queue = self._queues.get(route, [])
        if request in queue:
            queue.remove(request)
            if not queue:
                del self._queues[route]

    def position(self, request: InFlightRequest) -> int:
        """Return how many requests of its route are due earlier."""
        queue = self._queues.get(_route(request.lifecycle), [])
        return bisect_right(queue, _due_ms(request), key=_due_ms)

    def routes(self) -> list[str]:
        """Return the names of the routes with a queue."""
        return list(self._queues)

    def requests(self, route: str) -> list[InFlightRequest]:
        """Return a route's queue, earliest deadline first."""
        return list(self._queues.get(route, []))

    # -- the estimate --------------------------------------------------------------------------

    def add_service_time(self, route: str, took_ms: int) -> None:
        """Record a service time, in milliseconds, into the route's running mean."""
        mean_ms = self._service_ms.get(route, took_ms)
        self._service_ms[route] = mean_ms * (1 - _NEWEST_WEIGHT) + took_ms * _NEWEST_WEIGHT

    def service_ms(self, lifecycle: RequestLifecycle) -> float:
        """Return the expected service time in milliseconds."""
        default_ms: float = lifecycle.profile.deadline_ms * _DEFAULT_SERVICE_SHARE
        return self._service_ms.get(_route(lifecycle), default_ms)

    def estimate_ms(
        self, lifecycle: RequestLifecycle, position: int, slots: int, edge_count: int
    ) -> float:
        """Return in how many milliseconds a request with `position` others before it has a slot.

        The other edges are taken to have as many waiting.
        """
        rounds = math.ceil((position + 1) * edge_count / max(1, slots))
        return rounds * self.service_ms(lifecycle)

    def meets_deadline(self, lifecycle: RequestLifecycle, wait_ms: float, now_ms: int) -> bool:
        """Whether a request that waits `wait_ms` is answered within its share of the time left."""
        left_ms = lifecycle.due_ms - now_ms
        return wait_ms + self.service_ms(lifecycle) <= _WAIT_SHARE * left_ms

    # -- whether the route has workers ---------------------------------------------------------

    def worker_seen(self, route: str, now_ms: int) -> None:
        """Record that the route has a worker now."""
        self._worker_seen_ms[route] = now_ms

    def had_worker_within(self, route: str, now_ms: int, within_ms: int) -> bool:
        """Whether there was a worker within the last `within_ms`: another may well be starting."""
        return now_ms - self._worker_seen_ms.get(route, NEVER_MS) <= within_ms


def _route(lifecycle: RequestLifecycle) -> str:
    return str(lifecycle.profile.name)
