"""Messages exchanged by the replicas of the log, and the structures that they store on disk.

A record has the fields of the published scheme on which the log is based (docs/design.md): stamp,
file, flags, size, frame and absolute file offset. Two fields extend the scheme: the epoch, which is
the upper half of the stamp, and the sequence number, by which a follower detects missing records.

Fields that end in `_ms` are in milliseconds. `seq` is the sequence number of a record; `epoch` and
`fence` are leader epochs.
"""

from enum import StrEnum
from typing import NamedTuple

from messaging import Message

__all__ = [
    "NO_STAMP",
    "TRUNCATE",
    "AppendRequest",
    "AppendResponse",
    "FetchRecords",
    "FetchResponse",
    "FetchTail",
    "InstallSnapshot",
    "LeaderHeartbeat",
    "LeaderPoll",
    "LeaderPollResponse",
    "Record",
    "ReplicaMetadata",
    "ResponseReason",
    "SnapshotHeader",
    "Stamp",
    "StartRecovery",
    "StartRecoveryResponse",
    "StoredEntry",
    "TransferLeadership",
]

TRUNCATE = 1
"""Flag of the first record of a queue file: the receiver empties the file before writing it."""


class Stamp(NamedTuple):
    """The unique stamp of a record; stamps are ordered by epoch, then by time in milliseconds."""

    epoch: int
    time_ms: int


NO_STAMP = Stamp(0, 0)
"""The stamp of the position before the first record."""


class ResponseReason(StrEnum):
    """Why a follower rejected a leader's message, or the progress of a snapshot transfer.

    - NONE: no reason given; the value of every successful response.
    - FENCED: the follower's fence is higher than the epoch of the message.
    - BUSY: the follower is adopting an epoch or installing a snapshot.
    - GAP: the follower has no record at `prev_seq`, or one with another stamp.
    - CONTRADICTS_COMMITTED: the records differ from records that the follower has committed.
    - DISK_FULL: the records don't fit on the disk, or the snapshot could not be installed.
    - PARTIAL_SNAPSHOT: more parts of the snapshot are needed.
    - SNAPSHOT_INSTALLED: the snapshot has replaced the follower's log.
    - SNAPSHOT_DAMAGED: the snapshot isn't intact.
    """

    NONE = ""
    FENCED = "fenced"
    BUSY = "busy"
    GAP = "gap"
    CONTRADICTS_COMMITTED = "settled"
    DISK_FULL = "full"
    PARTIAL_SNAPSHOT = "part"
    SNAPSHOT_INSTALLED = "installed"
    SNAPSHOT_DAMAGED = "damaged"


class StoredEntry(Message):
    """The payload of a frame in a queue file: an encoded entry (`body`) and its log position."""

    epoch: int
    stamp_ms: int
    seq: int
    body: bytes


class Record(Message):
    """One record of the log as sent and stored: a complete frame and its location in a queue file.

    `frame` has `size_bytes` bytes and starts at the absolute byte `offset` of `file`. `flags` is
    TRUNCATE on the first record of a file, which tells the receiver to empty the file first.
    """

    epoch: int
    stamp_ms: int
    seq: int
    file: str
    flags: int
    size_bytes: int
    frame: bytes
    offset: int

    @property
    def stamp(self) -> Stamp:
        """The stamp of the record."""
        return Stamp(self.epoch, self.stamp_ms)


class SnapshotHeader(Message, wire_name="SnapshotHead"):
    """The first frame of a snapshot: the last record covered and the number of frames after it."""

    seq: int
    epoch: int
    stamp_ms: int
    count: int


class ReplicaMetadata(Message, wire_name="LogMeta"):
    """The durable metadata of a replica.

    `identity` is the unique name of the replica's disk. `fence` is the highest epoch that the
    replica has accepted; it rejects messages of lower epochs. `log_epoch` is the epoch of the last
    recovery whose result the replica's log contains.
    """

    identity: str
    fence: int
    log_epoch: int


class AppendRequest(Message, wire_name="Append"):
    """From the leader to a follower: the records after `prev_seq`; a heartbeat has no records.

    The follower accepts the records only if its own record at `prev_seq` has the stamp
    (`prev_epoch`, `prev_ms`). `base_seq` is the last record of the recovered log with which the
    epoch began, and `committed_seq` the last record durable on f+1 disks. With `flush`, a follower
    that has unflushed records flushes them and sends a second response afterwards. Responses return
    `probe` unchanged.
    """

    epoch: int
    base_seq: int
    prev_seq: int
    prev_epoch: int
    prev_ms: int
    records: list[bytes]
    committed_seq: int
    flush: bool
    probe: int


