"""The log on disks that fail: torn tails, damage, full disks, and replicas whose snapshot is ahead of the leader's or
that need the leader's snapshot.
"""

from batch_state import entries
from log_harness import LogHarness
from replicated_log import Outcome
from storage import DamageError
from storage.disk import RESERVED_SHARE
from testtools import TestCase
from testtools.matchers import Equals


class Disks(TestCase):
    def log_with_three_records(self):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        for key in ("k1", "k2", "k3"):
            harness.append(key, durable=True)
            harness.run(50)
        return harness, harness.logs["a"].records[0].file

    def test_torn_tail_is_cut_at_the_last_good_checksum(self):
        harness, name = self.log_with_three_records()
        data = harness.disks["a"].read(name)
        harness.append("k4")
        harness.disks["a"].truncate(name, len(harness.disks["a"].read(name)) - 3)
        harness.open("a")
        self.assertThat(harness.keys("a"), Equals(["k1", "k2", "k3"]))
        self.assertThat(harness.disks["a"].read(name), Equals(data))

    def test_damage_in_flushed_records_is_refused(self):
        harness, name = self.log_with_three_records()
        harness.disks["a"].damage(name, 12)
        self.assertRaises(DamageError, harness.open, "a")

    def test_damaged_snapshot_is_refused(self):
        harness, _ = self.log_with_three_records()
        harness.logs["a"].maintain_snapshot(force=True)
        harness.run(50)
        harness.disks["a"].damage("snapshot", 20)
        self.assertRaises(DamageError, harness.open, "a")

    def test_full_disk_refuses_records_that_are_not_urgent_and_recovers(self):
        harness, _ = self.log_with_three_records()
        for index in range(20):
            harness.append(f"more{index}", durable=True)
        harness.run(100)
        disk = harness.disks["a"]
        used = sum(len(disk.read(name)) for name in disk.names())
        capacity_bytes, disk.capacity_bytes = (
            disk.capacity_bytes,
            int(used / (1 - RESERVED_SHARE)) - 1,
        )
        self.assertThat(harness.append("full", durable=True), Equals([Outcome.FULL]))
        ended = []
        harness.leader.append(
            [entries.JobCancelled(job_id="x", at_ms=0)], True, ended.append, urgent=True
        )
        harness.run(50)
        self.assertThat(ended, Equals([Outcome.ACKNOWLEDGED]))
        disk.capacity_bytes = capacity_bytes
        outcomes = harness.append("again", durable=True)
        harness.run(50)
        self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))

    def test_follower_with_a_snapshot_ahead_of_the_leaders_is_sent_the_records_after_it(self):
        """The leader's requests start before the follower's snapshot, where the follower knows no stamps."""
        harness, _ = self.log_with_three_records()
        harness.logs["b"].maintain_snapshot(force=True)
        harness.run(50)
        harness.logs["b"].buffer.received_ms = [-(10**6)] * 3
        harness.open("b")
        harness.leader.followers["store-b"].next_seq = 2
        sent = []
        original_send = harness.send
        harness.send = lambda to, message: (sent.append(to), original_send(to, message))
        outcomes = harness.append("k4", durable=True)
        harness.run(200)
        self.assertThat(
            (outcomes, harness.logs["b"].last_seq, sent.count("b") < 20),
            Equals(([Outcome.ACKNOWLEDGED], 4, True)),
        )

    def test_trimmed_log_is_repaired_by_a_snapshot(self):
        harness, _ = self.log_with_three_records()
        for name in ("a", "b"):
            harness.logs[name].buffer.received_ms = [-(10**6)] * 3
            harness.logs[name].maintain_snapshot(force=True)
        harness.run(50)
        harness.append("k4", durable=True)
        harness.run(50)
        harness.logs["a"].buffer.received_ms = [-(10**6)] * 3 + [harness.now()]
        harness.logs["a"].trim()
        harness.disks["c"].wipe()
        harness.open("c")
        harness.run(1500)
        self.assertThat(sorted(harness.logs["c"].state.keys), Equals(["k1", "k2", "k3", "k4"]))
        self.assertThat(harness.logs["c"].metadata.log_epoch, Equals(1))
        harness.append("k5", durable=True)
        harness.run(200)
        before = (harness.logs["c"].last_seq, harness.logs["c"].flushed_seq)
        harness.open("c")
        self.assertThat((harness.logs["c"].last_seq, harness.logs["c"].last_seq), Equals(before))
