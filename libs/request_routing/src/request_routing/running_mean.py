"""An exponential moving average of durations and of their spread."""

__all__ = ["RunningMean"]

# Weight of the previous value in the averages.
_SMOOTHING = 0.9
# Nearly all durations are below the mean plus this many mean deviations.
_DEVIATIONS = 4.0
_UNKNOWN_MS = -1.0


class RunningMean:
    """Moving averages of a duration and of its absolute deviation, in milliseconds.

    Both are negative while there is no observation.
    """

    __slots__ = ("deviation_ms", "mean_ms")

    def __init__(self) -> None:
        self.mean_ms = self.deviation_ms = _UNKNOWN_MS

    def add(self, took_ms: float) -> None:
        """Add an observation in milliseconds."""
        if self.mean_ms < 0:
            self.mean_ms, self.deviation_ms = took_ms, took_ms / 2
            return
        deviation_ms = abs(took_ms - self.mean_ms)
        self.deviation_ms = _SMOOTHING * self.deviation_ms + (1 - _SMOOTHING) * deviation_ms
        self.mean_ms = _SMOOTHING * self.mean_ms + (1 - _SMOOTHING) * took_ms

    @property
    def upper_ms(self) -> float:
        """A time that nearly all observed durations are below; 0 if there is none."""
        return 0.0 if self.mean_ms < 0 else self.mean_ms + _DEVIATIONS * self.deviation_ms
