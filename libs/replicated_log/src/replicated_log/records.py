"""A record of the log and the entry in it."""

from messaging import Message, decode
from storage import frame

from replicated_log.messages import Record, StoredEntry

__all__ = ["entry_of", "first_bytes", "record_of"]


def entry_of(record: Record) -> Message:
    """The ledger entry that a record carries."""
    return decode(decode(record.bytes[8:]).body)


def record_of(entry: StoredEntry, payload: bytes, name: str, offset: int, flags: int = 0) -> Record:
    """The record of a stored entry at its absolute place in a queue file."""
    data = frame(payload)
    return Record(
        epoch=entry.epoch,
        stamp_ms=entry.stamp_ms,
        seq=entry.seq,
        file=name,
        flags=flags,
        nbytes=len(data),
        bytes=data,
        offset=offset,
    )


def first_bytes(records: list[Record], limit_bytes: int) -> list[Record]:
    """The first of the records, at least one if there is one, up to a size in bytes."""
    rows: list[Record] = []
    size_bytes = 0
    for record in records:
        if rows and size_bytes + record.nbytes > limit_bytes:
            break
        rows.append(record)
        size_bytes += record.nbytes
    return rows
