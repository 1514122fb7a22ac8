"""Placement of the log's members over the zones.

Zones take turns, so that the loss of one zone takes as few members as possible.
"""

from collections.abc import Iterable

from toolz import groupby

from replicated_log.configuration import MemberRow

__all__ = ["spread"]


def spread(rows: Iterable[MemberRow], count: int) -> list[MemberRow]:
    """Choose `count` of the stores, zone by zone in turn.

    Each round takes the lowest remaining identity of every zone, with zones in the order of their
    names. Fewer stores are returned if there are no more.
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
