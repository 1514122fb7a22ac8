"""The holder's view of a follower, and the transfer of snapshots to it."""

from collections.abc import Callable
from typing import Any

from messaging import Message, encode

from replicated_log.local_log import LocalLog
from replicated_log.messages import AppendResponse, InstallSnapshot, Record

__all__ = ["FollowerProgress", "SnapshotSender", "EncodedRecordCache"]

_PART_BYTES = 1 << 18
_WIRES = 64


class FollowerProgress:
    """What the holder knows of one store that it sends the log.

    `last_seq` and `flushed_seq` are how far the store has the log in memory and on disk, as it said
    itself; they count only if it has `adopted` the holder's epoch. `next_seq` is the next record to
    send, `probe` the last probe answered. Times are milliseconds of the holder's clock.
    """

    __slots__ = (
        "address",
        "adopted",
        "position",
        "flushed_seq",
        "disk_full",
        "last_heard_ms",
        "identity",
        "snapshot_sent_ms",
        "last_seq",
        "next_seq",
        "probe",
        "last_sent_ms",
        "snapshot",
        "snapshot_acked_bytes",
    )

    def __init__(self, identity: str, address: str, next_seq: int, now_ms: int) -> None:
        self.identity = identity
        self.address = address
        self.last_seq = 0
        self.flushed_seq = 0
        self.next_seq = next_seq
        self.probe = 0
        self.position = -1
        self.last_sent_ms = 0
        self.last_heard_ms = now_ms
        self.adopted = False
        self.snapshot_sent_ms = -1 << 40
        self.snapshot = b""
        self.snapshot_acked_bytes = 0
        self.disk_full = False


class SnapshotSender:
    """Sends snapshots part by part, each after the part before was taken.

    So a slow link isn't overloaded. A transfer that makes no progress within `force_ms` is started
    again.
    """

    __slots__ = ("_epoch", "_log", "_now", "_settings", "_post")

    def __init__(
        self,
        log: LocalLog,
        epoch: int,
        settings: Any,
        now: Callable[[], int],
        post: Callable[[str, Message], None],
    ) -> None:
        self._log, self._epoch, self._settings = log, epoch, settings
        self._now, self._post = now, post

    def send(self, follower: FollowerProgress, probe: int) -> None:
        """Begin a snapshot, begin it again, or repeat its last part when that is due."""
        now_ms = self._now()
        if not follower.snapshot or now_ms - follower.snapshot_sent_ms >= self._settings.force_ms:
            follower.snapshot, follower.snapshot_acked_bytes = self._log.stored_snapshot(), 0
            self._send_part(follower, probe)
        elif (
            now_ms - follower.snapshot_sent_ms >= self._settings.request_timeout_ms
            and follower.snapshot_acked_bytes < len(follower.snapshot)
        ):
            self._send_part(follower, probe)

    def _send_part(self, follower: FollowerProgress, probe: int) -> None:
        follower.snapshot_sent_ms = self._now()
        offset = follower.snapshot_acked_bytes
        self._post(
            follower.address,
            InstallSnapshot(
                epoch=self._epoch,
                snapshot=follower.snapshot[offset : offset + _PART_BYTES],
                offset=offset,
                total=len(follower.snapshot),
                probe=probe,
            ),
        )

    def handle_response(
        self, follower: FollowerProgress, message: AppendResponse, probe: int
    ) -> None:
        """Take in a follower's answer: it is installing the snapshot, or says how much it has."""
        if message.reason == "busy":
            follower.snapshot_sent_ms, follower.snapshot_acked_bytes = (
                self._now(),
                len(follower.snapshot),
            )
        elif message.position > follower.snapshot_acked_bytes:
            follower.snapshot_acked_bytes = message.position
            self._send_part(follower, probe)


class EncodedRecordCache:
    """The encoded form of the latest records, made once for all followers."""

    __slots__ = ("_wires",)

    def __init__(self) -> None:
        self._wires: dict[int, bytes] = {}

    def bytes_of(self, record: Record) -> bytes:
        """Return the record as it is sent."""
        data = self._wires.get(record.seq)
        if data is None:
            data = self._wires[record.seq] = encode(record)
            if len(self._wires) > _WIRES:
                del self._wires[next(iter(self._wires))]
        return data

    def clear(self) -> None:
        """Forget all records, because some were cut off again."""
        self._wires.clear()
