"""Messages of the ballots among voters and of the operations on keys.

A ballot is the pair of an epoch and the proposer's identity, ordered in that sequence. Every ballot
message carries the number of the list of voters that it counts under; voters refuse numbers below
their own.
"""

from enum import StrEnum
from typing import Any

from messaging import Message

__all__ = [
    "Accept",
    "Change",
    "ChangeResult",
    "Confirm",
    "FindChange",
    "BootstrapRequest",
    "BootstrapVote",
    "VoterListDecided",
    "ListKeysResponse",
    "RegisterRecord",
    "ListKeys",
    "NO_BASE",
    "Outcome",
    "Prepare",
    "ReadKey",
    "Value",
    "Vote",
    "AcceptorMetadata",
]


NO_BASE = -1


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
    """First phase of a ballot: asks a voter to promise to accept nothing below it."""

    key: str
    epoch: int
    by: str
    list_number: int


class Confirm(Message):
    """Asks a voter whether a ballot is still its highest promise; writes nothing to disk."""

    key: str
    epoch: int
    by: str
    list_number: int


class Accept(Message):
    """Second phase of a ballot: asks a voter to accept an encoded `Value` under it."""

    key: str
    epoch: int
    by: str
    value: bytes
    list_number: int


class Vote(Message, wire_name="Voted"):
    """A voter's reply to Prepare, Accept or Confirm.

    `reason` is empty if `ok`; otherwise "epoch" (a higher ballot was promised), "list" (the asker's
    list of voters is old, or this node is not on it; `list_body` has the voter's list), "behind"
    (the voter's own list is old) or "disk" (the write failed). `value` is the whole accepted
    `Value` in the reply to a Prepare that was written to disk; otherwise only the newest flushed
    version is told, without a body.
    """

    identity: str
    ok: bool
    reason: str
    promised_epoch: int
    promised_by: str
    accepted_epoch: int
    accepted_by: str
    value: bytes
    list_body: str


class RegisterRecord(Message, wire_name="KeyRow"):
    """One record of a voter's log: the register of a key after a vote.

    `flushed_bytes` is the length of the log known to be flushed when the record was written; 0 in a
    snapshot.
    """

    key: str
    promised_epoch: int
    promised_by: str
    accepted_epoch: int
    accepted_by: str
    value: bytes
    flushed_bytes: int


class ListKeys(Message):
    """Asks a voter for the names of all keys that it has a register of."""

    list_number: int


class ListKeysResponse(Message, wire_name="KeyList"):
    """Reply to ListKeys; `ok` only if both sides use the same list of voters."""

    identity: str
    ok: bool
    keys: list[str]


class AcceptorMetadata(Message, wire_name="VoterMeta"):
    """A voter's durable identity, its vote for the first list of voters, and its present list."""

    identity: str
    found_vote: str
    list_body: str


class BootstrapRequest(Message, wire_name="Found"):
    """Asks a blank node to vote for `members` (JSON rows) as the first list of voters."""

    members: str


class BootstrapVote(Message, wire_name="FoundVote"):
    """Reply to Found; `list_body` is the node's list of voters if it already has one."""

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
