"""What stores say to each other, and what they keep. A record has the fields of the source: stamp,
file identity and flags, nbytes, bytes, absolute offset. Ours are the epoch within the stamp and the
sequence number, by which a peer sees that nothing is missing before it.
"""

from messaging import Blob, Flag, Long, Message, Text, array_of

__all__ = [
    "Append",
    "Appended",
    "Fetch",
    "FetchTail",
    "Fetched",
    "Install",
    "LogMeta",
    "Poll",
    "Polled",
    "Pulse",
    "Record",
    "SnapshotHead",
    "Start",
    "Started",
    "StoredEntry",
    "Succeed",
    "TRUNCATE",
]

TRUNCATE = 1


class StoredEntry(Message):
    epoch: Long
    stamp_ms: Long
    seq: Long
    body: Blob


class Record(Message):
    epoch: Long
    stamp_ms: Long
    seq: Long
    file: Text
    flags: Long
    nbytes: Long
    bytes: Blob
    offset: Long

    @property
    def stamp(self) -> tuple[int, int]:
        return (self.epoch, self.stamp_ms)


class SnapshotHead(Message):
    seq: Long
    epoch: Long
    stamp_ms: Long
    count: Long


class LogMeta(Message):
    identity: Text
    fence: Long
    log_epoch: Long


class Append(Message):
    epoch: Long
    base_seq: Long
    prev_seq: Long
    prev_epoch: Long
    prev_ms: Long
    records: array_of(Blob)
    settled_seq: Long
    flush: Flag
    probe: Long


class Appended(Message):
    identity: Text
    ok: Flag
    reason: Text
    fence: Long
    log_epoch: Long
    last_seq: Long
    flushed_seq: Long
    stamp_epoch: Long
    stamp_ms: Long
    reception_ms: Long
    probe: Long
    asked_seq: Long
    snap_seq: Long
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
    log_epoch: Long
    snap_seq: Long
    last_seq: Long
    count: Long


class FetchTail(Message):
    """What follows the highest of these places that the asked one holds too, each a number and its stamp."""

    epoch: Long
    seqs: array_of(Long)
    stamp_epochs: array_of(Long)
    stamps_ms: array_of(Long)


class Pulse(Message):
    """The holder is at work; `sure` if f members have answered it lately; `level` is how many members, itself among
    them, have on disk all that is settled.
    """

    epoch: Long
    sure: Flag
    level: Long


class Poll(Message):
    identity: Text
    epoch: Long


class Polled(Message):
    """`epoch` is the highest known here; `holds` says that this store is at work as its holder, `hears` that it
    hears from the one who is, `leaving` that it will not take the duty.
    """

    identity: Text
    epoch: Long
    holds: Flag
    hears: Flag
    leaving: Flag


class Succeed(Message):
    """Who hands the duty over says so to whom it goes: the number and body of the key as control has them."""

    number: Long
    body: Text


class Fetch(Message):
    epoch: Long
    from_seq: Long
    offset: Long


class Fetched(Message):
    identity: Text
    ok: Flag
    snapshot: Blob
    total: Long
    records: array_of(Blob)
    last_seq: Long
