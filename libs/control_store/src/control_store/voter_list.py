"""The voter list: the numbered list of the control nodes whose majority decides.

The list is the value of the control key `control`. Each list differs from its predecessor by one
step (`control_store.voter_succession`), and its number is higher by one.
"""

import json
from collections.abc import Iterable
from typing import Any, Protocol

__all__ = ["NodeLocation", "Voter", "VoterList", "voters_to_json"]


class NodeLocation(Protocol):
    """Identity, address and failure domain of a control node; a zone belongs to a region."""

    @property
    def identity(self) -> str:
        """The identity, which is stored on the node's disk."""
        ...

    @property
    def address(self) -> str:
        """The address for messages between nodes, IP:PORT."""
        ...

    @property
    def zone(self) -> str:
        """The zone, the smaller failure domain."""
        ...

    @property
    def region(self) -> str:
        """The region, the larger failure domain."""
        ...


class Voter:
    """A voter; `zone` and `region` are None if an earlier version stored the list without them."""

    __slots__ = ("address", "identity", "region", "zone")

    def __init__(self, identity: str, address: str, zone: str | None, region: str | None) -> None:
        self.identity = identity
        self.address = address
        self.zone = zone
        self.region = region

    @classmethod
    def from_node(cls, node: NodeLocation) -> "Voter":
        """Return the voter for a control node."""
        return cls(node.identity, node.address, node.zone, node.region)

    @classmethod
    def from_json(cls, row: dict[str, str]) -> "Voter":
        """Return the voter for a row of a stored list."""
        return cls(row["identity"], row["address"], row.get("zone"), row.get("region"))

    def to_json(self) -> dict[str, str]:
        """Return the voter as a row of a stored list."""
        row = {"identity": self.identity, "address": self.address}
        if self.zone is not None:
            row["zone"] = self.zone
        if self.region is not None:
            row["region"] = self.region
        return row


class VoterList:
    """A voter list.

    Parameters
    ----------
    number
        The number of the list; each list has the number of its predecessor plus one.
    voters
        The voters, in the order of the list.
    leaving
        The identity of the voter that is being replaced: the next list drops it, or keeps
        it if it has returned and is not retired. Empty if no voter is being replaced.
    """

    __slots__ = ("leaving", "number", "voters")

    def __init__(self, number: int, voters: Iterable[Voter], leaving: str = "") -> None:
        self.number = number
        self.voters = tuple(voters)
        self.leaving = leaving

    @classmethod
    def from_body(cls, body: str) -> "VoterList":
        """Return the list for a stored JSON body."""
        value = json.loads(body)
        return cls(value["number"], map(Voter.from_json, value["voters"]), value.get("leaving", ""))

    def to_json(self) -> dict[str, Any]:
        """Return the list as a JSON value."""
        value: dict[str, Any] = {"number": self.number, "voters": voters_to_json(self.voters)}
        return {**value, "leaving": self.leaving} if self.leaving else value

    def identities(self) -> list[str]:
        """Return the identities of the voters in the order of the list."""
        return [voter.identity for voter in self.voters]

    def addresses(self) -> dict[str, str]:
        """Return the address of each voter by its identity."""
        return {voter.identity: voter.address for voter in self.voters}

    def successor(self, voters: Iterable[Voter], leaving: str = "") -> "VoterList":
        """Return a list with these voters and the next number."""
        return VoterList(self.number + 1, voters, leaving)


def voters_to_json(voters: Iterable[Voter]) -> list[dict[str, str]]:
    """Return the voters as rows of a stored list."""
    return [voter.to_json() for voter in voters]
