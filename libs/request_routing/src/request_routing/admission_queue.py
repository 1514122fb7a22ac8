"""The queue of live requests that wait at the edge for a slot, in the order of service."""

from bisect import insort_right
from collections.abc import Callable

from request_routing.in_flight import InFlightRequest

__all__ = ["AdmissionQueue", "QueuedRequest"]


class QueuedRequest:
    """A request in the queue.

    `latest_start_ms` is until when it has to get a slot, in milliseconds of the node's clock.
    """

    __slots__ = ("latest_start_ms", "profile", "request")

    def __init__(self, request: InFlightRequest, latest_start_ms: float) -> None:
        self.request = request
        self.profile = request.lifecycle.profile
        self.latest_start_ms = latest_start_ms

    @property
    def order(self) -> tuple[int, float]:
        """Where the request stands: by its urgency (0 first), then by its latest start."""
        return self.profile.urgency, self.latest_start_ms


def _order(queued: QueuedRequest) -> tuple[int, float]:
    return queued.order


class AdmissionQueue:
    """The queued requests of all routes; `entries` has them in order and is read only."""

    __slots__ = ("entries",)

    def __init__(self) -> None:
        self.entries: list[QueuedRequest] = []

    def __len__(self) -> int:
        return len(self.entries)

    def add(self, request: InFlightRequest, latest_start_ms: float) -> None:
        """Add a request behind those with the same urgency and latest start."""
        insort_right(self.entries, QueuedRequest(request, latest_start_ms), key=_order)

    def remove(self, request: InFlightRequest) -> None:
        """Remove a request, if it is queued."""
        self.entries = [queued for queued in self.entries if queued.request is not request]

    def reorder(self, latest_start_ms: Callable[[InFlightRequest], float]) -> None:
        """Put the requests in order by their latest starts as this function returns them now."""
        for queued in self.entries:
            queued.latest_start_ms = latest_start_ms(queued.request)
        self.entries.sort(key=_order)
