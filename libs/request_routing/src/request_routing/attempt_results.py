"""Processes the outcomes of attempts: checks continued streams, records and logs failures.

A failure updates the worker's state in the registry. Each failure of an attempt and each end of a
request is logged once.
"""

from typing import Any

from request_routing.attempt import Attempt
from request_routing.attempt_outcome import AttemptOutcome, OutcomeKind, WorkerFault, failed
from request_routing.calls import ForwardCall
from request_routing.in_flight import InFlightRequest
from request_routing.lifecycle import BUSY
from request_routing.steps import Step, StepKind
from request_routing.worker_registry import WorkerRegistry

__all__ = ["checked_outcome", "log_end", "record_failure"]

_EXPECTED_ENDS = (StepKind.FINISH, StepKind.REPLAY, StepKind.CLIENT_DISCONNECTED)


def checked_outcome(attempt: Attempt, outcome: AttemptOutcome) -> AttemptOutcome:
    """Return the outcome, or a failure if the response does not continue a stream that has begun.

    Once a stream has begun at another worker, only a stream continues it. Any other complete
    response is then a failure, as it would pass for the end of the stream. A worker's rejection of
    a batch item is kept.
    """
    call = attempt.request.call
    begun = attempt.request.lifecycle.delivered
    if call.job and isinstance(call, ForwardCall):
        begun = begun or call.last_event_id is not None
    ends = outcome.kind is OutcomeKind.COMPLETE or (
        outcome.kind is OutcomeKind.REJECTED and not call.job
    )
    if begun and ends and not attempt.exchange.is_event_stream:
        return failed(True, "no continuation of the stream")
    return outcome


def record_failure(
    env: Any, registry: WorkerRegistry, attempt: Attempt, outcome: AttemptOutcome
) -> None:
    """Update the registry with the worker's fault, if any, and log the failure."""
    worker = attempt.worker
    if outcome.fault is WorkerFault.DOWN:
        registry.record_connection_failure(worker)
    elif outcome.fault is WorkerFault.MISMATCH:
        registry.record_mismatch(worker)
    elif outcome.reason == BUSY and not outcome.may_have_run:
        registry.record_overload(worker)
    env.log(
        "attempt-failed",
        "DEBUG" if outcome.fault is WorkerFault.OVERLOADED else "WARNING",
        request=attempt.request.lifecycle.edge_request_id,
        worker=worker.instance_id,
        reason=outcome.reason,
        may_have_run=outcome.may_have_run,
    )


def log_end(env: Any, request: InFlightRequest, step: Step) -> None:
    """Log the end of a request, with its state, its attempts and its refusal if there is one."""
    lifecycle, refusal = request.lifecycle, step.refusal
    item = {"job": lifecycle.job.job_id, "index": lifecycle.job.item_index} if lifecycle.job else {}
    env.log(
        "request-ended",
        _end_level(request, step),
        request=lifecycle.edge_request_id,
        route=lifecycle.profile.name,
        key=lifecycle.key,
        state=str(lifecycle.state),
        attempts=lifecycle.attempts,
        took_ms=env.now() - lifecycle.started_ms,
        code=refusal.code if refusal else "",
        verdict=str(refusal.verdict) if refusal else "",
        replayed=step.kind is StepKind.REPLAY,
        bytes=len(step.response.body) if step.kind is StepKind.FINISH and step.response else 0,
        **item,
    )


def _end_level(request: InFlightRequest, step: Step) -> str:
    if step.kind not in _EXPECTED_ENDS:
        return "WARNING"
    return "INFO" if request.call.survives_disconnect else "DEBUG"
