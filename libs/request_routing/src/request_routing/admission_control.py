"""Decides whether a live request that finds no free slot is queued or refused immediately."""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from runtime.settings import Settings

from request_routing.admission_queue import AdmissionQueue, QueuedRequest
from request_routing.attempt import Attempt
from request_routing.in_flight import InFlightRequest
from request_routing.latency_estimator import LatencyEstimator
from request_routing.prefill_tracker import PrefillTracker
from request_routing.service_times import ServiceTime, ServiceTimes
from request_routing.slot_forecast import SlotForecast, forecast_slots
from request_routing.worker import NEVER_MS, Worker
from request_routing.worker_registry import WorkerRegistry

__all__ = ["Admission", "AdmissionControl", "QueuePositions"]

_NOTHING_KNOWN = ServiceTime(0.0, 0.0)


class Admission(NamedTuple):
    """The decision on a request.

    `retry_after_ms` is the delay in milliseconds after which the client of a refused request should
    try again.
    """

    may_wait: bool
    retry_after_ms: int


class _Pool(NamedTuple):
    """What is known of the workers that serve a route.

    `retry_at_ms` is when the next of them is tried again if all of them are backing off, else None.
    """

    retry_at_ms: int | None
    forecast: SlotForecast


class _Timing(NamedTuple):
    """What a call of a route takes, in milliseconds: in all, and until its first event."""

    service_ms: float
    first_event_ms: float

    def latest_start_ms(self, request: InFlightRequest) -> float:
        """Return until when a request has to get a slot.

        Then it is served before its deadline, and a stream's first event comes before its client
        gives up.
        """
        return min(
            request.lifecycle.due_ms - self.service_ms, request.event_due_ms - self.first_event_ms
        )


