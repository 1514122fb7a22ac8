"""Claims of items at edges and at the leader: late notifications, outcomes reported under an earlier
claim, and edges that stood still. An item that isn't safe to repeat must run under one claim only.
"""

from types import SimpleNamespace

from batch_state import entries, messages
from leader_fixture import LeaderFixture
from messaging import encode
from request_routing import JobRunner
from testtools import TestCase
from testtools.matchers import Equals

SETTINGS = SimpleNamespace(
    heartbeat_ms=200, request_timeout_ms=500, claim_timeout_ms=1500, force_ms=2000
)


class LeaderStub:
    """Stands in for the edge's client of the leader; records the requests to it."""

    def __init__(self):
        self.epoch, self.heartbeat_answered_ms, self.requests = 5, 0, []

    def address(self):
        return "h:1"

    def heartbeat_answered(self, response, sent_ms):
        self.epoch = max(self.epoch, response.epoch)
        self.heartbeat_answered_ms = sent_ms

    def redirected(self, response):
        return False

    def request(self, message, wait_ms, done):
        self.requests.append((message, done))


class Runner:
    """An edge's job runner; the test answers its heartbeats and ends its items."""

    def __init__(self):
        self.now_ms, self.heartbeats, self.started, self.cancelled, self.done_callbacks = (
            10_000,
            [],
            [],
            [],
            {},
        )
        self.leader = LeaderStub()
        self.jobs = JobRunner("e1", self.leader, lambda: (9, frozenset(["p"])), self._start)
        self.jobs.attach(
            SimpleNamespace(
                env=SimpleNamespace(now=lambda: self.now_ms, log=lambda *event, **fields: None),
                settings=SETTINGS,
                address="e:1",
                request=lambda to, message, timeout_ms, on_reply: self.heartbeats.append(
                    (message, on_reply)
                ),
            )
        )
        self.jobs.tick()

    def _start(self, work, done):
        self.started.append((work.index, work.claim_number))
        self.done_callbacks[work.index] = done
        return lambda: self.cancelled.append(work.index)

    def answer(self, index, number, safe=True, epoch=5, heartbeat=-1):
        """Answer a heartbeat with one item."""
        work = messages.ItemAssignment(
            job_id="l", index=index, claim_number=number, path="p", safe=safe, body="{}", due_ms=0
        )
        response = messages.EdgeHeartbeatResponse(
            epoch=epoch,
            leader_ms=0,
            work=[encode(work)],
            listing_leases=[],
            closed_jobs=[],
            waiting=0,
            paths=["p"],
        )
        self.heartbeats[heartbeat][1](response)

    def reported(self):
        return [
            (row.index, row.claim_number, row.outcome)
            for row, _ in self.leader.requests
            if isinstance(row, messages.ReportResult)
        ]


class ClaimsAtEdge(TestCase):
    def test_work_of_a_superseded_leader_is_not_started(self):
        for epoch, started in ((4, []), (5, [(0, 1)]), (6, [(0, 1)])):
            runner = Runner()
            runner.answer(0, 1, epoch=epoch)
            self.assertThat(runner.started, Equals(started), epoch)

    def test_an_item_in_progress_is_not_started_again(self):
        runner = Runner()
        runner.answer(0, 1)
        runner.answer(0, 2)
        runner.done_callbacks[0]("ran", "{}", "w")
        runner.answer(0, 3)
        self.assertThat((runner.started, runner.reported()), Equals(([(0, 1)], [(0, 1, "ran")])))

    def test_an_edge_that_stood_still_stops_its_items_and_reports_them_once(self):
        """Items that are safe to repeat are returned under their claim; others end as may_have_run."""
        for gap_ms, safe, reports in (
            (1500, True, []),
            (1501, True, [(0, 1, "again")]),
            (1501, False, [(0, 1, "may_have_run")]),
        ):
            runner = Runner()
            runner.answer(0, 1, safe=safe)
            runner.now_ms += gap_ms
            runner.jobs.resumed(gap_ms)
            self.assertThat(
                (runner.reported(), runner.cancelled),
                Equals((reports, [0] if reports else [])),
                gap_ms,
            )
            runner.done_callbacks[0]("ran", "{}", "w")
            self.assertThat(len(runner.reported()), Equals(1))

    def test_claims_end_while_the_leader_is_silent(self):
        runner = Runner()
        runner.answer(0, 1, safe=False)
        runner.now_ms += SETTINGS.claim_timeout_ms + 1
        runner.jobs.tick()
        self.assertThat(runner.reported(), Equals([(0, 1, "may_have_run")]))


