"""Validation of a tree of profiles as an operator wrote it, before any of it is stored.

Each profile is checked by the pydantic models of `control_store.profile_schema`; references between
profiles are checked here. Every problem is reported with its place in the tree.
"""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from pydantic import ValidationError

from control_store.profile_schema import ProfileRow, Workers

__all__ = ["Problem", "check_tree"]

ProfileRows = dict[str, dict[str, Any]]


class Problem(NamedTuple):
    """A problem of a tree: its place (dotted path) and what is wrong."""

    at: str
    message: str

    def to_json(self) -> dict[str, str]:
        """Return the problem as it is reported to the operator."""
        return {"at": self.at, "message": self.message}


def check_tree(
    value: Any, known: ProfileRows | None = None
) -> Result[dict[str, Any], list[dict[str, str]]]:
    """Check a whole tree of profiles.

    Returns the tree as it will be stored, or every problem with its place (`at`) and a `message`.
    `known` maps names to rows that were checked before; a row that equals its known one is not
    validated again.
    """
    if not isinstance(value, dict) or not isinstance(value.get("profiles"), dict):
        problem = Problem("profiles", "a tree is an object with a map 'profiles'")
        return Error([problem.to_json()])
    problems = list(_check_top_level(value))
    rows: ProfileRows = {}
    for name, row in value["profiles"].items():
        if known and name in known and known[name] == row:
            rows[name] = known[name]
            continue
        try:
            rows[name] = _checked_row(name, row)
        except ValidationError as error:
            problems += _row_problems(name, error)
    problems += _check_references(value["profiles"], rows)
    if problems:
        return Error([problem.to_json() for problem in problems])
    return Ok({"profiles": rows, **({"about": value["about"]} if "about" in value else {})})


def _check_top_level(value: dict[str, Any]) -> Iterator[Problem]:
    for key in value:
        if key not in ("profiles", "about"):
            yield Problem(key, "unknown field")
    if not isinstance(value.get("about", {}), dict):
        yield Problem("about", "has to be a map")


def _checked_row(name: Any, row: Any) -> dict[str, Any]:
    """Return a row without the fields that are None. Raises ValidationError."""
    Workers(identities=[name])  # Names of profiles and of workers follow the same rules.
    return ProfileRow.model_validate(row).model_dump(exclude_none=True)


def _row_problems(name: str, error: ValidationError) -> Iterator[Problem]:
    for found in error.errors():
        path = [str(part) for part in found["loc"]]
        if path[:1] == ["identities"]:
            path = []
        yield Problem(".".join(["profiles", name, *path]), found["msg"])


def _check_references(written: dict[str, Any], rows: ProfileRows) -> Iterator[Problem]:
    """Check what profiles say of each other: `written` are all rows, `rows` the valid ones."""
    names = set(written)
    parents = {name: row.get("parent") for name, row in written.items() if isinstance(row, dict)}
    yield from _unknown_parents(parents, names)
    yield from _cycles(parents)
    yield from _unknown_services(rows, names)
    yield from _duplicate_routes(rows)


def _unknown_parents(parents: dict[str, Any], names: set[str]) -> Iterator[Problem]:
    for name, parent in parents.items():
        if isinstance(parent, str) and parent not in names:
            yield Problem(f"profiles.{name}.parent", f"no profile is called {parent!r}")


def _unknown_services(rows: ProfileRows, names: set[str]) -> Iterator[Problem]:
    for name, row in rows.items():
        for index, share in enumerate(row.get("shares", ())):
            if share["service"] not in names:
                yield Problem(
                    f"profiles.{name}.shares.{index}.service",
                    f"no profile is called {share['service']!r}",
                )


def _duplicate_routes(rows: ProfileRows) -> Iterator[Problem]:
    first: dict[tuple[str, str], str] = {}
    for name, row in rows.items():
        if "match" in row:
            route = (row["match"]["host"].lower(), row["match"]["prefix"])
            if first.setdefault(route, name) != name:
                yield Problem(
                    f"profiles.{name}.match",
                    f"profile {first[route]!r} has the same host and prefix",
                )


def _cycles(parents: dict[str, Any]) -> Iterator[Problem]:
    """Report each profile that is its own ancestor, once for each that is on the cycle."""
    acyclic: set[str] = set()
    for name in parents:
        path = _ancestors_until_known(name, parents, acyclic)
        following = parents[path[-1]] if path else name
        if following not in path:
            acyclic.update(path)
        elif following == name:
            chain = " -> ".join([*path, name])
            yield Problem(f"profiles.{name}.parent", f"inherits from itself: {chain}")


def _ancestors_until_known(name: str, parents: dict[str, Any], acyclic: Iterable[str]) -> list[str]:
    """Return a profile and its ancestors, up to one that is known to be acyclic or repeats."""
    path: list[str] = []
    current: Any = name
    while (
        isinstance(current, str)
        and current in parents
        and current not in acyclic
        and current not in path
    ):
        path.append(current)
        current = parents[current]
    return path
