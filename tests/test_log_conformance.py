"""Conformance tests of the log against the design page, one test for each row of that page.

For each deviation from the published scheme, a test shows a fault that the published behaviour
doesn't tolerate and the implemented one does. The replicas run on simulated disks without a fleet.
"""

from log_harness import MEMBERS, SETTINGS, LogHarness
from messaging import decode, encode
from replicated_log import (
    AppendRequest,
    FetchRecords,
    Outcome,
    Recovery,
    StartRecovery,
    merge_records,
)
from replicated_log.messages import TRUNCATE
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan


class OrdinaryPath(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = LogHarness()
        self.harness.lead("a", 1)
        self.harness.run(300)

    def test_local_write_is_lazy(self):
        before = self.harness.disks["a"].flushes
        outcomes = self.harness.append("k1")
        self.harness.run(20)
        self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))
        self.assertThat(self.harness.disks["a"].flushes, Equals(before))
        self.assertThat(self.harness.logs["a"].flushed_seq, Equals(0))

    def test_record_fields(self):
        for key in ("k1", "k2"):
            self.harness.append(key)
        first, second = self.harness.logs["a"].records
        self.assertThat([first.offset, second.offset], Equals([0, first.size_bytes]))
        self.assertThat(
            [len(first.frame), len(second.frame)], Equals([first.size_bytes, second.size_bytes])
        )
        self.assertThat(first.file, Equals(second.file))
        self.assertThat(second.stamp, GreaterThan(first.stamp))
        self.assertThat(first.stamp, Equals((1, 1_000_000)))

    def test_truncate_flag_is_cleared_after_the_first(self):
        for key in ("k1", "k2", "k3"):
            self.harness.append(key)
        self.assertThat(
            [record.flags & TRUNCATE for record in self.harness.logs["a"].records],
            Equals([TRUNCATE, 0, 0]),
        )

    def test_acknowledged_at_f_followers_in_memory(self):
        self.harness.cut.add("c")
        outcomes = self.harness.append("k1")
        self.assertThat(outcomes, Equals([]))
        self.harness.run(10)
        self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))
        self.assertThat(self.harness.logs["b"].flushed_seq, Equals(0))
        self.harness.cut.add("b")
        alone = self.harness.append("k2")
        self.harness.run(SETTINGS.delta_ms)
        self.assertThat(alone, Equals([]))

    def test_follower_answers_with_both_stamps(self):
        self.harness.append("k1")
        self.harness.run(10)
        responses = []
        log = self.harness.logs["a"]
        self.harness.followers["b"].receive(
            AppendRequest(
                epoch=1,
                base_seq=0,
                prev_seq=1,
                prev_epoch=1,
                prev_ms=log.records[0].stamp_ms,
                records=[],
                committed_seq=0,
                flush=False,
                probe=9,
            ),
            responses.append,
        )
        response = responses[0]
        self.assertThat(
            (response.stamp_epoch, response.stamp_ms, response.probe, response.ok),
            Equals((1, log.records[0].stamp_ms, 9, True)),
        )
        self.assertThat(response.reception_ms, Equals(self.harness.logs["b"].buffer.received_ms[0]))

    def test_after_two_delta_the_leader_and_a_follower_flush(self):
        self.harness.cut.update(("b", "c"))
        outcomes = self.harness.append("k1")
        self.harness.run(2 * SETTINGS.delta_ms + 40)
        self.assertThat((self.harness.logs["a"].flushed_seq, outcomes), Equals((1, [])))
        self.harness.cut.discard("b")
        self.harness.run(250)
        self.assertThat(
            (outcomes, self.harness.logs["b"].flushed_seq), Equals(([Outcome.ACKNOWLEDGED], 1))
        )

    def test_one_disk_is_never_enough(self):
        self.harness.cut.update(("b", "c"))
        outcomes = self.harness.append("k1")
        self.harness.run(SETTINGS.request_timeout_ms + 100)
        self.assertThat(outcomes, Equals([Outcome.UNKNOWN]))

    def test_fast_path_resumes(self):
        self.harness.cut.update(("b", "c"))
        self.harness.append("k1")
        self.harness.run(SETTINGS.request_timeout_ms + 100)
        self.harness.cut.clear()
        self.harness.run(500)
        flushes = self.harness.disks["b"].flushes
        outcomes = self.harness.append("k2")
        self.harness.run(15)
        self.assertThat(
            (outcomes, self.harness.disks["b"].flushes), Equals(([Outcome.ACKNOWLEDGED], flushes))
        )

    def test_background_flush_within_tau(self):
        self.harness.append("k1")
        self.harness.run(SETTINGS.flush_ms + 200)
        self.assertThat(
            (self.harness.logs["a"].committed_seq, self.harness.logs["b"].flushed_seq),
            Equals((1, 1)),
        )

    def test_follower_discards_below_k_tau_only_what_a_snapshot_has(self):
        log = self.harness.logs["b"]
        self.harness.append("k1", durable=True)
        self.harness.run(50)
        self.harness.run(int(SETTINGS.keep_factor * SETTINGS.flush_ms) + 500)
        self.harness.append("k2", durable=True)
        self.harness.run(300)
        log.trim()
        self.assertThat(self.harness.keys("b"), Equals(["k1", "k2"]))
        log.maintain_snapshot(force=True)
        self.harness.run(50)
        self.assertThat(self.harness.keys("b"), Equals(["k2"]))
        self.assertThat(sorted(log.state.keys), Equals(["k1", "k2"]))


