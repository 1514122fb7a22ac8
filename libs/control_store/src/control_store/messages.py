"""Ballots and changes. A ballot is an epoch and the identity of who asks; every ballot names the
number of the voters' list it counts under, and voters refuse lists older than their own.
"""

from enum import StrEnum
from typing import Any

from messaging import Blob, Flag, Long, Message, Text, array_of

__all__ = [
    "Accept",
    "Change",
    "Changed",
    "Confirm",
    "FindChange",
    "Found",
    "FoundVote",
    "Founded",
    "KeyList",
    "KeyRow",
    "ListKeys",
    "NO_BASE",
    "Outcome",
    "Prepare",
    "ReadKey",
    "Value",
    "Voted",
    "VoterMeta",
]


NO_BASE = -1


class Outcome(StrEnum):
    """What became of a change or a read at the key's owner.

    OK: taken, or read. LOST: not taken, and never will be. FORGOTTEN: not among the changes that are
    remembered, and too old for that to mean anything. DOUBT: not known yet. REFUSED: nothing was asked of
    anybody, since there are no voters yet.
    """

    OK = "ok"
    LOST = "lost"
    FORGOTTEN = "forgotten"
    DOUBT = "doubt"
    REFUSED = "refused"


class Value(Message):
    """A version of a key, with the changes that led to it as far back as they are remembered: the id of
    each, the version that it made, and the caller's own number for the version that it was built on.
    """

    version: Long
    body: Text
    change_ids: array_of(Text)
    change_versions: array_of(Long)
    change_bases: array_of(Long)

    def __init__(self, **values: Any) -> None:
        values.setdefault("change_bases", [NO_BASE] * len(values["change_ids"]))
        super().__init__(**values)


class Prepare(Message):
    key: Text
    epoch: Long
    by: Text
    list_number: Long


class Confirm(Message):
    key: Text
    epoch: Long
    by: Text
    list_number: Long


class Accept(Message):
    key: Text
    epoch: Long
    by: Text
    value: Blob
    list_number: Long


class Voted(Message):
    identity: Text
    ok: Flag
    reason: Text
    promised_epoch: Long
    promised_by: Text
    accepted_epoch: Long
    accepted_by: Text
    value: Blob
    list_body: Text


class KeyRow(Message):
    key: Text
    promised_epoch: Long
    promised_by: Text
    accepted_epoch: Long
    accepted_by: Text
    value: Blob
    flushed_bytes: Long


class ListKeys(Message):
    list_number: Long


class KeyList(Message):
    identity: Text
    ok: Flag
    keys: array_of(Text)


class VoterMeta(Message):
    identity: Text
    found_vote: Text
    list_body: Text


class Found(Message):
    members: Text


class FoundVote(Message):
    identity: Text
    ok: Flag
    list_body: Text


class Founded(Message):
    list_body: Text


class Change(Message):
    """Asks that a key's version be replaced. `base` is the caller's own number for that version, if its
    callers number versions themselves; it is only remembered.
    """

    key: Text
    version: Long
    change_id: Text
    body: Text
    hops: Long
    base: Long

    def __init__(self, **values: Any) -> None:
        values.setdefault("base", NO_BASE)
        super().__init__(**values)


class FindChange(Message):
    """Asks whether a change was taken, without asking for it. What it was built on and what it would have
    made are told as key versions (`version`) or in the caller's own numbers (`base`, `number`); those that
    aren't known are NO_BASE.
    """

    key: Text
    change_id: Text
    version: Long
    base: Long
    number: Long
    hops: Long


class ReadKey(Message):
    key: Text
    hops: Long


class Changed(Message):
    outcome: Text
    version: Long
    body: Text
    reason: Text
