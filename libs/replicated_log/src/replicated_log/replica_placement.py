"""Placement of the log's members over the zones.

Zones take turns, so that the loss of one zone takes as few members as possible. Stores are rows
with identity, address and zone.
"""

from collections.abc import Iterable

from toolz import groupby

__all__ = ["spread"]

Row = dict[str, str]


def spread(rows: Iterable[Row], count: int) -> list[Row]:
    """Choose `count` of the rows, zone by zone in turn.

    Each round takes the lowest remaining identity of every zone, with zones in the order of their
    names. Fewer rows are returned if there are no more.
    """
    zones = groupby(lambda row: row["zone"], sorted(rows, key=lambda row: row["identity"]))
    chosen: list[Row] = []
    while len(chosen) < count and any(zones.values()):
        for zone in sorted(zones):
            if zones[zone] and len(chosen) < count:
                chosen.append(zones[zone].pop(0))
    return chosen
