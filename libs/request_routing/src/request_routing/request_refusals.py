"""The refusals of requests to the edge's own interface, and the outcomes of opening a key.

A refusal says whether the request has certainly not run (`refused`) or may have run (`doubtful`).
Codes and texts are part of the interface (docs/interfaces.md); times are in milliseconds.
"""

from enum import StrEnum

from runtime import Refusal, doubtful, refused

__all__ = [
    "OpenKeyOutcome",
    "all_busy",
    "deadline_passed",
    "key_missing",
    "key_refused",
    "no_worker",
    "not_completed",
    "stream_cut",
    "workers_busy",
]

_KEY_HEADER = "Idempotency-Key"
_RETRY_AFTER_MS = 1000
_RETRY_AFTER_FULL_MS = 5000


class OpenKeyOutcome(StrEnum):
    """The outcome of opening an idempotency key at the log's leader.

    OPENED: the request may run now. RECORDED: the key's request has completed, and its response is
    recorded. OPEN: an earlier request with the key is running. DOUBT: an earlier one may have run.
    CONFLICT: the key was used with a different request. FULL: the stores have no room for the key.
    UNKNOWN: no usable response came.
    """

    OPENED = "opened"
    RECORDED = "recorded"
    OPEN = "open"
    DOUBT = "doubt"
    CONFLICT = "conflict"
    FULL = "full"
    UNKNOWN = "unknown"


def key_missing() -> Refusal:
    """Return the refusal of a request without the idempotency key that its route requires."""
    return refused(
        "key-missing",
        "this path is not safe to repeat and needs an Idempotency-Key header",
        field=_KEY_HEADER,
    )


def key_refused(open_outcome: str) -> Refusal:
    """Return the refusal of a request whose idempotency key could not be opened."""
    if open_outcome in (OpenKeyOutcome.OPEN, OpenKeyOutcome.DOUBT):
        return doubtful(
            "key-open" if open_outcome == OpenKeyOutcome.OPEN else "key-doubt",
            "an earlier request with this key may have run; nothing further was sent",
            _RETRY_AFTER_MS,
            409,
        )
    if open_outcome == OpenKeyOutcome.CONFLICT:
        return refused(
            "key-reused",
            "this key came before with another body; this body has not run",
            422,
            field=_KEY_HEADER,
        )
    if open_outcome == OpenKeyOutcome.FULL:
        return refused(
            "stores-full", "there is no room to keep this transaction", 503, _RETRY_AFTER_FULL_MS
        )
    return doubtful(
        "stores-silent",
        "the stores did not answer; this request was not sent on, but whether one "
        "before it with this key has run is not known",
        _RETRY_AFTER_MS,
    )


def all_busy(retry_after_ms: int) -> Refusal:
    """Return the refusal of a request for which no slot is free in time."""
    return refused("busy", "all workers of this path are busy", 429, retry_after_ms)


def no_worker(retry_after_ms: int) -> Refusal:
    """Return the refusal of a request whose route has no worker."""
    return refused("no-worker", "no worker of this path is live", 503, retry_after_ms)


def deadline_passed() -> Refusal:
    """Return the refusal of a request whose deadline passed."""
    return refused("late", "the deadline passed", 504, _RETRY_AFTER_MS)


def workers_busy() -> Refusal:
    """Return the refusal of a request that workers rejected as busy, with no retry left."""
    return refused("busy", "the workers of this path are busy", 429, _RETRY_AFTER_MS)


def not_completed(reason: str) -> Refusal:
    """Return the refusal of a request that failed; `reason` is why its last attempt failed."""
    return refused("send-failed", f"could not be completed: {reason}", 502, _RETRY_AFTER_MS)


def stream_cut(reason: str) -> Refusal:
    """Return the error that ends a stream of which events were already delivered."""
    return doubtful("cut", f"the stream was cut: {reason}", status=502)
