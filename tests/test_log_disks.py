"""Conformance of the log to the design page where disks fail: torn tails, damage, full disks, snapshots ahead or behind."""

from batch_state import entries
from log_table import Table
from replicated_log import Outcome
from storage import DamageError
from storage.disk import KEPT_BACK
from testtools import TestCase
from testtools.matchers import Equals


class Disks(TestCase):
    def one(self):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        for key in ("k1", "k2", "k3"):
            table.append(key, durable=True)
            table.run(50)
        return table, table.logs["a"].records[0].file

    def test_torn_tail_is_cut_at_the_last_good_checksum(self):
        table, name = self.one()
        data = table.disks["a"].read(name)
        table.append("k4")
        table.disks["a"].truncate(name, len(table.disks["a"].read(name)) - 3)
        table.open("a")
        self.assertThat(table.keys("a"), Equals(["k1", "k2", "k3"]))
        self.assertThat(table.disks["a"].read(name), Equals(data))

    def test_damage_in_what_was_flushed_is_refused(self):
        table, name = self.one()
        table.disks["a"].damage(name, 12)
        self.assertRaises(DamageError, table.open, "a")

    def test_damaged_snapshot_is_refused(self):
        table, _ = self.one()
        table.logs["a"].maintain_snapshot(force=True)
        table.run(50)
        table.disks["a"].damage("snapshot", 20)
        self.assertRaises(DamageError, table.open, "a")

    def test_full_disk_refuses_and_recovers_with_room_kept_back(self):
        table, _ = self.one()
        for place in range(20):
            table.append(f"more{place}", durable=True)
        table.run(100)
        disk = table.disks["a"]
        used = sum(len(disk.read(name)) for name in disk.names())
        room, disk.room_bytes = disk.room_bytes, int(used / (1 - KEPT_BACK)) - 1
        self.assertThat(table.append("full", durable=True), Equals([Outcome.FULL]))
        ended = []
        table.holder.append(
            [entries.JobCancelled(job_id="x", at_ms=0)], True, ended.append, urgent=True
        )
        table.run(50)
        self.assertThat(ended, Equals([Outcome.ACKNOWLEDGED]))
        disk.room_bytes = room
        outcomes = table.append("again", durable=True)
        table.run(50)
        self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))

    def test_peer_with_a_snapshot_ahead_of_the_holders_is_met_at_it(self):
        table, _ = self.one()
        table.logs["b"].maintain_snapshot(force=True)
        table.run(50)
        table.logs["b"].received_ms = [-(10**6)] * 3
        table.open("b")
        table.holder.followers["store-b"].next_seq = 2
        sent = []
        plain = table.post
        table.holder._post = lambda to, message: (sent.append(to), plain(to, message))
        outcomes = table.append("k4", durable=True)
        table.run(200)
        self.assertThat(
            (outcomes, table.logs["b"].last_seq, sent.count("b") < 20),
            Equals(([Outcome.ACKNOWLEDGED], 4, True)),
        )

    def test_trimmed_log_is_mended_by_a_snapshot(self):
        table, _ = self.one()
        for name in ("a", "b"):
            table.logs[name].received_ms = [-(10**6)] * 3
            table.logs[name].maintain_snapshot(force=True)
        table.run(50)
        table.append("k4", durable=True)
        table.run(50)
        table.logs["a"].received_ms = [-(10**6)] * 3 + [table.now()]
        table.logs["a"].trim()
        table.disks["c"].wipe()
        table.open("c")
        table.run(1500)
        self.assertThat(sorted(table.logs["c"].state.keys), Equals(["k1", "k2", "k3", "k4"]))
        self.assertThat(table.logs["c"].meta.log_epoch, Equals(1))
        table.append("k5", durable=True)
        table.run(200)
        before = (table.logs["c"].last_seq, table.logs["c"].flushed_seq)
        table.open("c")
        self.assertThat((table.logs["c"].last_seq, table.logs["c"].last_seq), Equals(before))
