"""Responses of services to clients: a status with a body, or a refusal with its verdict.

The HTTP modules write a `ServiceResponse` to the client; the simulator's clients read it directly.
Responses are made from the leader's messages in `job_responses` (vaneledge's own HTTP API) and
`forward_job_responses`.
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

    Parameters
    ----------
    status
        The HTTP status.
    body
        The body, or an empty string if `value` has the content.
    refusal
        The refusal, or None.
    replayed
        Whether this is the recorded response of an earlier request with the same idempotency key.
    value
        The content of a successful response that the HTTP module serializes, or None.
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
        """Return a successful response with a JSON body."""
        return cls(status, json.dumps(content))

    @classmethod
    def of_value(cls, value: ContentT, status: int = 200) -> "ServiceResponse[ContentT]":
        """Return a successful response whose content the HTTP module serializes."""
        return cls(status, "", value=value)

    @property
    def verdict(self) -> Verdict:
        """The refusal's verdict, or RAN."""
        return self.refusal.verdict if self.refusal is not None else Verdict.RAN

    @property
    def code(self) -> str:
        """The refusal's code, or an empty string."""
        return self.refusal.code if self.refusal is not None else ""


def not_ready(reason: str, has_id: bool) -> Refusal:
    """Return the refusal of a request to an edge that is not ready; nothing was forwarded.

    `has_id` is true if the request has an idempotency key or an id. It may then be a retry of a
    request that ran through another edge, so the verdict is `may_have_run`.
    """
    make = doubtful if has_id else refused
    return make("not-ready", reason, retry_after_ms=_NOT_READY_RETRY_MS, status=503)


def completion_response(step: Step) -> ServiceResponse[None]:
    """Return the response of a live completion, from the last step of its life cycle."""
    if step.kind in (StepKind.FINISH, StepKind.REPLAY):
        assert step.response is not None, f"{step.kind} step without a response"
        body = cast(str, step.response.body)
        return ServiceResponse(step.response.status, body, replayed=step.kind is StepKind.REPLAY)
    assert step.refusal is not None, f"last step {step.kind} without a refusal"
    return ServiceResponse.refuse(step.refusal)
