"""The queues of live requests that wait at the edge for a slot, ordered by deadline.

A request is queued only while it is expected to complete within half of the time that it has left;
otherwise it is refused immediately. The expectation is computed from the number of slots and the
mean service time of the route. Before any service time is known, a pessimistic default is used.
"""

import math
from bisect import bisect_right, insort_right

from request_routing.in_flight import InFlightRequest
from request_routing.lifecycle import RequestLifecycle
from request_routing.worker import NEVER_MS

__all__ = ["AdmissionQueue"]

# Service time assumed before one is known, as a fraction of the profile's `deadline_ms`.
_DEFAULT_SERVICE_SHARE = 0.05
# Weight of the newest service time in the exponential moving average.
_NEWEST_WEIGHT = 0.2
# Fraction of the time left that waiting and service together may take.
_WAIT_SHARE = 0.5


def _due_ms(request: InFlightRequest) -> int:
    return request.lifecycle.due_ms


class AdmissionQueue:
    """One queue per route, ordered by deadline, and the mean service time of each route."""

    __slots__ = ("_queues", "_service_ms", "_worker_seen_ms")

    def __init__(self) -> None:
        self._queues: dict[str, list[InFlightRequest]] = {}
        self._service_ms: dict[str, float] = {}
        self._worker_seen_ms: dict[str, int] = {}

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

    def position(self, request: InFlightRequest) -> int:
        """Return how many queued requests of its route are served first.

        These are the ones with an earlier deadline, or with the same one.
        """
        queue = self._queues.get(_route(request.lifecycle), [])
        return bisect_right(queue, _due_ms(request), key=_due_ms)

    def routes(self) -> list[str]:
        """Return the names of the routes that have queued requests."""
        return list(self._queues)

    def requests(self, route: str) -> list[InFlightRequest]:
        """Return a copy of a route's queue, earliest deadline first."""
        return list(self._queues.get(route, []))

    def add_service_time(self, route: str, took_ms: int) -> None:
        """Add a service time, in milliseconds, to the route's moving average."""
        mean_ms = self._service_ms.get(route, took_ms)
        self._service_ms[route] = mean_ms * (1 - _NEWEST_WEIGHT) + took_ms * _NEWEST_WEIGHT

    def service_ms(self, lifecycle: RequestLifecycle) -> float:
        """Return the expected service time of a request in milliseconds."""
        default_ms: float = lifecycle.profile.deadline_ms * _DEFAULT_SERVICE_SHARE
        return self._service_ms.get(_route(lifecycle), default_ms)

    def estimate_ms(
        self, lifecycle: RequestLifecycle, position: int, slots: int, edge_count: int
    ) -> float:
        """Return in how many milliseconds a request is expected to get a slot.

        Every other edge is assumed to have as many requests queued as this one.

        Parameters
        ----------
        lifecycle
            The request's state machine.
        position
            Number of queued requests that are served first.
        slots
            Total number of slots of the request's workers.
        edge_count
            Number of edges that share the workers, this one included.
        """
        rounds = math.ceil((position + 1) * edge_count / max(1, slots))
        return rounds * self.service_ms(lifecycle)

    def meets_deadline(self, lifecycle: RequestLifecycle, wait_ms: float, now_ms: int) -> bool:
        """Whether a request that waits `wait_ms` is expected to complete early enough.

        Waiting and service may together take half of the time left until the deadline.
        """
        left_ms = lifecycle.due_ms - now_ms
        return wait_ms + self.service_ms(lifecycle) <= _WAIT_SHARE * left_ms

    def worker_seen(self, route: str, now_ms: int) -> None:
        """Record that the route has a worker at `now_ms`."""
        self._worker_seen_ms[route] = now_ms

    def had_worker_within(self, route: str, now_ms: int, within_ms: int) -> bool:
        """Whether the route had a worker within the last `within_ms` milliseconds."""
        return now_ms - self._worker_seen_ms.get(route, NEVER_MS) <= within_ms


def _route(lifecycle: RequestLifecycle) -> str:
    return str(lifecycle.profile.name)
