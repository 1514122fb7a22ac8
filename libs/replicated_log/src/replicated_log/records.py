"""Conversion between records of the log and the entries in them, and selection by size."""

from messaging import Message, decode, decode_as
from storage import frame

from replicated_log.messages import Record, StoredEntry

__all__ = ["decode_entry", "limit_records", "make_record"]

# The size of the length and the checksum before the payload of a frame.
_FRAME_HEADER_BYTES = 8


def decode_entry(record: Record) -> Message:
    """Decode the batch-state entry in a record."""
    return decode(decode_as(StoredEntry, record.frame[_FRAME_HEADER_BYTES:]).body)


def make_record(
    entry: StoredEntry, payload: bytes, file: str, offset: int, flags: int = 0
) -> Record:
    """Build the record of a stored entry.

    Parameters
    ----------
    entry
        The entry.
    payload
        The encoded entry, which becomes the payload of the record's frame.
    file, offset
        The queue file and the absolute byte offset in it at which the frame is stored.
    flags
        TRUNCATE for the first record of a file, otherwise 0.
    """
    data = frame(payload)
    return Record(
        epoch=entry.epoch,
        stamp_ms=entry.stamp_ms,
        seq=entry.seq,
        file=file,
        flags=flags,
        size_bytes=len(data),
        frame=data,
        offset=offset,
    )


def limit_records(records: list[Record], limit_bytes: int) -> list[Record]:
    """Return the first records, up to `limit_bytes` of frames, but at least one if there is one."""
    limited: list[Record] = []
    size_bytes = 0
    for record in records:
        if limited and size_bytes + record.size_bytes > limit_bytes:
            break
        limited.append(record)
        size_bytes += record.size_bytes
    return limited
