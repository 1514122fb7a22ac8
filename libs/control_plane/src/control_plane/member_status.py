"""Descriptions of members for operators: whether each counts, and what it waits for."""

from collections.abc import Iterable

from data_plane.control_keys import LOG_KEY, RETIRED_KEY

from control_plane.nodes import ControlNode
from control_plane.retired_machines import RetiredMachines

__all__ = ["describe", "describe_edge", "describe_member"]


def describe(node: ControlNode, role: str, identity: str, link: str) -> str:
    """Describe a member of the fleet as the control node `node` knows it.

    `link` is the member's link address; it is used for edges only.
    """
    config_feed, settings = node.config_feed, node.settings
    if role == "edge":
        return describe_edge(link, config_feed.serving_set())
    retired = RetiredMachines.from_value(config_feed.value(RETIRED_KEY)).identities
    if role == "store":
        log = config_feed.value(LOG_KEY) or {"members": [], "holder": ""}
        members = [row["identity"] for row in log["members"]]
        leader, full_count = log["holder"], settings.store_count
    else:
        members = list(node.acceptor.voters)
        leader, full_count = node.voter_list_manager.steward() or "", settings.control_count
    live = [
        info.identity for info in node.membership.nodes_in_role(role, settings.failure_timeout_ms)
    ]
    spares = [name for name in live if name not in members and name not in retired]
    return describe_member(role, identity, members, leader, retired, spares, full_count)


def describe_member(
    role: str,
    identity: str,
    members: Iterable[str],
    leader: str,
    retired: Iterable[str],
    spares: Iterable[str],
    full_count: int,
) -> str:
    """Describe a control node or a store in one sentence.

    `members` are the identities that count in its role: voters, or members of the log. `leader` is
    the log's leader, or the coordinator of the voters, and `spares` are live nodes that are neither
    members nor retired. `full_count` is the configured number of members.
    """
    members, spares = list(members), sorted(set(spares) - {identity})
    group = "the log" if role == "store" else "the voters"
    counts = f"counts: a member of {group}"
    if identity == leader:
        counts += ", and its holder" if role == "store" else ", and the steward"
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


def describe_edge(link: str, serving_set: Iterable[str]) -> str:
    """Describe an edge by whether its link address is in the serving set."""
    if link in set(serving_set):
        return "counts: on the roll"
    return "not on the roll yet: counts for nothing"
