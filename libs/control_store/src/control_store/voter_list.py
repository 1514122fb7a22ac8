"""The list of the voters: the control nodes whose majority decides, as a numbered value.

The list is the value of the control key `control`. Each list differs from the one before by one
step (`control_store.voter_succession`), and its number is one higher.
"""

import json
from collections.abc import Iterable
from typing import Any, Protocol

__all__ = ["NodeLocation", "Voter", "VoterList", "voters_to_json"]


class NodeLocation(Protocol):
    """What the list has of a control node; failure domains are `zone` within `region`."""

    @property
    def identity(self) -> str:
        """The node's durable identity."""
        ...

    @property
    def address(self) -> str:
        """The address for messages between nodes, IP:PORT."""
        ...

    @property
    def zone(self) -> str:
        """The node's zone."""
        ...

    @property
    def region(self) -> str:
        """The node's region."""
        ...


class Voter:
    """One voter of a list; `zone` and `region` are None where an earlier version left them out."""

    __slots__ = ("address", "identity", "region", "zone")

    def __init__(self, identity: str, address: str, zone: str | None, region: str | None) -> None:
        self.identity = identity
        self.address = address
        self.zone = zone
        self.region = region

    @classmethod
    def from_node(cls, node: NodeLocation) -> "Voter":
        """Return the voter that a node would be."""
        return cls(node.identity, node.address, node.zone, node.region)

    @classmethod
    def from_json(cls, row: dict[str, str]) -> "Voter":
        """Return the voter of a row of a stored list."""
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
    """A list of voters; `leaving` is the voter that the next list drops, or empty."""

    __slots__ = ("leaving", "number", "voters")

    def __init__(self, number: int, voters: Iterable[Voter], leaving: str = "") -> None:
        self.number = number
        self.voters = tuple(voters)
        self.leaving = leaving

    @classmethod
    def from_body(cls, body: str) -> "VoterList":
        """Return the list of a stored JSON body."""
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
        """Return the list with the next number and these voters."""
        return VoterList(self.number + 1, voters, leaving)


def voters_to_json(voters: Iterable[Voter]) -> list[dict[str, str]]:
    """Return voters as the rows of a stored list."""
    return [voter.to_json() for voter in voters]
