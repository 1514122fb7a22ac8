"""Tests of recovery beyond those of test_log_conformance: fetching, truncation and auxiliary files."""

import itertools

from batch_state import BatchState, entries
from log_harness import SETTINGS, LogHarness
from log_harness import entry as key_opened
from messaging import encode
from replicated_log import AppendRequest, InstallSnapshot, Outcome
from replicated_log.messages import (
    FetchRecords,
    FetchResponse,
    FetchTail,
    ReplicaMetadata,
    Stamp,
    StartRecovery,
    StartRecoveryResponse,
)
from replicated_log.snapshots import read_snapshot
from simulator.disks import SimDisk
from storage import DamageError, frame
from testtools import TestCase
from testtools.matchers import Equals


class Fetching(TestCase):
    def harness_with_records(self, count=50):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        for number in range(count):
            harness.append(f"k{number}", durable=True)
            harness.run(10)
        harness.run(50)
        return harness

    def count_fetched_records(self, harness):
        """Return a function that returns the number of records fetched from now on."""
        fetched, original = [], harness.request

        def request(to, message, wait_ms, done):
            original(to, message, wait_ms, lambda answer: (fetched.append(answer), done(answer)))

        harness.request = request
        return lambda: sum(
            len(answer.records) for answer in fetched if isinstance(answer, FetchResponse)
        )

    def test_stores_that_are_caught_up_fetch_nothing(self):
        harness = self.harness_with_records()
        harness.cut.add("a")
        fetched = self.count_fetched_records(harness)
        self.assertThat((harness.recover("b", 2), fetched()), Equals(([True], 0)))

    def test_only_missing_records_are_fetched(self):
        harness = self.harness_with_records()
        harness.cut.add("b")
        for number in range(3):
            harness.append(f"more{number}", durable=True)
            harness.run(10)
        harness.cut = {"a"}
        fetched = self.count_fetched_records(harness)
        self.assertThat((harness.recover("b", 2), fetched()), Equals(([True], 3)))
        self.assertThat(harness.keys("b"), Equals(harness.keys("c")))

    def test_only_missing_records_are_fetched_after_a_restart(self):
        """The restarted store doesn't know what is committed, but the last common record is found."""
        harness = self.harness_with_records()
        harness.cut.add("b")
        harness.append("more", durable=True)
        harness.run(50)
        harness.open("b")
        harness.cut = {"a"}
        fetched = self.count_fetched_records(harness)
        self.assertThat((harness.recover("b", 2), fetched()), Equals(([True], 1)))

    def test_an_old_tail_is_replaced(self):
        harness = self.harness_with_records(5)
        harness.cut.update(("b", "c"))
        harness.append("ghost")
        harness.append("ghost too")
        harness.run(20)
        harness.cut = {"a"}
        self.assertThat(harness.recover("b", 2), Equals([True]))
        harness.lead("b", 2)
        harness.run(300)
        harness.append("real", durable=True)
        harness.run(100)
        harness.leader = None
        harness.cut = {"b"}
        self.assertThat(harness.recover("a", 3), Equals([True]))
        self.assertThat(harness.keys("a"), Equals([f"k{number}" for number in range(5)] + ["real"]))

    def test_a_store_that_missed_a_recovery_keeps_committed_records_without_a_fetch(self):
        """Its own log doesn't count, and the logs that count are no longer than its committed part."""
        harness = self.harness_with_records(5)
        harness.run(1000)
        harness.cut.add("b")
        self.assertThat(harness.recover("c", 2), Equals([True]))
        harness.cut = {"a"}
        self.assertThat(harness.recover("b", 3), Equals([True]))
        expected = [f"k{number}" for number in range(5)]
        self.assertThat((harness.keys("b"), harness.keys("c")), Equals((expected, expected)))
        log = harness.logs["b"]
        self.assertThat((log.last_seq, log.committed_seq), Equals((5, 5)))

    def test_recovery_fails_if_a_source_is_replaced_by_a_blank_disk(self):
        """Its log would be taken for empty, and what the lost disk and one other had committed be cut off."""
        for wiped_before in (FetchTail, FetchRecords):
            harness = self.harness_with_records(2)
            harness.cut.add("b")
            for number in range(40):
                harness.append(f"settled{number}" + "x" * 8000, durable=True)
                harness.run(10)
            harness.run(200)
            harness.cut = {"a"}
            members, original = harness.members(), harness.request

            def request(
                to, message, wait_ms, done, harness=harness, original=original, before=wiped_before
            ):
                if isinstance(message, before) and harness.disks["c"].names():
                    harness.disks["c"] = SimDisk(harness.time, 1 << 20, 1.0)
                    harness.open("c", token="another")
                original(to, message, wait_ms, done)

            harness.request = request
            self.assertThat(harness.recover("b", 2, members), Equals([False]), wiped_before)

    def test_nothing_is_fetched_before_the_own_fence_is_on_disk(self):
        harness = self.harness_with_records(2)
        harness.disks["b"].flush_ms = 100.0
        sent, original = [], harness.request

        def request(to, message, wait_ms, done):
            sent.append((type(message), harness.logs["b"].metadata.fence))
            original(to, message, wait_ms, done)

        harness.request = request
        harness.cut.add("a")
        self.assertThat(harness.recover("b", 2), Equals([True]))
        self.assertThat(sent[0], Equals((StartRecovery, 1)))
        self.assertThat(
            [fence for kind, fence in sent if kind is not StartRecovery and fence < 2], Equals([])
        )

    def test_a_snapshot_is_sent_in_consecutive_parts(self):
        import replicated_log.snapshot_sender as module

        harness = self.harness_with_records(40)
        for name in ("a", "b"):
            harness.logs[name].buffer.received_ms = [-(10**6)] * len(harness.logs[name].records)
            harness.logs[name].maintain_snapshot(force=True)
        harness.run(50)
        harness.logs["a"].trim()
        default_bytes, module._PART_BYTES = module._PART_BYTES, 500
        self.addCleanup(setattr, module, "_PART_BYTES", default_bytes)
        parts, original = [], harness.send

        def send(to, message):
            if isinstance(message, InstallSnapshot):
                parts.append((message.offset, message.total))
            original(to, message)

        harness.send = send
        harness.disks["c"].wipe()
        harness.open("c")
        harness.run(2000)
        total = parts[0][1]
        self.assertThat(parts, Equals([(offset, total) for offset in range(0, total, 500)]))
        self.assertThat(
            (harness.logs["c"].last_seq, harness.logs["c"].metadata.log_epoch), Equals((40, 1))
        )


