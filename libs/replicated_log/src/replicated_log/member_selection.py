"""Choices about the log's members: whom to replace, and by which standby.

These are pure functions of what the leader has heard. A member is certainly lost once another
identity lives at its address; otherwise its silence decides.
"""

from replicated_log.configuration import MemberRow

__all__ = [
    "choose_replacement",
    "choose_standbys",
    "member_in_shared_zone",
    "members_to_replace",
]


def members_to_replace(
    members: list[MemberRow],
    live: list[MemberRow],
    silent_ms: dict[str, int],
    retired: list[str],
    removal_timeout_ms: int,
) -> list[str]:
    """Return the members to replace, in order of urgency.

    First those that are certainly lost, then those silent for longer than `removal_timeout_ms`,
    then the retired. `silent_ms` is how long each member has been silent.
    """
    live_at = {row["address"]: row["identity"] for row in live}
    names = [row["identity"] for row in members]
    lost = [
        row["identity"]
        for row in members
        if live_at.get(row["address"], row["identity"]) not in names
    ]
    silent = [
        name for name in names if name not in lost and silent_ms.get(name, 0) > removal_timeout_ms
    ]
    leaving = [
        name for name in names if name in retired and name not in lost and name not in silent
    ]
    return lost + silent + leaving


def member_in_shared_zone(members: list[MemberRow], standby: MemberRow) -> str | None:
    """Return a member that shares its zone with another, if the standby's zone has no member."""
    zones = [_zone(row) for row in members]
    if standby["zone"] in zones:
        return None
    return next((row["identity"] for row in reversed(members) if zones.count(_zone(row)) > 1), None)


def choose_standbys(
    members: list[MemberRow],
    candidates: list[MemberRow],
    to_replace: list[str],
    learners: set[str],
    most: int,
) -> list[MemberRow]:
    """Return the stores to replicate to: one, or as many as are to be replaced, up to `most`.

    Those that have the log already (`learners`) come first, then those whose zone has the fewest
    remaining members.
    """
    count = max(1, min(len(to_replace), most))
    return sorted(
        candidates,
        key=lambda row: (
            row["identity"] not in learners,
            _remaining_in_zone(row, members, to_replace),
            row["identity"],
        ),
    )[:count]


def choose_replacement(
    members: list[MemberRow], ready: list[MemberRow], to_replace: list[str]
) -> MemberRow | None:
    """Return the ready standby whose zone has the fewest remaining members, or None."""
    return min(
        ready,
        key=lambda row: (_remaining_in_zone(row, members, to_replace), row["identity"]),
        default=None,
    )


def _zone(row: MemberRow) -> str:
    return row.get("zone", "")


def _remaining_in_zone(row: MemberRow, members: list[MemberRow], to_replace: list[str]) -> int:
    remaining = [other for other in members if other["identity"] not in to_replace]
    return sum(_zone(other) == row["zone"] for other in remaining)
