"""Conversions between a record of the log and the entry that it carries."""

from messaging import Message, decode
from storage import frame

from replicated_log.messages import Record, StoredEntry

__all__ = ["decode_entry", "limit_records", "make_record"]


def decode_entry(record: Record) -> Message:
    """Decode the ledger entry that a record carries."""
    return decode(decode(record.frame[8:]).body)


def make_record(
    entry: StoredEntry, payload: bytes, name: str, offset: int, flags: int = 0
) -> Record:
    """Build the record of a stored entry at its absolute offset in a queue file."""
    data = frame(payload)
    return Record(
        epoch=entry.epoch,
        stamp_ms=entry.stamp_ms,
        seq=entry.seq,
        file=name,
        flags=flags,
        size_bytes=len(data),
        frame=data,
        offset=offset,
    )


def limit_records(records: list[Record], limit_bytes: int) -> list[Record]:
    """Return the first records up to a size in bytes, but at least one if there is one."""
    rows: list[Record] = []
    size_bytes = 0
    for record in records:
        if rows and size_bytes + record.size_bytes > limit_bytes:
            break
        rows.append(record)
        size_bytes += record.size_bytes
    return rows
