"""Placement of the members of the log across zones.

Members are taken from the zones in turn, so that the loss of one zone affects as few members as
possible.
"""

from collections.abc import Iterable

from toolz import groupby

from replicated_log.configuration import MemberRow

__all__ = ["select_across_zones"]


def select_across_zones(rows: Iterable[MemberRow], count: int) -> list[MemberRow]:
    """Select up to `count` stores from the zones in turn.

    Each round takes the store with the lowest remaining identity of every zone, in the order of the
    zone names. All stores are returned if there are fewer than `count`.
    """
    zones: dict[str, list[MemberRow]] = groupby(
        lambda row: row["zone"], sorted(rows, key=lambda row: row["identity"])
    )
    chosen: list[MemberRow] = []
    while len(chosen) < count and any(zones.values()):
        for zone in sorted(zones):
            if zones[zone] and len(chosen) < count:
                chosen.append(zones[zone].pop(0))
    return chosen
