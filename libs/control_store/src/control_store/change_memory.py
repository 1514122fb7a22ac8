"""The recent changes that a key's value remembers, for idempotent retries.

The last changes are stored in the value itself, so they are as durable as it is and move with it
from owner to owner; their number is bounded. A change that is not among them was certainly never
decided only if it would have to be among them: if the version that it was based on, or the number
that it would have made, is not older than what is remembered.
"""

from control_store.messages import NO_BASE, Change, FindChange, Value

__all__ = [
    "REMEMBERED_CHANGES",
    "REMEMBERED_PROFILE_CHANGES",
    "add_change",
    "decided_version",
    "surely_undecided",
]

REMEMBERED_CHANGES = 64
REMEMBERED_PROFILE_CHANGES = 256
PROFILES_KEY = "profiles"


def decided_version(value: Value, change_id: str) -> int | None:
    """Return the version that a change made, or None if it is not remembered."""
    if change_id not in value.change_ids:
        return None
    return value.change_versions[value.change_ids.index(change_id)]


def add_change(value: Value, change: Change) -> Value:
    """Return the value that results from applying the change to this one."""
    limit = REMEMBERED_PROFILE_CHANGES if change.key == PROFILES_KEY else REMEMBERED_CHANGES
    version = value.version + 1
    return Value(
        version=version,
        body=change.body,
        change_ids=[*value.change_ids, change.change_id][-limit:],
        change_versions=[*value.change_versions, version][-limit:],
        change_bases=[*value.change_bases, change.base][-limit:],
    )


def surely_undecided(value: Value, change: Change | FindChange) -> bool:
    """Whether a change that is not remembered was certainly never decided.

    The `version` and `base` of decided changes rise from one to the next, and each one's base is
    the number that the one before made.
    """
    first_version = value.change_versions[0] if value.change_versions else value.version + 1
    if first_version == 1 or change.version >= first_version - 1:
        return True
    if not isinstance(change, FindChange) or change.base == NO_BASE:
        return False
    first_base = value.change_bases[0] if value.change_bases else NO_BASE
    if change.number <= change.base:
        return True
    return first_base != NO_BASE and (change.base >= first_base or change.number > first_base)
