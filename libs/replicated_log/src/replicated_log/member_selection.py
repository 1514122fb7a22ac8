"""Choices about the log's members: whom to replace, and by which spare.

These are pure functions of what the holder has heard. A member is certainly lost once another
identity lives at its address; otherwise its silence decides.
"""

from typing import Any

from replicated_log.replica_placement import Row

__all__ = ["member_in_shared_zone", "members_to_replace", "choose_replacement", "choose_standbys"]


def members_to_replace(
    members: list[Row],
    live: list[Row],
    silent_ms: dict[str, int],
    retired: list[str],
    removal_timeout_ms: int,
) -> list[str]:
    """Return the members to replace, in order of urgency.

    First those that are certainly lost, then those silent for longer than `removal_timeout_ms`,
    then the retired.
    """
    lives_at = {row["address"]: row["identity"] for row in live}
    names = [row["identity"] for row in members]
    gone = [
        row["identity"]
        for row in members
        if lives_at.get(row["address"], row["identity"]) not in names
    ]
    silent = [
        name for name in names if name not in gone and silent_ms.get(name, 0) > removal_timeout_ms
    ]
    leaving = [
        name for name in names if name in retired and name not in gone and name not in silent
    ]
    return gone + silent + leaving


def member_in_shared_zone(members: list[Row], spare: Row) -> str | None:
    """Return a member that shares its zone with another, if the spare's zone has no member."""
    zones = [row.get("zone", "") for row in members]
    if spare["zone"] in zones:
        return None
    return next(
        (row["identity"] for row in reversed(members) if zones.count(row.get("zone", "")) > 1), None
    )


def _worth(row: Row, members: list[Row], lost: list[str], warm: set[str]) -> tuple[Any, ...]:
    taken = [other.get("zone", "") for other in members if other["identity"] not in lost]
    return row["identity"] not in warm, taken.count(row["zone"]), row["identity"]


def choose_standbys(
    members: list[Row], spares: list[Row], lost: list[str], warm: set[str], most: int
) -> list[Row]:
    """Return the spares to replicate to: one, or as many as are lost, up to `most`.

    Spares that have the log already (`warm`) come first.
    """
    count = max(1, min(len(lost), most))
    return sorted(spares, key=lambda row: _worth(row, members, lost, warm))[:count]


def choose_replacement(members: list[Row], ready: list[Row], lost: list[str]) -> Row | None:
    """Return the ready spare whose zone has the fewest remaining members, or None."""
    return min(ready, key=lambda row: _worth(row, members, lost, set())[1:], default=None)
