"""When an attempt is taken from a worker: its deadline passed, or the worker went silent."""

from typing import Any

from runtime.settings import Settings

from request_routing.attempt import Attempt
from request_routing.attempt_outcome import AttemptOutcome, WorkerFault, failed
from request_routing.latency_estimator import LatencyEstimator
from request_routing.worker_registry import WorkerRegistry

__all__ = ["StallDetector"]

_FLOOR_SHARE = 0.5
_SUSPECT_SHARE = 0.5


class StallDetector:
    """Judges how long workers have been silent, by the usual latency of each route.

    `latency` learns that from the events that come. The floor is half of `request_timeout_ms`.
    """

    __slots__ = ("_registry", "latency")

    def __init__(self, registry: WorkerRegistry) -> None:
        self._registry = registry
        self.latency = LatencyEstimator()

    def add_event(self, attempt: Attempt, now_ms: int) -> None:
        """Learn from an event of a stream; `last_event_ms` is still that of the one before."""
        route = attempt.request.lifecycle.profile.name
        took_ms = now_ms - attempt.last_event_ms
        if attempt.started_streaming:
            self.latency.add_gap(route, took_ms)
        else:
            self.latency.add_first_event(route, took_ms)

    def is_suspect(self, worker: Any, route: str, settings: Settings, now_ms: int) -> bool:
        """Whether a worker is silent for unusually long; other workers are then preferred."""
        stall_ms = self.latency.stall_after_ms(
            route, False, settings.request_timeout_ms * _FLOOR_SHARE
        )
        return bool(worker.silent_ms(now_ms) > stall_ms * _SUSPECT_SHARE)

    def outcome(self, attempt: Attempt, settings: Settings, now_ms: int) -> AttemptOutcome | None:
        """Return the failed outcome of an attempt to be given up now, or None."""
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
        """Judge the attempt of a forwarded request.

        Only what may be continued elsewhere is taken away; anything else is left there, since
        silence does not tell that it has not run.
        """
        request, worker = attempt.request, attempt.worker
        profile = request.lifecycle.profile
        can_retry = request.lifecycle.can_retry_elsewhere
        if not can_retry or attempt.connecting or request.unread_bytes > 0:
            return None
        waited_ms = now_ms - attempt.last_event_ms
        silent_ms = min(waited_ms, worker.silent_ms(now_ms))
        stall_ms = self.latency.stall_after_ms(
            profile.name, attempt.started_streaming, settings.request_timeout_ms * _FLOOR_SHARE
        )
        if silent_ms > stall_ms:
            return failed(True, "worker dark", WorkerFault.DOWN)
        patience_ms = self.latency.patience_ms(
            settings.force_ms, profile.target_ms, profile.token_gap_ms
        )
        if not request.call.job and waited_ms > patience_ms:
            return failed(True, "worker silent")
        return None


def _deadline_outcome(attempt: Attempt, settings: Settings, now_ms: int) -> AttemptOutcome:
    stalled = (
        not attempt.request.call.survives_disconnect
        and attempt.worker.silent_ms(now_ms) > settings.request_timeout_ms
    )
    fault = WorkerFault.DOWN if stalled else WorkerFault.NONE
    return failed(not attempt.connecting, "deadline", fault)
