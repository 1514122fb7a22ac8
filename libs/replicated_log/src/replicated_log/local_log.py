"""One replica's own copy of the log.

It has queue files, the latest records in memory, the ledger folded up to the last settled record,
and snapshots of it. Opening cuts off a tail that was never flushed; a hole in what was flushed
raises DamageError. Files of a later epoch replace earlier ones.
"""

from collections.abc import Callable
from typing import Any

from batch_state import BatchState
from messaging import Message, decode, encode
from storage import DamageError, Disk, frame, over_hole, walk

from replicated_log.archive import ArchiveStore, referenced_files
from replicated_log.flush_watermark import FlushWatermark
from replicated_log.messages import TRUNCATE, Record, ReplicaMetadata, StoredEntry
from replicated_log.metadata_file import MetadataFile
from replicated_log.records import decode_entry, limit_records, make_record
from replicated_log.snapshots import SnapshotMaker, make_snapshot, read_whole_snapshot

__all__ = ["LocalLog"]

_SNAP, _QUEUE = "snapshot", "queue-"


class LocalLog:
    """The log of one replica; sequence numbers start at 1, times are in milliseconds."""

    __slots__ = (
        "_dirty",
        "_entries",
        "_flush_waiters",
        "_flushing",
        "_last_flush_ms",
        "_maker",
        "_watermark",
        "_metadata_file",
        "_now",
        "_since_snap_bytes",
        "_snap_after_ms",
        "_snapping",
        "_written",
        "disk",
        "fetch_archives",
        "flushed_seq",
        "state",
        "settings",
        "received_ms",
        "records",
        "committed_seq",
        "archive",
        "snapshot_seq",
        "snapshot_stamp",
    )

    def __init__(
        self, disk: Disk, settings: Any, now: Callable[[], int], token: Callable[[], str]
    ) -> None:
        self.disk = disk
        self.settings = settings
        self._now = now
        self.records: list[Record] = []
        self._entries: dict[int, Message] = {}
        self.received_ms: list[int] = []
        self.state = BatchState()
        self.snapshot_seq = 0
        self.snapshot_stamp = (0, 0)
        self._dirty: set[str] = set()
        self._flushing = False
        self._flush_waiters: list[Callable[[bool], None]] = []
        self._snapping = False
        self._maker: SnapshotMaker | None = None
        self._snap_after_ms = -1 << 40
        self._since_snap_bytes = 0
        self._last_flush_ms = now()
        self._written = ("", 0)
        self.archive = ArchiveStore(self, token)
        self.fetch_archives: Callable[[list[str], str, Callable[[bool], None]], None] | None = None
        self._open(token)
        self.archive.collect()
        if self._metadata_file.fresh and settings.first_start:
            self.save_metadata(lambda ok: None)
        self.committed_seq = self.snapshot_seq
        self.flushed_seq = self.snapshot_seq
        self._dirty.update(record.file for record in self.records)

    def _open(self, token: Callable[[], str]) -> None:
        names = self.disk.names()
        self._metadata_file = MetadataFile(self.disk, token)
        if _SNAP in names:
            self.load_snapshot(self.disk.read(_SNAP))
        self._watermark = FlushWatermark(self.disk, self._metadata_file)
        mark = self._watermark.read()
        for name in [name for name in names if name.startswith(_QUEUE)]:
            self._open_queue(name)
        if self.last_seq < mark:
            raise DamageError(_QUEUE, self.last_seq)
        self.received_ms = [self._now()] * len(self.records)

    def _open_queue(self, name: str) -> None:
        """Read a queue file; holes of zeros are records that came by a snapshot instead."""
        data = self.disk.read(name)
        frames, stop = walk(data)
        while (at := over_hole(data, stop)) is not None:
            more, stop = walk(data, at)
            frames += more
        end = 0
        for offset, payload in frames:
            entry = decode(payload)
            if entry.seq > max(self.snapshot_seq, self.last_seq) + 1:
                break
            end = offset + len(frame(payload))
            if entry.seq <= self.snapshot_seq:
                continue
            del self.records[entry.seq - self.first_seq :]
            self.records.append(make_record(entry, payload, name, offset))
        if end < len(data):
            self.disk.truncate(name, end)
            self._dirty.add(name)
        if end == 0:
            self.disk.remove(name)
            self._dirty.discard(name)

    def may_bootstrap(self) -> bool:
        """Whether this store may found a log: its disk was blank when the fleet began."""
        told = (
            self.settings.control_count > 0
            or self.settings.first_start
            or not self._metadata_file.fresh
        )
        return (
            told
            and self.meta.log_epoch == 0
            and (self.settings.control_count > 0 or self.meta.fence == 0)
        )

    @property
    def meta(self) -> ReplicaMetadata:
        """The durable metadata: identity, fence and log epoch."""
        return self._metadata_file.meta

    @property
    def identity(self) -> str:
        """The unique name of this replica's disk."""
        return self.meta.identity

    @property
    def first_seq(self) -> int:
        """The sequence number of the first record in memory, or of the next one to come."""
        return self.records[0].seq if self.records else self.snapshot_seq + 1

    @property
    def last_seq(self) -> int:
        """The sequence number of the last record."""
        return self.records[-1].seq if self.records else self.snapshot_seq

    @property
    def last_stamp(self) -> tuple[int, int]:
        """The stamp of the last record."""
        return self.records[-1].stamp if self.records else self.snapshot_stamp

    def stamp_at(self, seq: int) -> tuple[int, int] | None:
        """Return the stamp of a record, or None if it isn't known here."""
        if seq == self.snapshot_seq:
            return self.snapshot_stamp
        index = seq - self.first_seq
        return self.records[index].stamp if 0 <= index < len(self.records) else None

    def records_from(self, seq: int, limit_bytes: int) -> list[Record]:
        """Return records from `seq` on, about `limit_bytes` of them but at least one."""
        return limit_records(self.records[max(0, seq - self.first_seq) :], limit_bytes)

    def make(self, stamp: tuple[int, int], body: bytes) -> Record:
        """Make the holder's next record; the first of each queue file has the truncate flag."""
        seq = self.last_seq + 1
        payload = encode(StoredEntry(epoch=stamp[0], stamp_ms=stamp[1], seq=seq, body=body))
        name, offset = self._written
        flags = 0
        if not name.startswith(f"{_QUEUE}{stamp[0]:08d}-") or offset >= self.settings.segment_bytes:
            name, offset, flags = f"{_QUEUE}{stamp[0]:08d}-{seq:012d}", 0, TRUNCATE
        return make_record(
            StoredEntry(epoch=stamp[0], stamp_ms=stamp[1], seq=seq, body=body),
            payload,
            name,
            offset,
            flags,
        )

    def write(self, record: Record, urgent: bool = False, entry: Message | None = None) -> None:
        """Write lazily and idempotently at the record's offset; `entry` spares decoding later."""
        if record.flags & TRUNCATE:
            self.disk.truncate(record.file, 0)
        self.disk.write(record.file, record.offset, record.frame, urgent)
        self._dirty.add(record.file)
        self._written = (record.file, record.offset + record.size_bytes)
        self._since_snap_bytes += record.size_bytes
        self.records.append(record)
        self.received_ms.append(self._now())
        if entry is not None:
            self._entries[record.seq] = entry

    def truncate_after(self, seq: int) -> None:
        """Remove all records after `seq`, in memory and in the files."""
        keep = max(0, seq - self.first_seq + 1)
        if len(self.records) > keep:
            self._watermark.write(min(self.flushed_seq, seq))
        for record in reversed(self.records[keep:]):
            self.disk.truncate(record.file, record.offset)
            self._dirty.add(record.file)
        if len(self.records) > keep:
            self._written = ("", 0)
        del self.records[keep:]
        del self.received_ms[keep:]
        self._entries.clear()
        self.flushed_seq = min(self.flushed_seq, self.last_seq)

    def flush(self, done: Callable[[bool], None]) -> None:
        """Flush all records; requests during a flush share the next one."""
        self._flush_waiters.append(done)
        if not self._flushing:
            self._start_flush()

    def ensure_flushed(self, done: Callable[[bool], None]) -> None:
        """Flush, unless everything here has been flushed already."""
        if self._dirty or self._flushing or self.flushed_seq < self.last_seq:
            self.flush(done)
        else:
            done(True)

    def _start_flush(self) -> None:
        self._flushing = True
        self._last_flush_ms = self._now()
        pending_appends, self._flush_waiters = self._flush_waiters, []
        names, self._dirty = sorted(self._dirty), set()
        up_to = self.last_stamp
        up_to_seq = self.last_seq

        def flushed(ok: bool) -> None:
            self._flushing = False
            if ok and self.stamp_at(up_to_seq) == up_to and up_to_seq > self.flushed_seq:
                self.flushed_seq = up_to_seq
                self._watermark.write(up_to_seq)
            if not ok:
                self._dirty.update(names)
            for pending in pending_appends:
                pending(ok)
            if self._flush_waiters and not self._flushing:
                self._start_flush()

        self.disk.flush(names, flushed)

    def is_flush_due(self) -> bool:
        """Whether unflushed records have waited for `flush_ms`."""
        return (
            self.flushed_seq < self.last_seq
            and not self._flushing
            and self._now() - self._last_flush_ms >= self.settings.flush_ms
        )

    def save_metadata(
        self, done: Callable[[bool], None], fence: int | None = None, log_epoch: int | None = None
    ) -> None:
        """Raise the fence and the log epoch durably; see MetadataFile.keep."""
        self._metadata_file.keep(done, fence or 0, log_epoch or 0)

    def commit(self, seq: int) -> None:
        """Fold the records up to `seq`, which are now durable on f+1 disks, into the ledger."""
        while self.committed_seq < min(seq, self.last_seq):
            self.committed_seq += 1
            known = self._entries.pop(self.committed_seq, None)
            entry = known or decode_entry(self.records[self.committed_seq - self.first_seq])
            if self._maker is not None:
                self._maker.before(entry)
            self.state.apply(entry)

    def busy(self) -> bool:
        """Whether a snapshot is being written."""
        return self._snapping

    def snapshot(self) -> bytes:
        """Return a snapshot made now from all that is settled."""
        return make_snapshot(
            self.state, self.committed_seq, self.stamp_at(self.committed_seq) or (0, 0)
        )

    def stored_snapshot(self) -> bytes:
        """Return the snapshot on disk, or a new one if there is none or one is being written."""
        return (
            self.snapshot()
            if self._snapping or _SNAP not in self.disk.names()
            else self.disk.read(_SNAP)
        )

    def load_snapshot(self, data: bytes) -> None:
        """Replace the ledger by a snapshot's. Raises DamageError if it isn't intact."""
        head, entries = read_whole_snapshot(data)
        self.state = BatchState()
        for entry in entries:
            self.state.apply(entry)
        self.snapshot_seq = self.committed_seq = head.seq
        self.snapshot_stamp = (head.epoch, head.stamp_ms)

    def missing_archives(self, data: bytes) -> list[str]:
        """Return the archive files that a snapshot refers to and that aren't here."""
        return sorted(referenced_files(read_whole_snapshot(data)[1]) - set(self.disk.names()))

    def install(
        self,
        data: bytes,
        done: Callable[[bool], None],
        source: str = "",
        still: Callable[[], bool] = lambda: True,
    ) -> None:
        """Replace this log by a snapshot, once its archive files are here and if `still` wanted."""
        lacking = self.missing_archives(data)
        if not lacking:
            self._install(data, done)
        elif self.fetch_archives is None:
            done(False)
        else:
            self.fetch_archives(
                lacking,
                source,
                lambda ok: self._install(data, done) if ok and still() else done(False),
            )

    def _install(self, data: bytes, done: Callable[[bool], None]) -> None:
        self.truncate_after(0)
        self._watermark.write(0)
        for name in [name for name in self.disk.names() if name.startswith(_QUEUE)]:
            self.disk.remove(name)
        self._dirty.clear()
        self.records, self.received_ms = [], []
        if self._maker is not None:
            self._maker, self._snapping = None, False
        self.load_snapshot(data)
        self._written = ("", 0)
        self.flushed_seq = 0
        seq = self.snapshot_seq

        def kept(ok: bool) -> None:
            if ok:
                self.flushed_seq = max(self.flushed_seq, seq)
            done(ok)

        self.disk.replace(_SNAP, data, kept)

    def maintain_snapshot(self, force: bool = False) -> None:
        """Take a snapshot when a segment's worth is settled, or at once if `force` is set."""
        if self._maker is not None:
            self._go_on_with_snapshot()
        if self._snapping or self.committed_seq <= self.snapshot_seq:
            return
        if not force and (
            self._since_snap_bytes < self.settings.segment_bytes
            or self._now() < self._snap_after_ms
        ):
            return
        self._snapping = True
        self._since_snap_bytes = 0
        self.archive.archive_finished(self._begin_snapshot)

    def _begin_snapshot(self) -> None:
        self._maker = SnapshotMaker(
            self.state, self.committed_seq, self.stamp_at(self.committed_seq) or (0, 0)
        )
        self._go_on_with_snapshot()

    def _go_on_with_snapshot(self) -> None:
        if not self._maker.step():
            return
        maker, self._maker = self._maker, None
        seq, stamp = maker.seq, maker.stamp

        def kept(ok: bool) -> None:
            self._snapping = False
            if not ok:
                self._since_snap_bytes = self.settings.segment_bytes
                self._snap_after_ms = self._now() + self.settings.request_timeout_ms
            elif seq > self.snapshot_seq:
                self.snapshot_seq, self.snapshot_stamp = seq, stamp
                self.trim()
                self.archive.collect()

        self.disk.replace(_SNAP, maker.whole(), kept)

    def _count_trimmable(self, floor_ms: float) -> int:
        limit = min(len(self.records) - 1, self.snapshot_seq + 1 - self.first_seq)
        return next((n for n in range(limit) if self.received_ms[n] >= floor_ms), max(0, limit))

    def trim(self) -> None:
        """Drop records that are both in the snapshot and older than `keep_factor` * `flush_ms`."""
        if self.received_ms:
            floor_ms = self.received_ms[-1] - self.settings.keep_factor * self.settings.flush_ms
            count = self._count_trimmable(floor_ms)
            del self.records[:count]
            del self.received_ms[:count]
        needed = {record.file for record in self.records if record.seq > self.snapshot_seq} | {
            self._written[0]
        }
        for name in [name for name in self.disk.names() if name.startswith(_QUEUE)]:
            if name not in needed:
                self._dirty.discard(name)
                self.disk.remove(name)
