"""Transfer of snapshots from the leader to its followers."""

from collections.abc import Callable

from messaging import Message
from runtime.settings import Settings

from replicated_log.follower_progress import FollowerProgress
from replicated_log.local_log import LocalLog
from replicated_log.messages import AppendResponse, InstallSnapshot, ResponseReason

__all__ = ["SnapshotSender"]

_PART_BYTES = 1 << 18


class SnapshotSender:
    """Sends snapshots in parts, each once the follower has acknowledged the part before it.

    A slow link is therefore not overloaded. A transfer starts again with the current snapshot if
    `force_ms` have passed since a part was last sent or the follower last responded that it is busy
    installing.
    """

    __slots__ = ("_epoch", "_log", "_now", "_send", "_settings")

    def __init__(
        self,
        log: LocalLog,
        epoch: int,
        settings: Settings,
        now: Callable[[], int],
        send: Callable[[str, Message], None],
    ) -> None:
        self._log, self._epoch, self._settings = log, epoch, settings
        self._now, self._send = now, send

    def send(self, follower: FollowerProgress, probe: int) -> None:
        """Start or restart the transfer to a follower, or resend its latest part, if that is due.

        A part that isn't acknowledged is resent after `request_timeout_ms`. `probe` is returned in
        the follower's response.
        """
        waited_ms = self._now() - follower.snapshot_sent_ms
        if not follower.snapshot or waited_ms >= self._settings.force_ms:
            follower.snapshot = self._log.stored_snapshot()
            follower.snapshot_acknowledged_bytes = 0
            self._send_part(follower, probe)
        elif waited_ms >= self._settings.request_timeout_ms and _is_incomplete(follower):
            self._send_part(follower, probe)

    def _send_part(self, follower: FollowerProgress, probe: int) -> None:
        follower.snapshot_sent_ms = self._now()
        offset = follower.snapshot_acknowledged_bytes
        self._send(
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
        """Process a follower's response during a transfer, and send the next part if there is one.

        A follower that is busy installing the snapshot has all of it. Otherwise `position` is the
        number of bytes that it has received.
        """
        if message.reason == ResponseReason.BUSY:
            follower.snapshot_sent_ms = self._now()
            follower.snapshot_acknowledged_bytes = len(follower.snapshot)
        elif message.position > follower.snapshot_acknowledged_bytes:
            follower.snapshot_acknowledged_bytes = message.position
            self._send_part(follower, probe)


def _is_incomplete(follower: FollowerProgress) -> bool:
    return follower.snapshot_acknowledged_bytes < len(follower.snapshot)