class ClaimsAtLeader(TestCase):
    """Outcomes reported under an earlier claim, and the state of the item afterwards."""

    def test_outcomes_under_an_earlier_claim_of_a_forwarded_item(self):
        for outcome, state, listed in (
            ("again", ("claimed", 2, "e2"), []),
            ("failed", ("claimed", 2, "e2"), []),
            ("finished", ("finished", None, None), ["finished"]),
            ("dead", ("finished", None, None), ["dead"]),
        ):
            fixture = LeaderFixture()
            fixture.submit("one")
            earlier = fixture.assignments(fixture.heartbeat("e1"))[0]
            fixture.report(earlier, "again", edge="e1")
            present = fixture.assignments(fixture.heartbeat("e2"))[0]
            fixture.report(earlier, outcome, text=b"former", edge="e1")
            item = fixture.leader.state.jobs["one"].items[0]
            present_state = (
                (item.state, None, None)
                if item.state == "finished"
                else (item.state, item.claim_number, item.edge)
            )
            self.assertThat(
                (present_state, [row[1] for row in fixture.listed_results("one")]),
                Equals((state, listed)),
            )
            fixture.report(present, "finished", text=b"present", edge="e2")
            self.assertThat(
                [row[1] for row in fixture.listed_results("one")],
                Equals(listed or ["finished"]),
                outcome,
            )

    def test_a_failure_under_an_earlier_claim_uses_up_no_attempt(self):
        fixture = LeaderFixture()
        fixture.submit("one", attempts=3)
        claims = []
        for _ in range(2):
            claims.append(fixture.assignments(fixture.heartbeat("e1"))[0])
            fixture.report(claims[-1], "failed", edge="e1")
        present = fixture.assignments(fixture.heartbeat("e2"))[0]
        for earlier in claims:
            fixture.report(earlier, "failed", edge="e1")
        self.assertThat(fixture.listed_results("one"), Equals([]))
        fixture.report(present, "failed", edge="e2")
        self.assertThat([row[1] for row in fixture.listed_results("one")], Equals(["dead"]))

    def test_a_claim_returned_late_leaves_the_present_one(self):
        """An item of an ordinary job is dispatched again only if its present claim is returned."""
        fixture = LeaderFixture()
        fixture.leader.append(
            [
                entries.JobAdmitted(
                    job_id="l",
                    digest="d",
                    path="route/a",
                    items=["{}"],
                    safe=False,
                    due_ms=9,
                    at_ms=1,
                )
            ],
            True,
            lambda outcome: None,
        )
        first = fixture.assignments(fixture.heartbeat("e1"))[0]
        self.report_result(fixture, first, "again", "e1")
        second = fixture.assignments(fixture.heartbeat("e2"))[0]
        self.report_result(fixture, first, "again", "e1")
        item = fixture.leader.state.jobs["l"].items[0]
        self.assertThat(
            (first.claim_number, second.claim_number, item.state, item.edge, item.claim_number),
            Equals((1, 2, "claimed", "e2", 2)),
        )

    def report_result(self, fixture, work, outcome, edge):
        fixture.request(
            messages.ReportResult(
                job_id=work.job_id,
                index=work.index,
                claim_number=work.claim_number,
                outcome=outcome,
                body="",
                worker="",
                edge=edge,
            )
        )
