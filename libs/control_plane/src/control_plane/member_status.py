"""Descriptions of members for operators: the status of each, and what it is waiting for."""

from collections.abc import Iterable

from data_plane.control_keys import LOG_KEY, RETIRED_KEY

from control_plane.nodes import ControlNode
from control_plane.retired_machines import RetiredMachines

__all__ = ["describe", "describe_edge", "describe_member"]


def describe(node: ControlNode, role: str, identity: str, link: str) -> str:
    """Describe a member of the fleet in one sentence, according to what a control node knows.

    Parameters
    ----------
    node
        The control node.
    role
        The role of the member: control, store or edge.
    identity
        The identity of the member.
    link
        The link address of the member; used for edges only.
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
        leader, full_count = node.voter_list_manager.coordinator() or "", settings.control_count
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

    Parameters
    ----------
    role
        control or store.
    identity
        The identity of the node to describe.
    members
        The identities of the voters, or of the members of the log.
    leader
        The identity of the coordinator of the voters, or of the leader of the log.
    retired
        The identities of retired nodes.
    spares
        The identities of live nodes that are neither members nor retired.
    full_count
        The configured number of members.
    """
    members, spares = list(members), sorted(set(spares) - {identity})
    group = "the log" if role == "store" else "the voters"
    standing = f"counts: a member of {group}"
    if identity == leader:
        standing += ", and its holder" if role == "store" else ", and the steward"
    if identity in retired:
        if identity not in members:
            return "retired and out: may be stopped"
        if len(members) > full_count:
            return f"{standing}; retired, is being dropped now"
        if not spares:
            return f"{standing}; retired, waits for a spare: none is live, start one"
        return f"{standing}; retired, waits until a spare has caught up: {', '.join(spares)}"
    if identity in members:
        return standing
    return f"spare: catching up with {group}, counts for nothing until it takes a place"


def describe_edge(link: str, serving_set: Iterable[str]) -> str:
    """Describe an edge: whether its link address is in the serving set."""
    if link in set(serving_set):
        return "counts: on the roll"
    return "not on the roll yet: counts for nothing"