class AdmissionControl:
    """Decides on live requests by the time that their clients have and the work that is left.

    A request may wait if it is expected to get a slot early enough to be served before its
    deadline, with a stream's first event before its client gives up, and if no request that waits
    already is expected to miss its own time by that. Requests that share workers get slots in the
    order of their latest start: the more urgent ones first, and of these the one that has to start
    first to be in time. So a request whose client has more time is never refused where one with
    less time may wait.

    Parameters
    ----------
    registry
        The workers that this edge knows.
    edge_count
        Returns the number of edges that share the workers, this one included.
    attempts
        Returns this edge's attempts in flight.
    prefill
        Returns the estimates of the prompts that workers have still to process, or None.
    latency
        The times to the first event.
    """

    __slots__ = (
        "_attempts",
        "_edge_count",
        "_latency",
        "_pools",
        "_pools_ms",
        "_prefill",
        "_registry",
        "_unknown",
        "_worker_seen_ms",
        "queue",
        "service_times",
    )

    def __init__(
        self,
        registry: WorkerRegistry,
        edge_count: Callable[[], int],
        attempts: Callable[[], list[Attempt]],
        prefill: Callable[[], PrefillTracker | None],
        latency: LatencyEstimator,
    ) -> None:
        self._registry, self._edge_count = registry, edge_count
        self._attempts, self._prefill = attempts, prefill
        self._latency = latency
        self._worker_seen_ms: dict[str, int] = {}
        self._pools: dict[tuple[frozenset[str], str, int], _Pool] = {}
        self._pools_ms = NEVER_MS
        # While no service time is known: calls take at least as long as the oldest one in flight
        # has taken so far.
        self._unknown: dict[frozenset[str], ServiceTime] = {}
        self.queue = AdmissionQueue()
        self.service_times = ServiceTimes()

    def decide(
        self, request: InFlightRequest, workers: list[Worker], settings: Settings, now_ms: int
    ) -> Admission:
        """Decide whether a request that is not queued yet may wait for a slot.

        If all of its workers are backing off, a forwarded request waits while it can be served
        before its deadline by the one that is due to be tried again next.

        Parameters
        ----------
        request
            The request.
        workers
            The workers that may serve it.
        settings
            The node's settings.
        now_ms
            Time of the node's clock in milliseconds.
        """
        if not workers:
            return self._without_workers(request, settings, now_ms)
        profile = request.lifecycle.profile
        self.worker_seen(profile.name, now_ms)
        pool = self._pool(profile, workers, now_ms)
        latest_start_ms = self.latest_start_ms(request)
        if pool.retry_at_ms is not None and not request.call.survives_disconnect:
            return _admission(pool.retry_at_ms <= latest_start_ms, pool.retry_at_ms - now_ms)
        return self._decide_by_queue(profile, latest_start_ms, pool.forecast, now_ms)

    def review(
        self,
        queued: QueuedRequest,
        workers: list[Worker],
        settings: Settings,
        now_ms: int,
        position: int,
    ) -> Admission:
        """Decide whether a queued request may wait on; `reorder` has to be called before.

        The parameters are those of `decide`, and the number of queued requests that get a slot
        before it.
        """
        if not workers:
            return self._without_workers(queued.request, settings, now_ms)
        self.worker_seen(queued.profile.name, now_ms)
        pool = self._pool(queued.profile, workers, now_ms)
        wait_ms = pool.forecast.wait_ms(position)
        if pool.retry_at_ms is not None and not queued.request.call.survives_disconnect:
            wait_ms = pool.retry_at_ms - now_ms
        return _admission(now_ms + wait_ms <= queued.latest_start_ms, wait_ms)

    def _decide_by_queue(
        self, profile: Any, latest_start_ms: float, forecast: SlotForecast, now_ms: int
    ) -> Admission:
        """Decide on a new request by the queued ones that share workers with it.

        One of these that is not expected to be in time takes no place in the queue.
        """
        earlier, later = self._in_time(profile, latest_start_ms, forecast, now_ms)
        wait_ms = forecast.wait_ms(earlier)
        if now_ms + wait_ms > latest_start_ms:
            return _admission(False, wait_ms)
        for position, queued in enumerate(later, earlier + 1):
            is_displaced = now_ms + forecast.wait_ms(position) > queued.latest_start_ms
            if is_displaced and queued.profile.urgency <= profile.urgency:
                return _admission(False, forecast.wait_ms(earlier + len(later)))
        return _admission(True, wait_ms)

    def _in_time(
        self, profile: Any, latest_start_ms: float, forecast: SlotForecast, now_ms: int
    ) -> tuple[int, list[QueuedRequest]]:
        """Return the queued requests that share workers with a new one and are in time.

        These are the number of those that get a slot before it, and the others in order.
        """
        order = (profile.urgency, latest_start_ms)
        shares: dict[str, bool] = {}
        earlier, later = 0, list[QueuedRequest]()
        for queued in self.queue.entries:
            route = queued.profile.name
            if route not in shares:
                shares[route] = _share_workers(queued.profile, profile)
            if not shares[route]:
                continue
            wait_ms = forecast.wait_ms(earlier + len(later))
            if now_ms + wait_ms > queued.latest_start_ms:
                continue
            if not later and queued.order <= order:
                earlier += 1
            else:
                later.append(queued)
        return earlier, later

    def add(self, request: InFlightRequest) -> None:
        """Add a request to the queue."""
        self.queue.add(request, self.latest_start_ms(request))

    def reorder(self) -> None:
        """Put the queue in order by what is known now of the service times."""
        timings: dict[str, _Timing] = {}

        def latest_start_ms(request: InFlightRequest) -> float:
            profile = request.lifecycle.profile
            if profile.name not in timings:
                timings[profile.name] = self._timing(profile)
            return timings[profile.name].latest_start_ms(request)

        self.queue.reorder(latest_start_ms)

    def latest_start_ms(self, request: InFlightRequest) -> float:
        """Return until when the request has to get a slot to be in time for its client.

        It is a time of the node's clock in milliseconds.
        """
        return self._timing(request.lifecycle.profile).latest_start_ms(request)

    def _timing(self, profile: Any) -> _Timing:
        service = self.service_times.expected(profile)
        if service is None:
            service = self._unknown.get(profile.labels, _NOTHING_KNOWN)
        return _Timing(service.likely_ms, self._latency.first_event_ms(profile.name))

    def _pool(self, profile: Any, workers: list[Worker], now_ms: int) -> _Pool:
        """Return what is known of a route's workers; it is worked out once in a millisecond."""
        if now_ms != self._pools_ms:
            self._pools, self._pools_ms = {}, now_ms
        key = (profile.labels, workers[0].instance_id, len(workers))
        if key not in self._pools:
            self._pools[key] = self._new_pool(profile, workers, now_ms)
        return self._pools[key]

    def _new_pool(self, profile: Any, workers: list[Worker], now_ms: int) -> _Pool:
        identities = {worker.instance_id for worker in workers}
        attempts = [
            attempt
            for attempt in self._attempts()
            if attempt.worker.instance_id in identities and not attempt.request.call.rollout
        ]
        started_ms = min((attempt.started_ms for attempt in attempts), default=now_ms)
        unknown = self._unknown[profile.labels] = ServiceTime(now_ms - started_ms, 0.0)
        forecast = forecast_slots(
            workers,
            attempts,
            self.service_times,
            unknown,
            self._prefill(),
            self._edge_count(),
            now_ms,
        )
        retry_at_ms = None
        if self.all_backing_off(workers):
            retry_at_ms = min(worker.retry_at_ms for worker in workers)
        return _Pool(retry_at_ms, forecast)

    def worker_seen(self, route: str, now_ms: int) -> None:
        """Record that the route has a worker at `now_ms`."""
        self._worker_seen_ms[route] = now_ms

    def _without_workers(
        self, request: InFlightRequest, settings: Settings, now_ms: int
    ) -> Admission:
        """Decide for a route without usable workers.

        A worker that runs is known within `worker_registration_ms`. So after the last one was seen
        a request waits for that time, if it can still be served then; later there is none.
        """
        profile, registration_ms = request.lifecycle.profile, settings.worker_registration_ms
        seen_ms = max(
            self._worker_seen_ms.get(profile.name, NEVER_MS), self._registry.last_heard_ms(profile)
        )
        known_by_ms = seen_ms + registration_ms
        if now_ms >= known_by_ms:
            return Admission(False, registration_ms)
        return _admission(known_by_ms <= self.latest_start_ms(request), known_by_ms - now_ms)

    def all_backing_off(self, workers: list[Worker]) -> bool:
        """Whether all of these workers failed recently and are excluded by their backoff."""
        return all(map(self._registry.is_backing_off, workers))


class QueuePositions:
    """Counts the queued requests that get a slot before others which share workers with them."""

    __slots__ = ("_taken",)

    def __init__(self) -> None:
        self._taken: dict[str, tuple[Any, int]] = {}

    def take(self, profile: Any) -> None:
        """Count a request of this profile's route; those counted later come after it."""
        _, number = self._taken.get(profile.name, (profile, 0))
        self._taken[profile.name] = (profile, number + 1)

    def position(self, profile: Any) -> int:
        """Return how many requests come before the next one of this profile's route."""
        return sum(
            number for other, number in self._taken.values() if _share_workers(other, profile)
        )


def _admission(may_wait: bool, wait_ms: float) -> Admission:
    return Admission(may_wait, max(1, math.ceil(wait_ms)))


def _share_workers(profile: Any, other: Any) -> bool:
    """Whether any worker may serve both profiles."""
    return bool(profile.labels & other.labels or profile.identities & other.identities)
