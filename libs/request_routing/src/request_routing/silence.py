"""When an attempt is taken from a worker that has gone silent."""

from typing import Any

from request_routing.carriage import Send
from request_routing.exchange import Fate
from request_routing.pace import Pace

__all__ = ["silence_fate"]


def silence_fate(pace: Pace, params: Any, send: Send, now_ms: int) -> Fate | None:
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
    if silent_ms > pace.dark_ms(profile.name, began, params.ask_ms / 2):
        return Fate("failed", reason="worker dark", mark="down")
    if not carriage.call.lot and now_ms - send.heard_ms > pace.patience_ms(
        params.force_ms, profile.target_ms, profile.token_gap_ms
    ):
        return Fate("failed", reason="worker silent")
    return None
