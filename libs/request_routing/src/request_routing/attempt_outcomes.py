"""What an attempt's outcome means, and what is recorded of a failure and of a transaction's end.

A failure changes the registry's view of the worker; each failure and each end has one log line.
"""

from typing import Any

from request_routing.calls import ForwardCall
from request_routing.in_flight import Attempt, InFlightRequest
from request_routing.lifecycle import Step
from request_routing.worker_exchange import AttemptOutcome
from request_routing.worker_registry import WorkerRegistry

__all__ = ["log_end", "note_failure", "outcome_after"]


def outcome_after(send: Attempt, fate: AttemptOutcome) -> AttemptOutcome:
    """Return the outcome of an attempt whose stream may have begun at another worker.

    Only a stream continues a stream: any other complete answer is then a failure and never passes
    for the stream's end. A worker's word that a batch item can't be done stays.
    """
    call = send.carriage.call
    begun = send.carriage.tx.delivered
    if call.job and isinstance(call, ForwardCall):
        begun = begun or call.last_event_id is not None
    ends = fate.name == "whole" or (fate.name == "rejected" and not call.job)
    if begun and ends and not send.exchange.streams:
        return AttemptOutcome("failed", reason="no continuation of the stream")
    return fate


def note_failure(env: Any, roster: WorkerRegistry, send: Attempt, fate: AttemptOutcome) -> None:
    """Tell the registry what the failure says of the worker, and log it."""
    if fate.mark == "down":
        roster.connection_failed(send.worker)
    elif fate.mark == "mismatch":
        roster.mismatched(send.worker)
    elif fate.reason == "busy" and not fate.may_have_run:
        roster.full(send.worker)
    env.log(
        "send-failed",
        "DEBUG" if fate.mark == "full" else "WARNING",
        transaction=send.carriage.tx.transaction_id,
        worker=send.worker.stamp,
        reason=fate.reason,
        may_have_run=fate.may_have_run,
    )


def log_end(env: Any, carriage: InFlightRequest, step: Step) -> None:
    """Log how a transaction ended: its state, its sends and the verdict of a refusal."""
    tx = carriage.tx
    env.log(
        "transaction-ended",
        "WARNING"
        if step.name not in ("finish", "replay", "gone")
        else "INFO"
        if carriage.call.kept_when_gone
        else "DEBUG",
        transaction=tx.transaction_id,
        path=tx.profile.name,
        key=tx.key,
        state=str(tx.state),
        sends=tx.sends,
        took_ms=env.now() - tx.started_ms,
        code=step.refusal.code if step.refusal else "",
        verdict=str(step.refusal.verdict) if step.refusal else "",
        replayed=step.name == "replay",
        bytes=len(step.value[1]) if step.name == "finish" else 0,
        **({"lot": tx.job[0], "index": tx.job[1]} if tx.job else {}),
    )
