"""Messages into and out of a simulated engine, and its performance profile."""

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
            raise TypeError(f"{type(self).__name__} has no fields {sorted(fields)}")

    DEFAULTS: dict[str, Any] = {}

    def __repr__(self) -> str:
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({values})"


class EngineProfile(_Record):
    """Capacities of an engine and the time that its steps take.

    Attributes
    ----------
    cache_tokens, capacity, queue_limit
        Tokens of cache memory, size of the running batch, and length of the queue.
    chunk_tokens, read_tokens_per_ms
        Prompt tokens that one step processes at most, and the rate at which it does.
    step_ms, slot_ms, context_ms_per_k
        Time for one token of each request in the batch: a fixed part, a part for each request that
        produces tokens, and a part for each thousand tokens of their contexts.
    stride, first_event
        Tokens in one event, and the number of a stream's first event.
    faults
        Names of answer faults, each with the share of all runs that has it.
    report_lag_ms, reports_load
        Age of the load in a report, and whether answers carry the load of the moment.
    """

    __slots__ = (
        "cache_tokens",
        "capacity",
        "chunk_tokens",
        "context_ms_per_k",
        "faults",
        "first_event",
        "queue_limit",
        "read_tokens_per_ms",
        "report_lag_ms",
        "reports_load",
        "slot_ms",
        "step_ms",
        "stride",
    )
    DEFAULTS = {
        "cache_tokens": 40_000,
        "capacity": 8,
        "chunk_tokens": 4096,
        "context_ms_per_k": 0.005,
        "first_event": 1,
        "faults": (),
        "queue_limit": 24,
        "read_tokens_per_ms": 100.0,
        "report_lag_ms": 200,
        "slot_ms": 0.02,
        "step_ms": 1.0,
        "stride": 14,
        "reports_load": True,
    }


class EngineRequest(_Record):
    """A request that reaches the worker.

    `key` identifies this delivery to the worker; the same `request_id` may be delivered again.
    """

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
    """The handling of a request ended, because it was answered or its connection was closed."""

    __slots__ = ("key",)


class DrainStarted(_Record):
    """The worker starts to drain: it keeps serving, and its health check reports it."""

    __slots__ = ()


class RequestRejected(_Record):
    """The request was not run.

    The status is 503 when full or past the deadline, 421 for another worker and 400 without an id.
    Workers may also answer 429, which this engine doesn't.
    """

    __slots__ = ("key", "status")


class RunStarted(_Record):
    """The run produced its first token; from here on the request counts as run.

    `fault` is the fault that the answer's bytes will have, empty for none.
    """

    __slots__ = ("fault", "key", "request_id", "run")


class EventProduced(_Record):
    """A run produced an event of its stream, by its number."""

    __slots__ = ("key", "number", "run")


class RunEnded(_Record):
    """A run ended: finished, broken, garbled, error (500), unable (422), late (504) or dropped."""

    __slots__ = ("fault", "key", "run", "state")
