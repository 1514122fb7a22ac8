"""The proposer's side of the consensus protocol: rounds of requests to the acceptors.

A key has at most one round in progress, apart from queries for versions. The result of any other
round is ignored if the key's epoch has changed since the round began.
"""

from collections.abc import Callable

from messaging import Node, encode

from control_store.acceptor import Acceptor
from control_store.key_state import KeyState, OwnershipState
from control_store.messages import (
    Accept,
    Confirm,
    Prepare,
    RejectReason,
    Value,
    Vote,
    VoterListDecided,
)
from control_store.proposal_number import ProposalNumber
from control_store.quorum_round import QuorumRound
from control_store.register import encoded_version
from control_store.voter_list import VoterList

__all__ = ["Proposer", "RoundCallback", "VoteRound"]

VoteRound = QuorumRound[Vote]
RoundCallback = Callable[[KeyState, VoteRound, bool], None]


class Proposer:
    """Runs the rounds of the keys that a node owns.

    `identity` is the proposer's identity in proposal numbers; it is empty until `attach`.

    Parameters
    ----------
    acceptor
        The acceptor of the same node, which has the voter list.
    """

    __slots__ = ("_acceptor", "_node", "identity")
    _node: Node

    def __init__(self, acceptor: Acceptor) -> None:
        self._acceptor = acceptor
        self.identity = ""

    def attach(self, node: Node) -> None:
        """Set the node, and generate the proposer's identity, which is unique to this process."""
        self._node = node
        self.identity = f"{self._acceptor.identity}/{node.env.token()}"

    def prepare(self, key: KeyState, done: RoundCallback) -> None:
        """Start phase 1 under an epoch that is higher than all known ones."""
        key.state = OwnershipState.PREPARING
        own = self._acceptor.registers.get(key.name)
        key.epoch = max(key.epoch, key.highest_epoch, own.promised.epoch if own else 0) + 1
        request = Prepare(
            key=key.name,
            epoch=key.epoch,
            proposer=self.identity,
            list_number=self._acceptor.list_number,
        )
        self._start(key, request, done)

    def confirm(self, key: KeyState, done: RoundCallback) -> None:
        """Check whether a majority's promises for the key's epoch still hold."""
        self._start(key, self._confirmation(key), done)

    def accept(self, key: KeyState, value: Value, done: RoundCallback) -> None:
        """Start phase 2: propose a value under the key's epoch."""
        request = Accept(
            key=key.name,
            epoch=key.epoch,
            proposer=self.identity,
            value=encode(value),
            list_number=self._acceptor.list_number,
        )
        self._start(key, request, done)

    def query_versions(self, key: KeyState, done: RoundCallback) -> None:
        """Ask all voters for their versions of a key, concurrently with the key's other rounds."""
        QuorumRound(
            self._node,
            self._acceptor.voters,
            self._confirmation(key),
            self._node.settings.request_timeout_ms,
            lambda round_, ok: done(key, round_, ok),
            wait_for_all=True,
        )

    def _confirmation(self, key: KeyState) -> Confirm:
        return Confirm(
            key=key.name,
            epoch=key.epoch,
            proposer=self.identity,
            list_number=self._acceptor.list_number,
        )

    def _start(
        self, key: KeyState, request: Prepare | Confirm | Accept, done: RoundCallback
    ) -> None:
        epoch, key.round_in_progress = key.epoch, True

        def ended(round_: VoteRound, ok: bool) -> None:
            if key.epoch == epoch:
                key.round_in_progress = False
                done(key, round_, ok)

        QuorumRound(
            self._node,
            self._acceptor.voters,
            request,
            self._node.settings.request_timeout_ms,
            ended,
        )

    def observe(self, key: KeyState, round_: VoteRound) -> None:
        """Record the epochs that voters reported, and update outdated voter lists.

        A newer list in a reply is adopted; a voter with an older list is sent this node's list.
        """
        for vote in round_.replies.values():
            key.highest_epoch = max(key.highest_epoch, vote.promised_epoch)
            if vote.list_body and self._is_newer_list(vote.list_body):
                self._acceptor.adopt_list(vote.list_body, lambda ok: None)
            elif vote.reason == RejectReason.BEHIND:
                self._send_list(vote.identity)

    def _is_newer_list(self, body: str) -> bool:
        return VoterList.from_body(body).number > self._acceptor.list_number

    def _send_list(self, identity: str) -> None:
        address = self._acceptor.voters.get(identity)
        if address:
            self._node.send(address, VoterListDecided(list_body=self._acceptor.metadata.list_body))

    def replica_count(self, key: KeyState, round_: VoteRound) -> int:
        """Return how many voters agreed in a round and have the newest value under its epoch."""
        proposal = ProposalNumber(key.epoch, self.identity)
        return sum(
            1
            for vote in round_.agreed.values()
            if vote.accepted == proposal and encoded_version(vote.value) == key.value.version
        )
