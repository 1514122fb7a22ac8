"""Which list of voters follows the present one, by one step, if there is cause for a step.

Where the number of voters is configured, a spare replaces a voter that is lost or retired. Where it
is not, all control nodes are to vote, so that any majority of them can serve: a new node is added,
and a voter is dropped only if another takes its place. Another identity at a voter's address shows
that the voter's disk is lost for good: its identity will never vote again, so the new one replaces
it in one step.
"""

from collections.abc import Callable
from typing import Any

__all__ = ["founding_rows", "next_of_all", "next_of_count"]

Rows = list[dict[str, Any]]


def _row(card: Any) -> dict[str, Any]:
    return {
        "identity": card.identity,
        "address": card.address,
        "zone": card.zone,
        "region": card.region,
    }


def founding_rows(cards: list[Any], count: int, seeds: set[str]) -> Rows:
    """Return the rows of the first list, or none as long as too few nodes are known.

    The voters are the lowest identities where `count` is configured (not 0), otherwise the nodes at
    the seeds' addresses.
    """
    if count:
        rows = [_row(card) for card in sorted(cards, key=lambda card: card.identity)]
        return rows[:count] if len(rows) >= count else []
    rows = [
        _row(card)
        for card in sorted(cards, key=lambda card: card.identity)
        if card.address in seeds
    ]
    return rows if {row["address"] for row in rows} == seeds and len(rows) == len(seeds) else []


def next_of_count(
    listed: dict[str, Any],
    spares: list[Any],
    retired: set[str],
    silent: Callable[[str], bool],
    count: int,
) -> dict[str, Any] | None:
    """Return the list that follows where the number of voters is configured, or None.

    `spares` are the cards of live control nodes that are neither voters nor retired. `silent`
    returns whether a voter has sent no heartbeat for so long that it is to be replaced.
    """
    rows = listed["voters"]
    leaving = [
        row["identity"] for row in rows if row["identity"] in retired or silent(row["identity"])
    ]
    if leaving and len(rows) > count:
        gone = [name for name in leaving if name not in retired] or leaving
        return _list(listed, [row for row in rows if row["identity"] != gone[0]])
    if spares and (leaving or len(rows) < count) and len(rows) <= count:
        return _list(listed, [*rows, _row(min(spares, key=lambda card: card.identity))])
    return None


def next_of_all(
    listed: dict[str, Any],
    spares: list[Any],
    retired: set[str],
    silent: Callable[[str], bool],
    settled: Callable[[Any], bool],
    all_heard: Callable[[Any], bool],
    returned: Callable[[str], bool | None],
) -> dict[str, Any] | None:
    """Return the list that follows where all control nodes are to vote, or None.

    `settled` returns whether a spare has been known for longer than any vote may be under way;
    `all_heard` whether every voter has sent a heartbeat since the spare was first known; `returned`
    whether a voter marked as leaving is back, or None if the coordinator is too new to know.
    Nothing is changed in that case: a replacement that is abandoned too early leaves the lost voter
    on the list, where it counts against the majority.

    For the same reason a silent voter is dropped from a list of even size without a replacement:
    the quorum shrinks by one, and no fewer failures are tolerated.
    """
    rows = listed["voters"]
    names = [row["identity"] for row in rows]
    leaving = listed.get("leaving", "")
    if leaving in names:
        back = returned(leaving)
        if leaving in retired or back is False:
            return _list(listed, [row for row in rows if row["identity"] != leaving])
        return _list(listed, rows) if back else None
    gone = [name for name in names if name in retired or silent(name)]
    at = {row["address"]: row["identity"] for row in rows}
    spares = sorted(spares, key=lambda card: (card.address not in at, card.identity))
    for card in spares:
        if card.address in at:
            if settled(card):
                return _list(
                    listed, [row for row in rows if row["address"] != card.address] + [_row(card)]
                )
            continue
        if gone:
            return _list(listed, [*rows, _row(card)], gone[0])
        if all_heard(card):
            return _list(listed, [*rows, _row(card)])
    if gone and len(rows) % 2 == 0:
        return _list(listed, [row for row in rows if row["identity"] != gone[0]])
    return None


def _list(listed: dict[str, Any], rows: Rows, leaving: str = "") -> dict[str, Any]:
    following = {"number": listed["number"] + 1, "voters": rows}
    return {**following, "leaving": leaving} if leaving else following