class AppendResponse(Message, wire_name="Appended"):
    """A follower's response to AppendRequest and InstallSnapshot.

    `ok` means that the records were accepted; otherwise `reason` is a ResponseReason. `last_seq` is
    the last record up to which the follower's log is known to match the leader's, and `flushed_seq`
    the last one on the follower's disk. `stamp_epoch`, `stamp_ms` and `reception_ms` are the stamp
    of the follower's last record and the time at which it was received.

    `position` depends on the reason: `prev_seq` for GAP, the last common record for
    CONTRADICTS_COMMITTED, the number of snapshot bytes received for PARTIAL_SNAPSHOT, otherwise -1.
    `snapshot_seq` is the last record that the follower's snapshot covers. `has_room` means that the
    follower's disk has free space.
    """

    identity: str
    ok: bool
    reason: str
    fence: int
    log_epoch: int
    last_seq: int
    flushed_seq: int
    stamp_epoch: int
    stamp_ms: int
    reception_ms: int
    probe: int
    position: int
    snapshot_seq: int
    has_room: bool


class InstallSnapshot(Message, wire_name="Install"):
    """From the leader to a follower: one part of a snapshot that replaces the follower's log.

    `offset` is the position of the part in the snapshot and `total` the size of the whole snapshot,
    both in bytes. Responses return `probe` unchanged.
    """

    epoch: int
    snapshot: bytes
    offset: int
    total: int
    probe: int


class StartRecovery(Message, wire_name="Start"):
    """From a recovering replica: raise the fence to `epoch` and return the extent of the log."""

    epoch: int


class StartRecoveryResponse(Message, wire_name="Started"):
    """The response to StartRecovery: the replica's fence, its log epoch and the extent of its log.

    `ok` means that the fence equals the requested epoch. `snapshot_seq` is the last record covered
    by the snapshot, `last_seq` the last record, and `count` the number of records in memory.
    """

    identity: str
    ok: bool
    fence: int
    log_epoch: int
    snapshot_seq: int
    last_seq: int
    count: int


class FetchTail(Message):
    """Requests all records after the last one that both replicas have.

    The three lists are parallel: the sequence number, stamp epoch and stamp time of records of the
    requesting replica.
    """

    epoch: int
    seqs: list[int]
    stamp_epochs: list[int]
    stamps_ms: list[int]


class LeaderHeartbeat(Message, wire_name="Pulse"):
    """The leader's heartbeat to the other members.

    A serving leader sets `has_quorum` while at least f members have responded to it within
    `leader_suspicion_ms`; a store that is still taking over always sets it. `caught_up` is the
    number of members, the leader included, that have on disk what was committed one heartbeat ago.
    """

    epoch: int
    has_quorum: bool
    caught_up: int


class LeaderPoll(Message, wire_name="Poll"):
    """Asks another member whether the leader is still active.

    `identity` is the sender and `epoch` the epoch of the configuration that it knows.
    """

    identity: str
    epoch: int


class LeaderPollResponse(Message, wire_name="Polled"):
    """The response to LeaderPoll.

    `epoch` is the highest epoch known to the sender. `is_leader` means that the sender is the
    active leader or is taking over, `hears_leader` that it receives the leader's heartbeats, and
    `leaving` that it is shutting down and won't become the leader.
    """

    identity: str
    epoch: int
    is_leader: bool
    hears_leader: bool
    leaving: bool


class TransferLeadership(Message, wire_name="Succeed"):
    """From a leader to the successor that it has named: the new version of the log's control key.

    `number` is the version and `body` the JSON value of the key.
    """

    number: int
    body: str


class FetchRecords(Message, wire_name="Fetch"):
    """Requests the records from `from_seq` on, or the snapshot from the byte `offset` on."""

    epoch: int
    from_seq: int
    offset: int


class FetchResponse(Message, wire_name="Fetched"):
    """The response to FetchRecords and FetchTail: encoded records, or a part of the snapshot.

    A part of the snapshot is sent if the sender has already trimmed the record `from_seq`; `total`
    is then the size of the whole snapshot in bytes. `last_seq` is the last record of the sender's
    log. `ok` means that the sender's fence equals the requested epoch.
    """

    identity: str
    ok: bool
    snapshot: bytes
    total: int
    records: list[bytes]
    last_seq: int