class RecoverySteps(TestCase):
    def harness_with_records(self, keys=("k1", "k2", "k3")):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        for key in keys:
            harness.append(key)
        harness.run(20)
        return harness

    def test_waits_for_n_minus_f_answers(self):
        harness = self.harness_with_records()
        harness.cut.update(("a", "c"))
        self.assertThat(harness.recover("b", 2), Equals([False]))
        harness.cut.discard("c")
        self.assertThat(harness.recover("b", 3), Equals([True]))

    def test_start_response_has_the_record_count_and_fetch_returns_all_records(self):
        harness = self.harness_with_records()
        answers = []
        harness.followers["b"].receive(StartRecovery(epoch=2), answers.append)
        harness.run(20)
        self.assertThat(
            (answers[0].count, answers[0].last_seq, answers[0].ok), Equals((3, 3, True))
        )
        harness.followers["b"].receive(FetchRecords(epoch=2, from_seq=1, offset=0), answers.append)
        self.assertThat([decode(row).seq for row in answers[1].records], Equals([1, 2, 3]))

    def test_duplicates_dropped_by_stamp_and_replayed_in_stamp_order(self):
        records = self.harness_with_records().logs["a"].records
        shuffled = [[records[2], records[0]], [records[1], records[0]], [records[2]]]
        self.assertThat([record.seq for record in merge_records(shuffled)], Equals([1, 2, 3]))

    def test_recovery_interrupted_at_any_step_can_be_repeated(self):
        for step_ms in range(1, 30):
            harness = self.harness_with_records()
            harness.machines["a"].up = False
            harness.cut.add("a")
            harness.disks["b"].lose_power() if step_ms % 2 else None
            harness.open("b")
            recovery = Recovery(
                harness.logs["b"],
                2,
                harness.members(),
                SETTINGS,
                harness.request,
                harness.now,
                lambda ok: None,
            )
            harness.leader = None
            recovery.start()
            harness.run(step_ms)
            harness.machines["b"].up = False
            harness.disks["b"].lose_power()
            harness.open("b")
            members = list(MEMBERS)
            self.assertThat(
                harness.recover("b", 3, members), Equals([True]), f"interrupted after {step_ms} ms"
            )
            self.assertThat(
                harness.keys("b"), Equals(["k1", "k2", "k3"]), f"interrupted after {step_ms} ms"
            )
            self.assertThat(harness.recover("b", 4, members), Equals([True]))
            self.assertThat(harness.keys("b"), Equals(["k1", "k2", "k3"]))

    def test_recovery_fails_on_a_full_disk_and_can_be_repeated(self):
        harness = self.harness_with_records()
        harness.disks["b"].wipe()
        harness.open("b")
        disk = harness.disks["b"]
        capacity_bytes, disk.capacity_bytes = disk.capacity_bytes, 120
        members = list(MEMBERS)
        self.assertThat(harness.recover("b", 2, members), Equals([False]))
        disk.capacity_bytes = capacity_bytes
        self.assertThat(harness.recover("b", 3, members), Equals([True]))
        self.assertThat(harness.keys("b"), Equals(["k1", "k2", "k3"]))

    def test_replay_of_a_record_changes_nothing(self):
        harness = self.harness_with_records()
        log = harness.logs["b"]
        before = harness.disks["b"].read(log.records[0].file)
        for record in log.records[1:]:
            harness.disks["b"].write(record.file, record.offset, record.frame)
        self.assertThat(harness.disks["b"].read(log.records[0].file), Equals(before))


