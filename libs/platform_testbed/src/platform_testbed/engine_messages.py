"""Messages into and out of a simulated engine, and the figures that it works by."""

from typing import Any

__all__ = [
    "DrainStarted",
    "EngineProfile",
    "EngineRequest",
    "EventProduced",
    "RequestCancelled",
    "RequestRejected",
    "RunEnded",
    "RunStarted",
]


class _Record:
    __slots__ = ()

    def __init__(self, **fields: Any) -> None:
        for name in self.__slots__:
            setattr(self, name, fields.pop(name) if name in fields else self.DEFAULTS[name])
        if fields:
            raise TypeError(f"{type(self).__name__} has no {sorted(fields)}")

    DEFAULTS: dict[str, Any] = {}

    def __repr__(self) -> str:
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({values})"


class EngineProfile(_Record):
    """The figures of an engine: capacities, and the time that one token takes.

    `step_ms` is for one token of one request alone, `slot_ms` is added for each request in the
    batch, `context_ms_per_k` for each thousand tokens of their contexts.
    """

    __slots__ = (
        "cache_tokens",
        "capacity",
        "chunk_tokens",
        "context_ms_per_k",
        "first_event",
        "ills",
        "queue_limit",
        "read_tokens_per_ms",
        "report_lag_ms",
        "slot_ms",
        "step_ms",
        "stride",
        "tells_load",
    )
    DEFAULTS = {
        "cache_tokens": 40_000,
        "capacity": 8,
        "chunk_tokens": 4096,
        "context_ms_per_k": 0.005,
        "first_event": 1,
        "ills": (),
        "queue_limit": 24,
        "read_tokens_per_ms": 100.0,
        "report_lag_ms": 200,
        "slot_ms": 0.02,
        "step_ms": 1.0,
        "stride": 14,
        "tells_load": True,
    }


class EngineRequest(_Record):
    """A request that reaches the worker. `key` names its connection's turn, not the request."""

    __slots__ = (
        "deadline_ms",
        "events",
        "key",
        "last_event_id",
        "parts",
        "poisoned",
        "request_id",
        "target_id",
        "tokens_in",
        "tokens_out",
        "urgency",
    )
    DEFAULTS = {
        "deadline_ms": None,
        "events": 1,
        "key": 0,
        "last_event_id": None,
        "parts": (),
        "poisoned": False,
        "request_id": "",
        "target_id": "",
        "tokens_in": 0,
        "tokens_out": 14,
        "urgency": 5,
    }


class RequestCancelled(_Record):
    """The connection of a request was closed."""

    __slots__ = ("key",)


class DrainStarted(_Record):
    """The worker is to leave: it goes on serving, and its health check reports it."""

    __slots__ = ()


class RequestRejected(_Record):
    """Not run: 503 when full or late, 421 for another worker, 400 without an id, or 429."""

    __slots__ = ("key", "status")


class RunStarted(_Record):
    """The first token: from here on the request has run.

    `ill` is the fault that the answer's bytes will have, empty for none.
    """

    __slots__ = ("ill", "key", "request_id", "run")


class EventProduced(_Record):
    """An event of a stream, by its number."""

    __slots__ = ("key", "number", "run")


class RunEnded(_Record):
    """A run's end: finished, broken, garbled, error (500), unable (422), late (504) or dropped."""

    __slots__ = ("ill", "key", "run", "state")
