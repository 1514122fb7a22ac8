"""Bodies of requests from clients and workers, validated with pydantic.

A refusal lists the first invalid fields; unknown fields are refused, not ignored.
"""

import json
from typing import Annotated, Any, Literal, TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from runtime import MAX_WHOLE_NUMBER, Refusal, refused

__all__ = [
    "JOB_ID_PATTERN",
    "CompletionBody",
    "HeartbeatBody",
    "LeaveBody",
    "SubmitJobBody",
    "parse",
]

JOB_ID_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"
Name = Annotated[str, Field(min_length=1, max_length=128)]
Count = Annotated[int, Field(ge=0, le=MAX_WHOLE_NUMBER)]
BodyT = TypeVar("BodyT", bound=BaseModel)

_MAX_PROBLEMS = 20


class _StrictBody(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)


class ChatMessage(_StrictBody):
    """One message of a chat completion."""

    role: Literal["system", "user", "assistant", "developer", "tool"]
    content: str
    name: str | None = None


class PromptBody(_StrictBody):
    """The fields of OpenAI's completion requests that are forwarded to workers."""

    prompt: str | None = None
    messages: list[ChatMessage] | None = Field(None, min_length=1)
    max_tokens: int | None = Field(None, ge=1, le=1_000_000)
    max_completion_tokens: int | None = Field(None, ge=1, le=1_000_000)
    temperature: float | None = Field(None, ge=0, le=2)
    top_p: float | None = Field(None, ge=0, le=1)
    n: Literal[1] | None = None
    stop: str | list[str] | None = None
    seed: int | None = None
    presence_penalty: float | None = Field(None, ge=-2, le=2)
    frequency_penalty: float | None = Field(None, ge=-2, le=2)
    user: str | None = Field(None, max_length=256)


class CompletionBody(PromptBody):
    """A live completion; `model` is the name of a profile."""

    model: Name
    stream: bool = False


class JobItemBody(PromptBody):
    """One item of a batch job; it has either a prompt or messages."""

    @model_validator(mode="after")
    def _check_prompt_or_messages(self) -> "JobItemBody":
        if (self.prompt is None) == (self.messages is None):
            raise ValueError("an item has either a prompt or messages")
        return self


class SubmitJobBody(_StrictBody):
    """A submitted batch job; `due_ms` is its deadline in milliseconds from now."""

    path: Name
    items: list[JobItemBody] = Field(min_length=1, max_length=10_000)
    due_ms: int = Field(10_000, ge=100, le=7 * 86_400_000)


class HeartbeatBody(_StrictBody):
    """A worker's heartbeat; `cache_use` is the fraction of its cache in use, from 0 to 1."""

    identity: Name
    incarnation: Count
    address: str = Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
    beat: Count
    zone: str = Field("", max_length=64)
    labels: list[Name] = Field(default_factory=list, max_length=64)
    running: Count = 0
    waiting: Count = 0
    slots: int = Field(1, ge=1, le=100_000)
    cache_use: float = Field(0.0, ge=0.0, le=1.0)


class LeaveBody(_StrictBody):
    """A worker's notice that it leaves, which it can't revoke for this incarnation."""

    identity: Name
    incarnation: Count


def parse(model: type[BodyT], data: bytes) -> Result[BodyT, Refusal]:
    """Return the body parsed by `model`, or a refusal that lists the invalid fields."""
    try:
        value: Any = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Error(refused("malformed", f"the body is not JSON: {error}"))
    try:
        return Ok(model.model_validate(value))
    except ValidationError as error:
        problems = [
            {"field": ".".join(str(part) for part in row["loc"]) or "body", "message": row["msg"]}
            for row in error.errors()[:_MAX_PROBLEMS]
        ]
        first = problems[0]
        return Error(
            refused(
                "bad-field",
                f"{first['field']}: {first['message']}",
                field=first["field"],
                problems=problems,
            )
        )
