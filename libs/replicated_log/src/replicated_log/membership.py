"""Who of the log's members is to be replaced, by which spare, and which spares are sent the log ahead of need.
Pure choices: the holder makes them from what it has heard, and a change of members is a claim like any other.
A member is gone for sure once another identity lives at its address; else silence decides.
"""

from typing import Any

from replicated_log.places import Row

__all__ = ["crowded", "lost_members", "pick_spare", "warm_spares"]


def lost_members(
    members: list[Row], live: list[Row], silent_ms: dict[str, int], retired: list[str], gone_ms: int
) -> list[str]:
    """Those who surely don't come back first, then the silent, then those who are to leave."""
    lives_at = {row["address"]: row["identity"] for row in live}
    names = [row["identity"] for row in members]
    gone = [
        row["identity"]
        for row in members
        if lives_at.get(row["address"], row["identity"]) not in names
    ]
    silent = [name for name in names if name not in gone and silent_ms.get(name, 0) > gone_ms]
    leaving = [
        name for name in names if name in retired and name not in gone and name not in silent
    ]
    return gone + silent + leaving


def crowded(members: list[Row], spare: Row) -> str | None:
    """A member that shares its zone with another, where the spare's zone has none."""
    zones = [row.get("zone", "") for row in members]
    if spare["zone"] in zones:
        return None
    return next(
        (row["identity"] for row in reversed(members) if zones.count(row.get("zone", "")) > 1), None
    )


def _worth(row: Row, members: list[Row], lost: list[str], warm: set[str]) -> tuple[Any, ...]:
    taken = [other.get("zone", "") for other in members if other["identity"] not in lost]
    return row["identity"] not in warm, taken.count(row["zone"]), row["identity"]


def warm_spares(
    members: list[Row], spares: list[Row], lost: list[str], warm: set[str], most: int
) -> list[Row]:
    """The spares that are sent the log: one, or as many as members are lost; who has it already goes on having it."""
    count = max(1, min(len(lost), most))
    return sorted(spares, key=lambda row: _worth(row, members, lost, warm))[:count]


def pick_spare(members: list[Row], ready: list[Row], lost: list[str]) -> Row | None:
    """Of those who are level with the log, the one whose zone has fewest of the members that stay."""
    return min(ready, key=lambda row: _worth(row, members, lost, set())[1:], default=None)
