"""The queue files of a log: frames of stored entries, each at its absolute offset.

A file is named for the epoch whose leader began it and for its first sequence number. Files of a
later epoch replace the records of earlier ones. Replicas write the same bytes at the same offsets.
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
    """A place in a queue file, in bytes from its start."""

    file: str
    offset: int


_NOWHERE = _FilePosition("", 0)


class QueueFiles:
    """The queue files on one disk.

    `dirty` has the names of the files that were changed after the last flush began.
    """

    __slots__ = ("_disk", "_end", "dirty")

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._end = _NOWHERE
        self.dirty: set[str] = set()

    def _names(self) -> list[str]:
        return [name for name in self._disk.names() if name.startswith(QUEUE_PREFIX)]

    # -- opening -------------------------------------------------------------------------------

    def read_into(self, buffer: RecordBuffer) -> None:
        """Read all files in order into an empty buffer whose snapshot is known.

        A tail that was torn off, or that doesn't continue the log, is cut from its file.
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

    # -- writing -------------------------------------------------------------------------------

    def place_record(self, entry: StoredEntry, payload: bytes, segment_bytes: int) -> Record:
        """Build the record of an entry behind the last one written.

        A new file is begun for a new epoch, after a truncation, and once the present file has
        `segment_bytes`; the first record of each file has the flag TRUNCATE.
        """
        name, offset = self._end
        own_prefix = f"{QUEUE_PREFIX}{entry.epoch:08d}-"
        if name.startswith(own_prefix) and offset < segment_bytes:
            return make_record(entry, payload, name, offset)
        return make_record(entry, payload, f"{own_prefix}{entry.seq:012d}", 0, TRUNCATE)

    def write(self, record: Record, urgent: bool) -> None:
        """Write a record lazily and idempotently at its offset. Raises DiskFullError."""
        if record.flags & TRUNCATE:
            self._disk.truncate(record.file, 0)
        self._disk.write(record.file, record.offset, record.frame, urgent)
        self.dirty.add(record.file)
        self._end = _FilePosition(record.file, record.offset + record.size_bytes)

    def remove_records(self, records: list[Record]) -> None:
        """Cut the last records, given in order, from their files."""
        for record in reversed(records):
            self._disk.truncate(record.file, record.offset)
            self.dirty.add(record.file)
        if records:
            self._end = _NOWHERE

    # -- removing files ------------------------------------------------------------------------

    def remove_all(self) -> None:
        """Remove all files."""
        for name in self._names():
            self._disk.remove(name)
        self.dirty.clear()
        self._end = _NOWHERE

    def remove_unneeded(self, records: list[Record]) -> None:
        """Remove the files that hold none of these records, except for the one being written."""
        needed = {record.file for record in records} | {self._end.file}
        for name in self._names():
            if name not in needed:
                self.dirty.discard(name)
                self._disk.remove(name)


def _frames(data: bytes) -> list[tuple[int, bytes]]:
    """Return the frames of a file; holes of zeros are records that came by a snapshot instead."""
    frames, stop = read_frames(data)
    while (at := find_frame_after_hole(data, stop)) is not None:
        more, stop = read_frames(data, at)
        frames += more
    return frames
