"""Descriptions of members for operators: whether each counts, and what it waits for."""

from collections.abc import Iterable

__all__ = ["says", "says_edge"]


def says(
    role: str,
    identity: str,
    members: Iterable[str],
    duty: str,
    retired: Iterable[str],
    spares: Iterable[str],
    full_count: int,
) -> str:
    """Describe a control node or a store in one sentence.

    `members` are the identities that count in its role: voters, or members of the log. `duty` is
    the coordinator or the log's holder among them, and `spares` are live nodes that are neither
    members nor retired. `full_count` is the configured number of members.
    """
    members, spares = list(members), sorted(set(spares) - {identity})
    group = "the log" if role == "store" else "the voters"
    counts = f"counts: a member of {group}" + (
        ", and its holder"
        if role == "store" and identity == duty
        else ", and the steward"
        if identity == duty
        else ""
    )
    if identity in retired:
        if identity not in members:
            return "retired and out: may be stopped"
        if len(members) > full_count:
            return f"{counts}; retired, is being dropped now"
        if not spares:
            return f"{counts}; retired, waits for a spare: none is live, start one"
        return f"{counts}; retired, waits until a spare has caught up: {', '.join(spares)}"
    if identity in members:
        return counts
    return f"spare: catching up with {group}, counts for nothing until it takes a place"


def says_edge(link: str, roll: Iterable[str]) -> str:
    """Describe an edge by whether its link address is on the roster."""
    return "counts: on the roll" if link in set(roll) else "not on the roll yet: counts for nothing"
