"""Flushes of a log: one at a time, each shared by all callers that wait for it."""

from collections.abc import Callable

from storage import Disk

from replicated_log.flush_watermark import FlushWatermark
from replicated_log.queue_files import QueueFiles
from replicated_log.record_buffer import RecordBuffer

__all__ = ["LogFlusher"]

FlushCallback = Callable[[bool], None]


class LogFlusher:
    """Flushes the queue files of one replica.

    `flushed_seq` is the last record known to be on disk, with all records before it. Times are in
    milliseconds of the replica's clock.
    """

    __slots__ = (
        "_buffer",
        "_disk",
        "_flushing",
        "_last_flush_ms",
        "_now",
        "_queue_files",
        "_waiting",
        "_watermark",
        "flushed_seq",
    )

    def __init__(
        self,
        disk: Disk,
        queue_files: QueueFiles,
        buffer: RecordBuffer,
        watermark: FlushWatermark,
        now: Callable[[], int],
    ) -> None:
        self._disk = disk
        self._queue_files = queue_files
        self._buffer = buffer
        self._watermark = watermark
        self._now = now
        self._flushing = False
        self._last_flush_ms = now()
        self._waiting: list[FlushCallback] = []
        self.flushed_seq = 0

    def flush(self, done: FlushCallback) -> None:
        """Flush all records; calls during a flush share the next one.

        `done` is called with True once the records are on disk, and with False if the flush failed.
        """
        self._waiting.append(done)
        if not self._flushing:
            self._start()

    def ensure_flushed(self, done: FlushCallback) -> None:
        """Flush all records; call `done` at once if nothing is unflushed or being flushed."""
        if self._queue_files.dirty or self._flushing or self._has_unflushed():
            self.flush(done)
        else:
            done(True)

    def is_due(self, flush_ms: int) -> bool:
        """Whether there are unflushed records and the last flush began `flush_ms` ago or more."""
        return (
            self._has_unflushed()
            and not self._flushing
            and self._now() - self._last_flush_ms >= flush_ms
        )

    def _has_unflushed(self) -> bool:
        return self.flushed_seq < self._buffer.last_seq

    def _start(self) -> None:
        self._flushing = True
        self._last_flush_ms = self._now()
        waiting, self._waiting = self._waiting, []
        names, self._queue_files.dirty = sorted(self._queue_files.dirty), set()
        last_seq, last_stamp = self._buffer.last_seq, self._buffer.last_stamp

        def flushed(ok: bool) -> None:
            self._flushing = False
            # During the flush, the last record may have been truncated and replaced by another one.
            if ok and self._buffer.stamp_at(last_seq) == last_stamp and last_seq > self.flushed_seq:
                self.flushed_seq = last_seq
                self._watermark.write(last_seq)
            if not ok:
                self._queue_files.dirty.update(names)
            for done in waiting:
                done(ok)
            if self._waiting and not self._flushing:
                self._start()

        self._disk.flush(names, flushed)

    def lower_watermark(self, seq: int) -> None:
        """Lower the flush watermark, before the records after `seq` are removed from the files.

        Otherwise the missing records would be taken for damage when the log is next opened.
        """
        self._watermark.write(min(self.flushed_seq, seq))

    def limit_flushed_seq(self) -> None:
        """Lower `flushed_seq` to the last record, after records have been removed."""
        self.flushed_seq = min(self.flushed_seq, self._buffer.last_seq)

    def reset(self) -> None:
        """Set `flushed_seq` to 0, because a snapshot that isn't on disk yet replaces the log."""
        self.flushed_seq = 0

    def snapshot_flushed(self, seq: int) -> None:
        """Raise `flushed_seq` to `seq`, the last record covered by a snapshot that is on disk."""
        self.flushed_seq = max(self.flushed_seq, seq)