class AuxiliaryFiles(TestCase):
    def harness_with_three_records(self):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        for number in range(3):
            harness.append(f"k{number}", durable=True)
            harness.run(50)
        return harness

    def test_a_watermark_of_an_earlier_fence_is_ignored(self):
        harness = self.harness_with_three_records()
        log, disk = harness.logs["a"], harness.disks["a"]
        mark = disk.read("mark")
        log.save_metadata(lambda ok: None, fence=5)
        harness.run(50)
        log.truncate_after(1)
        log.flush(lambda ok: None)
        harness.run(50)
        disk.write("mark", 0, mark, True)
        harness.open("a")
        self.assertThat(
            (harness.logs["a"].last_seq, harness.logs["a"].metadata.fence), Equals((1, 5))
        )

    def test_missing_records_below_the_watermark_are_reported_as_damage(self):
        harness = self.harness_with_three_records()
        name = harness.logs["a"].records[0].file
        harness.disks["a"].truncate(name, harness.logs["a"].records[2].offset)
        self.assertRaises(DamageError, harness.open, "a")

    def test_fences_are_appended_and_the_highest_counts(self):
        harness = self.harness_with_three_records()
        disk, log, sizes = harness.disks["a"], harness.logs["a"], []
        for fence in range(2, 122):
            log.save_metadata(lambda ok: None, fence=fence)
            harness.run(10)
            sizes.append(len(disk.read("meta")))
        rewrites = sum(size < before for before, size in itertools.pairwise(sizes))
        self.assertThat((max(sizes) <= 4300, 0 < rewrites < 3), Equals((True, True)))
        harness.open("a")
        self.assertThat(
            (harness.logs["a"].metadata.fence, harness.logs["a"].metadata.log_epoch),
            Equals((121, 1)),
        )

    def test_a_torn_or_damaged_fence_leaves_the_others_intact(self):
        harness = self.harness_with_three_records()
        disk = harness.disks["a"]
        harness.logs["a"].save_metadata(lambda ok: None, fence=7)
        harness.run(50)
        whole = disk.read("meta")
        frame_bytes = len(frame(encode(ReplicaMetadata(identity="store-a", fence=7, log_epoch=1))))
        for keep, expected in (
            (len(whole) - 1, 7),
            (len(whole) - frame_bytes - 1, 1),
            (len(whole) - 2 * frame_bytes, 1),
        ):
            disk.replace("meta", whole[:keep], lambda ok: None)
            harness.run(50)
            harness.open("a")
            self.assertThat(harness.logs["a"].metadata.fence, Equals(expected))
            harness.logs["a"].save_metadata(lambda ok: None, fence=9)
            harness.run(50)
            harness.open("a")
            self.assertThat(harness.logs["a"].metadata.fence, Equals(9))
        for at in (12, len(whole) - frame_bytes - 4, len(whole) - 4):
            disk.replace("meta", whole, lambda ok: None)
            harness.run(50)
            disk.damage("meta", at)
            harness.open("a")
            self.assertThat(harness.logs["a"].metadata.fence, Equals(7))

    def test_adoption_does_not_flush_records_again(self):
        harness = self.harness_with_three_records()
        harness.cut.add("a")
        harness.run(2 * SETTINGS.flush_ms)
        before = [harness.disks[name].flushes for name in ("b", "c")]
        self.assertThat(harness.recover("b", 2), Equals([True]))
        harness.lead("b", 2)
        harness.run(300)
        after = [harness.disks[name].flushes for name in ("b", "c")]
        self.assertThat(harness.logs["c"].metadata.log_epoch, Equals(2))
        self.assertThat(after[1] - before[1] <= 2, Equals(True))
        self.assertThat(harness.append("next", durable=True) is not None, Equals(True))


