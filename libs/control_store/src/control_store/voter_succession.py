"""Rules for the next voter list, which differs from the current one by one step.

If the number of voters is configured, a standby node replaces a voter that is lost or retired. If
it is not, all control nodes are to be voters, so that any majority of them can serve: new nodes are
added, and a voter is dropped only after another was added in its place, or if that lowers the
quorum. Another identity at a voter's address shows that the voter's disk is permanently lost: the
old identity never votes again, so the new identity replaces it in one step.
"""

from collections.abc import Collection, Sequence
from typing import Protocol

from control_store.voter_list import NodeLocation, Voter, VoterList

__all__ = [
    "NodeObservations",
    "first_voters",
    "next_list_of_all_nodes",
    "next_list_of_fixed_size",
]


class NodeObservations(Protocol):
    """What the coordinator has observed of the control nodes."""

    def is_silent(self, identity: str) -> bool:
        """Whether a voter has been silent for so long that it is to be replaced."""
        ...

    def is_stable(self, node: NodeLocation) -> bool:
        """Whether a standby node has been known for longer than a vote can be in flight."""
        ...

    def all_voters_heard_since(self, node: NodeLocation) -> bool:
        """Whether every voter was heard from after a standby node was first known."""
        ...

    def has_returned(self, identity: str) -> bool | None:
        """Whether a leaving voter is back; None if the observation is too short to tell."""
        ...


def first_voters(nodes: Sequence[NodeLocation], count: int, seeds: set[str]) -> list[Voter]:
    """Return the voters of the first list, or an empty list while too few nodes are known.

    Parameters
    ----------
    nodes
        The control nodes that are known.
    count
        The configured number of voters; the nodes with the lowest identities become voters. If it
        is 0, the voters are the nodes at the seed addresses, once there is one at each.
    seeds
        The seed addresses.
    """
    voters = [Voter.from_node(node) for node in sorted(nodes, key=lambda node: node.identity)]
    if count:
        return voters[:count] if len(voters) >= count else []
    at_seeds = [voter for voter in voters if voter.address in seeds]
    complete = {voter.address for voter in at_seeds} == seeds and len(at_seeds) == len(seeds)
    return at_seeds if complete else []


def next_list_of_fixed_size(
    current: VoterList,
    standbys: Sequence[NodeLocation],
    retired: Collection[str],
    observations: NodeObservations,
    count: int,
) -> VoterList | None:
    """Return the next list if the number of voters is configured; None if no change is due.

    Parameters
    ----------
    current
        The current list.
    standbys
        The live control nodes that are neither voters nor retired.
    retired
        The identities of the retired nodes.
    observations
        What the coordinator has observed of the control nodes.
    count
        The configured number of voters.
    """
    voters = current.voters
    leaving = [
        name for name in current.identities() if name in retired or observations.is_silent(name)
    ]
    if leaving and len(voters) > count:
        lost = [name for name in leaving if name not in retired] or leaving
        return current.successor(_without(voters, lost[0]))
    if standbys and (leaving or len(voters) < count) and len(voters) <= count:
        joining = min(standbys, key=lambda node: node.identity)
        return current.successor([*voters, Voter.from_node(joining)])
    return None


def next_list_of_all_nodes(
    current: VoterList,
    standbys: Sequence[NodeLocation],
    retired: Collection[str],
    observations: NodeObservations,
) -> VoterList | None:
    """Return the next list if all control nodes are to be voters; None if no change is due.

    The list stays as it is until the coordinator has observed for long enough to know whether a
    leaving voter is back. If a replacement was abandoned too early, the lost voter would stay on
    the list, where it counts against the majority.

    For the same reason a lost or retired voter is dropped without a replacement from a list of even
    size: the quorum shrinks by one, and the number of tolerated failures stays the same.

    Parameters
    ----------
    current
        The current list.
    standbys
        The live control nodes that are neither voters nor retired.
    retired
        The identities of the retired nodes.
    observations
        What the coordinator has observed of the control nodes.
    """
    voters, names = current.voters, current.identities()
    if current.leaving in names:
        return _end_replacement(current, retired, observations)
    lost = [name for name in names if name in retired or observations.is_silent(name)]
    addresses = {voter.address for voter in voters}
    standbys = sorted(standbys, key=lambda node: (node.address not in addresses, node.identity))
    for node in standbys:
        if node.address in addresses:
            if observations.is_stable(node):
                others = [voter for voter in voters if voter.address != node.address]
                return current.successor([*others, Voter.from_node(node)])
        elif lost:
            return current.successor([*voters, Voter.from_node(node)], leaving=lost[0])
        elif observations.all_voters_heard_since(node):
            return current.successor([*voters, Voter.from_node(node)])
    if lost and len(voters) % 2 == 0:
        return current.successor(_without(voters, lost[0]))
    return None


def _end_replacement(
    current: VoterList, retired: Collection[str], observations: NodeObservations
) -> VoterList | None:
    """Return the list without the leaving voter, or with it if it is back; None if unknown."""
    leaving, voters = current.leaving, current.voters
    returned = observations.has_returned(leaving)
    if leaving in retired or returned is False:
        return current.successor(_without(voters, leaving))
    return current.successor(voters) if returned else None


def _without(voters: Sequence[Voter], identity: str) -> list[Voter]:
    return [voter for voter in voters if voter.identity != identity]
