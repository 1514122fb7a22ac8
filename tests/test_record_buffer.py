"""Which records a replica keeps in memory for its peers."""

from replicated_log.messages import Record, Stamp
from replicated_log.record_buffer import RecordBuffer
from testtools import TestCase
from testtools.matchers import Equals

EVER_MS = 1 << 40


def buffer_of(count, snapshot_seq, size_bytes=100):
    buffer = RecordBuffer()
    for seq in range(1, count + 1):
        values = {"epoch": 1, "stamp_ms": seq, "seq": seq, "file": "q", "flags": 0}
        record = Record(**values, size_bytes=size_bytes, offset=0, frame=b"")
        buffer.append(record, received_ms=10 * seq)
    buffer.snapshot_seq, buffer.snapshot_stamp = snapshot_seq, Stamp(1, snapshot_seq)
    return buffer


class Trim(TestCase):
    def kept(self, buffer, keep_ms, keep_bytes):
        buffer.trim(keep_ms, keep_bytes)
        self.assertThat(len(buffer.received_ms), Equals(len(buffer.records)))
        return buffer.first_seq, buffer.last_seq

    def test_old_records_that_the_snapshot_covers_go(self):
        self.assertThat(self.kept(buffer_of(10, 7), 50, 1 << 30), Equals((5, 10)))
        self.assertThat(self.kept(buffer_of(10, 2), 50, 1 << 30), Equals((3, 10)))

    def test_records_beyond_the_size_go_although_they_are_young(self):
        """Lots that were cancelled at once filled the stores' memory with records of the last seconds."""
        self.assertThat(self.kept(buffer_of(10, 7), EVER_MS, 600), Equals((5, 10)))
        self.assertThat(self.kept(buffer_of(10, 7), EVER_MS, 1000), Equals((1, 10)))

    def test_what_the_snapshot_does_not_cover_stays_whatever_its_size(self):
        self.assertThat(self.kept(buffer_of(10, 4), EVER_MS, 0), Equals((5, 10)))
        self.assertThat(self.kept(buffer_of(10, 0), EVER_MS, 0), Equals((1, 10)))

    def test_the_last_record_always_stays(self):
        self.assertThat(self.kept(buffer_of(10, 10), 0, 0), Equals((10, 10)))
