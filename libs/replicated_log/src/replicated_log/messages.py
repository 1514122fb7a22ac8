"""Messages between the replicas of the log, and the records that they keep on disk.

A record has the fields of the published scheme that the log follows (docs/design.md): stamp, file
and flags, size, frame and absolute offset. Added to it are the epoch, as the upper half of the
stamp, and the sequence number, by which a follower sees that nothing is missing before a record.
Fields that end in `_ms` are milliseconds, `seq` is a sequence number, `epoch` and `fence` are
epochs of the leader.
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
"""Flag of the first record of a queue file: the receiver empties the file first."""


class Stamp(NamedTuple):
    """The unique, ordered stamp of a record: its epoch, then its time in milliseconds."""

    epoch: int
    time_ms: int


NO_STAMP = Stamp(0, 0)
"""What stands for the stamp of a record before the first one."""


class ResponseReason(StrEnum):
    """Why a follower hasn't taken what a leader sent, or how far it is with a snapshot."""

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
    """The payload of a frame in a queue file: one encoded entry and its position in the log."""

    epoch: int
    stamp_ms: int
    seq: int
    body: bytes


class Record(Message):
    """One record of the log as it is sent and written: a whole frame and where it lies in its file.

    `frame` is `size_bytes` long, `offset` its absolute position in `file`, in bytes. The flag
    TRUNCATE on the first record of a file tells the receiver to empty the file first.
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
        """The unique, ordered stamp of the record."""
        return Stamp(self.epoch, self.stamp_ms)


class SnapshotHeader(Message, wire_name="SnapshotHead"):
    """The first frame of a snapshot: the last record that it covers and how many frames follow."""

    seq: int
    epoch: int
    stamp_ms: int
    count: int


class ReplicaMetadata(Message, wire_name="LogMeta"):
    """The durable metadata of a replica.

    `fence` is the highest epoch that it has accepted; it refuses lower ones. `log_epoch` is the
    epoch of the last recovery that its copy of the log has taken over.
    """

    identity: str
    fence: int
    log_epoch: int


class AppendRequest(Message, wire_name="Append"):
    """From the leader to a follower: the records after `prev_seq`, or none as a heartbeat.

    The follower accepts them only if its record at `prev_seq` has the stamp (`prev_epoch`,
    `prev_ms`). `base_seq` is the end of the recovered log of this epoch, `committed_seq` the last
    record durable on f+1 disks. `flush` asks for a flush and a second response after it; `probe` is
    returned as it came.
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

    `ok` says that the records were taken; if not, `reason` (ResponseReason) says why. `last_seq` is
    how far the follower's log matches the leader's, `flushed_seq` how far it is on its disk.
    `position` is what the response is about: the record that the request followed or, with
    PARTIAL_SNAPSHOT, how many bytes of the snapshot are here; -1 if neither. `has_room` says that
    its disk has space.
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
    """From the leader to a follower: a part of a snapshot that replaces the follower's log.

    `offset` and `total` are bytes of the whole snapshot.
    """

    epoch: int
    snapshot: bytes
    offset: int
    total: int
    probe: int


class StartRecovery(Message, wire_name="Start"):
    """From a recovering replica: raise your fence to `epoch` and say what you hold."""

    epoch: int


class StartRecoveryResponse(Message, wire_name="Started"):
    """The answer to StartRecovery: the replica's fence, log epoch and extent of its log.

    `ok` says that its fence is exactly the epoch asked for.
    """

    identity: str
    ok: bool
    fence: int
    log_epoch: int
    snapshot_seq: int
    last_seq: int
    count: int


class FetchTail(Message):
    """Ask for all records after the last one that both replicas hold.

    The lists describe records of the asking replica, each by its sequence number and its stamp.
    """

    epoch: int
    seqs: list[int]
    stamp_epochs: list[int]
    stamps_ms: list[int]


class LeaderHeartbeat(Message, wire_name="Pulse"):
    """The leader's heartbeat to the other members.

    `has_quorum` says that at least f members have answered the leader lately; `caught_up` is how
    many members, the leader included, have on disk what was committed one heartbeat ago.
    """

    epoch: int
    has_quorum: bool
    caught_up: int


class LeaderPoll(Message, wire_name="Poll"):
    """A member's question to the others whether the leader is still at work.

    `identity` is the asking replica and `epoch` the epoch that it knows.
    """

    identity: str
    epoch: int


class LeaderPollResponse(Message, wire_name="Polled"):
    """The answer to LeaderPoll.

    `epoch` is the highest epoch known to the answering replica. `is_leader` says that it is at work
    as the leader itself, `hears_leader` that it receives the leader's heartbeats, `leaving` that it
    is shutting down and won't become the leader.
    """

    identity: str
    epoch: int
    is_leader: bool
    hears_leader: bool
    leaving: bool


class TransferLeadership(Message, wire_name="Succeed"):
    """From a leader that hands over to its successor: the control key in its new version.

    `number` is the version and `body` the JSON value of the key.
    """

    number: int
    body: str


class FetchRecords(Message, wire_name="Fetch"):
    """Ask for records from `from_seq` on, or for the snapshot from the byte `offset` on."""

    epoch: int
    from_seq: int
    offset: int


class FetchResponse(Message, wire_name="Fetched"):
    """The answer to FetchRecords and FetchTail: encoded records, or a part of the snapshot.

    A part of the snapshot is sent if the asked replica has already trimmed `from_seq`; `total` is
    then the whole snapshot's size in bytes. `last_seq` is the end of the answering replica's log.
    """

    identity: str
    ok: bool
    snapshot: bytes
    total: int
    records: list[bytes]
    last_seq: int
