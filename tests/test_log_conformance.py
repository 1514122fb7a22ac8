"""Conformance of the log to the design page, row by row, and beside each exception a row in which
the source's own behaviour fails and ours holds. The cores run on simulated disks without a fleet.
"""

from log_table import PARAMS, Table
from messaging import decode, encode
from replicated_log import AppendRequest, FetchRecords, Outcome, Recovery, StartRecovery, union
from replicated_log.messages import TRUNCATE
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan


class OrdinaryPath(TestCase):
    def setUp(self):
        super().setUp()
        self.table = Table()
        self.table.hold("a", 1)
        self.table.run(300)

    def test_local_write_is_lazy(self):
        before = self.table.disks["a"].flushes
        outcomes = self.table.append("k1")
        self.table.run(20)
        self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))
        self.assertThat(self.table.disks["a"].flushes, Equals(before))
        self.assertThat(self.table.logs["a"].flushed_seq, Equals(0))

    def test_record_fields(self):
        for key in ("k1", "k2"):
            self.table.append(key)
        first, second = self.table.logs["a"].records
        self.assertThat([first.offset, second.offset], Equals([0, first.size_bytes]))
        self.assertThat(
            [len(first.frame), len(second.frame)], Equals([first.size_bytes, second.size_bytes])
        )
        self.assertThat(first.file, Equals(second.file))
        self.assertThat(second.stamp, GreaterThan(first.stamp))
        self.assertThat(first.stamp, Equals((1, 1_000_000)))

    def test_truncate_flag_is_cleared_after_the_first(self):
        for key in ("k1", "k2", "k3"):
            self.table.append(key)
        self.assertThat(
            [record.flags & TRUNCATE for record in self.table.logs["a"].records],
            Equals([TRUNCATE, 0, 0]),
        )

    def test_acknowledged_at_f_peers_in_memory(self):
        self.table.cut.add("c")
        outcomes = self.table.append("k1")
        self.assertThat(outcomes, Equals([]))
        self.table.run(10)
        self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))
        self.assertThat(self.table.logs["b"].flushed_seq, Equals(0))
        self.table.cut.add("b")
        alone = self.table.append("k2")
        self.table.run(PARAMS.delta_ms)
        self.assertThat(alone, Equals([]))

    def test_peer_answers_with_both_stamps(self):
        self.table.append("k1")
        self.table.run(10)
        receipts = []
        log = self.table.logs["a"]
        self.table.followers["b"].receive(
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
            receipts.append,
        )
        receipt = receipts[0]
        self.assertThat(
            (receipt.stamp_epoch, receipt.stamp_ms, receipt.probe, receipt.ok),
            Equals((1, log.records[0].stamp_ms, 9, True)),
        )
        self.assertThat(receipt.reception_ms, Equals(self.table.logs["b"].received_ms[0]))

    def test_after_two_delta_flush_here_and_at_a_peer(self):
        self.table.cut.update(("b", "c"))
        outcomes = self.table.append("k1")
        self.table.run(2 * PARAMS.delta_ms + 40)
        self.assertThat((self.table.logs["a"].flushed_seq, outcomes), Equals((1, [])))
        self.table.cut.discard("b")
        self.table.run(250)
        self.assertThat(
            (outcomes, self.table.logs["b"].flushed_seq), Equals(([Outcome.ACKNOWLEDGED], 1))
        )

    def test_one_disk_is_never_enough(self):
        self.table.cut.update(("b", "c"))
        outcomes = self.table.append("k1")
        self.table.run(PARAMS.request_timeout_ms + 100)
        self.assertThat(outcomes, Equals([Outcome.UNKNOWN]))

    def test_fast_path_resumes(self):
        self.table.cut.update(("b", "c"))
        self.table.append("k1")
        self.table.run(PARAMS.request_timeout_ms + 100)
        self.table.cut.clear()
        self.table.run(500)
        flushes = self.table.disks["b"].flushes
        outcomes = self.table.append("k2")
        self.table.run(15)
        self.assertThat(
            (outcomes, self.table.disks["b"].flushes), Equals(([Outcome.ACKNOWLEDGED], flushes))
        )

    def test_background_flush_within_tau(self):
        self.table.append("k1")
        self.table.run(PARAMS.flush_ms + 200)
        self.assertThat(
            (self.table.logs["a"].committed_seq, self.table.logs["b"].flushed_seq), Equals((1, 1))
        )

    def test_peer_discards_below_k_tau_only_what_a_snapshot_has(self):
        log = self.table.logs["b"]
        self.table.append("k1", durable=True)
        self.table.run(50)
        self.table.run(int(PARAMS.keep_factor * PARAMS.flush_ms) + 500)
        self.table.append("k2", durable=True)
        self.table.run(300)
        log.trim()
        self.assertThat(self.table.keys("b"), Equals(["k1", "k2"]))
        log.maintain_snapshot(force=True)
        self.table.run(50)
        self.assertThat(self.table.keys("b"), Equals(["k2"]))
        self.assertThat(sorted(log.state.keys), Equals(["k1", "k2"]))


