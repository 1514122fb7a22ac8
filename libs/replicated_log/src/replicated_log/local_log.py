"""The local copy of the log on one replica.

It consists of queue files, the latest records in memory, the state after the last committed record,
and snapshots of that state. Opening the log cuts off a torn tail that was never flushed, but raises
DamageError if flushed records are missing. Records in files of a later epoch replace those of
earlier epochs.
"""

from collections.abc import Callable

from batch_state.state import BatchState
from messaging import Message, encode
from runtime.settings import Settings
from storage import DamageError, Disk

from replicated_log.archive import ArchiveStore, referenced_files
from replicated_log.flush_watermark import FlushWatermark
from replicated_log.log_flusher import FlushCallback, LogFlusher
from replicated_log.messages import NO_STAMP, Record, ReplicaMetadata, Stamp, StoredEntry
from replicated_log.metadata_file import MetadataFile
from replicated_log.queue_files import QUEUE_PREFIX, QueueFiles
from replicated_log.record_buffer import RecordBuffer
from replicated_log.records import decode_entry
from replicated_log.snapshot_writer import SNAPSHOT_FILE, SnapshotWriter
from replicated_log.snapshots import build_snapshot, read_whole_snapshot

__all__ = ["LocalLog"]

# Fetches archive files (their names, the address of the replica to fetch them from) and reports
# whether all of them are on this disk now.
ArchiveFetcher = Callable[[list[str], str, Callable[[bool], None]], None]


