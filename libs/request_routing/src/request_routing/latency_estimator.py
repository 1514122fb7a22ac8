"""How long a route's requests usually take to their first event and between events.

From these running means follows when a worker has been silent for so long that another one is
asked. Silence is measured at the worker: one that sends anything to anybody here is only slow.
"""

__all__ = ["LatencyEstimator"]

_KEEP = 0.9
_TIMES = 2.0
_SPREADS = 4.0
_PATIENCE = 0.45


class _Usual:
    __slots__ = ("mean_ms", "spread_ms")

    def __init__(self) -> None:
        self.mean_ms = self.spread_ms = -1.0

    def seen(self, took_ms: float) -> None:
        if self.mean_ms < 0:
            self.mean_ms, self.spread_ms = took_ms, took_ms / 2
            return
        self.spread_ms = _KEEP * self.spread_ms + (1 - _KEEP) * abs(took_ms - self.mean_ms)
        self.mean_ms = _KEEP * self.mean_ms + (1 - _KEEP) * took_ms

    def long_ms(self, floor_ms: float) -> float:
        """Return a time longer than nearly all seen; silent requests do not count themselves in."""
        return max(
            floor_ms,
            _TIMES * (self.mean_ms + _SPREADS * self.spread_ms) if self.mean_ms >= 0 else 0.0,
        )


class LatencyEstimator:
    """Running means of the times to the first event and between events, by route."""

    __slots__ = ("_first", "_gap")

    def __init__(self) -> None:
        self._first: dict[str, _Usual] = {}
        self._gap: dict[str, _Usual] = {}

    def first(self, path: str, took_ms: float) -> None:
        """Record a request's time to its first event, in milliseconds."""
        self._first.setdefault(path, _Usual()).seen(took_ms)

    def gap(self, path: str, took_ms: float) -> None:
        """Record a time between two events, in milliseconds."""
        self._gap.setdefault(path, _Usual()).seen(took_ms)

    def dark_ms(self, path: str, begun: bool, floor_ms: float) -> float:
        """Return after how many milliseconds of silence to everybody a worker counts as dark.

        `begun` says that the stream has begun; `floor_ms` is the least that is returned.
        """
        usual = (self._gap if begun else self._first).get(path)
        return usual.long_ms(floor_ms) if usual is not None else _TIMES * floor_ms

    @staticmethod
    def patience_ms(force_ms: int, target_ms: int, gap_ms: int) -> float:
        """Return how many milliseconds a request is left with a worker that answers others.

        It is well below the longest of these times, for which the client waits.
        """
        return _PATIENCE * max(force_ms, 4 * target_ms, 8 * gap_ms)