class Snapshots(TestCase):
    def test_a_snapshot_built_in_steps_holds_the_state_committed_at_its_start(self):
        import replicated_log.snapshots as module

        default_bytes, module._STEP_BYTES = module._STEP_BYTES, 60
        self.addCleanup(setattr, module, "_STEP_BYTES", default_bytes)
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        for number in range(30):
            harness.append(f"k{number}", durable=True)
            harness.run(10)
        harness.run(50)
        log = harness.logs["a"]
        committed_seq_at_start = log.committed_seq
        log.maintain_snapshot(force=True)
        close = entries.KeyClosed(
            key="k25", request_id="t", state="done", status=200, body="late", at_ms=0
        )
        for entry in (
            close,
            entries.KeyExpired(key="k28"),
            entries.KeyOpened(key="new", digest="d", edge="e", request_id="t", at_ms=0),
        ):
            harness.leader.append([entry], True, lambda outcome: None)
        harness.run(8)
        self.assertThat(
            (log.committed_seq, log.snapshot_in_progress(), log.snapshot_seq),
            Equals((committed_seq_at_start + 3, True, 0)),
        )
        harness.run(1500)
        head, rows = read_snapshot(harness.disks["a"].read("snapshot"))
        state = BatchState()
        for row in rows:
            state.apply(row)
        self.assertThat(
            (head.seq, list(state.keys)),
            Equals((committed_seq_at_start, [f"k{number}" for number in range(30)])),
        )
        self.assertThat(
            (state.keys["k25"].state, log.state.keys["k25"].state), Equals(("open", "done"))
        )
        harness.open("a")
        self.assertThat(
            (harness.logs["a"].snapshot_seq, harness.logs["a"].last_seq),
            Equals((committed_seq_at_start, committed_seq_at_start + 3)),
        )

    def test_a_snapshot_without_disk_space_is_retried(self):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        disk, log = harness.disks["a"], harness.logs["a"]
        log.settings = SETTINGS.model_copy(update={"segment_bytes": 1 << 20})
        for number in range(200):
            harness.append(f"k{number}", durable=True)
            harness.run(10)
        self.assertThat(log.snapshot_seq, Equals(0))
        capacity_bytes, disk.capacity_bytes = (
            disk.capacity_bytes,
            sum(len(disk.read(name)) for name in disk.names()) + 200,
        )
        log.maintain_snapshot(force=True)
        harness.run(600)
        self.assertThat(log.snapshot_seq, Equals(0))
        disk.capacity_bytes = capacity_bytes
        harness.run(1000)
        self.assertThat(log.snapshot_seq, Equals(200))


