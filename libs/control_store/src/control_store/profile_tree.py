"""The tree of profiles, with lookups by name, by route and by worker.

A profile with a `match` is a route. A request belongs to the route with its host that has the
longest matching prefix of its path. `shares` split the requests of a route between services.
"""

import hashlib
import json
from collections.abc import Iterator
from typing import Any

from control_store.profile import Profile
from control_store.profile_inheritance import ancestry, explain_values, resolve_values
from control_store.routes import RouteIndex, WeightedSplit

__all__ = ["ProfileTree", "explain", "profiles_digest"]

DIGEST_BYTES = 8

WorkerKey = tuple[str, frozenset[str]]
"""The identity and the labels of a worker."""


class ProfileTree:
    """A tree of profiles that caches the results of its lookups.

    Parameters
    ----------
    rows
        The profiles as operators wrote them, by name.
    about
        Data about the tree from the operator, which is stored with it.
    """

    __slots__ = ("_allowed", "_resolved", "_routes", "_served", "about", "rows")

    def __init__(
        self, rows: dict[str, dict[str, Any]], about: dict[str, Any] | None = None
    ) -> None:
        self.rows = rows
        self.about = about or {}
        self._routes: RouteIndex | None = None
        self._resolved: dict[str, Profile] = {}
        self._allowed: dict[WorkerKey, bool] = {}
        self._served: tuple[frozenset[WorkerKey], frozenset[str]] | None = None

    @classmethod
    def from_body(cls, body: str) -> "ProfileTree":
        """Return the tree for a stored JSON body; the tree of an empty body has no profiles."""
        value = json.loads(body) if body else {}
        return cls(value.get("profiles", {}), value.get("about"))

    def ancestry(self, name: str) -> list[str]:
        """Return the names of a profile and its ancestors, nearest first."""
        return ancestry(self.rows, name)

    def get(self, name: str) -> Profile | None:
        """Return the profile with this name, or None if it is unknown."""
        if name not in self.rows:
            return None
        if name not in self._resolved:
            self._resolved[name] = self._resolve(name)
        return self._resolved[name]

    def _resolve(self, name: str) -> Profile:
        values = resolve_values(self.rows, name)
        if not values["shares"]:
            return Profile(name, values)
        shares = ((row["share"], self._labels(row["service"])) for row in values["shares"])
        return Profile(name, values, WeightedSplit(shares))

    def _labels(self, name: str) -> frozenset[str]:
        return frozenset(resolve_values(self.rows, name)["workers"].get("labels") or ())

    def usable(self, name: str) -> Profile | None:
        """Return the profile with this name, or None if it is abstract or unknown."""
        profile = self.get(name)
        return None if profile is None or profile.abstract else profile

    def backlog_limit(self, name: str) -> int | None:
        """Return the maximum number of waiting requests of a profile, or None if not usable."""
        profile = self.usable(name)
        return None if profile is None else profile.waiting_room

    def route(self, host: str, path: str) -> Profile | None:
        """Return the route with the longest prefix that matches a request, or None."""
        if self._routes is None:
            self._routes = RouteIndex(
                (row["match"]["host"], row["match"]["prefix"], name)
                for name, row in self.rows.items()
                if row.get("match") and not row.get("abstract")
            )
        name = self._routes.find(host, path)
        return None if name is None else self.get(name)

    def allows_worker(self, identity: str, labels: frozenset[str]) -> bool:
        """Whether a worker may serve at least one profile that is not abstract."""
        key = (identity, labels)
        if key not in self._allowed:
            self._allowed[key] = any(
                profile.allows(identity, labels) for profile in self._usable_profiles()
            )
        return self._allowed[key]

    def served_by(self, workers: frozenset[WorkerKey]) -> frozenset[str]:
        """Return the names of the profiles that at least one of these workers may serve.

        Abstract profiles are left out. Only the last result is cached.
        """
        if self._served is None or self._served[0] != workers:
            names = frozenset(
                profile.name
                for profile in self._usable_profiles()
                if any(profile.allows(identity, labels) for identity, labels in workers)
            )
            self._served = (workers, names)
        return self._served[1]

    def _usable_profiles(self) -> Iterator[Profile]:
        for name in self.rows:
            profile = self.usable(name)
            if profile is not None:
                yield profile


def profiles_digest(body: str) -> str:
    """Return a hexadecimal digest that identifies a stored tree; empty for an empty body."""
    if not body:
        return ""
    return hashlib.blake2b(body.encode(), digest_size=DIGEST_BYTES).hexdigest()


def explain(tree: ProfileTree, name: str) -> dict[str, Any]:
    """Return the ancestors of a profile and the origin of each of its values, as JSON values.

    The entries of `values` are described at `explain_values`. Returns an empty map if the name is
    unknown.
    """
    if tree.get(name) is None:
        return {}
    return {
        "name": name,
        "parents": tree.ancestry(name)[1:],
        "values": explain_values(tree.rows, name),
    }
