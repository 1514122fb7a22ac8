"""Periodic snapshots of the log on the replica's own disk."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from messaging import Message

from replicated_log.snapshots import SnapshotBuilder

if TYPE_CHECKING:
    from replicated_log.local_log import LocalLog

__all__ = ["SNAPSHOT_FILE", "SnapshotWriter"]

SNAPSHOT_FILE = "snapshot"
_LONG_AGO_MS = -1 << 40


class SnapshotWriter:
    """Writes a snapshot after every `segment_bytes` of records.

    Closed jobs and keys are archived first. A snapshot that could not be written is tried again
    after `request_timeout_ms`. `in_progress` is set from the start of archiving until the snapshot
    is written, has failed or is abandoned. Times are in milliseconds of the replica's clock.
    """

    __slots__ = ("_builder", "_log", "_not_before_ms", "_now", "_written_bytes", "in_progress")

    def __init__(self, log: "LocalLog", now: Callable[[], int]) -> None:
        self._log = log
        self._now = now
        self._builder: SnapshotBuilder | None = None
        self._not_before_ms = _LONG_AGO_MS
        self._written_bytes = 0
        self.in_progress = False

    def record_written(self, size_bytes: int) -> None:
        """Add to the number of bytes written to the queue files since the last snapshot."""
        self._written_bytes += size_bytes

    def before_apply(self, entry: Message) -> None:
        """Prepare a snapshot that is being built for an entry that is about to be applied."""
        if self._builder is not None:
            self._builder.before_apply(entry)

    def abandon(self) -> None:
        """Drop a snapshot that is being built, because another one replaces the log."""
        if self._builder is not None:
            self._builder = None
            self.in_progress = False

    def maintain(self, force: bool) -> None:
        """Continue the snapshot in progress, or start one if it is due or `force` is set.

        None is started if no record has been committed since the last one.
        """
        if self._builder is not None:
            self._step(self._builder)
        if self.in_progress or self._log.committed_seq <= self._log.snapshot_seq:
            return
        if force or self._is_due():
            self.in_progress = True
            self._written_bytes = 0
            self._log.archive.archive_finished(self._begin)

    def _is_due(self) -> bool:
        return (
            self._written_bytes >= self._log.settings.segment_bytes
            and self._now() >= self._not_before_ms
        )

    def _begin(self) -> None:
        log = self._log
        self._builder = SnapshotBuilder(log.state, log.committed_seq, log.committed_stamp)
        self._step(self._builder)

    def _step(self, builder: SnapshotBuilder) -> None:
        if not builder.step():
            return
        self._builder = None

        def replaced(ok: bool) -> None:
            self.in_progress = False
            if ok:
                self._log.snapshot_written(builder.seq, builder.stamp)
            else:
                self._written_bytes = self._log.settings.segment_bytes
                self._not_before_ms = self._now() + self._log.settings.request_timeout_ms

        self._log.disk.replace(SNAPSHOT_FILE, builder.to_bytes(), replaced)
