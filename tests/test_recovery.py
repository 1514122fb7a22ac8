"""Rows about recovery beyond the design page's: what is fetched, what is cut, and the small files beside the log."""

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
    def grown(self, count=50):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        for number in range(count):
            harness.append(f"k{number}", durable=True)
            harness.run(10)
        harness.run(50)
        return harness

    def watched(self, harness):
        """How many records come over the wire."""
        fetched, plain = [], harness.request

        def request(to, message, wait_ms, done):
            plain(to, message, wait_ms, lambda answer: (fetched.append(answer), done(answer)))

        harness.request = request
        return lambda: sum(
            len(answer.records) for answer in fetched if isinstance(answer, FetchResponse)
        )

    def test_stores_that_are_caught_up_fetch_nothing(self):
        harness = self.grown()
        harness.cut.add("a")
        fetched = self.watched(harness)
        self.assertThat((harness.recover("b", 2), fetched()), Equals(([True], 0)))

    def test_only_what_is_lacking_is_fetched(self):
        harness = self.grown()
        harness.cut.add("b")
        for number in range(3):
            harness.append(f"more{number}", durable=True)
            harness.run(10)
        harness.cut = {"a"}
        fetched = self.watched(harness)
        self.assertThat((harness.recover("b", 2), fetched()), Equals(([True], 3)))
        self.assertThat(harness.keys("b"), Equals(harness.keys("c")))

    def test_after_a_restart_too(self):
        """What is settled isn't known any more, but the last place that both hold is found."""
        harness = self.grown()
        harness.cut.add("b")
        harness.append("more", durable=True)
        harness.run(50)
        harness.open("b")
        harness.cut = {"a"}
        fetched = self.watched(harness)
        self.assertThat((harness.recover("b", 2), fetched()), Equals(([True], 1)))

    def test_an_old_tail_gives_way(self):
        harness = self.grown(5)
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

    def test_a_store_that_missed_a_recovery_keeps_what_is_committed_though_nothing_is_fetched(self):
        """Its own copy doesn't count as an answer, and whoever does count has no more than is settled here."""
        harness = self.grown(5)
        harness.run(1000)
        harness.cut.add("b")
        self.assertThat(harness.recover("c", 2), Equals([True]))
        harness.cut = {"a"}
        self.assertThat(harness.recover("b", 3), Equals([True]))
        wanted = [f"k{number}" for number in range(5)]
        self.assertThat((harness.keys("b"), harness.keys("c")), Equals((wanted, wanted)))
        log = harness.logs["b"]
        self.assertThat((log.last_seq, log.committed_seq), Equals((5, 5)))

    def test_a_blank_disk_at_the_address_of_the_store_that_was_counted_on_ends_the_recovery(self):
        """It would stand for an empty log, and what is settled on the lost disk and one more be cut off."""
        for wiped_before in (FetchTail, FetchRecords):
            harness = self.grown(2)
            harness.cut.add("b")
            for number in range(40):
                harness.append(f"settled{number}" + "x" * 8000, durable=True)
                harness.run(10)
            harness.run(200)
            harness.cut = {"a"}
            members, plain = harness.members(), harness.request

            def request(
                to, message, wait_ms, done, harness=harness, plain=plain, before=wiped_before
            ):
                if isinstance(message, before) and harness.disks["c"].names():
                    harness.disks["c"] = SimDisk(harness.time, 1 << 20, 1.0)
                    harness.open("c", token="another")
                plain(to, message, wait_ms, done)

            harness.request = request
            self.assertThat(harness.recover("b", 2, members), Equals([False]), wiped_before)

    def test_nothing_goes_out_under_an_epoch_before_its_own_fence(self):
        harness = self.grown(2)
        harness.disks["b"].flush_ms = 100.0
        sent, plain = [], harness.request

        def request(to, message, wait_ms, done):
            sent.append((type(message), harness.logs["b"].metadata.fence))
            plain(to, message, wait_ms, done)

        harness.request = request
        harness.cut.add("a")
        self.assertThat(harness.recover("b", 2), Equals([True]))
        self.assertThat(sent[0], Equals((StartRecovery, 1)))
        self.assertThat(
            [fence for kind, fence in sent if kind is not StartRecovery and fence < 2], Equals([])
        )

    def test_a_snapshot_comes_in_parts_each_asked_for_by_the_one_before(self):
        import replicated_log.snapshot_sender as module

        harness = self.grown(40)
        for name in ("a", "b"):
            harness.logs[name].buffer.received_ms = [-(10**6)] * len(harness.logs[name].records)
            harness.logs[name].maintain_snapshot(force=True)
        harness.run(50)
        harness.logs["a"].trim()
        whole, module._PART_BYTES = module._PART_BYTES, 500
        self.addCleanup(setattr, module, "_PART_BYTES", whole)
        parts, plain = [], harness.send

        def send(to, message):
            if isinstance(message, InstallSnapshot):
                parts.append((message.offset, message.total))
            plain(to, message)

        harness.send = send
        harness.disks["c"].wipe()
        harness.open("c")
        harness.run(2000)
        total = parts[0][1]
        self.assertThat(parts, Equals([(offset, total) for offset in range(0, total, 500)]))
        self.assertThat(
            (harness.logs["c"].last_seq, harness.logs["c"].metadata.log_epoch), Equals((40, 1))
        )


