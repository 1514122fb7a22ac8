"""Lots of forwarded calls at the holder: dealing, how items end, and reads of results."""

from batch_state import messages as m
from forward_ledger_stage import PARAMS, Bench, Tree
from messaging import decode
from testtools import TestCase
from testtools.matchers import Equals


class Dealing(TestCase):
    def test_a_beat_with_room_is_held_until_there_is_work(self):
        bench = Bench()
        held, other, none = bench.beat("e1"), bench.beat("e2"), bench.beat("e3", capacity=0)
        self.assertThat(
            (bench.told(held), bench.told(other), bench.told(none) is not None),
            Equals((None, None, True)),
        )
        bench.hand_in("one", (1,) * 6)
        self.assertThat((len(bench.work(held)), len(bench.work(other))), Equals((2, 2)))
        again = bench.beat("e1", running=["one#0", "one#1"])
        self.assertThat(len(bench.work(again)), Equals(1))

    def test_a_held_beat_is_answered_after_a_beats_time_and_by_a_holder_that_steps_down(self):
        bench = Bench()
        held = bench.beat()
        bench.after(199)
        self.assertThat(bench.told(held), Equals(None))
        bench.after(1)
        self.assertThat(bench.told(held).work, Equals([]))
        held = bench.beat()
        bench.desk.set_leader(None)
        self.assertThat(bench.told(held), Equals(m.NotLeader(epoch=9, address="10.0.0.9:1")))

    def test_an_edge_known_to_be_dead_loses_its_items(self):
        bench = Bench()
        held = bench.beat("e1", address="10.0.0.1:1")
        bench.hand_in("one", (1, 1))
        self.assertThat(len(bench.work(held)), Equals(2))
        bench.beat("e9", capacity=0, address="10.0.0.1:1")
        bench.after(25)
        fresh = bench.work(bench.beat("e2"))
        self.assertThat([row.number for row in fresh], Equals([2]))
        bench.after(PARAMS.failure_timeout_ms + 1)
        self.assertThat([row.number for row in bench.work(bench.beat("e3"))], Equals([2, 3]))

    def test_an_end_is_told_to_whoever_runs_the_lot(self):
        bench = Bench()
        bench.hand_in("one", (1, 1))
        bench.beat("e1")
        held = bench.beat("e1", running=["one#0", "one#1"])
        bench.ask(m.CancelJob(job_id="one"))
        self.assertThat(bench.told(held).stops, Equals(["one"]))


class Ends(TestCase):
    def test_how_items_end(self):
        rows = [
            ("finished", ["finished"]),
            ("dead", ["dead"]),
            ("failed failed finished", ["finished"]),
            ("failed failed failed", ["dead"]),
            ("again again again again finished", ["finished"]),
            ("failed again failed again", []),
        ]
        for outcomes, listed in rows:
            bench = Bench()
            bench.hand_in("one")
            for outcome in outcomes.split():
                bench.end(bench.work(bench.beat())[0], outcome)
            self.assertThat(
                [outcome for _, outcome in bench.listed("one")], Equals(listed), outcomes
            )

    def test_a_failure_told_twice_counts_once(self):
        bench = Bench()
        bench.hand_in("one")
        work = bench.work(bench.beat())[0]
        for _ in range(5):
            bench.end(work, "failed")
        again = bench.work(bench.beat())[0]
        self.assertThat((again.avoid, bench.listed("one")), Equals((["w1"], [])))

    def test_what_is_slow_holds_nothing_up(self):
        bench = Bench()
        bench.hand_in("one", (1, 1, 1))
        work = bench.work(bench.beat())
        bench.end([work[2], work[1]])
        self.assertThat(bench.listed("one"), Equals([("one-2", "finished"), ("one-1", "finished")]))
        bench.end(work[2], text=b"another run")
        bench.end(work[0], edge="e2")
        self.assertThat(
            bench.listed("one"),
            Equals([("one-2", "finished"), ("one-1", "finished"), ("one-0", "finished")]),
        )
        job = bench.holder.state.jobs["one"]
        self.assertThat((job.listing_edge, job.listing_epoch), Equals(("e2", 2)))

    def test_given_up_when_the_time_is_up_or_the_route_gone(self):
        bench = Bench()
        bench.hand_in("one", (1, 1), keep_ms=5000)
        bench.hand_in("two", path="route/b")
        bench.end(bench.work(bench.beat(capacity=1))[0])
        bench.after(4999)
        self.assertThat(len(bench.listed("one")), Equals(1))
        bench.after(1)
        self.assertThat(
            [outcome for _, outcome in bench.listed("one")], Equals(["finished", "dead"])
        )
        for number, tree, listed in (
            (6, Tree("route/a"), 0),
            (7, Tree(), 0),
            (8, Tree("route/a"), 1),
        ):
            bench.profiles = (number, tree)
            bench.after(25)
            self.assertThat(len(bench.listed("two")), Equals(listed), number)


