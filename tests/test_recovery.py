"""Rows about recovery beyond the design page's: what is fetched, what is cut, and the small files beside the log."""

from batch_state import BatchState, entries
from log_table import PARAMS, Table
from log_table import entry as key_opened
from messaging import encode
from replicated_log import AppendRequest, InstallSnapshot, Outcome
from replicated_log.messages import (
    FetchRecords,
    FetchResponse,
    FetchTail,
    ReplicaMetadata,
    StartRecoveryResponse,
)
from replicated_log.snapshots import read_snapshot
from simulator.disks import SimDisk
from storage import DamageError, frame
from testtools import TestCase
from testtools.matchers import Equals


class Fetching(TestCase):
    def grown(self, count=50):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        for number in range(count):
            table.append(f"k{number}", durable=True)
            table.run(10)
        table.run(50)
        return table

    def watched(self, table):
        """How many records come over the wire."""
        fetched, plain = [], table.ask

        def ask(to, message, wait_ms, done):
            plain(to, message, wait_ms, lambda answer: (fetched.append(answer), done(answer)))

        table.ask = ask
        return lambda: sum(
            len(answer.records) for answer in fetched if isinstance(answer, FetchResponse)
        )

    def test_stores_that_are_level_fetch_nothing(self):
        table = self.grown()
        table.cut.add("a")
        fetched = self.watched(table)
        self.assertThat((table.recover("b", 2), fetched()), Equals(([True], 0)))

    def test_only_what_is_lacking_is_fetched(self):
        table = self.grown()
        table.cut.add("b")
        for number in range(3):
            table.append(f"more{number}", durable=True)
            table.run(10)
        table.cut = {"a"}
        fetched = self.watched(table)
        self.assertThat((table.recover("b", 2), fetched()), Equals(([True], 3)))
        self.assertThat(table.keys("b"), Equals(table.keys("c")))

    def test_after_a_restart_too(self):
        """What is settled isn't known any more, but the last place that both hold is found."""
        table = self.grown()
        table.cut.add("b")
        table.append("more", durable=True)
        table.run(50)
        table.open("b")
        table.cut = {"a"}
        fetched = self.watched(table)
        self.assertThat((table.recover("b", 2), fetched()), Equals(([True], 1)))

    def test_an_old_tail_gives_way(self):
        table = self.grown(5)
        table.cut.update(("b", "c"))
        table.append("ghost")
        table.append("ghost too")
        table.run(20)
        table.cut = {"a"}
        self.assertThat(table.recover("b", 2), Equals([True]))
        table.hold("b", 2)
        table.run(300)
        table.append("real", durable=True)
        table.run(100)
        table.holder = None
        table.cut = {"b"}
        self.assertThat(table.recover("a", 3), Equals([True]))
        self.assertThat(table.keys("a"), Equals([f"k{number}" for number in range(5)] + ["real"]))

    def test_a_store_that_missed_a_recovery_keeps_what_is_settled_though_nothing_is_fetched(self):
        """Its own copy doesn't count as an answer, and whoever does count has no more than is settled here."""
        table = self.grown(5)
        table.run(1000)
        table.cut.add("b")
        self.assertThat(table.recover("c", 2), Equals([True]))
        table.cut = {"a"}
        self.assertThat(table.recover("b", 3), Equals([True]))
        wanted = [f"k{number}" for number in range(5)]
        self.assertThat((table.keys("b"), table.keys("c")), Equals((wanted, wanted)))
        log = table.logs["b"]
        self.assertThat((log.last_seq, log.committed_seq), Equals((5, 5)))

    def test_a_blank_disk_at_the_address_of_the_store_that_was_counted_on_ends_the_recovery(self):
        """It would stand for an empty log, and what is settled on the lost disk and one more be cut off."""
        for wiped_before in (FetchTail, FetchRecords):
            table = self.grown(2)
            table.cut.add("b")
            for number in range(40):
                table.append(f"settled{number}" + "x" * 8000, durable=True)
                table.run(10)
            table.run(200)
            table.cut = {"a"}
            members, plain = table.members(), table.ask

            def ask(to, message, wait_ms, done, table=table, plain=plain, before=wiped_before):
                if isinstance(message, before) and table.disks["c"].names():
                    table.disks["c"] = SimDisk(table.time, 1 << 20, 1.0)
                    table.open("c", token="another")
                plain(to, message, wait_ms, done)

            table.ask = ask
            self.assertThat(table.recover("b", 2, members), Equals([False]), wiped_before)

    def test_nothing_goes_out_under_an_epoch_before_its_own_fence(self):
        table = self.grown(2)
        table.disks["b"].flush_ms = 100.0
        sent, plain = [], table.ask

        def ask(to, message, wait_ms, done):
            sent.append((type(message).__name__, table.logs["b"].meta.fence))
            plain(to, message, wait_ms, done)

        table.ask = ask
        table.cut.add("a")
        self.assertThat(table.recover("b", 2), Equals([True]))
        self.assertThat(sent[0], Equals(("StartRecovery", 1)))
        self.assertThat(
            [fence for name, fence in sent if name != "StartRecovery" and fence < 2], Equals([])
        )

    def test_a_snapshot_comes_in_parts_each_asked_for_by_the_one_before(self):
        import replicated_log.follower_progress as module

        table = self.grown(40)
        for name in ("a", "b"):
            table.logs[name].received_ms = [-(10**6)] * len(table.logs[name].records)
            table.logs[name].maintain_snapshot(force=True)
        table.run(50)
        table.logs["a"].trim()
        whole, module._PART_BYTES = module._PART_BYTES, 500
        self.addCleanup(setattr, module, "_PART_BYTES", whole)
        parts, plain = [], table.holder._post

        def post(to, message):
            if isinstance(message, InstallSnapshot):
                parts.append((message.offset, message.total))
            plain(to, message)

        table.holder._post = post
        table.disks["c"].wipe()
        table.open("c")
        table.run(2000)
        total = parts[0][1]
        self.assertThat(parts, Equals([(offset, total) for offset in range(0, total, 500)]))
        self.assertThat((table.logs["c"].last_seq, table.logs["c"].meta.log_epoch), Equals((40, 1)))


