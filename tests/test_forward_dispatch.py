"""Forwarded jobs at the leader: dispatch, completion of items, and reads of results."""

from batch_state import messages
from leader_fixture import SETTINGS, FakeProfiles, LeaderFixture
from messaging import decode
from testtools import TestCase
from testtools.matchers import Equals


class Dispatch(TestCase):
    def test_a_heartbeat_with_capacity_is_parked_until_there_is_work(self):
        fixture = LeaderFixture()
        parked, other, none = (
            fixture.heartbeat("e1"),
            fixture.heartbeat("e2"),
            fixture.heartbeat("e3", capacity=0),
        )
        self.assertThat(
            (fixture.response(parked), fixture.response(other), fixture.response(none) is not None),
            Equals((None, None, True)),
        )
        fixture.submit("one", (1,) * 6)
        self.assertThat(
            (len(fixture.assignments(parked)), len(fixture.assignments(other))), Equals((2, 2))
        )
        again = fixture.heartbeat("e1", running=["one#0", "one#1"])
        self.assertThat(len(fixture.assignments(again)), Equals(1))

    def test_a_parked_heartbeat_is_answered_in_time_and_by_a_leader_that_steps_down(self):
        fixture = LeaderFixture()
        parked = fixture.heartbeat()
        fixture.advance(199)
        self.assertThat(fixture.response(parked), Equals(None))
        fixture.advance(1)
        self.assertThat(fixture.response(parked).work, Equals([]))
        parked = fixture.heartbeat()
        fixture.service.set_leader(None)
        self.assertThat(
            fixture.response(parked), Equals(messages.NotLeader(epoch=9, address="10.0.0.9:1"))
        )

    def test_a_replaced_or_silent_edge_loses_its_items(self):
        fixture = LeaderFixture()
        parked = fixture.heartbeat("e1", address="10.0.0.1:1")
        fixture.submit("one", (1, 1))
        self.assertThat(len(fixture.assignments(parked)), Equals(2))
        fixture.heartbeat("e9", capacity=0, address="10.0.0.1:1")
        fixture.advance(25)
        fresh = fixture.assignments(fixture.heartbeat("e2"))
        self.assertThat([row.claim_number for row in fresh], Equals([2]))
        fixture.advance(SETTINGS.failure_timeout_ms + 1)
        self.assertThat(
            [row.claim_number for row in fixture.assignments(fixture.heartbeat("e3"))],
            Equals([2, 3]),
        )

    def test_edges_that_run_a_job_are_notified_of_its_cancellation(self):
        fixture = LeaderFixture()
        fixture.submit("one", (1, 1))
        fixture.heartbeat("e1")
        parked = fixture.heartbeat("e1", running=["one#0", "one#1"])
        fixture.request(messages.CancelJob(job_id="one"))
        self.assertThat(fixture.response(parked).closed_jobs, Equals(["one"]))


class ItemCompletion(TestCase):
    def test_reported_outcomes_list_an_item_or_dispatch_it_again(self):
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

    def test_items_end_when_they_expire_or_their_route_is_removed(self):
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
        for number, profiles, listed in (
            (6, FakeProfiles("route/a"), 0),
            (7, FakeProfiles(), 0),
            (8, FakeProfiles("route/a"), 1),
        ):
            fixture.profiles = (number, profiles)
            fixture.advance(25)
            self.assertThat(len(fixture.listed_results("two")), Equals(listed), number)


class Reads(TestCase):
    def test_a_read_waits_for_committed_results(self):
        fixture = LeaderFixture()
        fixture.submit("one", (1, 1))
        work = fixture.assignments(fixture.heartbeat())
        fixture.leader.manual_commit = True
        parked, immediate = fixture.list_results("one", 0, 500), fixture.list_results("one")
        fixture.report(work[1])
        self.assertThat(
            (fixture.response(parked), fixture.response(immediate).rows), Equals((None, []))
        )
        fixture.leader.commit()
        page = fixture.response(parked)
        self.assertThat(
            (page.total, page.complete, [decode(row).item_id for row in page.rows]),
            Equals((2, False, ["one-1"])),
        )

    def test_a_parked_read_is_answered_on_timeout_cancellation_or_loss_of_leadership(self):
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
        parked = fixture.list_results("two", 0, 500)
        fixture.service.set_leader(None)
        self.assertThat(type(fixture.response(parked)), Equals(messages.NotLeader))

    def test_missing_only_if_neither_committed_nor_logged(self):
        fixture = LeaderFixture()
        self.assertThat(fixture.response(fixture.list_results("one")).outcome, Equals("missing"))
        fixture.leader.manual_commit = True
        fixture.submit("one")
        self.assertThat(fixture.response(fixture.list_results("one")).outcome, Equals("unknown"))

    def test_a_page_is_bounded_but_has_at_least_one_result(self):
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

    def test_only_calls_of_unfinished_items_are_returned(self):
        fixture = LeaderFixture()
        fixture.submit("one", (1, 1))
        fixture.report(fixture.assignments(fixture.heartbeat())[0])
        responses = {
            name: fixture.response(fixture.request(messages.GetItem(job_id=job, item_id=name)))
            for job, name in (("one", "one-0"), ("one", "one-1"), ("one", "x"), ("two", "two-0"))
        }
        self.assertThat(
            {name: (response.outcome, response.call) for name, response in responses.items()},
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
