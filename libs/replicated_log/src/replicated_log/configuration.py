"""The configuration of the log: its epoch, its leader and its members.

It is stored as the JSON value of the control key `log` and changed only by compare-and-set.
"""

import json
from enum import StrEnum
from typing import Any, NamedTuple

__all__ = ["LOG_KEY", "LogConfiguration", "MemberRow", "Phase", "ReplicaAddress", "addresses_of"]

LOG_KEY = "log"

MemberRow = dict[str, str]
"""A store in the configuration: `identity`, `address` and `zone`; old values have no `zone`."""


class ReplicaAddress(NamedTuple):
    """The identity of a replica and its address, IP:PORT."""

    identity: str
    address: str


def addresses_of(members: list[MemberRow]) -> list[ReplicaAddress]:
    """Return the identities and addresses of members."""
    return [ReplicaAddress(row["identity"], row["address"]) for row in members]


class Phase(StrEnum):
    """Whether the leader of the epoch is still recovering the log or serves."""

    RECOVERING = "recovering"
    SERVING = "serving"


class LogConfiguration:
    """One value of the log's control key.

    In the phase RECOVERING the leader recovers the log from `previous_members` and will serve with
    `members`. Epoch 0 means that the log hasn't been bootstrapped.
    """

    __slots__ = ("epoch", "leader", "members", "phase", "previous_members")

    def __init__(
        self,
        epoch: int,
        leader: str,
        phase: Phase,
        members: list[MemberRow],
        previous_members: list[MemberRow],
    ) -> None:
        self.epoch = epoch
        self.leader = leader
        self.phase = phase
        self.members = members
        self.previous_members = previous_members

    @classmethod
    def absent(cls) -> "LogConfiguration":
        """Return the configuration of a log that hasn't been bootstrapped."""
        return cls(0, "", Phase.RECOVERING, [], [])

    @classmethod
    def from_json(cls, text: str) -> "LogConfiguration":
        """Parse the JSON value of the control key."""
        value = json.loads(text)
        return cls(
            value["epoch"],
            value["holder"],
            Phase(value["phase"]),
            value["members"],
            value["prev"],
        )

    def as_dict(self) -> dict[str, Any]:
        """Return the value of the control key; a log that isn't bootstrapped has an empty one."""
        if not self.exists:
            return {}
        return {
            "epoch": self.epoch,
            "holder": self.leader,
            "phase": str(self.phase),
            "members": self.members,
            "prev": self.previous_members,
        }

    def to_json(self) -> str:
        """Return the JSON value of the control key."""
        return json.dumps(self.as_dict())

    @property
    def exists(self) -> bool:
        """Whether the log has been bootstrapped."""
        return self.epoch > 0

    @property
    def names(self) -> list[str]:
        """The identities of the members, in their configured order."""
        return [row["identity"] for row in self.members]

    @property
    def leader_address(self) -> str:
        """The address of the leader, or an empty string if it isn't known."""
        return next((row["address"] for row in self.members if row["identity"] == self.leader), "")

    def recovery_members(self) -> list[MemberRow]:
        """Return the members from which the log has to be recovered."""
        return self.previous_members if self.phase is Phase.RECOVERING else self.members

    def serving(self) -> "LogConfiguration":
        """Return the same configuration in the phase SERVING."""
        return self.with_members(self.members, Phase.SERVING)

    def with_members(
        self, members: list[MemberRow], phase: Phase | None = None
    ) -> "LogConfiguration":
        """Return the configuration with other members, which are also those to recover from."""
        return LogConfiguration(self.epoch, self.leader, phase or self.phase, members, members)