class SmallFiles(TestCase):
    def one(self):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        for number in range(3):
            table.append(f"k{number}", durable=True)
            table.run(50)
        return table

    def test_a_mark_says_nothing_after_a_cut_that_lost_its_own_new_mark(self):
        table = self.one()
        log, disk = table.logs["a"], table.disks["a"]
        mark = disk.read("mark")
        log.save_metadata(lambda ok: None, fence=5)
        table.run(50)
        log.truncate_after(1)
        log.flush(lambda ok: None)
        table.run(50)
        disk.write("mark", 0, mark, True)
        table.open("a")
        self.assertThat((table.logs["a"].last_seq, table.logs["a"].meta.fence), Equals((1, 5)))

    def test_a_mark_of_the_present_fence_tells_of_damage(self):
        table = self.one()
        name = table.logs["a"].records[0].file
        table.disks["a"].truncate(name, table.logs["a"].records[2].offset)
        self.assertRaises(DamageError, table.open, "a")

    def test_fences_stand_behind_each_other_and_the_highest_counts(self):
        table = self.one()
        disk, log, sizes = table.disks["a"], table.logs["a"], []
        for fence in range(2, 122):
            log.save_metadata(lambda ok: None, fence=fence)
            table.run(10)
            sizes.append(len(disk.read("meta")))
        begun_anew = sum(size < before for before, size in zip(sizes, sizes[1:], strict=False))
        self.assertThat((max(sizes) <= 4300, 0 < begun_anew < 3), Equals((True, True)))
        table.open("a")
        self.assertThat(
            (table.logs["a"].meta.fence, table.logs["a"].meta.log_epoch), Equals((121, 1))
        )

    def test_a_torn_or_damaged_fence_takes_none_with_it(self):
        table = self.one()
        disk = table.disks["a"]
        table.logs["a"].save_metadata(lambda ok: None, fence=7)
        table.run(50)
        whole = disk.read("meta")
        one = len(frame(encode(ReplicaMetadata(identity="store-a", fence=7, log_epoch=1))))
        for keep, wanted in (
            (len(whole) - 1, 7),
            (len(whole) - one - 1, 1),
            (len(whole) - 2 * one, 1),
        ):
            disk.replace("meta", whole[:keep], lambda ok: None)
            table.run(50)
            table.open("a")
            self.assertThat(table.logs["a"].meta.fence, Equals(wanted))
            table.logs["a"].save_metadata(lambda ok: None, fence=9)
            table.run(50)
            table.open("a")
            self.assertThat(table.logs["a"].meta.fence, Equals(9))
        for at in (12, len(whole) - one - 4, len(whole) - 4):
            disk.replace("meta", whole, lambda ok: None)
            table.run(50)
            disk.damage("meta", at)
            table.open("a")
            self.assertThat(table.logs["a"].meta.fence, Equals(7))

    def test_what_was_flushed_is_not_flushed_again_to_adopt_it(self):
        table = self.one()
        table.cut.add("a")
        table.run(2 * PARAMS.flush_ms)
        before = [table.disks[name].flushes for name in ("b", "c")]
        self.assertThat(table.recover("b", 2), Equals([True]))
        table.hold("b", 2)
        table.run(300)
        after = [table.disks[name].flushes for name in ("b", "c")]
        self.assertThat(table.logs["c"].meta.log_epoch, Equals(2))
        self.assertThat(after[1] - before[1] <= 2, Equals(True))
        self.assertThat(table.append("next", durable=True) is not None, Equals(True))


