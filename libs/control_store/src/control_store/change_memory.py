"""The recent changes remembered in a key's value, which make retries idempotent.

A bounded number of changes is stored in the value itself, so they are as durable as the value and
move with it from owner to owner. If a change is not among them, that proves that it was never
decided only if it is recent enough: the version that it was based on, or the one that it would have
produced in the caller's numbering, must not be older than the changes remembered.
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
    """Return the version that a change produced, or None if the change is not remembered."""
    if change_id not in value.change_ids:
        return None
    return value.change_versions[value.change_ids.index(change_id)]


def add_change(value: Value, change: Change) -> Value:
    """Return the next version of a value, which has the change's body and remembers the change."""
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

    Both `version` and `base` increase from each decided change to the next, and the base of each is
    the number that the previous one produced in the caller's numbering.
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
