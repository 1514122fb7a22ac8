"""Bootstrap of the control nodes: the decision of the first voter list.

The first list is decided once every node on it has durably voted for it. It has control_count nodes
without a voter list or, if control_count is 0, the nodes at all seed addresses on a first start.
Later lists are proposed by the coordinator (`control_store.coordinator`).
"""

import json
from collections.abc import Callable
from typing import cast

from membership import Membership
from messaging import Message, Node, Origin

from control_store.acceptor import Acceptor
from control_store.messages import BootstrapRequest, BootstrapVote, VoterListDecided
from control_store.voter_list import Voter, VoterList, voters_to_json
from control_store.voter_succession import first_voters

__all__ = ["Bootstrap"]

FIRST_LIST_NUMBER = 1


class Bootstrap:
    """Votes on the first voter list, and proposes it if this node is the first on it.

    Parameters
    ----------
    run_again_in
        Sets the delay until the next call of `run`, in ms.
    """

    __slots__ = ("_acceptor", "_membership", "_node", "_proposed", "_run_again_in", "_votes")
    _node: Node

    def __init__(
        self, acceptor: Acceptor, membership: Membership, run_again_in: Callable[[int], None]
    ) -> None:
        self._acceptor = acceptor
        self._membership = membership
        self._run_again_in = run_again_in
        self._proposed = ""
        self._votes: set[str] = set()

    def attach(self, node: Node) -> None:
        """Set the node that provides the clock, the settings and messaging."""
        self._node = node

    def receive(self, message: BootstrapRequest, origin: Origin) -> None:
        """Vote on a proposed first list; a positive vote is on disk before the reply is sent.

        A node votes for one list only, and no longer votes when it has a voter list.
        """
        metadata = self._acceptor.metadata
        if metadata.list_body or metadata.bootstrap_vote not in ("", message.members):
            self._reply(origin, False)
        elif metadata.bootstrap_vote == message.members:
            self._reply(origin, True)
        elif not self._may_bootstrap():
            self._reply(origin, False)
        else:
            self._acceptor.save_bootstrap_vote(message.members, lambda ok: self._reply(origin, ok))

    def _may_bootstrap(self) -> bool:
        """Whether this node may vote for a first list.

        If control_count is 0, it may vote only on a first start: at any other start an empty disk
        may mean that the node's files were lost after the bootstrap.
        """
        settings = self._node.settings
        return bool(settings.control_count > 0 or settings.first_start)

    def _reply(self, origin: Origin, ok: bool) -> None:
        self._node.reply(
            origin,
            BootstrapVote(
                identity=self._acceptor.identity,
                ok=ok,
                list_body=self._acceptor.metadata.list_body,
            ),
        )

    def run(self) -> None:
        """Propose the list that this node has voted for, or else one that it is the first on.

        Every voter on the list is asked on each run until a list is decided.
        """
        members = self._acceptor.metadata.bootstrap_vote or self._members_to_propose()
        if not members:
            return
        voters = [Voter.from_json(row) for row in json.loads(members)]
        if members != self._proposed:
            self._proposed, self._votes = members, set()
        for voter in voters:
            self._node.request(
                voter.address,
                BootstrapRequest(members=members),
                self._node.settings.request_timeout_ms,
                lambda reply: self._voted(members, voters, reply),
            )

    def _voted(self, members: str, voters: list[Voter], reply: Message | None) -> None:
        if reply is None or members != self._proposed:
            return
        vote = cast(BootstrapVote, reply)
        if vote.list_body:
            self._acceptor.adopt_list(vote.list_body, lambda ok: None)
        elif vote.ok:
            self._votes.add(vote.identity)
            if self._votes == {voter.identity for voter in voters}:
                self._announce(VoterList(FIRST_LIST_NUMBER, voters))

    def _announce(self, voter_list: VoterList) -> None:
        """Send the decided list to every voter on it."""
        body = json.dumps(voter_list.to_json())
        self._node.env.log("founded", voters=sorted(voter_list.identities()))
        for voter in voter_list.voters:
            self._node.send(voter.address, VoterListDecided(list_body=body))

    def _members_to_propose(self) -> str:
        """Return the first voters as JSON if this node has to propose them, otherwise ""."""
        if not self._may_bootstrap():
            return ""
        settings, membership = self._node.settings, self._membership
        nodes = [
            *membership.nodes_in_role("control", settings.failure_timeout_ms),
            membership.own_info(),
        ]
        if not settings.control_count:
            self._run_again_in(settings.heartbeat_ms)
        voters = first_voters(nodes, settings.control_count, set(settings.seeds))
        if not voters or voters[0].identity != self._acceptor.identity:
            return ""
        return json.dumps(voters_to_json(voters))
