"""Profiles: the operators' tree, checked whole with pydantic before anything is kept. A child has
everything of its parent unless it says otherwise; maps merge, lists and plain values replace."""

import hashlib
import json
from typing import Annotated, Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from toolz import merge

__all__ = ["Profile", "Tree", "check_tree", "explain", "profiles_digest"]

Name = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9][A-Za-z0-9._/-]*$")]
Share = Annotated[float, Field(ge=0.0, le=1.0)]


class Workers(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)
    identities: list[Name] | None = Field(None, max_length=4096)
    labels: list[Name] | None = Field(None, max_length=256)


class ProfileRow(BaseModel):
    """One profile as the operator wrote it; what is left out is inherited."""

    model_config = ConfigDict(extra="forbid", strict=True)
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


_DEFAULTS: dict[str, Any] = {
    "workers": {"identities": [], "labels": []}, "path": "", "deadline_ms": 5000, "repeatable": True, "zone": "near",
    "live_share": 1.0, "lot_share": 1.0, "waiting_room": 16, "retry_budget": 0.2, "abstract": False}
_OWN_ONLY = ("abstract", "parent")


class Profile:
    """A profile with everything it inherits."""

    __slots__ = ("abstract", "deadline_ms", "identities", "labels", "live_share", "lot_share", "name", "path",
                 "repeatable", "retry_budget", "waiting_room", "zone")

    def __init__(self, name: str, values: dict[str, Any]) -> None:
        self.name = name
        self.identities = frozenset(values["workers"].get("identities") or [])
        self.labels = frozenset(values["workers"].get("labels") or [])
        self.path = values["path"] or name
        self.deadline_ms = values["deadline_ms"]
        self.repeatable = values["repeatable"]
        self.zone = values["zone"]
        self.live_share = values["live_share"]
        self.lot_share = values["lot_share"]
        self.waiting_room = values["waiting_room"]
        self.retry_budget = values["retry_budget"]
        self.abstract = values["abstract"]

    def allows(self, identity: str, labels: frozenset[str]) -> bool:
        return identity in self.identities or bool(self.labels & labels)


class Tree:
    __slots__ = ("_allowed", "_resolved", "_served", "rows")

    def __init__(self, rows: dict[str, dict[str, Any]]) -> None:
        self.rows = rows
        self._resolved: dict[str, Profile] = {}
        self._allowed: dict[tuple[str, frozenset[str]], bool] = {}
        self._served: tuple[frozenset, frozenset[str]] | None = None

    @classmethod
    def of_body(cls, body: str) -> "Tree":
        return cls(json.loads(body).get("profiles", {}) if body else {})

    def line(self, name: str) -> list[str]:
        """The profile and its parents, nearest first."""
        names = [name]
        while (parent := self.rows[names[-1]].get("parent")) is not None:
            names.append(parent)
        return names

    def get(self, name: str) -> Profile | None:
        if name not in self.rows:
            return None
        if name not in self._resolved:
            values = dict(_DEFAULTS)
            for ancestor in reversed(self.line(name)):
                own = {key: value for key, value in self.rows[ancestor].items() if value is not None and (
                    key not in _OWN_ONLY or ancestor == name)}
                if "workers" in own:
                    own["workers"] = merge(values["workers"], {
                        key: value for key, value in own["workers"].items() if value is not None})
                values = merge(values, own)
            self._resolved[name] = Profile(name, values)
        return self._resolved[name]

    def usable(self, name: str) -> Profile | None:
        profile = self.get(name)
        return None if profile is None or profile.abstract else profile

    def room(self, path: str) -> int | None:
        """The waiting room of a path: that of the profile of this name."""
        profile = self.usable(path)
        return None if profile is None else profile.waiting_room

    def allows_worker(self, identity: str, labels: frozenset[str]) -> bool:
        key = (identity, labels)
        if key not in self._allowed:
            self._allowed[key] = any(self.get(name).allows(identity, labels) for name in self.rows
                                     if not self.rows[name].get("abstract"))
        return self._allowed[key]

    def served_by(self, workers: frozenset[tuple[str, frozenset[str]]]) -> frozenset[str]:
        """The names of the profiles that at least one of these workers may serve."""
        if self._served is None or self._served[0] != workers:
            names = frozenset(name for name in self.rows if (profile := self.usable(name)) is not None
                              and any(profile.allows(identity, labels) for identity, labels in workers))
            self._served = (workers, names)
        return self._served[1]


def profiles_digest(body: str) -> str:
    """What a tree as it is kept can be told by from outside."""
    return hashlib.blake2b(body.encode(), digest_size=8).hexdigest() if body else ""


def explain(tree: Tree, name: str) -> dict[str, Any]:
    """Where each value of a profile comes from; the parts of a map are told one by one."""
    profile = tree.get(name)
    if profile is None:
        return {}
    line = tree.line(name)
    told: dict[str, Any] = {}

    def source(*keys: str) -> tuple[str, Any]:
        for ancestor in line if keys[0] not in _OWN_ONLY else line[:1]:
            value: Any = tree.rows[ancestor]
            for key in keys:
                value = value.get(key) if isinstance(value, dict) else None
            if value is not None:
                return ancestor, value
        value = _DEFAULTS
        for key in keys:
            value = value[key]
        return "default", value

    for keys in (("workers", "identities"), ("workers", "labels"), *[(key,) for key in _DEFAULTS if key != "workers"]):
        origin, value = source(*keys)
        told[".".join(keys)] = {"value": name if keys == ("path",) and not value else value, "from": origin}
    return {"name": name, "parents": line[1:], "values": told}


def check_tree(value: Any) -> Result[dict[str, Any], list[dict[str, str]]]:
    """The whole tree as it will be kept, or every problem with its place."""
    problems: list[dict[str, str]] = []
    if not isinstance(value, dict) or not isinstance(value.get("profiles"), dict):
        return Error([{"at": "profiles", "message": "a tree is an object with a map 'profiles'"}])
    problems += [{"at": key, "message": "unknown field"} for key in value if key != "profiles"]
    rows: dict[str, dict[str, Any]] = {}
    for name, row in value["profiles"].items():
        try:
            Workers(identities=[name])
            rows[name] = ProfileRow.model_validate(row).model_dump(exclude_none=True)
        except ValidationError as error:
            for found in error.errors():
                place = [str(part) for part in found["loc"]]
                if place[:1] == ["identities"]:
                    place = []
                problems.append({"at": ".".join(["profiles", name, *place]), "message": found["msg"]})
    names = set(value["profiles"])
    parents = {name: row.get("parent") for name, row in value["profiles"].items() if isinstance(row, dict)}
    for name, parent in parents.items():
        if isinstance(parent, str) and parent not in names:
            problems.append({"at": f"profiles.{name}.parent", "message": f"no profile is called {parent!r}"})
    problems += _cycles(parents)
    return Error(problems) if problems else Ok({"profiles": rows})


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
                problems.append({"at": f"profiles.{name}.parent",
                                 "message": "inherits from itself: " + " -> ".join([*seen, at])})
        else:
            sound.update(seen)
    return problems
