"""Which list of voters follows the present one, by one step, if there is cause for a step.

Where the number of voters is configured, a standby node replaces a voter that is lost or retired.
Where it is not, all control nodes are to vote, so that any majority of them can serve: a new node
is added, and a voter is dropped only if another takes its place. Another identity at a voter's
address shows that the voter's disk is lost for good: its identity will never vote again, so the new
one replaces it in one step.
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
    """What the coordinator of membership changes has observed of the control nodes."""

    def is_silent(self, identity: str) -> bool:
        """Whether a voter has sent no heartbeat for so long that it is to be replaced."""
        ...

    def is_stable(self, node: NodeLocation) -> bool:
        """Whether a standby node has been known for longer than any vote may be under way."""
        ...

    def all_voters_heard_since(self, node: NodeLocation) -> bool:
        """Whether every voter has sent a heartbeat since a standby node was first known."""
        ...

    def has_returned(self, identity: str) -> bool | None:
        """Whether a voter that is leaving is back; None if the coordinator is too new to know."""
        ...


def first_voters(nodes: Sequence[NodeLocation], count: int, seeds: set[str]) -> list[Voter]:
    """Return the voters of the first list, or none as long as too few nodes are known.

    The voters are the lowest identities where `count` is configured (not 0), otherwise the nodes at
    the seeds' addresses.
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
    """Return the list that follows where the number of voters is configured, or None.

    `standbys` are the live control nodes that are neither voters nor retired.
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
    """Return the list that follows where all control nodes are to vote, or None.

    While the coordinator is too new to know whether a leaving voter is back, nothing is changed: a
    replacement that is abandoned too early leaves the lost voter on the list, where it counts
    against the majority.

    For the same reason a silent voter is dropped from a list of even size without a replacement:
    the quorum shrinks by one, and no fewer failures are tolerated.
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
    """Drop the leaving voter, or keep it if it is back."""
    leaving, voters = current.leaving, current.voters
    returned = observations.has_returned(leaving)
    if leaving in retired or returned is False:
        return current.successor(_without(voters, leaving))
    return current.successor(voters) if returned else None


def _without(voters: Sequence[Voter], identity: str) -> list[Voter]:
    return [voter for voter in voters if voter.identity != identity]
