"""Selection of the members to replace, and of the standby replicas that replace them.

All functions are pure. A member is certainly lost once a live store with another identity has its
address; otherwise a member counts as lost after a time of silence.
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

    These are the members that are certainly lost, then those silent for longer than
    `removal_timeout_ms`, then the retired ones. `silent_ms` maps members to their time of silence
    in milliseconds; a member that is missing there isn't silent.
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
    """Return a member whose replacement by the standby spreads the members over more zones.

    That is the last member in a zone with several members, if the standby's zone has none; else
    None.
    """
    zones = [_zone(row) for row in members]
    if standby["zone"] in zones:
        return None
    return next((row["identity"] for row in reversed(members) if zones.count(_zone(row)) > 1), None)


def choose_standbys(
    members: list[MemberRow],
    candidates: list[MemberRow],
    to_replace: list[str],
    learners: set[str],
    limit: int,
) -> list[MemberRow]:
    """Return the stores to replicate to as standbys, at least one if there is a candidate.

    There is one standby for each member to replace, up to `limit`. Stores that are already sent the
    log (`learners`) come first, then those whose zone has the fewest remaining members.
    """
    count = max(1, min(len(to_replace), limit))
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
    """Return the caught-up standby whose zone has the fewest remaining members, or None."""
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
