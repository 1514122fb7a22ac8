"""Moving averages of a route's time to the first event and time between events.

The response to a request that is no stream counts as its first event.

They determine after how much silence a worker counts as stalled, so that another one is tried.
Silence is measured per worker, not per request: a worker that sends data for any request of this
edge is slow, not stalled.
"""

from request_routing.running_mean import RunningMean

__all__ = ["LatencyEstimator"]

# A worker counts as stalled after this many times the time in which nearly all events came.
_STALL_FACTOR = 2.0


class LatencyEstimator:
    """Moving averages of the time to the first event and of the time between events, by route."""

    __slots__ = ("_between_events", "_to_first_event")

    def __init__(self) -> None:
        self._to_first_event: dict[str, RunningMean] = {}
        self._between_events: dict[str, RunningMean] = {}

    def add_first_event(self, route: str, took_ms: float) -> None:
        """Add a request's time to its first event, in milliseconds."""
        self._to_first_event.setdefault(route, RunningMean()).add(took_ms)

    def add_gap(self, route: str, took_ms: float) -> None:
        """Add a time between two events of a stream, in milliseconds."""
        self._between_events.setdefault(route, RunningMean()).add(took_ms)

    def knows_first_event(self, route: str) -> bool:
        """Whether a time to the first event was observed on this route."""
        return route in self._to_first_event

    def first_event_ms(self, route: str) -> float:
        """Return a time within which most first events of this route come; 0 if none is known."""
        known = self._to_first_event.get(route)
        return known.mean_ms + known.deviation_ms if known is not None else 0.0

    def stall_after_ms(self, route: str, streaming: bool, floor_ms: float) -> float:
        """Return after how many milliseconds of silence a worker counts as stalled.

        A request that is waiting now is not part of the averages, so that a stall does not raise
        the limit that detects it.

        Parameters
        ----------
        route
            Name of the route; if it has no observations, twice `floor_ms` is returned.
        streaming
            Whether the first event of the stream has come.
        floor_ms
            Lower bound of the result.
        """
        known = (self._between_events if streaming else self._to_first_event).get(route)
        if known is None:
            return _STALL_FACTOR * floor_ms
        return max(floor_ms, _STALL_FACTOR * known.upper_ms)
