"""Conversions between a record of the log and the entry that it carries."""

from messaging import Message, decode, decode_as
from storage import frame

from replicated_log.messages import Record, StoredEntry

__all__ = ["decode_entry", "limit_records", "make_record"]

# The length and the checksum that a frame has before its payload.
_FRAME_HEADER_BYTES = 8


def decode_entry(record: Record) -> Message:
    """Decode the entry of the batch state that a record carries."""
    return decode(decode_as(StoredEntry, record.frame[_FRAME_HEADER_BYTES:]).body)


def make_record(
    entry: StoredEntry, payload: bytes, file: str, offset: int, flags: int = 0
) -> Record:
    """Build the record of a stored entry at its absolute offset, in bytes, in a queue file.

    `payload` is the encoded entry.
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
    """Return the first records up to a size in bytes, but at least one if there is one."""
    limited: list[Record] = []
    size_bytes = 0
    for record in records:
        if limited and size_bytes + record.size_bytes > limit_bytes:
            break
        limited.append(record)
        size_bytes += record.size_bytes
    return limited