class Deviations(TestCase):
    """In each test the published scheme fails under a fault that the system has to tolerate."""

    def test_stamps_never_repeat_or_run_backward(self):
        harness = LogHarness()
        harness.lead("a", 1)
        stamps = []
        for wall_ms in (500, 500, 400, 100, 600):
            harness.wall_ms = wall_ms
            harness.append(f"k{len(stamps)}")
            stamps.append(harness.logs["a"].records[-1].stamp)
        wall_times_ms = [500, 500, 400, 100, 600]
        self.assertThat(
            len(set(wall_times_ms)) < len(wall_times_ms) and sorted(wall_times_ms) != wall_times_ms,
            Equals(True),
        )
        self.assertThat(stamps, Equals(sorted(set(stamps))))

    def test_stale_leader_is_refused_after_waking(self):
        harness = LogHarness()
        old = harness.lead("a", 1)
        harness.run(300)
        self.assertThat(harness.recover("b", 2), Equals([True]))
        harness.leader = old
        outcomes = harness.append("late")
        harness.run(SETTINGS.request_timeout_ms + 100)
        self.assertThat((outcomes, harness.deposed_by[:1]), Equals(([Outcome.UNKNOWN], [2])))
        responses = []
        late = harness.logs["a"].records[-1]
        harness.followers["c"].receive(
            AppendRequest(
                epoch=1,
                base_seq=0,
                prev_seq=0,
                prev_epoch=0,
                prev_ms=0,
                records=[encode(late)],
                committed_seq=0,
                flush=False,
                probe=0,
            ),
            responses.append,
        )
        self.assertThat(
            (responses[0].ok, responses[0].fence, harness.keys("c")), Equals((False, 2, []))
        )

    def test_many_messages_of_a_new_epoch_cost_one_fence(self):
        """Messages buffered for a frozen replica arrive all at once, and its disk is slow."""
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        harness.disks["b"].flush_ms = 150.0
        responses = []
        for probe in range(100):
            harness.followers["b"].receive(
                AppendRequest(
                    epoch=2,
                    base_seq=0,
                    prev_seq=0,
                    prev_epoch=0,
                    prev_ms=0,
                    records=[],
                    committed_seq=0,
                    flush=False,
                    probe=probe,
                ),
                responses.append,
            )
        harness.run(1200)
        self.assertThat((harness.logs["b"].metadata.fence, len(responses)), Equals((2, 100)))

    def test_follower_keeps_records_that_no_disk_has(self):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        harness.append("k1")
        harness.run(10)
        log = harness.logs["b"]
        log.buffer.received_ms = [-10 * SETTINGS.flush_ms]
        kept_by_published_scheme = [
            seq
            for seq, at_ms in enumerate(log.buffer.received_ms)
            if at_ms >= harness.now() - SETTINGS.keep_factor * SETTINGS.flush_ms
        ]
        log.trim()
        self.assertThat((kept_by_published_scheme, harness.keys("b")), Equals(([], ["k1"])))

    def test_a_durable_append_survives_a_lost_disk(self):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        harness.cut.add("c")
        outcomes = harness.append("k1", durable=True)
        harness.run(100)
        self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))
        members = harness.members()
        harness.disks["a"].wipe()
        harness.cut = {"a"}
        self.assertThat(harness.recover("c", 2, members), Equals([True]))
        self.assertThat(harness.keys("c"), Equals(["k1"]))

    def test_all_three_cut_from_power_after_an_acknowledgement(self):
        for is_durable in (False, True):
            survived = 0
            for seed in range(20):
                harness = LogHarness(seed)
                harness.lead("a", 1)
                harness.run(300)
                for disk in harness.disks.values():
                    disk.flush_ms = 40.0
                outcomes = harness.append("k1", is_durable)
                while not outcomes:
                    harness.run(1)
                self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))
                for name in ("a", "b", "c"):
                    harness.machines[name].up = False
                    harness.disks[name].lose_power()
                    harness.open(name)
                members = list(MEMBERS)
                self.assertThat(harness.recover("b", 2, members), Equals([True]))
                survived += harness.keys("b") == ["k1"]
            if is_durable:
                self.assertThat(survived, Equals(20))
            else:
                self.assertThat(survived < 20, Equals(True))

    def test_a_store_that_missed_a_recovery_does_not_restore_dropped_records(self):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        harness.cut.update(("b", "c"))
        harness.append("ghost")
        harness.run(20)
        harness.cut = {"a"}
        self.assertThat(harness.recover("b", 2), Equals([True]))
        harness.lead("b", 2)
        harness.run(300)
        harness.append("k2", durable=True)
        harness.run(100)
        harness.cut = {"b"}
        self.assertThat(harness.recover("c", 3), Equals([True]))
        both = merge_records([harness.logs["a"].records, harness.logs["c"].records])
        self.assertThat(len(both), Equals(2))
        self.assertThat(harness.keys("c"), Equals(["k2"]))

    def test_a_standby_counts_in_no_quorum(self):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        harness.cut.update(("b", "c"))
        harness.leader.add_learner("store-x", "x")
        harness.followers["x"] = harness.followers["b"]
        harness.logs["b"].metadata.identity = "store-x"
        outcomes = harness.append("k1", durable=True)
        harness.run(SETTINGS.request_timeout_ms + 100)
        self.assertThat(outcomes, Equals([Outcome.UNKNOWN]))