class SmallFiles(TestCase):
    def one(self):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        for number in range(3):
            harness.append(f"k{number}", durable=True)
            harness.run(50)
        return harness

    def test_a_watermark_says_nothing_after_a_cut_that_lost_its_own_new_watermark(self):
        harness = self.one()
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

    def test_a_watermark_of_the_present_fence_tells_of_damage(self):
        harness = self.one()
        name = harness.logs["a"].records[0].file
        harness.disks["a"].truncate(name, harness.logs["a"].records[2].offset)
        self.assertRaises(DamageError, harness.open, "a")

    def test_fences_stand_behind_each_other_and_the_highest_counts(self):
        harness = self.one()
        disk, log, sizes = harness.disks["a"], harness.logs["a"], []
        for fence in range(2, 122):
            log.save_metadata(lambda ok: None, fence=fence)
            harness.run(10)
            sizes.append(len(disk.read("meta")))
        begun_anew = sum(size < before for before, size in itertools.pairwise(sizes))
        self.assertThat((max(sizes) <= 4300, 0 < begun_anew < 3), Equals((True, True)))
        harness.open("a")
        self.assertThat(
            (harness.logs["a"].metadata.fence, harness.logs["a"].metadata.log_epoch),
            Equals((121, 1)),
        )

    def test_a_torn_or_damaged_fence_takes_none_with_it(self):
        harness = self.one()
        disk = harness.disks["a"]
        harness.logs["a"].save_metadata(lambda ok: None, fence=7)
        harness.run(50)
        whole = disk.read("meta")
        one = len(frame(encode(ReplicaMetadata(identity="store-a", fence=7, log_epoch=1))))
        for keep, wanted in (
            (len(whole) - 1, 7),
            (len(whole) - one - 1, 1),
            (len(whole) - 2 * one, 1),
        ):
            disk.replace("meta", whole[:keep], lambda ok: None)
            harness.run(50)
            harness.open("a")
            self.assertThat(harness.logs["a"].metadata.fence, Equals(wanted))
            harness.logs["a"].save_metadata(lambda ok: None, fence=9)
            harness.run(50)
            harness.open("a")
            self.assertThat(harness.logs["a"].metadata.fence, Equals(9))
        for at in (12, len(whole) - one - 4, len(whole) - 4):
            disk.replace("meta", whole, lambda ok: None)
            harness.run(50)
            disk.damage("meta", at)
            harness.open("a")
            self.assertThat(harness.logs["a"].metadata.fence, Equals(7))

    def test_what_was_flushed_is_not_flushed_again_to_adopt_it(self):
        harness = self.one()
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
    def test_made_in_steps_it_holds_what_was_committed_when_it_was_begun(self):
        import replicated_log.snapshots as module

        whole, module._STEP_BYTES = module._STEP_BYTES, 60
        self.addCleanup(setattr, module, "_STEP_BYTES", whole)
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        for number in range(30):
            harness.append(f"k{number}", durable=True)
            harness.run(10)
        harness.run(50)
        log = harness.logs["a"]
        kept = log.committed_seq
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
            Equals((kept + 3, True, 0)),
        )
        harness.run(1500)
        head, rows = read_snapshot(harness.disks["a"].read("snapshot"))
        state = BatchState()
        for row in rows:
            state.apply(row)
        self.assertThat(
            (head.seq, list(state.keys)), Equals((kept, [f"k{number}" for number in range(30)]))
        )
        self.assertThat(
            (state.keys["k25"].state, log.state.keys["k25"].state), Equals(("open", "done"))
        )
        harness.open("a")
        self.assertThat(
            (harness.logs["a"].snapshot_seq, harness.logs["a"].last_seq), Equals((kept, kept + 3))
        )

    def test_one_that_finds_no_space_is_tried_again(self):
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


class TakingRecords(TestCase):
    """What a peer that has not adopted the epoch does with an append."""

    def appended(self, harness, epoch, base_seq, prev_seq, records):
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

    def filled(self, count=8):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        for number in range(count):
            harness.append(f"k{number}", durable=True)
            harness.run(10)
        harness.run(1000)
        harness.leader = None
        return harness

    def test_a_short_append_of_a_new_epoch_takes_away_no_copy_of_what_follows(self):
        harness = self.filled()
        log = harness.logs["b"]
        answer = self.appended(harness, 2, 8, 0, log.records[:3])
        self.assertThat((answer.ok, answer.last_seq, answer.log_epoch), Equals((True, 3, 1)))
        harness.open("b")
        self.assertThat(harness.logs["b"].last_seq, Equals(8))
        answer = self.appended(harness, 2, 8, 3, harness.logs["b"].records[3:])
        self.assertThat((answer.ok, answer.last_seq, answer.log_epoch), Equals((True, 8, 2)))

    def test_an_append_that_contradicts_what_is_committed_is_refused(self):
        harness = self.filled()
        log = harness.logs["b"]
        other = log.next_record(Stamp(2, 5), encode(key_opened("other")))
        other.seq = 4
        answer = self.appended(harness, 2, 8, 3, [other])
        self.assertThat((answer.ok, answer.reason, log.last_seq), Equals((False, "settled", 8)))


class Waking(TestCase):
    def test_an_append_under_an_old_epoch_is_refused_after_the_fence_alone(self):
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
