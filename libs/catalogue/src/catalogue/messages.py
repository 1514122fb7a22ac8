"""Ballots and changes. A ballot is an epoch and the identity of who asks; every ballot names the
number of the voters' list it counts under, and voters refuse lists older than their own."""

from vellum import Arr, Blob, Flag, Long, Message, Text

__all__ = ["Accept", "Change", "Changed", "Confirm", "Found", "FoundVote", "Founded", "KeyList",
           "KeyRow", "ListKeys", "Prepare", "ReadKey",
           "Value", "Voted", "VoterMeta"]


class Value(Message):
    version: Long
    body: Text
    changeIds: Arr(Text)
    changeVersions: Arr(Long)


class Prepare(Message):
    key: Text
    epoch: Long
    by: Text
    listNumber: Long


class Confirm(Message):
    key: Text
    epoch: Long
    by: Text
    listNumber: Long


class Accept(Message):
    key: Text
    epoch: Long
    by: Text
    value: Blob
    listNumber: Long


class Voted(Message):
    identity: Text
    ok: Flag
    reason: Text
    promisedEpoch: Long
    promisedBy: Text
    acceptedEpoch: Long
    acceptedBy: Text
    value: Blob
    listBody: Text


class KeyRow(Message):
    key: Text
    promisedEpoch: Long
    promisedBy: Text
    acceptedEpoch: Long
    acceptedBy: Text
    value: Blob
    flushedBytes: Long


class ListKeys(Message):
    listNumber: Long


class KeyList(Message):
    identity: Text
    ok: Flag
    keys: Arr(Text)


class VoterMeta(Message):
    identity: Text
    foundVote: Text
    listBody: Text


class Found(Message):
    members: Text


class FoundVote(Message):
    identity: Text
    ok: Flag
    listBody: Text


class Founded(Message):
    listBody: Text


class Change(Message):
    key: Text
    version: Long
    changeId: Text
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
