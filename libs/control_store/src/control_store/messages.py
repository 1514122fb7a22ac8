"""Messages between proposers and acceptors, and of the operations on keys.

A proposal number is an epoch and the proposer's identity (`control_store.proposal_number`); the
messages carry it as two fields. Every request to an acceptor carries the number of the list of
voters that it counts under; acceptors reject numbers other than their own.
"""

from enum import StrEnum
from typing import Any

from messaging import Message

from control_store.proposal_number import ProposalNumber

__all__ = [
    "NO_BASE",
    "Accept",
    "AcceptorMetadata",
    "BootstrapRequest",
    "BootstrapVote",
    "Change",
    "ChangeResult",
    "Confirm",
    "FindChange",
    "ListKeys",
    "ListKeysResponse",
    "Outcome",
    "Prepare",
    "ReadKey",
    "RegisterRecord",
    "RejectReason",
    "Value",
    "Vote",
    "VoterListDecided",
]

NO_BASE = -1


class RejectReason(StrEnum):
    """Why an acceptor rejected a request.

    - EPOCH: a higher proposal number was promised.
    - LIST: the proposer's list of voters is old, or the acceptor is not on the list.
    - BEHIND: the acceptor's own list of voters is old.
    - DISK: the write failed.
    """

    EPOCH = "epoch"
    LIST = "list"
    BEHIND = "behind"
    DISK = "disk"


class Outcome(StrEnum):
    """What became of an operation at the key's owner.

    - OK: the change was decided, or the value was read.
    - LOST: the change was not decided and never will be.
    - FORGOTTEN: the change is not among those remembered, and too old for its absence to be
      conclusive.
    - DOUBT: the outcome is not known; the change may still be decided.
    - REFUSED: nothing was attempted, since there is no list of voters yet.
    """

    OK = "ok"
    LOST = "lost"
    FORGOTTEN = "forgotten"
    DOUBT = "doubt"
    REFUSED = "refused"


class Value(Message):
    """A version of a key, with the identifiers of the recent changes that led to it.

    The three lists are parallel, oldest first: each change's identifier, the version that it made,
    and the caller's own number of the version that it was based on (NO_BASE where the caller has
    none). `change_bases` defaults to NO_BASE for each change.
    """

    version: int
    body: str
    change_ids: list[str]
    change_versions: list[int]
    change_bases: list[int]

    def __init__(self, **values: Any) -> None:
        values.setdefault("change_bases", [NO_BASE] * len(values["change_ids"]))
        super().__init__(**values)


class Prepare(Message):
    """Phase 1 of a proposal: asks an acceptor to promise to accept nothing below it."""

    key: str
    epoch: int
    proposer: str
    list_number: int

    @property
    def proposal(self) -> ProposalNumber:
        """The proposal number."""
        return ProposalNumber(self.epoch, self.proposer)


class Confirm(Message):
    """Asks whether a proposal is still an acceptor's highest promise; writes nothing to disk."""

    key: str
    epoch: int
    proposer: str
    list_number: int

    @property
    def proposal(self) -> ProposalNumber:
        """The proposal number."""
        return ProposalNumber(self.epoch, self.proposer)


class Accept(Message):
    """Phase 2 of a proposal: asks an acceptor to accept an encoded `Value` under it."""

    key: str
    epoch: int
    proposer: str
    value: bytes
    list_number: int

    @property
    def proposal(self) -> ProposalNumber:
        """The proposal number."""
        return ProposalNumber(self.epoch, self.proposer)