class Snapshots(TestCase):
    def test_made_in_steps_it_holds_what_was_settled_when_it_was_begun(self):
        import replicated_log.snapshots as module

        whole, module._STEP_BYTES = module._STEP_BYTES, 60
        self.addCleanup(setattr, module, "_STEP_BYTES", whole)
        table = Table()
        table.hold("a", 1)
        table.run(300)
        for number in range(30):
            table.append(f"k{number}", durable=True)
            table.run(10)
        table.run(50)
        log = table.logs["a"]
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
            table.holder.append([entry], True, lambda outcome: None)
        table.run(8)
        self.assertThat(
            (log.committed_seq, log.busy(), log.snapshot_seq), Equals((kept + 3, True, 0))
        )
        table.run(1500)
        head, rows = read_snapshot(table.disks["a"].read("snapshot"))
        state = BatchState()
        for row in rows:
            state.apply(row)
        self.assertThat(
            (head.seq, list(state.keys)), Equals((kept, [f"k{number}" for number in range(30)]))
        )
        self.assertThat(
            (state.keys["k25"].state, log.state.keys["k25"].state), Equals(("open", "done"))
        )
        table.open("a")
        self.assertThat(
            (table.logs["a"].snapshot_seq, table.logs["a"].last_seq), Equals((kept, kept + 3))
        )

    def test_one_that_finds_no_room_is_tried_again(self):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        disk, log = table.disks["a"], table.logs["a"]
        log.settings = PARAMS.model_copy(update={"segment_bytes": 1 << 20})
        for number in range(200):
            table.append(f"k{number}", durable=True)
            table.run(10)
        self.assertThat(log.snapshot_seq, Equals(0))
        room, disk.room_bytes = (
            disk.room_bytes,
            sum(len(disk.read(name)) for name in disk.names()) + 200,
        )
        log.maintain_snapshot(force=True)
        table.run(600)
        self.assertThat(log.snapshot_seq, Equals(0))
        disk.room_bytes = room
        table.run(1000)
        self.assertThat(log.snapshot_seq, Equals(200))


class TakingRecords(TestCase):
    """What a peer that has not adopted the epoch does with an append."""

    def appended(self, table, epoch, base_seq, prev_seq, records):
        log, answers = table.logs["b"], []
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
        table.followers["b"].receive(message, answers.append)
        table.run(20)
        return answers[0]

    def filled(self, count=8):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        for number in range(count):
            table.append(f"k{number}", durable=True)
            table.run(10)
        table.run(1000)
        table.holder = None
        return table

    def test_a_short_append_of_a_new_epoch_takes_away_no_copy_of_what_follows(self):
        table = self.filled()
        log = table.logs["b"]
        answer = self.appended(table, 2, 8, 0, log.records[:3])
        self.assertThat((answer.ok, answer.last_seq, answer.log_epoch), Equals((True, 3, 1)))
        table.open("b")
        self.assertThat(table.logs["b"].last_seq, Equals(8))
        answer = self.appended(table, 2, 8, 3, table.logs["b"].records[3:])
        self.assertThat((answer.ok, answer.last_seq, answer.log_epoch), Equals((True, 8, 2)))

    def test_an_append_that_contradicts_what_is_settled_is_refused(self):
        table = self.filled()
        log = table.logs["b"]
        other = log.make((2, 5), encode(key_opened("other")))
        other.seq = 4
        answer = self.appended(table, 2, 8, 3, [other])
        self.assertThat((answer.ok, answer.reason, log.last_seq), Equals((False, "settled", 8)))


class Waking(TestCase):
    def test_an_append_under_an_old_epoch_is_refused_after_the_fence_alone(self):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        answers = []
        table.logs["b"].save_metadata(lambda ok: None, fence=4)
        table.run(10)
        table.followers["b"].receive(
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
        outcomes = table.append("late")
        table.run(PARAMS.request_timeout_ms + 100)
        self.assertThat(
            (answers[0].ok, isinstance(answers[0], StartRecoveryResponse), outcomes),
            Equals((False, False, [Outcome.UNKNOWN])),
        )