class AppendsBeforeAdoption(TestCase):
    """Appends to a follower that hasn't adopted the leader's epoch."""

    def append_to_follower(self, harness, epoch, base_seq, prev_seq, records):
        log, answers = harness.logs["b"], []
        prev_epoch, prev_ms = log.stamp_at(prev_seq)
        message = AppendRequest(
            epoch=epoch,
            base_seq=base_seq,
            prev_seq=prev_seq,
            prev_epoch=prev_epoch,
            prev_ms=prev_ms,
            records=[encode(record) for record in records],
            committed_seq=base_seq,
            flush=False,
            probe=1,
        )
        harness.followers["b"].receive(message, answers.append)
        harness.run(20)
        return answers[0]

    def harness_with_committed_records(self, count=8):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        for number in range(count):
            harness.append(f"k{number}", durable=True)
            harness.run(10)
        harness.run(1000)
        harness.leader = None
        return harness

    def test_a_short_append_of_a_new_epoch_removes_no_later_records(self):
        harness = self.harness_with_committed_records()
        log = harness.logs["b"]
        answer = self.append_to_follower(harness, 2, 8, 0, log.records[:3])
        self.assertThat((answer.ok, answer.last_seq, answer.log_epoch), Equals((True, 3, 1)))
        harness.open("b")
        self.assertThat(harness.logs["b"].last_seq, Equals(8))
        answer = self.append_to_follower(harness, 2, 8, 3, harness.logs["b"].records[3:])
        self.assertThat((answer.ok, answer.last_seq, answer.log_epoch), Equals((True, 8, 2)))

    def test_an_append_that_contradicts_committed_records_is_rejected(self):
        harness = self.harness_with_committed_records()
        log = harness.logs["b"]
        other = log.next_record(Stamp(2, 5), encode(key_opened("other")))
        other.seq = 4
        answer = self.append_to_follower(harness, 2, 8, 3, [other])
        self.assertThat((answer.ok, answer.reason, log.last_seq), Equals((False, "settled", 8)))


class StaleEpoch(TestCase):
    def test_an_append_of_an_old_epoch_is_rejected_once_the_fence_is_raised(self):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        answers = []
        harness.logs["b"].save_metadata(lambda ok: None, fence=4)
        harness.run(10)
        harness.followers["b"].receive(
            AppendRequest(
                epoch=1,
                base_seq=0,
                prev_seq=0,
                prev_epoch=0,
                prev_ms=0,
                records=[],
                committed_seq=0,
                flush=False,
                probe=1,
            ),
            answers.append,
        )
        outcomes = harness.append("late")
        harness.run(SETTINGS.request_timeout_ms + 100)
        self.assertThat(
            (answers[0].ok, isinstance(answers[0], StartRecoveryResponse), outcomes),
            Equals((False, False, [Outcome.UNKNOWN])),
        )
