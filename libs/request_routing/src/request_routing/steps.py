"""The steps that a request's state machine returns and the request router performs."""

from enum import StrEnum
from typing import NamedTuple

from runtime import Refusal

from request_routing.worker import Worker

__all__ = ["FinalResponse", "KeyState", "Step", "StepKind"]


class StepKind(StrEnum):
    """The kinds of step. The values are part of metric names (`steps_<value>`)."""

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


class KeyState(StrEnum):
    """The state in which an idempotency key is closed.

    DONE: a response is recorded. VOID: the request did not run, so the key is free again. DOUBT:
    the request may have run, but no response is recorded. NONE: the step closes no key. The values
    are those of `batch_state.outcomes.KeyState`, which are stored in the log.
    """

    NONE = ""
    DONE = "done"
    VOID = "void"
    DOUBT = "doubt"


class FinalResponse(NamedTuple):
    """The HTTP status and body of the response that completes a request."""

    status: int
    body: str | bytes


class Step:
    """The next action of the request router for one request.

    Parameters
    ----------
    kind
        The action.
    refusal
        The error for the client; set for REFUSE and CUT.
    key_state
        The state to close the key in; set for CLOSE_KEY.
    response
        The response; set for REPLAY, for FINISH, and for a CLOSE_KEY that records a response.
    worker
        The worker of the next attempt; set for SEND.
    """

    __slots__ = ("key_state", "kind", "refusal", "response", "worker")

    def __init__(
        self,
        kind: StepKind,
        refusal: Refusal | None = None,
        key_state: KeyState = KeyState.NONE,
        response: FinalResponse | None = None,
        worker: Worker | None = None,
    ) -> None:
        self.kind = kind
        self.refusal = refusal
        self.key_state = key_state
        self.response = response
        self.worker = worker
