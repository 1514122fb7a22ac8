"""Forwarded jobs at the leader: dispatch, how items end, and reads of results."""

from batch_state import messages
from leader_fixture import SETTINGS, FakeProfiles, LeaderFixture
from messaging import decode
from testtools import TestCase
from testtools.matchers import Equals


class Dispatch(TestCase):
    def test_a_heartbeat_with_capacity_is_parked_until_there_is_work(self):
        fixture = LeaderFixture()
        held, other, none = (
            fixture.heartbeat("e1"),
            fixture.heartbeat("e2"),
            fixture.heartbeat("e3", capacity=0),
        )
        self.assertThat(
            (fixture.response(held), fixture.response(other), fixture.response(none) is not None),
            Equals((None, None, True)),
        )
        fixture.submit("one", (1,) * 6)
        self.assertThat(
            (len(fixture.assignments(held)), len(fixture.assignments(other))), Equals((2, 2))
        )
        again = fixture.heartbeat("e1", running=["one#0", "one#1"])
        self.assertThat(len(fixture.assignments(again)), Equals(1))

    def test_a_parked_heartbeat_is_answered_in_time_and_by_a_leader_that_steps_down(self):
        fixture = LeaderFixture()
        held = fixture.heartbeat()
        fixture.advance(199)
        self.assertThat(fixture.response(held), Equals(None))
        fixture.advance(1)
        self.assertThat(fixture.response(held).work, Equals([]))
        held = fixture.heartbeat()
        fixture.service.set_leader(None)
        self.assertThat(
            fixture.response(held), Equals(messages.NotLeader(epoch=9, address="10.0.0.9:1"))
        )

    def test_an_edge_known_to_be_dead_loses_its_items(self):
        fixture = LeaderFixture()
        held = fixture.heartbeat("e1", address="10.0.0.1:1")
        fixture.submit("one", (1, 1))
        self.assertThat(len(fixture.assignments(held)), Equals(2))
        fixture.heartbeat("e9", capacity=0, address="10.0.0.1:1")
        fixture.advance(25)
        fresh = fixture.assignments(fixture.heartbeat("e2"))
        self.assertThat([row.claim_number for row in fresh], Equals([2]))
        fixture.advance(SETTINGS.failure_timeout_ms + 1)
        self.assertThat(
            [row.claim_number for row in fixture.assignments(fixture.heartbeat("e3"))],
            Equals([2, 3]),
        )

    def test_edges_that_run_a_job_hear_that_it_was_cancelled(self):
        fixture = LeaderFixture()
        fixture.submit("one", (1, 1))
        fixture.heartbeat("e1")
        held = fixture.heartbeat("e1", running=["one#0", "one#1"])
        fixture.request(messages.CancelJob(job_id="one"))
        self.assertThat(fixture.response(held).closed_jobs, Equals(["one"]))


class ItemCompletion(TestCase):
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
            fixture = LeaderFixture()
            fixture.submit("one")
            for outcome in outcomes.split():
                fixture.report(fixture.assignments(fixture.heartbeat())[0], outcome)
            self.assertThat(
                [outcome for _, outcome in fixture.listed_results("one")], Equals(listed), outcomes
            )

    def test_a_failure_reported_twice_counts_once(self):
        fixture = LeaderFixture()
        fixture.submit("one")
        work = fixture.assignments(fixture.heartbeat())[0]
        for _ in range(5):
            fixture.report(work, "failed")
        again = fixture.assignments(fixture.heartbeat())[0]
        self.assertThat((again.avoid, fixture.listed_results("one")), Equals((["w1"], [])))

    def test_a_slow_item_delays_no_other(self):
        fixture = LeaderFixture()
        fixture.submit("one", (1, 1, 1))
        work = fixture.assignments(fixture.heartbeat())
        fixture.report([work[2], work[1]])
        self.assertThat(
            fixture.listed_results("one"), Equals([("one-2", "finished"), ("one-1", "finished")])
        )
        fixture.report(work[2], text=b"another run")
        fixture.report(work[0], edge="e2")
        self.assertThat(
            fixture.listed_results("one"),
            Equals([("one-2", "finished"), ("one-1", "finished"), ("one-0", "finished")]),
        )
        job = fixture.leader.state.jobs["one"]
        self.assertThat((job.listing_edge, job.listing_epoch), Equals(("e2", 2)))

    def test_items_expire_with_their_time_or_their_route(self):
        fixture = LeaderFixture()
        fixture.submit("one", (1, 1), keep_ms=5000)
        fixture.submit("two", path="route/b")
        fixture.report(fixture.assignments(fixture.heartbeat(capacity=1))[0])
        fixture.advance(4999)
        self.assertThat(len(fixture.listed_results("one")), Equals(1))
        fixture.advance(1)
        self.assertThat(
            [outcome for _, outcome in fixture.listed_results("one")], Equals(["finished", "dead"])
        )
        for number, tree, listed in (
            (6, FakeProfiles("route/a"), 0),
            (7, FakeProfiles(), 0),
            (8, FakeProfiles("route/a"), 1),
        ):
            fixture.profiles = (number, tree)
            fixture.advance(25)
            self.assertThat(len(fixture.listed_results("two")), Equals(listed), number)


