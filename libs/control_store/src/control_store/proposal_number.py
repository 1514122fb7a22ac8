"""Proposal numbers of the consensus protocol (Lamport: Paxos Made Simple, 2001)."""

from typing import NamedTuple

__all__ = ["NO_PROPOSAL", "ProposalNumber"]


class ProposalNumber(NamedTuple):
    """The number of a proposal; numbers are ordered by epoch, then by proposer.

    `proposer` is the identity of the proposing process. It keeps two processes from ever using the
    same number.
    """

    epoch: int
    proposer: str


NO_PROPOSAL = ProposalNumber(0, "")
