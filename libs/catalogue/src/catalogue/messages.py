"""Ballots and changes. A ballot is an epoch and the identity of who asks; every ballot names the
number of the voters' list it counts under, and voters refuse lists older than their own.
"""

from vellum import Blob, Flag, Long, Message, Text, array_of

__all__ = [
    "Accept",
    "Change",
    "Changed",
    "Confirm",
    "Found",
    "FoundVote",
    "Founded",
    "KeyList",
    "KeyRow",
    "ListKeys",
    "Prepare",
    "ReadKey",
    "Value",
    "Voted",
    "VoterMeta",
]


class Value(Message):
    version: Long
    body: Text
    change_ids: array_of(Text)
    change_versions: array_of(Long)


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
    key: Text
    version: Long
    change_id: Text
    body: Text
    hops: Long


class ReadKey(Message):
    key: Text
    hops: Long


class Changed(Message):
    outcome: Text
    version: Long
    body: Text
    reason: Text
