"""The tree of profiles and its inheritance.

A child inherits every value of its parent that it does not set; maps are merged, lists and plain
values are replaced. A profile with a place (`match`) is a route: it is chosen by a request's host
and the longest prefix of its path. Shares split a route over several services.
"""

import hashlib
import json
from typing import Any

from toolz import merge

from control_store.defaults import DEFAULTS, OWN_ONLY
from control_store.routes import RouteIndex, Split

__all__ = ["Profile", "ProfileTree", "explain", "profiles_digest"]


_PLAIN = tuple(
    key
    for key in DEFAULTS
    if key not in ("workers", "path", "match", "shares", "give_up_ms", "rank", "source")
)
_UNTOLD = ("workers", "rank", "source")


class Profile:
    """A profile with all inherited values resolved.

    Names that end in `_ms` are milliseconds.
    """

    __slots__ = (
        "_split",
        "abstract",
        "attempts",
        "cache_tokens",
        "connections",
        "deadline_ms",
        "due_ms",
        "give_up_ms",
        "health_path",
        "host",
        "identities",
        "keep_ms",
        "kind",
        "labels",
        "live_share",
        "loan_share",
        "lot_share",
        "models",
        "name",
        "path",
        "prefix",
        "repeatable",
        "resumable",
        "retry_budget",
        "rollout_room",
        "slots",
        "sticky",
        "stride_tokens",
        "target_ms",
        "token_gap_ms",
        "urgency",
        "waiting_room",
        "waiting_tokens",
        "zone",
    )

    def __init__(self, name: str, values: dict[str, Any], split: Split | None = None) -> None:
        """`split`, if it has shares, is over the labels of the services they name."""
        for key in _PLAIN:
            setattr(self, key, values[key])
        self.name = name
        self.identities = frozenset(values["workers"].get("identities") or [])
        self._split = split
        self.labels = (
            frozenset(values["workers"].get("labels") or []) if split is None else split.union
        )
        self.path = values["path"] or name
        self.give_up_ms = values["give_up_ms"] or values["deadline_ms"]
        self.host = values["match"].get("host", "")
        self.prefix = values["match"].get("prefix", "")

    def pick(self, number: float) -> frozenset[str]:
        """Return the labels of the service that a number from 0 to 1 falls to by the shares."""
        return self.labels if self._split is None else self._split.pick(number)

    def allows(self, identity: str, labels: frozenset[str]) -> bool:
        """Whether a worker may serve this profile, by its identity or one of its labels."""
        return identity in self.identities or bool(self.labels & labels)


class ProfileTree:
    """A tree of profiles, with lookups that are computed once for each tree.

    `rows` are the profiles as written, by name; `about` is the operator's own data.
    """

    __slots__ = ("_allowed", "_resolved", "_routes", "_served", "about", "rows")

    def __init__(
        self, rows: dict[str, dict[str, Any]], about: dict[str, Any] | None = None
    ) -> None:
        self.rows = rows
        self.about = about or {}
        self._routes: RouteIndex | None = None
        self._resolved: dict[str, Profile] = {}
        self._allowed: dict[tuple[str, frozenset[str]], bool] = {}
        self._served: tuple[frozenset, frozenset[str]] | None = None

    @classmethod
    def of_body(cls, body: str) -> "ProfileTree":
        """Return the tree of a stored JSON body; an empty body is the empty tree."""
        value = json.loads(body) if body else {}
        return cls(value.get("profiles", {}), value.get("about"))

    def line(self, name: str) -> list[str]:
        """Return the names of a profile and its ancestors, nearest first."""
        names = [name]
        while (parent := self.rows[names[-1]].get("parent")) is not None:
            names.append(parent)
        return names

    def get(self, name: str) -> Profile | None:
        """Return the resolved profile of this name, or None."""
        if name not in self.rows:
            return None
        if name not in self._resolved:
            values = self._values(name)
            split = (
                Split((row["share"], self._labels(row["service"])) for row in values["shares"])
                if values["shares"]
                else None
            )
            self._resolved[name] = Profile(name, values, split)
        return self._resolved[name]

    def _values(self, name: str) -> dict[str, Any]:
        values = dict(DEFAULTS)
        for ancestor in reversed(self.line(name)):
            own = {
                key: value
                for key, value in self.rows[ancestor].items()
                if value is not None and (key not in OWN_ONLY or ancestor == name)
            }
            if "workers" in own:
                own["workers"] = merge(
                    values["workers"],
                    {key: value for key, value in own["workers"].items() if value is not None},
                )
            values = merge(values, own)
        return values

    def _labels(self, name: str) -> frozenset[str]:
        return frozenset(self._values(name)["workers"].get("labels") or ())

    def route(self, host: str, path: str) -> Profile | None:
        """Return the profile of the route with the longest matching prefix, or None."""
        if self._routes is None:
            self._routes = RouteIndex(
                (row["match"]["host"], row["match"]["prefix"], name)
                for name, row in self.rows.items()
                if row.get("match") and not row.get("abstract")
            )
        name = self._routes.name(host, path)
        return None if name is None else self.get(name)

    def usable(self, name: str) -> Profile | None:
        """Return the resolved profile of this name, or None if it is abstract or unknown."""
        profile = self.get(name)
        return None if profile is None or profile.abstract else profile

    def room(self, path: str) -> int | None:
        """Return how many requests may wait for the profile of this name, or None."""
        profile = self.usable(path)
        return None if profile is None else profile.waiting_room

    def allows_worker(self, identity: str, labels: frozenset[str]) -> bool:
        """Whether a worker may serve any profile that is not abstract."""
        key = (identity, labels)
        if key not in self._allowed:
            self._allowed[key] = any(
                self.get(name).allows(identity, labels)
                for name in self.rows
                if not self.rows[name].get("abstract")
            )
        return self._allowed[key]

    def served_by(self, workers: frozenset[tuple[str, frozenset[str]]]) -> frozenset[str]:
        """Return the names of the profiles that at least one of these workers may serve.

        `workers` are an identity and labels each. The last result is cached.
        """
        if self._served is None or self._served[0] != workers:
            names = frozenset(
                name
                for name in self.rows
                if (profile := self.usable(name)) is not None
                and any(profile.allows(identity, labels) for identity, labels in workers)
            )
            self._served = (workers, names)
        return self._served[1]


def profiles_digest(body: str) -> str:
    """Return a digest by which a stored tree can be recognized from outside; empty for none."""
    return hashlib.blake2b(body.encode(), digest_size=8).hexdigest() if body else ""


def explain(tree: ProfileTree, name: str) -> dict[str, Any]:
    """Return each value of a profile with the profile that it comes from, or "default".

    The parts of a map are listed one by one. Returns an empty map for an unknown name.
    """
    profile = tree.get(name)
    if profile is None:
        return {}
    line = tree.line(name)
    told: dict[str, Any] = {}

    def source(*keys: str) -> tuple[str, Any]:
        for ancestor in line if keys[0] not in OWN_ONLY else line[:1]:
            value: Any = tree.rows[ancestor]
            for key in keys:
                value = value.get(key) if isinstance(value, dict) else None
            if value is not None:
                return ancestor, value
        value = DEFAULTS
        for key in keys:
            value = value[key]
        return "default", value

    for keys in (
        ("workers", "identities"),
        ("workers", "labels"),
        *[(key,) for key in DEFAULTS if key not in _UNTOLD],
    ):
        origin, value = source(*keys)
        told[".".join(keys)] = {
            "value": name if keys == ("path",) and not value else value,
            "from": origin,
        }
    return {"name": name, "parents": line[1:], "values": told}