class RecoverySteps(TestCase):
    def grown(self, keys=("k1", "k2", "k3")):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        for key in keys:
            table.append(key)
        table.run(20)
        return table

    def test_waits_for_n_minus_f_answers(self):
        table = self.grown()
        table.cut.update(("a", "c"))
        self.assertThat(table.recover("b", 2), Equals([False]))
        table.cut.discard("c")
        self.assertThat(table.recover("b", 3), Equals([True]))

    def test_answers_count_and_fetches_all(self):
        table = self.grown()
        answers = []
        table.followers["b"].receive(StartRecovery(epoch=2), answers.append)
        table.run(20)
        self.assertThat(
            (answers[0].count, answers[0].last_seq, answers[0].ok), Equals((3, 3, True))
        )
        table.followers["b"].receive(FetchRecords(epoch=2, from_seq=1, offset=0), answers.append)
        self.assertThat([decode(row).seq for row in answers[1].records], Equals([1, 2, 3]))

    def test_duplicates_dropped_by_stamp_and_replayed_in_stamp_order(self):
        records = self.grown().logs["a"].records
        shuffled = [[records[2], records[0]], [records[1], records[0]], [records[2]]]
        self.assertThat([record.seq for record in union(shuffled)], Equals([1, 2, 3]))

    def test_recovery_cut_at_every_step_and_run_again(self):
        for step_ms in range(1, 30):
            table = self.grown()
            table.machines["a"].up = False
            table.cut.add("a")
            table.disks["b"].lose_power() if step_ms % 2 else None
            table.open("b")
            recovery = Recovery(
                table.logs["b"], 2, table.members(), PARAMS, table.ask, table.now, lambda ok: None
            )
            table.holder = None
            recovery.start()
            table.run(step_ms)
            table.machines["b"].up = False
            table.disks["b"].lose_power()
            table.open("b")
            members = [("store-a", "a"), ("store-b", "b"), ("store-c", "c")]
            self.assertThat(
                table.recover("b", 3, members), Equals([True]), f"cut after {step_ms} ms"
            )
            self.assertThat(table.keys("b"), Equals(["k1", "k2", "k3"]), f"cut after {step_ms} ms")
            self.assertThat(table.recover("b", 4, members), Equals([True]))
            self.assertThat(table.keys("b"), Equals(["k1", "k2", "k3"]))

    def test_no_room_to_recover_is_no_recovery(self):
        table = self.grown()
        table.disks["b"].wipe()
        table.open("b")
        disk = table.disks["b"]
        room, disk.room_bytes = disk.room_bytes, 120
        members = [("store-a", "a"), ("store-b", "b"), ("store-c", "c")]
        self.assertThat(table.recover("b", 2, members), Equals([False]))
        disk.room_bytes = room
        self.assertThat(table.recover("b", 3, members), Equals([True]))
        self.assertThat(table.keys("b"), Equals(["k1", "k2", "k3"]))

    def test_replay_of_a_record_changes_nothing(self):
        table = self.grown()
        log = table.logs["b"]
        before = table.disks["b"].read(log.records[0].file)
        for record in log.records[1:]:
            table.disks["b"].write(record.file, record.offset, record.frame)
        self.assertThat(table.disks["b"].read(log.records[0].file), Equals(before))


