"""Inheritance of values between profiles.

A profile inherits each value that it does not set from its parent. The map `workers` is merged;
other values are replaced as a whole. The fields in NOT_INHERITED are not inherited.
"""

from typing import Any

from toolz import merge

from control_store.profile_defaults import DEFAULTS, NOT_INHERITED

__all__ = ["ancestry", "explain_values", "resolve_values"]

ProfileRows = dict[str, dict[str, Any]]

DEFAULT_ORIGIN = "default"
_NOT_EXPLAINED = ("workers", "rank", "source")
_EXPLAINED = (
    ("workers", "identities"),
    ("workers", "labels"),
    *[(key,) for key in DEFAULTS if key not in _NOT_EXPLAINED],
)


def ancestry(rows: ProfileRows, name: str) -> list[str]:
    """Return the names of a profile and its ancestors, nearest first."""
    names = [name]
    while (parent := rows[names[-1]].get("parent")) is not None:
        names.append(parent)
    return names


def resolve_values(rows: ProfileRows, name: str) -> dict[str, Any]:
    """Return the value of each field of a profile: its own, an inherited or the default value."""
    values = dict(DEFAULTS)
    for ancestor in reversed(ancestry(rows, name)):
        own = {
            key: value
            for key, value in rows[ancestor].items()
            if value is not None and (key not in NOT_INHERITED or ancestor == name)
        }
        if "workers" in own:
            own["workers"] = merge(
                values["workers"],
                {key: value for key, value in own["workers"].items() if value is not None},
            )
        values = merge(values, own)
    return values


def explain_values(rows: ProfileRows, name: str) -> dict[str, dict[str, Any]]:
    """Return each value of a profile, and the name of the profile that sets it or "default".

    The result maps the name of a field to a map with the keys `value` and `from`. The parts of
    `workers` are separate entries, with dotted paths as their keys.
    """
    explained: dict[str, dict[str, Any]] = {}
    for keys in _EXPLAINED:
        origin, value = _find_value(rows, name, keys)
        if keys == ("path",) and not value:
            value = name
        explained[".".join(keys)] = {"value": value, "from": origin}
    return explained


def _find_value(rows: ProfileRows, name: str, keys: tuple[str, ...]) -> tuple[str, Any]:
    """Return the name of the profile that sets the value at a path, or "default", and the value."""
    names = [name] if keys[0] in NOT_INHERITED else ancestry(rows, name)
    for ancestor in names:
        value = _lookup(rows[ancestor], keys)
        if value is not None:
            return ancestor, value
    return DEFAULT_ORIGIN, _lookup(DEFAULTS, keys)


def _lookup(value: Any, keys: tuple[str, ...]) -> Any:
    for key in keys:
        value = value.get(key) if isinstance(value, dict) else None
    return value