class Vote(Message, wire_name="Voted"):
    """An acceptor's reply to Prepare, Accept or Confirm.

    `reason` is empty if `ok`, otherwise a value of `RejectReason`; with LIST, `list_body` has the
    acceptor's list. In the reply to a Prepare that was written to disk, `value` is the accepted
    `Value` with its body; otherwise it has only the newest flushed version, without a body.
    """

    identity: str
    ok: bool
    reason: str
    promised_epoch: int
    promised_proposer: str
    accepted_epoch: int
    accepted_proposer: str
    value: bytes
    list_body: str

    @property
    def promised(self) -> ProposalNumber:
        """The highest proposal number promised."""
        return ProposalNumber(self.promised_epoch, self.promised_proposer)

    @property
    def accepted(self) -> ProposalNumber:
        """The proposal number under which `value` was accepted."""
        return ProposalNumber(self.accepted_epoch, self.accepted_proposer)


class RegisterRecord(Message, wire_name="KeyRow"):
    """One record of an acceptor's log: the register of a key after a vote.

    `flushed_bytes` is the length of the log known to be flushed when the record was written; 0 in a
    snapshot.
    """

    key: str
    promised_epoch: int
    promised_proposer: str
    accepted_epoch: int
    accepted_proposer: str
    value: bytes
    flushed_bytes: int

    @property
    def promised(self) -> ProposalNumber:
        """The highest proposal number promised."""
        return ProposalNumber(self.promised_epoch, self.promised_proposer)

    @property
    def accepted(self) -> ProposalNumber:
        """The proposal number under which `value` was accepted."""
        return ProposalNumber(self.accepted_epoch, self.accepted_proposer)


class ListKeys(Message):
    """Asks an acceptor for the names of all keys that it has a register of."""

    list_number: int


class ListKeysResponse(Message, wire_name="KeyList"):
    """Reply to ListKeys; `ok` only if both sides use the same list of voters."""

    identity: str
    ok: bool
    keys: list[str]


class AcceptorMetadata(Message, wire_name="VoterMeta"):
    """An acceptor's identity, its vote for the first list of voters, and its present list.

    `bootstrap_vote` and `list_body` are JSON, empty for none.
    """

    identity: str
    bootstrap_vote: str
    list_body: str


class BootstrapRequest(Message, wire_name="Found"):
    """Asks a blank node to vote for `members` (JSON rows) as the first list of voters."""

    members: str


class BootstrapVote(Message, wire_name="FoundVote"):
    """Reply to BootstrapRequest; `list_body` is the node's list of voters if it already has one."""

    identity: str
    ok: bool
    list_body: str


class VoterListDecided(Message, wire_name="Founded"):
    """Announces a list of voters, as JSON, to a node on it."""

    list_body: str


class Change(Message):
    """Asks the key's owner to replace `version` of the key by a new version with `body`.

    `change_id` identifies the change when it is sent again. `base` is the caller's own number for
    the version replaced, for callers that number versions themselves; it is only remembered and
    defaults to NO_BASE. `hops` counts how often the message was forwarded.
    """

    key: str
    version: int
    change_id: str
    body: str
    hops: int
    base: int

    def __init__(self, **values: Any) -> None:
        values.setdefault("base", NO_BASE)
        super().__init__(**values)


class FindChange(Message):
    """Asks whether a change was decided, without proposing it.

    The version that it was based on is given as the key's version (`version`) or in the caller's
    own numbers (`base`, with `number` for the version that it would have made). Those that the
    caller does not know are NO_BASE.
    """

    key: str
    change_id: str
    version: int
    base: int
    number: int
    hops: int


class ReadKey(Message):
    """Asks the key's owner for the newest value, confirmed by a majority of the voters."""

    key: str
    hops: int


class ChangeResult(Message, wire_name="Changed"):
    """The owner's reply to Change, FindChange and ReadKey.

    `outcome` is a value of `Outcome`. `version` and `body` are 0 and empty unless the outcome is OK
    or LOST.
    """

    outcome: str
    version: int
    body: str
    reason: str

    @classmethod
    def without_value(cls, outcome: Outcome, reason: str) -> "ChangeResult":
        """Return the result of an operation of which no version is known."""
        return cls(outcome=outcome, version=0, body="", reason=reason)
