"""Messages of the consensus protocol and of client operations on keys.

A proposal number is an epoch and the proposer's identity (`control_store.proposal_number`); the
messages carry it as two fields. Prepare, Accept, Confirm and ListKeys also carry the number of the
sender's voter list. An acceptor rejects them if its own voter list has another number.
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

NO_BASE = -1  # the caller doesn't know the version, or doesn't number versions itself


class RejectReason(StrEnum):
    """Why an acceptor rejected a request.

    - EPOCH: the proposal is not the highest that the acceptor has promised, or an Accept has an
      older version than the one accepted under the same proposal, or the write of a promise failed.
    - LIST: the proposer's voter list is older than the acceptor's, or the acceptor has none or is
      not on it.
    - BEHIND: the acceptor's voter list is older than the proposer's.
    - DISK: the write of an accepted value failed.
    """

    EPOCH = "epoch"
    LIST = "list"
    BEHIND = "behind"
    DISK = "disk"


class Outcome(StrEnum):
    """Outcome of an operation on a key.

    - OK: the change was decided, or the value was read.
    - LOST: the change was not decided and never will be.
    - FORGOTTEN: the change is not among those that the key's value remembers, and it is so old that
      it may have been decided and dropped from them since.
    - DOUBT: the outcome is unknown; the change may have been decided or may still be.
    - REFUSED: nothing was attempted, because the node has no voter list yet.
    """

    OK = "ok"
    LOST = "lost"
    FORGOTTEN = "forgotten"
    DOUBT = "doubt"
    REFUSED = "refused"


class Value(Message):
    """A version of a key's value, with a record of the recent changes that produced it.

    The three lists run in parallel, oldest change first. They hold each change's identifier, the
    version that it produced, and the version that it was based on in the caller's own numbering
    (NO_BASE if the caller has none). `change_bases` defaults to NO_BASE for each change.
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
    """Phase 1 of a proposal: asks an acceptor to promise to accept no lower-numbered proposal."""

    key: str
    epoch: int
    proposer: str
    list_number: int

    @property
    def proposal(self) -> ProposalNumber:
        """The proposal number."""
        return ProposalNumber(self.epoch, self.proposer)


class Confirm(Message):
    """Asks whether a proposal is still the acceptor's highest promise; nothing is written."""

    key: str
    epoch: int
    proposer: str
    list_number: int

    @property
    def proposal(self) -> ProposalNumber:
        """The proposal number."""
        return ProposalNumber(self.epoch, self.proposer)


class Accept(Message):
    """Phase 2 of a proposal: asks an acceptor to accept an encoded `Value`."""

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

    `reason` is empty if `ok`, otherwise a value of `RejectReason`; with LIST, `list_body` is the
    acceptor's voter list. In the reply to a Prepare that the acceptor tried to write, `value` is
    the accepted `Value` with its body. In every other reply it is a `Value` without a body, of the
    newest version flushed to disk. It is empty if there is no such version.
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
        """The highest proposal number that the acceptor has promised."""
        return ProposalNumber(self.promised_epoch, self.promised_proposer)

    @property
    def accepted(self) -> ProposalNumber:
        """The proposal number under which `value` was accepted."""
        return ProposalNumber(self.accepted_epoch, self.accepted_proposer)


class RegisterRecord(Message, wire_name="KeyRow"):
    """One record of an acceptor's log or snapshot: the register of a key after a vote.

    `flushed_bytes` is how many bytes of the log were known to be flushed when the record was
    written; 0 in a snapshot.
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
        """The highest proposal number that the acceptor has promised."""
        return ProposalNumber(self.promised_epoch, self.promised_proposer)

    @property
    def accepted(self) -> ProposalNumber:
        """The proposal number under which `value` was accepted."""
        return ProposalNumber(self.accepted_epoch, self.accepted_proposer)


class ListKeys(Message):
    """Asks an acceptor for the names of all keys that it has a register for."""

    list_number: int


class ListKeysResponse(Message, wire_name="KeyList"):
    """Reply to ListKeys; `ok` only if both sides have the same voter list."""

    identity: str
    ok: bool
    keys: list[str]


class AcceptorMetadata(Message, wire_name="VoterMeta"):
    """An acceptor's identity, its vote for the first voter list, and its current voter list.

    `bootstrap_vote` and `list_body` are JSON, empty if there is none.
    """

    identity: str
    bootstrap_vote: str
    list_body: str


class BootstrapRequest(Message, wire_name="Found"):
    """Asks a control node to vote for `members`, a JSON array of voters, as the first list."""

    members: str


class BootstrapVote(Message, wire_name="FoundVote"):
    """Reply to BootstrapRequest; `list_body` is the node's voter list, empty if it has none."""

    identity: str
    ok: bool
    list_body: str


class VoterListDecided(Message, wire_name="Founded"):
    """Announces a decided voter list, as JSON, to a control node."""

    list_body: str


class Change(Message):
    """Asks the key's owner to replace the value at `version` by a new version with `body`.

    `change_id` identifies the change across retries. `base` is the replaced version in the caller's
    own numbering, for callers that number versions themselves; it is stored with the change but not
    checked, and defaults to NO_BASE. `hops` counts how often the message has been forwarded.
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

    `version` is the key's version that the change was based on. `base` is the same version in the
    caller's own numbering, and `number` the version that the change would have produced in that
    numbering. Fields that the caller doesn't know are NO_BASE.
    """

    key: str
    change_id: str
    version: int
    base: int
    number: int
    hops: int


class ReadKey(Message):
    """Asks the key's owner for the newest value, after a majority confirms its ownership."""

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
        """Return a result without a version and a body."""
        return cls(outcome=outcome, version=0, body="", reason=reason)