class LocalLog:
    """The log of one replica; sequence numbers start at 1.

    `state` is the batch state after the record `committed_seq`. The constructor opens the log from
    the disk and raises DamageError if flushed data is missing or damaged.

    Parameters
    ----------
    disk
        The disk with the files of this replica.
    settings
        The settings of the process.
    now
        Returns the replica's clock in milliseconds.
    token
        Returns a new unique string, for the replica's identity and the names of archive files.
    """

    __slots__ = (
        "_entries",
        "_metadata_file",
        "_now",
        "_queue_files",
        "_snapshot_writer",
        "archive",
        "buffer",
        "committed_seq",
        "disk",
        "fetch_archives",
        "flusher",
        "settings",
        "state",
    )

    def __init__(
        self, disk: Disk, settings: Settings, now: Callable[[], int], token: Callable[[], str]
    ) -> None:
        self.disk = disk
        self.settings = settings
        self._now = now
        self._entries: dict[int, Message] = {}
        self.state = BatchState()
        self.committed_seq = 0
        self.buffer = RecordBuffer()
        self.archive = ArchiveStore(self, token)
        self.fetch_archives: ArchiveFetcher | None = None
        self._snapshot_writer = SnapshotWriter(self, now)
        self._queue_files = QueueFiles(disk)
        self._open(token)

    def _open(self, token: Callable[[], str]) -> None:
        """Read the log from the disk.

        Records after the snapshot aren't known to be committed, so they aren't applied to the
        state. They count as unflushed, so the next flush covers their files too. Raises DamageError
        if the log ends before the flush watermark, or if the snapshot or the metadata is damaged.
        """
        self._metadata_file = MetadataFile(self.disk, token)
        watermark = FlushWatermark(self.disk, self._metadata_file)
        self.flusher = LogFlusher(self.disk, self._queue_files, self.buffer, watermark, self._now)
        if SNAPSHOT_FILE in self.disk.names():
            self._load_snapshot(self.disk.read(SNAPSHOT_FILE))
        flushed_seq = watermark.read()
        self._queue_files.read_into(self.buffer)
        if self.last_seq < flushed_seq:
            raise DamageError(QUEUE_PREFIX, self.last_seq)
        self.buffer.received_ms = [self._now()] * len(self.records)
        self.archive.remove_unreferenced()
        if self._metadata_file.is_new and self.settings.first_start:
            self.save_metadata(lambda ok: None)
        self.flusher.flushed_seq = self.snapshot_seq
        self._queue_files.dirty.update(record.file for record in self.records)

    def may_bootstrap(self) -> bool:
        """Whether this replica may take part in the bootstrap of a new log.

        Its disk must hold no log yet (its log epoch is 0). If there are no control nodes, its fence
        must be 0 too, and its disk must date from the first start of the fleet: either
        `first_start` is set or the disk already had a metadata file when the log was opened.
        """
        has_control = self.settings.control_count > 0
        began_with_fleet = (
            has_control or self.settings.first_start or not self._metadata_file.is_new
        )
        is_blank = self.metadata.log_epoch == 0 and (has_control or self.metadata.fence == 0)
        return began_with_fleet and is_blank

    @property
    def metadata(self) -> ReplicaMetadata:
        """The durable metadata: identity, fence and log epoch."""
        return self._metadata_file.metadata

    @property
    def identity(self) -> str:
        """The unique name of this replica's disk."""
        return self.metadata.identity

    def save_metadata(
        self, done: Callable[[bool], None], fence: int = 0, log_epoch: int = 0
    ) -> None:
        """Durably raise the fence and the log epoch; see MetadataFile.save."""
        self._metadata_file.save(done, fence, log_epoch)

    @property
    def records(self) -> list[Record]:
        """The records in memory."""
        return self.buffer.records

    @property
    def first_seq(self) -> int:
        """The sequence number of the first record in memory, or of the next record if none is."""
        return self.buffer.first_seq

    @property
    def last_seq(self) -> int:
        """The sequence number of the last record."""
        return self.buffer.last_seq

    @property
    def last_stamp(self) -> Stamp:
        """The stamp of the last record."""
        return self.buffer.last_stamp

    @property
    def flushed_seq(self) -> int:
        """The last record that is known to be on disk, with all records before it."""
        return self.flusher.flushed_seq

    @property
    def snapshot_seq(self) -> int:
        """The last record that the snapshot on disk covers."""
        return self.buffer.snapshot_seq

    @property
    def committed_stamp(self) -> Stamp:
        """The stamp of the last committed record."""
        return self.stamp_at(self.committed_seq) or NO_STAMP

    def stamp_at(self, seq: int) -> Stamp | None:
        """Return the stamp of a record, or None if this replica doesn't know it."""
        return self.buffer.stamp_at(seq)

    def records_from(self, seq: int, limit_bytes: int) -> list[Record]:
        """Return the records in memory from `seq` on; see RecordBuffer.records_from."""
        return self.buffer.records_from(seq, limit_bytes)

    def next_record(self, stamp: Stamp, body: bytes) -> Record:
        """Build the leader's next record from an encoded entry, without writing it."""
        entry = StoredEntry(
            epoch=stamp.epoch, stamp_ms=stamp.time_ms, seq=self.last_seq + 1, body=body
        )
        return self._queue_files.place_record(entry, encode(entry), self.settings.segment_bytes)

    def append(self, record: Record, urgent: bool = False, entry: Message | None = None) -> None:
        """Append the next record without flushing it. Raises DiskFullError.

        Parameters
        ----------
        record
            The record after the last one.
        urgent
            Whether the record may use the reserved part of the disk.
        entry
            The decoded entry of the record, if known; `commit` then needn't decode it again.
        """
        self._queue_files.write(record, urgent)
        self._snapshot_writer.record_written(record.size_bytes)
        self.buffer.append(record, self._now())
        if entry is not None:
            self._entries[record.seq] = entry

    def truncate_after(self, seq: int) -> None:
        """Remove all records after `seq` from memory and from the files, without a flush."""
        removed = self.buffer.records_after(seq)
        if removed:
            self.flusher.lower_watermark(seq)
        self._queue_files.remove_records(removed)
        self.buffer.truncate_after(seq)
        self._entries.clear()
        self.flusher.limit_flushed_seq()

    def flush(self, done: FlushCallback) -> None:
        """Flush all records; see LogFlusher.flush."""
        self.flusher.flush(done)

    def ensure_flushed(self, done: FlushCallback) -> None:
        """Flush all records, unless nothing is unflushed; see LogFlusher.ensure_flushed."""
        self.flusher.ensure_flushed(done)

    def is_flush_due(self) -> bool:
        """Whether there are unflushed records and the last flush began `flush_ms` ago or more."""
        return self.flusher.is_due(self.settings.flush_ms)

    def commit(self, seq: int) -> None:
        """Apply the records up to `seq`, which are durable on f+1 disks, to the state.

        Records that this replica doesn't have yet are left for a later call.
        """
        while self.committed_seq < min(seq, self.last_seq):
            self.committed_seq += 1
            known = self._entries.pop(self.committed_seq, None)
            entry = known or decode_entry(self.buffer.record_at(self.committed_seq))
            self._snapshot_writer.before_apply(entry)
            self.state.apply(entry)

    def snapshot_in_progress(self) -> bool:
        """Whether a snapshot is being written."""
        return self._snapshot_writer.in_progress

    def maintain_snapshot(self, force: bool = False) -> None:
        """Continue the snapshot in progress, or start one if it is due.

        A snapshot is due after `segment_bytes` of records, or at once if `force` is set. None is
        started if no record has been committed since the last one.
        """
        self._snapshot_writer.maintain(force)

    def snapshot_written(self, seq: int, stamp: Stamp) -> None:
        """Register a snapshot that is on disk; remove the records and files that it replaces."""
        if seq <= self.snapshot_seq:
            return
        self.buffer.snapshot_seq, self.buffer.snapshot_stamp = seq, stamp
        self.trim()
        self.archive.remove_unreferenced()

    def trim(self) -> None:
        """Remove old records that the snapshot covers from memory, and files of covered records.

        A record is old if it was received more than `keep_factor` * `flush_ms` before the last one,
        or if the records take more than `max_kept_record_bytes`.
        """
        settings = self.settings
        self.buffer.trim(settings.keep_factor * settings.flush_ms, settings.max_kept_record_bytes)
        self._queue_files.remove_unneeded(
            [record for record in self.records if record.seq > self.snapshot_seq]
        )

    def snapshot(self) -> bytes:
        """Build and return a snapshot of the committed state."""
        return build_snapshot(self.state, self.committed_seq, self.committed_stamp)

    def stored_snapshot(self) -> bytes:
        """Return the snapshot on disk; build one if there is none or one is being written."""
        if self.snapshot_in_progress() or SNAPSHOT_FILE not in self.disk.names():
            return self.snapshot()
        return self.disk.read(SNAPSHOT_FILE)

    def _load_snapshot(self, data: bytes) -> None:
        """Replace the state by that of a snapshot. Raises DamageError if it isn't intact."""
        header, entries = read_whole_snapshot(data)
        self.state = BatchState()
        for entry in entries:
            self.state.apply(entry)
        self.buffer.snapshot_seq = self.committed_seq = header.seq
        self.buffer.snapshot_stamp = Stamp(header.epoch, header.stamp_ms)

    def install_snapshot(
        self,
        data: bytes,
        done: Callable[[bool], None],
        source: str = "",
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        """Replace this log by a snapshot from another replica.

        Archive files to which the snapshot refers and that this disk lacks are fetched first.
        Raises DamageError if the snapshot isn't intact.

        Parameters
        ----------
        data
            The snapshot.
        done
            Called with True once the snapshot is on disk, and with False if an archive file could
            not be fetched, if the snapshot is no longer wanted, or if it could not be written.
        source
            The address from which to fetch archive files.
        is_wanted
            Called once archive files have been fetched; the log is replaced only if it returns
            True.
        """
        missing = self._missing_archives(data)
        if not missing:
            self._replace_log(data, done)
        elif self.fetch_archives is None:
            done(False)
        else:
            self.fetch_archives(
                missing,
                source,
                lambda ok: self._replace_log(data, done) if ok and is_wanted() else done(False),
            )

    def _missing_archives(self, data: bytes) -> list[str]:
        """Return the archive files to which a snapshot refers and that this disk lacks."""
        return sorted(referenced_files(read_whole_snapshot(data)[1]) - set(self.disk.names()))

    def _replace_log(self, data: bytes, done: Callable[[bool], None]) -> None:
        self.truncate_after(0)
        self.flusher.lower_watermark(0)
        self._queue_files.remove_all()
        self.buffer.clear()
        self._snapshot_writer.abandon()
        self._load_snapshot(data)
        self.flusher.reset()
        seq = self.snapshot_seq

        def replaced(ok: bool) -> None:
            if ok:
                self.flusher.snapshot_flushed(seq)
            done(ok)

        self.disk.replace(SNAPSHOT_FILE, data, replaced)
