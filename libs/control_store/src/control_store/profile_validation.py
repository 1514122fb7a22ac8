"""Validation of a tree of profiles that an operator wrote, before it is stored.

The fields of each profile are checked by the pydantic models of `control_store.profile_schema`, and
the references between profiles by this module. Each problem is reported with its place in the tree.
"""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from pydantic import ValidationError

from control_store.profile_schema import ProfileRow, Workers

__all__ = ["Problem", "check_tree"]

ProfileRows = dict[str, dict[str, Any]]


class Problem(NamedTuple):
    """A problem of a tree: its place as a dotted path, and a message."""

    at: str
    message: str

    def to_json(self) -> dict[str, str]:
        """Return the problem as a JSON value for the operator."""
        return {"at": self.at, "message": self.message}


def check_tree(
    value: Any, known: ProfileRows | None = None
) -> Result[dict[str, Any], list[dict[str, str]]]:
    """Check a whole tree of profiles.

    Parameters
    ----------
    value
        The tree as decoded from JSON.
    known
        Rows that were found valid before, by name; an equal row is not validated again.

    Returns
    -------
    The tree in its stored form, without fields that are None; or all problems, each with its place
    `at` and a `message`.
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
    """Return a row without the fields that are None; raises ValidationError if it is invalid."""
    Workers(identities=[name])  # names of profiles follow the rules for names of workers
    return ProfileRow.model_validate(row).model_dump(exclude_none=True)


def _row_problems(name: str, error: ValidationError) -> Iterator[Problem]:
    for found in error.errors():
        path = [str(part) for part in found["loc"]]
        if path[:1] == ["identities"]:
            path = []
        yield Problem(".".join(["profiles", name, *path]), found["msg"])


def _check_references(written: dict[str, Any], rows: ProfileRows) -> Iterator[Problem]:
    """Check references between profiles in all rows, `written`, or in the valid ones, `rows`."""
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
    """Report a problem for each profile that is its own ancestor."""
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
    """Return a profile and its ancestors, up to a missing, an acyclic or a repeated one."""
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
