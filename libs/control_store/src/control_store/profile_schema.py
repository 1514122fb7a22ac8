"""Pydantic models of the fields of a profile, as operators write them."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator

__all__ = ["ProfileRow", "Workers"]

MAX_DURATION_MS = 1_000_000_000

Name = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9][A-Za-z0-9._/-]*$")]
Fraction = Annotated[float, Field(ge=0.0, le=1.0)]


class Workers(BaseModel):
    """The workers that may serve a profile, by identity and by label."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    identities: list[Name] | None = Field(default=None, max_length=4096)
    labels: list[Name] | None = Field(default=None, max_length=256)


class Match(BaseModel):
    """The requests that a route matches, by their host and a prefix of their path."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    host: str = Field(min_length=1, max_length=255, pattern=r"^[^\s/]+$")
    prefix: str = Field(max_length=4096, pattern=r"^/(\S*/)?$")


class ServiceShare(BaseModel):
    """The relative weight of a service in a route that is split between services."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    service: Name
    share: float = Field(ge=0.0, allow_inf_nan=False)


class RequiredModel(BaseModel):
    """A model that a worker must have loaded; any revision or adapters match if not given."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    name: str = Field(min_length=1, max_length=256)
    revision: int | None = None
    adapters: list[str] | None = None


class ProfileRow(BaseModel):
    """A profile as an operator wrote it; fields that are not given are inherited.

    Fields whose names end in `_ms` are in milliseconds; `live_share`, `lot_share` and `loan_share`
    are fractions from 0 to 1.
    """

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    parent: Name | None = None
    workers: Workers | None = None
    path: Name | None = None
    deadline_ms: int | None = Field(None, ge=50, le=600_000)
    repeatable: bool | None = None
    zone: Literal["near", "any"] | None = None
    live_share: Fraction | None = None
    lot_share: Fraction | None = None
    waiting_room: int | None = Field(None, ge=0, le=1_000_000)
    retry_budget: Fraction | None = None
    abstract: bool | None = None
    match: Match | None = None
    kind: Literal["plain", "stream", "lot"] | None = None
    shares: list[ServiceShare] | None = Field(None, max_length=256)
    give_up_ms: int | None = Field(None, ge=1, le=MAX_DURATION_MS)
    target_ms: int | None = Field(None, ge=0, le=MAX_DURATION_MS)
    token_gap_ms: int | None = Field(None, ge=0, le=MAX_DURATION_MS)
    due_ms: int | None = Field(None, ge=0, le=MAX_DURATION_MS)
    keep_ms: int | None = Field(None, ge=0, le=MAX_DURATION_MS)
    urgency: int | None = Field(None, ge=0, le=9)
    attempts: int | None = Field(None, ge=1, le=1_000_000)
    sticky: bool | None = None
    resumable: bool | None = None
    waiting_tokens: int | None = Field(None, ge=0)
    loan_share: Fraction | None = None
    rollout_room: int | None = Field(None, ge=0, le=1_000_000)
    health_path: str | None = Field(None, max_length=4096, pattern=r"^(/\S*)?$")
    connections: int | None = Field(None, ge=0)
    slots: int | None = Field(None, ge=0)
    cache_tokens: int | None = Field(None, ge=0)
    stride_tokens: int | None = Field(None, ge=0)
    models: list[RequiredModel] | None = Field(None, max_length=1024)
    rank: int | None = Field(None, ge=0)
    source: str | None = None

    @field_validator("shares")
    @classmethod
    def _check_total(cls, value: list[ServiceShare] | None) -> list[ServiceShare] | None:
        if value is not None and not sum(row.share for row in value) > 0:
            raise ValueError("the shares add up to nothing")
        return value
