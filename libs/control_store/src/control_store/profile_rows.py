"""Validation of a tree of profiles as an operator wrote it, before any of it is stored.

Rows are checked by pydantic models; references between rows are checked here. Every problem is
reported with its place in the tree.
"""

from collections.abc import Iterator
from typing import Annotated, Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

__all__ = ["check_tree"]

Name = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9][A-Za-z0-9._/-]*$")]
_LONGEST_MS = 1_000_000_000
Share = Annotated[float, Field(ge=0.0, le=1.0)]


class Workers(BaseModel):
    """The workers that may serve a profile, by identity and by label."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    identities: list[Name] | None = Field(None, max_length=4096)
    labels: list[Name] | None = Field(None, max_length=256)


class Match(BaseModel):
    """The place of a route: the host of a request, and the prefix of its path."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    host: str = Field(min_length=1, max_length=255, pattern=r"^[^\s/]+$")
    prefix: str = Field(max_length=4096, pattern=r"^/(\S*/)?$")


class ShareRow(BaseModel):
    """The relative weight of one service among those that a route is split over."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    service: Name
    share: float = Field(ge=0.0, allow_inf_nan=False)


class ModelRow(BaseModel):
    """A model that a profile asks its workers for; a revision or adapters left out match any."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    name: str = Field(min_length=1, max_length=256)
    revision: int | None = None
    adapters: list[str] | None = None


class ProfileRow(BaseModel):
    """One profile as the operator wrote it; fields that are left out are inherited.

    Names that end in `_ms` are milliseconds; shares are fractions from 0 to 1.
    """

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    parent: Name | None = None
    workers: Workers | None = None
    path: Name | None = None
    deadline_ms: int | None = Field(None, ge=50, le=600_000)
    repeatable: bool | None = None
    zone: Literal["near", "any"] | None = None
    live_share: Share | None = None
    lot_share: Share | None = None
    waiting_room: int | None = Field(None, ge=0, le=1_000_000)
    retry_budget: Share | None = None
    abstract: bool | None = None
    match: Match | None = None
    kind: Literal["plain", "stream", "lot"] | None = None
    shares: list[ShareRow] | None = Field(None, max_length=256)
    give_up_ms: int | None = Field(None, ge=1, le=_LONGEST_MS)
    target_ms: int | None = Field(None, ge=0, le=_LONGEST_MS)
    token_gap_ms: int | None = Field(None, ge=0, le=_LONGEST_MS)
    due_ms: int | None = Field(None, ge=0, le=_LONGEST_MS)
    keep_ms: int | None = Field(None, ge=0, le=_LONGEST_MS)
    urgency: int | None = Field(None, ge=0, le=9)
    attempts: int | None = Field(None, ge=1, le=1_000_000)
    sticky: bool | None = None
    resumable: bool | None = None
    waiting_tokens: int | None = Field(None, ge=0)
    loan_share: Share | None = None
    rollout_room: int | None = Field(None, ge=0, le=1_000_000)
    health_path: str | None = Field(None, max_length=4096, pattern=r"^(/\S*)?$")
    connections: int | None = Field(None, ge=0)
    slots: int | None = Field(None, ge=0)
    cache_tokens: int | None = Field(None, ge=0)
    stride_tokens: int | None = Field(None, ge=0)
    models: list[ModelRow] | None = Field(None, max_length=1024)
    rank: int | None = Field(None, ge=0)
    source: str | None = None

    @field_validator("shares")
    @classmethod
    def _weighted(cls, value: list[ShareRow] | None) -> list[ShareRow] | None:
        if value is not None and not sum(row.share for row in value) > 0:
            raise ValueError("the shares add up to nothing")
        return value


def check_tree(
    value: Any, known: dict[str, dict[str, Any]] | None = None
) -> Result[dict[str, Any], list[dict[str, str]]]:
    """Check a whole tree of profiles.

    Returns the tree as it will be stored, or every problem with its place (`at`) and a `message`.
    `known` maps names to rows that were checked before; a row that equals its known one is not
    validated again.
    """
    known = known or {}
    problems: list[dict[str, str]] = []
    if not isinstance(value, dict) or not isinstance(value.get("profiles"), dict):
        return Error([{"at": "profiles", "message": "a tree is an object with a map 'profiles'"}])
    problems += [
        {"at": key, "message": "unknown field"} for key in value if key not in ("profiles", "about")
    ]
    if not isinstance(value.get("about", {}), dict):
        problems.append({"at": "about", "message": "has to be a map"})
    rows: dict[str, dict[str, Any]] = {}
    for name, row in value["profiles"].items():
        if name in known and known[name] == row:
            rows[name] = known[name]
            continue
        try:
            Workers(identities=[name])
            rows[name] = ProfileRow.model_validate(row).model_dump(exclude_none=True)
        except ValidationError as error:
            for found in error.errors():
                place = [str(part) for part in found["loc"]]
                if place[:1] == ["identities"]:
                    place = []
                problems.append(
                    {"at": ".".join(["profiles", name, *place]), "message": found["msg"]}
                )
    names = set(value["profiles"])
    parents = {
        name: row.get("parent") for name, row in value["profiles"].items() if isinstance(row, dict)
    }
    for name, parent in parents.items():
        if isinstance(parent, str) and parent not in names:
            problems.append(
                {"at": f"profiles.{name}.parent", "message": f"no profile is called {parent!r}"}
            )
    problems += _cycles(parents)
    problems += _unknown_services(rows, names)
    problems += _same_place(rows)
    if problems:
        return Error(problems)
    return Ok(
        {"profiles": rows, "about": value["about"]} if "about" in value else {"profiles": rows}
    )


def _unknown_services(rows: dict[str, dict[str, Any]], names: set[str]) -> Iterator[dict[str, str]]:
    for name, row in rows.items():
        for index, share in enumerate(row.get("shares", ())):
            if share["service"] not in names:
                yield {
                    "at": f"profiles.{name}.shares.{index}.service",
                    "message": f"no profile is called {share['service']!r}",
                }


def _same_place(rows: dict[str, dict[str, Any]]) -> Iterator[dict[str, str]]:
    taken: dict[tuple[str, str], str] = {}
    for name, row in rows.items():
        if "match" in row:
            place = (row["match"]["host"].lower(), row["match"]["prefix"])
            if taken.setdefault(place, name) != name:
                yield {
                    "at": f"profiles.{name}.match",
                    "message": f"profile {taken[place]!r} has the same host and prefix",
                }


def _cycles(parents: dict[str, Any]) -> list[dict[str, str]]:
    problems, sound = [], set()
    for name in parents:
        seen: list[str] = []
        at = name
        while isinstance(at, str) and at in parents and at not in sound and at not in seen:
            seen.append(at)
            at = parents[at]
        if at in seen:
            if name == at:
                problems.append(
                    {
                        "at": f"profiles.{name}.parent",
                        "message": "inherits from itself: " + " -> ".join([*seen, at]),
                    }
                )
        else:
            sound.update(seen)
    return problems
