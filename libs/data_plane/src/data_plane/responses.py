"""What a client is answered: a status with its body, or a refusal with its verdict.

A service gives each client a `ServiceResponse`; the HTTP side writes it out, and the simulator's
clients read it as it is. How the leader's messages become responses is in `job_responses` (our own
interface) and `forward_job_responses`.
"""

import json
from typing import Any, Generic, TypeVar, cast

from request_routing import Step
from request_routing.steps import StepKind
from runtime import Refusal, Verdict, doubtful, refused

__all__ = ["ServiceResponse", "completion_response", "not_ready"]

ContentT = TypeVar("ContentT")

_NOT_READY_RETRY_MS = 1000


class ServiceResponse(Generic[ContentT]):
    """A status with its body, or a refusal.

    `value` is the content of a positive response that is not written out yet; `replayed` says that
    the response was recorded under the idempotency key before.
    """

    __slots__ = ("body", "refusal", "replayed", "status", "value")

    def __init__(
        self,
        status: int,
        body: str,
        refusal: Refusal | None = None,
        replayed: bool = False,
        value: ContentT | None = None,
    ) -> None:
        self.status = status
        self.body = body
        self.refusal = refusal
        self.replayed = replayed
        self.value = value

    @classmethod
    def refuse(cls, refusal: Refusal) -> "ServiceResponse[ContentT]":
        """Return the response of a refusal."""
        return cls(refusal.status, json.dumps(refusal.body()), refusal)

    @classmethod
    def of_json(cls, content: Any, status: int = 200) -> "ServiceResponse[ContentT]":
        """Return a positive response with a JSON body."""
        return cls(status, json.dumps(content))

    @classmethod
    def of_value(cls, value: ContentT, status: int = 200) -> "ServiceResponse[ContentT]":
        """Return a positive response whose content the HTTP side writes out."""
        return cls(status, "", value=value)

    @property
    def verdict(self) -> Verdict:
        """The refusal's verdict, or RAN."""
        return self.refusal.verdict if self.refusal is not None else Verdict.RAN

    @property
    def code(self) -> str:
        """The refusal's code, or an empty string."""
        return self.refusal.code if self.refusal is not None else ""


def not_ready(reason: str, named: bool) -> Refusal:
    """Return the refusal of an edge that is not ready; nothing was forwarded.

    `named` says that the request has a key or an id, under which it may have come through another
    edge before; the verdict is then doubtful.
    """
    make = doubtful if named else refused
    return make("not-ready", reason, retry_after_ms=_NOT_READY_RETRY_MS, status=503)


def completion_response(step: Step) -> ServiceResponse[None]:
    """Return the response of a live completion, from the last step of its life cycle."""
    if step.kind in (StepKind.FINISH, StepKind.REPLAY):
        assert step.response is not None, "a finish and a replay have a response"
        body = cast(str, step.response.body)
        return ServiceResponse(step.response.status, body, replayed=step.kind is StepKind.REPLAY)
    assert step.refusal is not None, "a last step that is no finish has a refusal"
    return ServiceResponse.refuse(step.refusal)
