"""Replication from the leader to its followers, which are members and standby replicas."""

from collections.abc import Callable

from messaging import Message, encode
from runtime.settings import Settings

from replicated_log.configuration import ReplicaAddress
from replicated_log.follower_progress import FollowerProgress
from replicated_log.local_log import LocalLog
from replicated_log.messages import AppendRequest, AppendResponse, Record, ResponseReason
from replicated_log.snapshot_sender import SnapshotSender

__all__ = ["Replicator"]

_CHUNK_BYTES = 1 << 18
_CACHED_RECORDS = 64
_ENDS_OF_SNAPSHOT = (
    ResponseReason.SNAPSHOT_INSTALLED,
    ResponseReason.DISK_FULL,
    ResponseReason.SNAPSHOT_DAMAGED,
)
_STEPS_OF_SNAPSHOT = (ResponseReason.BUSY, ResponseReason.PARTIAL_SNAPSHOT)


class _EncodedRecordCache:
    """Caches the encoded form of the latest records, which all followers share."""

    __slots__ = ("_encoded",)

    def __init__(self) -> None:
        self._encoded: dict[int, bytes] = {}

    def encode(self, record: Record) -> bytes:
        """Return the encoded record."""
        data = self._encoded.get(record.seq)
        if data is None:
            data = self._encoded[record.seq] = encode(record)
            if len(self._encoded) > _CACHED_RECORDS:
                del self._encoded[next(iter(self._encoded))]
        return data

    def clear(self) -> None:
        """Drop all records, because some have been removed from the log."""
        self._encoded.clear()


