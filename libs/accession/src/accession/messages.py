"""What stores say to each other, and what they keep. A record has the fields of the source: stamp,
file identity and flags, nbytes, bytes, absolute offset. Ours are the epoch within the stamp and the
sequence number, by which a peer sees that nothing is missing before it."""

from vellum import Arr, Blob, Flag, Long, Message, Text

__all__ = ["Append", "Appended", "Fetch", "Fetched", "Install", "LogMeta", "Record", "SnapshotHead", "Start",
           "Started", "StoredEntry", "TRUNCATE"]

TRUNCATE = 1


class StoredEntry(Message):
    epoch: Long
    stampMs: Long
    seq: Long
    body: Blob


class Record(Message):
    epoch: Long
    stampMs: Long
    seq: Long
    file: Text
    flags: Long
    nbytes: Long
    bytes: Blob
    offset: Long

    @property
    def stamp(self) -> tuple[int, int]:
        return (self.epoch, self.stampMs)


class SnapshotHead(Message):
    seq: Long
    epoch: Long
    stampMs: Long
    count: Long


class LogMeta(Message):
    identity: Text
    fence: Long
    logEpoch: Long


class Append(Message):
    epoch: Long
    baseSeq: Long
    prevSeq: Long
    prevEpoch: Long
    prevMs: Long
    records: Arr(Blob)
    settledSeq: Long
    flush: Flag
    probe: Long


class Appended(Message):
    identity: Text
    ok: Flag
    reason: Text
    fence: Long
    logEpoch: Long
    lastSeq: Long
    flushedSeq: Long
    stampEpoch: Long
    stampMs: Long
    receptionMs: Long
    probe: Long
    askedSeq: Long
    snapSeq: Long
    roomy: Flag


class Install(Message):
    epoch: Long
    snapshot: Blob
    offset: Long
    total: Long
    probe: Long


class Start(Message):
    epoch: Long


class Started(Message):
    identity: Text
    ok: Flag
    fence: Long
    logEpoch: Long
    snapSeq: Long
    lastSeq: Long
    count: Long


class Fetch(Message):
    epoch: Long
    fromSeq: Long
    offset: Long


class Fetched(Message):
    identity: Text
    ok: Flag
    snapshot: Blob
    total: Long
    records: Arr(Blob)
    lastSeq: Long
