"""When an attempt is taken from a worker that has gone silent."""

from typing import Any

from request_routing.in_flight import Attempt
from request_routing.latency_estimator import LatencyEstimator
from request_routing.worker_exchange import AttemptOutcome

__all__ = ["silence_fate"]


def silence_fate(
    pace: LatencyEstimator, settings: Any, send: Attempt, now_ms: int
) -> AttemptOutcome | None:
    """Return the failed outcome of an attempt at a silent worker, or None while it is waited for.

    Only what may be continued elsewhere is taken away; anything else is left there, since silence
    does not tell that it has not run.
    """
    carriage = send.carriage
    tx, profile, worker = carriage.tx, carriage.tx.profile, send.worker
    if not tx.can_move or send.connecting or carriage.untaken_bytes > 0:
        return None
    began = send.heard_ms > send.began_ms
    silent_ms = min(now_ms - send.heard_ms, worker.silent_ms(now_ms))
    if silent_ms > pace.dark_ms(profile.name, began, settings.request_timeout_ms / 2):
        return AttemptOutcome("failed", reason="worker dark", mark="down")
    if not carriage.call.job and now_ms - send.heard_ms > pace.patience_ms(
        settings.force_ms, profile.target_ms, profile.token_gap_ms
    ):
        return AttemptOutcome("failed", reason="worker silent")
    return None
