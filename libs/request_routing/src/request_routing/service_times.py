"""How long workers take for the calls of each route, learned from the calls that they completed."""

from typing import Any, NamedTuple

from request_routing.running_mean import RunningMean

__all__ = ["ServiceTime", "ServiceTimes"]


class ServiceTime(NamedTuple):
    """An expected service time in milliseconds: its mean and its mean deviation."""

    mean_ms: float
    deviation_ms: float

    @property
    def likely_ms(self) -> float:
        """A time within which most calls are served."""
        return self.mean_ms + self.deviation_ms

    def left_ms(self, age_ms: float) -> float:
        """Return how much longer a call is expected to take that has been served for `age_ms`."""
        return max(self.mean_ms - age_ms, self.deviation_ms)


class _RouteTimes:
    __slots__ = ("labels", "mean")

    def __init__(self, labels: frozenset[str]) -> None:
        self.labels = labels
        self.mean = RunningMean()


class ServiceTimes:
    """Moving averages of the service times of each route, of live calls and batch items apart.

    Batch items have the lowest urgency at the workers, so they take longer.
    """

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[tuple[str, bool], _RouteTimes] = {}

    def add(self, profile: Any, job: bool, took_ms: float) -> None:
        """Add the service time of a call of this profile's route, in milliseconds."""
        times = self._routes.get((profile.name, job))
        if times is None or times.labels != profile.labels:
            times = self._routes[profile.name, job] = _RouteTimes(profile.labels)
        times.mean.add(took_ms)

    def expected(self, profile: Any, job: bool = False) -> ServiceTime | None:
        """Return the expected service time of a call of this profile's route.

        Until one is known, it is the mean of the other routes with the same workers; None if there
        is no such route either.
        """
        own = self._routes.get((profile.name, job))
        if own is not None and own.labels == profile.labels:
            return ServiceTime(own.mean.mean_ms, own.mean.deviation_ms)
        others = [
            times.mean
            for (_, of_jobs), times in self._routes.items()
            if of_jobs == job and times.labels & profile.labels
        ]
        if not others:
            return None
        return ServiceTime(
            sum(mean.mean_ms for mean in others) / len(others),
            max(mean.deviation_ms for mean in others),
        )
