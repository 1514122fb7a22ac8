"""Decides when an attempt is abandoned: after its deadline, or because the worker is silent."""

from typing import Any

from runtime.settings import Settings

from request_routing.attempt import Attempt
from request_routing.attempt_outcome import AttemptOutcome, WorkerFault, failed
from request_routing.latency_estimator import LatencyEstimator
from request_routing.worker_registry import WorkerRegistry

__all__ = ["StallDetector"]

# Lower bound of the stall timeout, as a fraction of `request_timeout_ms`.
_FLOOR_SHARE = 0.5
# A worker is avoided after this fraction of the stall timeout.
_SUSPECT_SHARE = 0.5


class StallDetector:
    """Compares the silence of workers with the usual latency of each route.

    `latency` has these latencies, updated from the events of streams.
    """

    __slots__ = ("_registry", "latency")

    def __init__(self, registry: WorkerRegistry) -> None:
        self._registry = registry
        self.latency = LatencyEstimator()

    def add_event(self, attempt: Attempt, now_ms: int) -> None:
        """Update the latencies from an event of a stream.

        Has to be called before the attempt's `last_event_ms` is set to the time of this event.
        """
        route = attempt.request.lifecycle.profile.name
        took_ms = now_ms - attempt.last_event_ms
        if attempt.started_streaming:
            self.latency.add_gap(route, took_ms)
        else:
            self.latency.add_first_event(route, took_ms)

    def add_response(self, attempt: Attempt, now_ms: int) -> None:
        """Update the latency from the complete response to a request that is no stream."""
        route = attempt.request.lifecycle.profile.name
        self.latency.add_first_event(route, now_ms - attempt.started_ms)

    def is_suspect(self, worker: Any, route: str, settings: Settings, now_ms: int) -> bool:
        """Whether a worker has been silent for unusually long; other workers are then preferred."""
        stall_ms = self.latency.stall_after_ms(
            route, False, settings.request_timeout_ms * _FLOOR_SHARE
        )
        return bool(worker.silent_ms(now_ms) > stall_ms * _SUSPECT_SHARE)

    def outcome(self, attempt: Attempt, settings: Settings, now_ms: int) -> AttemptOutcome | None:
        """Return the outcome of an attempt that has to be abandoned now, or None.

        Apart from the deadline, only attempts that can be repeated are abandoned: a completion's if
        it is idempotent, nothing was delivered and the worker sends no heartbeats.
        """
        request = attempt.request
        lifecycle = request.lifecycle
        if now_ms >= lifecycle.due_ms:
            return _deadline_outcome(attempt, settings, now_ms)
        if not request.call.survives_disconnect:
            return self._forward_outcome(attempt, settings, now_ms)
        if (
            lifecycle.idempotent
            and not lifecycle.delivered
            and self._registry.is_silent(attempt.worker)
        ):
            return failed(True, "worker silent")
        return None

    def _forward_outcome(
        self, attempt: Attempt, settings: Settings, now_ms: int
    ) -> AttemptOutcome | None:
        """Return the outcome of a forwarded request's attempt to be abandoned now, or None.

        Only an attempt that can be continued at another worker is abandoned. Any other is left to
        its worker until the deadline, since a silent worker may nevertheless be running the
        request. No attempt is abandoned while it connects or while the client has data to read. One
        that is slow at a worker which serves others meanwhile is abandoned at the last moment at
        which another worker's first event still reaches the client before it gives up. A
        response that is no stream comes all at its end, so nothing tells that its worker is
        unusually silent until it is known how long such responses take.
        """
        request, worker = attempt.request, attempt.worker
        profile = request.lifecycle.profile
        can_retry = request.lifecycle.can_retry_elsewhere
        if not can_retry or attempt.connecting or request.unread_bytes > 0:
            return None
        if not request.call.stream and not self.latency.knows_first_event(profile.name):
            return None
        waited_ms = now_ms - attempt.last_event_ms
        silent_ms = min(waited_ms, worker.silent_ms(now_ms))
        floor_ms = settings.request_timeout_ms * _FLOOR_SHARE
        first_event_ms = self.latency.stall_after_ms(profile.name, False, floor_ms)
        stall_ms = first_event_ms
        if attempt.started_streaming:
            stall_ms = self.latency.stall_after_ms(profile.name, True, floor_ms)
        if silent_ms > stall_ms:
            return failed(True, "worker dark", WorkerFault.DOWN)
        is_last_moment = now_ms + first_event_ms >= request.event_due_ms
        if not request.call.job and waited_ms > stall_ms and is_last_moment:
            return failed(True, "worker silent")
        return None


def _deadline_outcome(attempt: Attempt, settings: Settings, now_ms: int) -> AttemptOutcome:
    stalled = (
        not attempt.request.call.survives_disconnect
        and attempt.worker.silent_ms(now_ms) > settings.request_timeout_ms
    )
    fault = WorkerFault.DOWN if stalled else WorkerFault.NONE
    return failed(not attempt.connecting, "deadline", fault)
