"""What the driver of a request has to do next, as its state machine says."""

from enum import StrEnum
from typing import NamedTuple

from runtime import Refusal

from request_routing.worker import Worker

__all__ = ["FinalResponse", "KeyOutcome", "Step", "StepKind"]


class StepKind(StrEnum):
    """The kinds of step. The values name counters of the metrics (`steps_...`)."""

    OPEN_KEY = "open"
    SELECT_WORKER = "place"
    ENQUEUE = "wait"
    SEND = "send"
    STREAM = "stream"
    CLOSE_KEY = "close"
    REPLAY = "replay"
    FINISH = "finish"
    REFUSE = "refuse"
    CUT = "cut"
    CLIENT_DISCONNECTED = "gone"


class KeyOutcome(StrEnum):
    """How an idempotency key is closed at the log's leader; the values are those of the log."""

    NONE = ""
    DONE = "done"
    VOID = "void"
    DOUBT = "doubt"


class FinalResponse(NamedTuple):
    """The HTTP status and the body that a request ends with."""

    status: int
    body: str | bytes


class Step:
    """What the driver has to do next.

    `worker` is set for a send; `response` for a replay, a finish, and the closing of a key that a
    response is recorded under; `refusal` for a refusal and a cut stream; `key_outcome` for the
    closing of a key.
    """

    __slots__ = ("key_outcome", "kind", "refusal", "response", "worker")

    def __init__(
        self,
        kind: StepKind,
        refusal: Refusal | None = None,
        key_outcome: KeyOutcome = KeyOutcome.NONE,
        response: FinalResponse | None = None,
        worker: Worker | None = None,
    ) -> None:
        self.kind = kind
        self.refusal = refusal
        self.key_outcome = key_outcome
        self.response = response
        self.worker = worker