class Reads(TestCase):
    def test_a_read_waits_for_committed_results(self):
        fixture = LeaderFixture()
        fixture.submit("one", (1, 1))
        work = fixture.assignments(fixture.heartbeat())
        fixture.leader.manual_commit = True
        held, unheld = fixture.list_results("one", 0, 500), fixture.list_results("one")
        fixture.report(work[1])
        self.assertThat((fixture.response(held), fixture.response(unheld).rows), Equals((None, [])))
        fixture.leader.commit()
        page = fixture.response(held)
        self.assertThat(
            (page.total, page.complete, [decode(row).item_id for row in page.rows]),
            Equals((2, False, ["one-1"])),
        )

    def test_a_read_is_answered_when_its_time_is_up_the_job_over_or_the_leader_another(self):
        fixture = LeaderFixture()
        fixture.submit("one", (1, 1))
        late, ended = fixture.list_results("one", 0, 100), fixture.list_results("one", 0, 500)
        fixture.advance(100)
        self.assertThat((fixture.response(late).rows, fixture.response(ended)), Equals(([], None)))
        fixture.request(messages.CancelJob(job_id="one"))
        self.assertThat(
            (
                fixture.response(ended).complete,
                fixture.response(fixture.list_results("one", 5, 500)).complete,
            ),
            Equals((True, True)),
        )
        fixture.submit("two")
        held = fixture.list_results("two", 0, 500)
        fixture.service.set_leader(None)
        self.assertThat(type(fixture.response(held)), Equals(messages.NotLeader))

    def test_missing_only_if_neither_committed_nor_logged(self):
        fixture = LeaderFixture()
        self.assertThat(fixture.response(fixture.list_results("one")).outcome, Equals("missing"))
        fixture.leader.manual_commit = True
        fixture.submit("one")
        self.assertThat(fixture.response(fixture.list_results("one")).outcome, Equals("unknown"))

    def test_a_page_is_bounded_but_has_one_result_at_least(self):
        fixture = LeaderFixture()
        fixture.submit("one", (1, 1, 1))
        for row, size in zip(
            fixture.assignments(fixture.heartbeat()), (5000, 400, 400), strict=True
        ):
            fixture.report(row, text=b"x" * size)
        sizes = [
            len(fixture.response(fixture.list_results("one", position)).rows)
            for position in range(4)
        ]
        self.assertThat(sizes, Equals([1, 2, 1, 0]))

    def test_calls_of_items_that_are_not_listed(self):
        fixture = LeaderFixture()
        fixture.submit("one", (1, 1))
        fixture.report(fixture.assignments(fixture.heartbeat())[0])
        asks = {
            name: fixture.response(fixture.request(messages.GetItem(job_id=job, item_id=name)))
            for job, name in (("one", "one-0"), ("one", "one-1"), ("one", "x"), ("two", "two-0"))
        }
        self.assertThat(
            {name: (response.outcome, response.call) for name, response in asks.items()},
            Equals(
                {
                    "one-0": ("missing", b""),
                    "one-1": ("known", b"callone-1"),
                    "x": ("missing", b""),
                    "two-0": ("missing", b""),
                }
            ),
        )
        fixture.request(messages.CancelJob(job_id="one"))
        self.assertThat(
            fixture.response(
                fixture.request(messages.GetItem(job_id="one", item_id="one-1"))
            ).outcome,
            Equals("missing"),
        )