class Replicator:
    """Sends the log of one epoch to the followers and tracks their progress.

    `base_seq` is the last record of the recovered log. `probe` is sent with every request. A
    follower that hasn't flushed the record `flush_wanted_seq` is asked to flush.
    """

    __slots__ = (
        "_encoded",
        "_epoch",
        "_log",
        "_now",
        "_send_message",
        "_snapshots",
        "base_seq",
        "flush_wanted_seq",
        "followers",
        "probe",
        "settings",
    )

    def __init__(
        self,
        log: LocalLog,
        epoch: int,
        members: list[ReplicaAddress],
        settings: Settings,
        now: Callable[[], int],
        send: Callable[[str, Message], None],
    ) -> None:
        self._log = log
        self._epoch = epoch
        self.settings = settings
        self._now = now
        self._send_message = send
        self._snapshots = SnapshotSender(log, epoch, settings, now, send)
        self._encoded = _EncodedRecordCache()
        self.base_seq = log.last_seq
        self.probe = 0
        self.flush_wanted_seq = 0
        self.followers: dict[str, FollowerProgress] = {}
        for identity, address in members:
            self.add(identity, address)

    def add(self, identity: str, address: str) -> None:
        """Start to replicate to a store; ignored for this store and for present followers."""
        if identity not in self.followers and identity != self._log.identity:
            self.followers[identity] = FollowerProgress(
                identity, address, self._log.last_seq + 1, self._now()
            )

    def remove_others(self, names: list[str]) -> None:
        """Stop replicating to the stores that aren't among these identities."""
        for identity in [identity for identity in self.followers if identity not in names]:
            del self.followers[identity]

    def forget_encoded(self) -> None:
        """Drop cached encodings, because records have been removed from the log."""
        self._encoded.clear()

    def send_to_all(self) -> None:
        """Send each follower its next records and the probe."""
        for follower in self.followers.values():
            self._send(follower)

    def send_due(self) -> None:
        """Resend to followers that are behind, and send heartbeats to all.

        A follower that is behind is sent its unconfirmed records again once the latest request to
        it is 2 `delta_ms` or `leader_heartbeat_ms` old, whichever is shorter. The others get a
        heartbeat every `leader_heartbeat_ms`.
        """
        now_ms = self._now()
        for follower in self.followers.values():
            is_behind = (
                follower.last_seq < self._log.last_seq
                or follower.probe < self.probe
                or not follower.adopted
            )
            silent_ms = now_ms - follower.last_sent_ms
            if (
                is_behind and silent_ms >= 2 * self.settings.delta_ms
            ) or silent_ms >= self.settings.leader_heartbeat_ms:
                if is_behind:
                    self._go_back(follower)
                self._send(follower)

    def _go_back(self, follower: FollowerProgress) -> None:
        """Continue with the first record that the follower hasn't confirmed.

        For a follower that hasn't adopted the epoch, that is at most the first record after the
        recovered log.
        """
        if follower.adopted:
            follower.next_seq = follower.last_seq + 1
        else:
            follower.next_seq = min(follower.next_seq, self.base_seq + 1)

    def _send(self, follower: FollowerProgress) -> None:
        log = self._log
        follower.last_sent_ms = self._now()
        if self._now() - follower.last_heard_ms > self.settings.failure_timeout_ms:
            follower.next_seq = log.last_seq + 1
        prev_seq = follower.next_seq - 1
        prev_stamp = log.stamp_at(prev_seq)
        if prev_stamp is None or follower.next_seq < log.first_seq:
            self._snapshots.send(follower, self.probe)
            return
        records = log.records_from(follower.next_seq, _CHUNK_BYTES)
        follower.sent_prev_seq = prev_seq
        self._send_message(
            follower.address,
            AppendRequest(
                epoch=self._epoch,
                base_seq=self.base_seq,
                prev_seq=prev_seq,
                prev_epoch=prev_stamp.epoch,
                prev_ms=prev_stamp.time_ms,
                records=[self._encoded.encode(record) for record in records],
                committed_seq=log.committed_seq,
                flush=self.flush_wanted_seq > follower.flushed_seq,
                probe=self.probe,
            ),
        )
        follower.next_seq += len(records)

    def handle_response(
        self, follower: FollowerProgress, message: AppendResponse, address: str
    ) -> None:
        """Process a follower's response and send the records that it still lacks."""
        follower.address = address
        follower.last_heard_ms = self._now()
        if message.ok or message.reason in _ENDS_OF_SNAPSHOT:
            follower.snapshot = b""
        elif follower.snapshot and message.reason in _STEPS_OF_SNAPSHOT:
            self._snapshots.handle_response(follower, message, self.probe)
        follower.disk_full = message.reason == ResponseReason.DISK_FULL or not message.has_room
        follower.probe = max(follower.probe, message.probe)
        if message.ok:
            self._advance(follower, message)
        elif message.reason == ResponseReason.SNAPSHOT_INSTALLED:
            follower.next_seq = message.last_seq + 1
            self._send(follower)
        elif message.reason == ResponseReason.DISK_FULL:
            follower.next_seq = min(follower.next_seq, message.last_seq + 1)
        elif message.reason == ResponseReason.GAP:
            self._close_gap(follower, message)

    def _advance(self, follower: FollowerProgress, message: AppendResponse) -> None:
        follower.last_seq = message.last_seq
        follower.flushed_seq = message.flushed_seq
        follower.adopted = message.log_epoch == self._epoch
        follower.next_seq = max(follower.next_seq, message.last_seq + 1)
        if follower.next_seq <= self._log.last_seq:
            self._send(follower)

    def _close_gap(self, follower: FollowerProgress, message: AppendResponse) -> None:
        """Resend from one record earlier, or from the follower's end if that is earlier still.

        Records that the follower's snapshot covers are committed and not resent. The leader's
        snapshot is sent instead if `prev_seq` is covered by the follower's snapshot and precedes
        the end of the leader's. Responses to requests before the latest one are ignored, since each
        would otherwise cause another request.
        """
        if message.position != follower.sent_prev_seq or follower.snapshot:
            return
        if message.position <= message.snapshot_seq and message.position < self._log.snapshot_seq:
            self._snapshots.send(follower, self.probe)
            return
        follower.next_seq = max(
            1, message.snapshot_seq + 1, min(message.last_seq + 1, message.position)
        )
        self._send(follower)
