"""The queue files of a log: frames of stored entries, each at a fixed offset in its file.

The name of a file has the epoch of the leader that started it and the sequence number of its first
record. Records in files of a later epoch replace those of earlier epochs. All replicas write a
record with the same bytes to the same file and offset.
"""

from typing import NamedTuple

from messaging import decode_as
from storage import Disk, find_frame_after_hole, frame, read_frames

from replicated_log.messages import TRUNCATE, Record, StoredEntry
from replicated_log.record_buffer import RecordBuffer
from replicated_log.records import make_record

__all__ = ["QUEUE_PREFIX", "QueueFiles"]

QUEUE_PREFIX = "queue-"


class _FilePosition(NamedTuple):
    """A position in a queue file; `offset` is in bytes from the start of the file."""

    file: str
    offset: int


_NO_POSITION = _FilePosition("", 0)


class QueueFiles:
    """The queue files on one disk.

    `dirty` has the names of the files that were changed since the last flush began.
    """

    __slots__ = ("_disk", "_end", "dirty")

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._end = _NO_POSITION
        self.dirty: set[str] = set()

    def _names(self) -> list[str]:
        return [name for name in self._disk.names() if name.startswith(QUEUE_PREFIX)]

    def read_into(self, buffer: RecordBuffer) -> None:
        """Read the records of all files into `buffer`, in the order of the file names.

        The buffer must be empty, with `snapshot_seq` set; records that the snapshot covers are
        skipped. A torn tail, and records that don't continue the log, are cut from their file; a
        file with no records left is removed.
        """
        for name in self._names():
            self._read_file(name, buffer)

    def _read_file(self, name: str, buffer: RecordBuffer) -> None:
        data = self._disk.read(name)
        end = 0
        for offset, payload in _frames(data):
            entry = decode_as(StoredEntry, payload)
            if entry.seq > max(buffer.snapshot_seq, buffer.last_seq) + 1:
                break
            end = offset + len(frame(payload))
            if entry.seq <= buffer.snapshot_seq:
                continue
            del buffer.records[entry.seq - buffer.first_seq :]
            buffer.records.append(make_record(entry, payload, name, offset))
        if end < len(data):
            self._disk.truncate(name, end)
            self.dirty.add(name)
        if end == 0:
            self._disk.remove(name)
            self.dirty.discard(name)

    def place_record(self, entry: StoredEntry, payload: bytes, segment_bytes: int) -> Record:
        """Build the record of an entry, with the file and offset after the last record written.

        A new file is started for a new epoch, after the log was opened or truncated, and once the
        current file has `segment_bytes` bytes. The first record of each file has the flag TRUNCATE.
        """
        name, offset = self._end
        own_prefix = f"{QUEUE_PREFIX}{entry.epoch:08d}-"
        if name.startswith(own_prefix) and offset < segment_bytes:
            return make_record(entry, payload, name, offset)
        return make_record(entry, payload, f"{own_prefix}{entry.seq:012d}", 0, TRUNCATE)

    def write(self, record: Record, urgent: bool) -> None:
        """Write a record at its offset, without a flush. Raises DiskFullError.

        Writing the same record again gives the same file contents. An `urgent` record may use the
        reserved part of the disk.
        """
        if record.flags & TRUNCATE:
            self._disk.truncate(record.file, 0)
        self._disk.write(record.file, record.offset, record.frame, urgent)
        self.dirty.add(record.file)
        self._end = _FilePosition(record.file, record.offset + record.size_bytes)

    def remove_records(self, records: list[Record]) -> None:
        """Cut records from their files; `records` are the last ones of the log, in order."""
        for record in reversed(records):
            self._disk.truncate(record.file, record.offset)
            self.dirty.add(record.file)
        if records:
            self._end = _NO_POSITION

    def remove_all(self) -> None:
        """Remove all files."""
        for name in self._names():
            self._disk.remove(name)
        self.dirty.clear()
        self._end = _NO_POSITION

    def remove_unneeded(self, records: list[Record]) -> None:
        """Remove the files that hold none of these records, except for the last one written."""
        needed = {record.file for record in records} | {self._end.file}
        for name in self._names():
            if name not in needed:
                self.dirty.discard(name)
                self._disk.remove(name)


def _frames(data: bytes) -> list[tuple[int, bytes]]:
    """Return the frames of a file as (offset, payload), including those after holes of zeros.

    A hole stands for records that the replica received as part of a snapshot instead.
    """
    frames, stop = read_frames(data)
    while (at := find_frame_after_hole(data, stop)) is not None:
        more, stop = read_frames(data, at)
        frames += more
    return frames