class Reads(TestCase):
    def test_a_read_waits_for_what_is_settled(self):
        bench = Bench()
        bench.hand_in("one", (1, 1))
        work = bench.work(bench.beat())
        bench.holder.by_hand = True
        held, unheld = bench.page("one", 0, 500), bench.page("one")
        bench.end(work[1])
        self.assertThat((bench.told(held), bench.told(unheld).rows), Equals((None, [])))
        bench.holder.settle()
        page = bench.told(held)
        self.assertThat(
            (page.total, page.over, [decode(row).item_id for row in page.rows]),
            Equals((2, False, ["one-1"])),
        )

    def test_a_read_is_answered_when_its_time_is_up_the_lot_over_or_the_holder_another(self):
        bench = Bench()
        bench.hand_in("one", (1, 1))
        late, ended = bench.page("one", 0, 100), bench.page("one", 0, 500)
        bench.after(100)
        self.assertThat((bench.told(late).rows, bench.told(ended)), Equals(([], None)))
        bench.ask(m.CancelJob(job_id="one"))
        self.assertThat(
            (bench.told(ended).over, bench.told(bench.page("one", 5, 500)).over),
            Equals((True, True)),
        )
        bench.hand_in("two")
        held = bench.page("two", 0, 500)
        bench.desk.set_leader(None)
        self.assertThat(type(bench.told(held)), Equals(m.NotLeader))

    def test_missing_only_what_is_settled_nowhere_and_logged_nowhere(self):
        bench = Bench()
        self.assertThat(bench.told(bench.page("one")).outcome, Equals("missing"))
        bench.holder.by_hand = True
        bench.hand_in("one")
        self.assertThat(bench.told(bench.page("one")).outcome, Equals("unknown"))

    def test_a_page_is_bounded_but_has_one_result_at_least(self):
        bench = Bench()
        bench.hand_in("one", (1, 1, 1))
        for row, size in zip(bench.work(bench.beat()), (5000, 400, 400), strict=True):
            bench.end(row, text=b"x" * size)
        sizes = [len(bench.told(bench.page("one", position)).rows) for position in range(4)]
        self.assertThat(sizes, Equals([1, 2, 1, 0]))

    def test_bodies_of_what_is_not_listed(self):
        bench = Bench()
        bench.hand_in("one", (1, 1))
        bench.end(bench.work(bench.beat())[0])
        asks = {
            name: bench.told(bench.ask(m.GetItem(job_id=job, item_id=name)))
            for job, name in (("one", "one-0"), ("one", "one-1"), ("one", "x"), ("two", "two-0"))
        }
        self.assertThat(
            {name: (told.outcome, told.call) for name, told in asks.items()},
            Equals(
                {
                    "one-0": ("missing", b""),
                    "one-1": ("known", b"callone-1"),
                    "x": ("missing", b""),
                    "two-0": ("missing", b""),
                }
            ),
        )
        bench.ask(m.CancelJob(job_id="one"))
        self.assertThat(
            bench.told(bench.ask(m.GetItem(job_id="one", item_id="one-1"))).outcome,
            Equals("missing"),
        )
