"""The latest records of a log, in memory."""

from replicated_log.messages import NO_STAMP, Record, Stamp
from replicated_log.records import limit_records

__all__ = ["RecordBuffer"]


class RecordBuffer:
    """The records that a replica has in memory, without gaps.

    Attributes
    ----------
    records
        The records in sequence. Some of them may be covered by the snapshot on disk too.
    received_ms
        The time at which each of the records arrived, in milliseconds of the replica's clock.
    snapshot_seq, snapshot_stamp
        The last record that the snapshot on disk covers, or 0 and NO_STAMP.
    """

    __slots__ = ("received_ms", "records", "snapshot_seq", "snapshot_stamp")

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.received_ms: list[int] = []
        self.snapshot_seq = 0
        self.snapshot_stamp = NO_STAMP

    @property
    def first_seq(self) -> int:
        """The sequence number of the first record in memory, or of the next record if none is."""
        return self.records[0].seq if self.records else self.snapshot_seq + 1

    @property
    def last_seq(self) -> int:
        """The sequence number of the last record, in memory or covered by the snapshot."""
        return self.records[-1].seq if self.records else self.snapshot_seq

    @property
    def last_stamp(self) -> Stamp:
        """The stamp of the last record, in memory or covered by the snapshot."""
        return self.records[-1].stamp if self.records else self.snapshot_stamp

    def record_at(self, seq: int) -> Record:
        """Return the record with a sequence number, which must be in memory."""
        return self.records[seq - self.first_seq]

    def stamp_at(self, seq: int) -> Stamp | None:
        """Return the stamp of a record; None if it isn't in memory or the snapshot's last one."""
        if seq == self.snapshot_seq:
            return self.snapshot_stamp
        index = seq - self.first_seq
        return self.records[index].stamp if 0 <= index < len(self.records) else None

    def records_from(self, seq: int, limit_bytes: int) -> list[Record]:
        """Return the records in memory from `seq` on, up to `limit_bytes` in total.

        At least one record is returned if there is one, even if it is larger.
        """
        return limit_records(self.records[max(0, seq - self.first_seq) :], limit_bytes)

    def append(self, record: Record, received_ms: int) -> None:
        """Add the next record."""
        self.records.append(record)
        self.received_ms.append(received_ms)

    def records_after(self, seq: int) -> list[Record]:
        """Return the records in memory after `seq`."""
        return self.records[self._index_after(seq) :]

    def truncate_after(self, seq: int) -> None:
        """Remove the records after `seq`."""
        index = self._index_after(seq)
        del self.records[index:]
        del self.received_ms[index:]

    def _index_after(self, seq: int) -> int:
        return max(0, seq - self.first_seq + 1)

    def clear(self) -> None:
        """Remove all records."""
        self.records, self.received_ms = [], []

    def trim(self, keep_ms: float, keep_bytes: int) -> None:
        """Remove records that the snapshot covers and that are older than `keep_ms`.

        The age of a record is measured at the arrival of the last record, which always stays. Of
        those that the snapshot covers, the oldest are also removed as long as all records take more
        than `keep_bytes`; a peer that lacks them gets the snapshot.
        """
        if not self.received_ms:
            return
        coverable = max(0, min(len(self.records) - 1, self.snapshot_seq + 1 - self.first_seq))
        count = max(
            self._count_older(self.received_ms[-1] - keep_ms, coverable),
            self._count_beyond(keep_bytes, coverable),
        )
        del self.records[:count]
        del self.received_ms[:count]

    def _count_older(self, floor_ms: float, limit: int) -> int:
        return next((n for n in range(limit) if self.received_ms[n] >= floor_ms), limit)

    def _count_beyond(self, keep_bytes: int, limit: int) -> int:
        """Return how many of the first records have to go so that the others fit."""
        excess_bytes = sum(record.size_bytes for record in self.records) - keep_bytes
        count = 0
        while count < limit and excess_bytes > 0:
            excess_bytes -= self.records[count].size_bytes
            count += 1
        return count
