"""Which stores are to be members of the log: one of each zone in turn, so that the loss of a zone takes as
few of them as can be. Stores are rows with identity, address and zone.
"""

from collections.abc import Iterable

from toolz import groupby

__all__ = ["spread"]

Row = dict[str, str]


def spread(rows: Iterable[Row], count: int) -> list[Row]:
    """`count` of the rows: a round takes the lowest identity left of each zone, zones in order of their names."""
    zones = groupby(lambda row: row["zone"], sorted(rows, key=lambda row: row["identity"]))
    chosen: list[Row] = []
    while len(chosen) < count and any(zones.values()):
        for zone in sorted(zones):
            if zones[zone] and len(chosen) < count:
                chosen.append(zones[zone].pop(0))
    return chosen