class Exceptions(TestCase):
    """Each row: what the source does goes wrong under the brief's faults, and what ours does holds."""

    def test_stamps_never_repeat_or_run_backward(self):
        table = Table()
        table.hold("a", 1)
        stamps = []
        for wall_ms in (500, 500, 400, 100, 600):
            table.wall_ms = wall_ms
            table.append(f"k{len(stamps)}")
            stamps.append(table.logs["a"].records[-1].stamp)
        plain = [500, 500, 400, 100, 600]
        self.assertThat(len(set(plain)) < len(plain) and sorted(plain) != plain, Equals(True))
        self.assertThat(stamps, Equals(sorted(set(stamps))))

    def test_stale_holder_is_refused_after_waking(self):
        table = Table()
        old = table.hold("a", 1)
        table.run(300)
        self.assertThat(table.recover("b", 2), Equals([True]))
        table.holder = old
        outcomes = table.append("late")
        table.run(PARAMS.request_timeout_ms + 100)
        self.assertThat((outcomes, table.deposed_by[:1]), Equals(([Outcome.UNKNOWN], [2])))
        receipts = []
        late = table.logs["a"].records[-1]
        table.followers["c"].receive(
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
            receipts.append,
        )
        self.assertThat(
            (receipts[0].ok, receipts[0].fence, table.keys("c")), Equals((False, 2, []))
        )

    def test_many_messages_of_a_new_epoch_cost_one_fence(self):
        """What waited in a frozen peer's buffers comes all at once, and the disk is slow."""
        table = Table()
        table.hold("a", 1)
        table.run(300)
        table.disks["b"].flush_ms = 150.0
        receipts = []
        for probe in range(100):
            table.followers["b"].receive(
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
                receipts.append,
            )
        table.run(1200)
        self.assertThat((table.logs["b"].meta.fence, len(receipts)), Equals((2, 100)))

    def test_peer_keeps_what_no_disk_has_yet(self):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        table.append("k1")
        table.run(10)
        log = table.logs["b"]
        log.received_ms = [-10 * PARAMS.flush_ms]
        by_the_source = [
            seq
            for seq, at_ms in enumerate(log.received_ms)
            if at_ms >= table.now() - PARAMS.keep_factor * PARAMS.flush_ms
        ]
        log.trim()
        self.assertThat((by_the_source, table.keys("b")), Equals(([], ["k1"])))

    def test_disk_gone_with_its_machine(self):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        table.cut.add("c")
        outcomes = table.append("k1", durable=True)
        table.run(100)
        self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))
        members = table.members()
        table.disks["a"].wipe()
        table.cut = {"a"}
        self.assertThat(table.recover("c", 2, members), Equals([True]))
        self.assertThat(table.keys("c"), Equals(["k1"]))

    def test_all_three_cut_from_power_after_an_acknowledgement(self):
        for settled in (False, True):
            kept = 0
            for seed in range(20):
                table = Table(seed)
                table.hold("a", 1)
                table.run(300)
                for disk in table.disks.values():
                    disk.flush_ms = 40.0
                outcomes = table.append("k1", settled)
                while not outcomes:
                    table.run(1)
                self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))
                for name in ("a", "b", "c"):
                    table.machines[name].up = False
                    table.disks[name].lose_power()
                    table.open(name)
                members = [("store-a", "a"), ("store-b", "b"), ("store-c", "c")]
                self.assertThat(table.recover("b", 2, members), Equals([True]))
                kept += table.keys("b") == ["k1"]
            if settled:
                self.assertThat(kept, Equals(20))
            else:
                self.assertThat(kept < 20, Equals(True))

    def test_an_old_store_does_not_bring_back_what_a_recovery_left_out(self):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        table.cut.update(("b", "c"))
        table.append("ghost")
        table.run(20)
        table.cut = {"a"}
        self.assertThat(table.recover("b", 2), Equals([True]))
        table.hold("b", 2)
        table.run(300)
        table.append("k2", durable=True)
        table.run(100)
        table.cut = {"b"}
        self.assertThat(table.recover("c", 3), Equals([True]))
        both = union([table.logs["a"].records, table.logs["c"].records])
        self.assertThat(len(both), Equals(2))
        self.assertThat(table.keys("c"), Equals(["k2"]))

    def test_a_blank_or_catching_up_disk_counts_for_nothing(self):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        table.cut.update(("b", "c"))
        table.holder.add_learner("store-x", "x")
        table.followers["x"] = table.followers["b"]
        table.logs["b"].meta.identity = "store-x"
        outcomes = table.append("k1", durable=True)
        table.run(PARAMS.request_timeout_ms + 100)
        self.assertThat(outcomes, Equals([Outcome.UNKNOWN]))
