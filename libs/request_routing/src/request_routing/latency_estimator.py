"""How long a route's requests usually take to their first event and between events.

From these running means follows when a worker has been silent for so long that another one is
tried. Silence is measured at the worker: one that sends anything to anybody here is only slow.
"""

__all__ = ["LatencyEstimator"]

_SMOOTHING = 0.9
_STALL_FACTOR = 2.0
_DEVIATIONS = 4.0
_PATIENCE_SHARE = 0.45
_TARGETS_WAITED = 4
_GAPS_WAITED = 8
_UNKNOWN_MS = -1.0


class _RunningMean:
    """The running mean of a duration and of its deviation, in milliseconds."""

    __slots__ = ("deviation_ms", "mean_ms")

    def __init__(self) -> None:
        self.mean_ms = self.deviation_ms = _UNKNOWN_MS

    def add(self, took_ms: float) -> None:
        if self.mean_ms < 0:
            self.mean_ms, self.deviation_ms = took_ms, took_ms / 2
            return
        deviation_ms = abs(took_ms - self.mean_ms)
        self.deviation_ms = _SMOOTHING * self.deviation_ms + (1 - _SMOOTHING) * deviation_ms
        self.mean_ms = _SMOOTHING * self.mean_ms + (1 - _SMOOTHING) * took_ms

    def stall_after_ms(self, floor_ms: float) -> float:
        """Return a time longer than nearly all seen; silent requests do not count themselves in."""
        if self.mean_ms < 0:
            return max(floor_ms, 0.0)
        usual_ms = self.mean_ms + _DEVIATIONS * self.deviation_ms
        return max(floor_ms, _STALL_FACTOR * usual_ms)


class LatencyEstimator:
    """Running means of the times to the first event and between events, by route."""

    __slots__ = ("_between_events", "_to_first_event")

    def __init__(self) -> None:
        self._to_first_event: dict[str, _RunningMean] = {}
        self._between_events: dict[str, _RunningMean] = {}

    def add_first_event(self, route: str, took_ms: float) -> None:
        """Record a request's time to its first event, in milliseconds."""
        self._to_first_event.setdefault(route, _RunningMean()).add(took_ms)

    def add_gap(self, route: str, took_ms: float) -> None:
        """Record a time between two events, in milliseconds."""
        self._between_events.setdefault(route, _RunningMean()).add(took_ms)

    def stall_after_ms(self, route: str, streaming: bool, floor_ms: float) -> float:
        """Return after how many milliseconds of silence to everybody a worker counts as stalled.

        `streaming` says that the stream has begun; `floor_ms` is the least that is returned.
        """
        known = (self._between_events if streaming else self._to_first_event).get(route)
        return known.stall_after_ms(floor_ms) if known is not None else _STALL_FACTOR * floor_ms

    @staticmethod
    def patience_ms(force_ms: int, target_ms: int, gap_ms: int) -> float:
        """Return how many milliseconds a request is left with a worker that answers others.

        It is well below the longest of these times, for which the client waits.
        """
        longest_ms = max(force_ms, _TARGETS_WAITED * target_ms, _GAPS_WAITED * gap_ms)
        return _PATIENCE_SHARE * longest_ms
