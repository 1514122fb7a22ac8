"""Claims of items at edges and at the holder: notices that come late, ends of a former claim, and edges that stood
still. What may not be repeated is begun under one claim only.
"""

from types import SimpleNamespace

from batch_state import entries as e
from batch_state import messages as m
from forward_ledger_stage import Bench
from messaging import encode
from request_routing import JobRunner
from testtools import TestCase
from testtools.matchers import Equals

PARAMS = SimpleNamespace(
    heartbeat_ms=200, request_timeout_ms=500, claim_timeout_ms=1500, force_ms=2000
)


class HolderStub:
    """What an edge knows of the holder; keeps what is asked of it."""

    def __init__(self):
        self.epoch, self.heard_ms, self.asked = 5, 0, []

    def address(self):
        return "h:1"

    def heard(self, receipt, asked_ms):
        self.epoch, self.heard_ms = max(self.epoch, receipt.epoch), asked_ms

    def redirected(self, receipt):
        return False

    def ask(self, message, wait_ms, done):
        self.asked.append((message, done))


class Runner:
    """An edge's runner of lots, with its beats answered by hand."""

    def __init__(self):
        self.now_ms, self.beats, self.begun, self.cancelled, self.ends = 10_000, [], [], [], {}
        self.holder = HolderStub()
        self.jobs = JobRunner("e1", self.holder, lambda: (9, frozenset(["p"])), self._start)
        self.jobs.attach(
            SimpleNamespace(
                env=SimpleNamespace(now=lambda: self.now_ms, log=lambda *told, **fields: None),
                settings=PARAMS,
                address="e:1",
                request=lambda to, message, timeout_ms, on_reply: self.beats.append(
                    (message, on_reply)
                ),
            )
        )
        self.jobs.tick()

    def _start(self, work, done):
        self.begun.append((work.index, work.number))
        self.ends[work.index] = done
        return lambda: self.cancelled.append(work.index)

    def deal(self, index, number, safe=True, epoch=5, beat=-1):
        """Answer a beat with one item."""
        work = m.ItemAssignment(
            job_id="l", index=index, number=number, path="p", safe=safe, body="{}", due_ms=0
        )
        receipt = m.EdgeHeartbeatResponse(
            epoch=epoch,
            leader_ms=0,
            work=[encode(work)],
            listing_leases=[],
            stops=[],
            waiting=0,
            paths=["p"],
        )
        self.beats[beat][1](receipt)

    def reported(self):
        return [
            (row.index, row.number, row.outcome)
            for row, _ in self.holder.asked
            if isinstance(row, m.ReportResult)
        ]


class AtTheEdge(TestCase):
    def test_work_of_a_holder_that_was_succeeded_is_not_begun(self):
        for epoch, begun in ((4, []), (5, [(0, 1)]), (6, [(0, 1)])):
            runner = Runner()
            runner.deal(0, 1, epoch=epoch)
            self.assertThat(runner.begun, Equals(begun), epoch)

    def test_an_item_under_way_is_not_begun_again(self):
        runner = Runner()
        runner.deal(0, 1)
        runner.deal(0, 2)
        runner.ends[0]("ran", "{}", "w")
        runner.deal(0, 3)
        self.assertThat((runner.begun, runner.reported()), Equals(([(0, 1)], [(0, 1, "ran")])))

    def test_an_edge_that_stood_still_stops_what_it_ran_and_says_once_what_came_of_it(self):
        """What may be repeated is handed back under its claim; of the rest nobody can say."""
        for gap_ms, safe, ends in (
            (1500, True, []),
            (1501, True, [(0, 1, "again")]),
            (1501, False, [(0, 1, "may_have_run")]),
        ):
            runner = Runner()
            runner.deal(0, 1, safe=safe)
            runner.now_ms += gap_ms
            runner.jobs.resumed(gap_ms)
            self.assertThat(
                (runner.reported(), runner.cancelled), Equals((ends, [0] if ends else [])), gap_ms
            )
            runner.ends[0]("ran", "{}", "w")
            self.assertThat(len(runner.reported()), Equals(1))

    def test_a_silent_holder_ends_the_claims(self):
        runner = Runner()
        runner.deal(0, 1, safe=False)
        runner.now_ms += PARAMS.claim_timeout_ms + 1
        runner.jobs.tick()
        self.assertThat(runner.reported(), Equals([(0, 1, "may_have_run")]))


class AtTheHolder(TestCase):
    """Rows: which ends come, each under the number of its claim and from its edge, and how the item stands."""

    def test_ends_of_a_former_claim_of_a_forwarded_item(self):
        for outcome, state, listed in (
            ("again", ("claimed", 2, "e2"), []),
            ("failed", ("claimed", 2, "e2"), []),
            ("finished", ("finished", None, None), ["finished"]),
            ("dead", ("finished", None, None), ["dead"]),
        ):
            bench = Bench()
            bench.hand_in("one")
            former = bench.work(bench.beat("e1"))[0]
            bench.end(former, "again", edge="e1")
            present = bench.work(bench.beat("e2"))[0]
            bench.end(former, outcome, text=b"former", edge="e1")
            item = bench.holder.state.jobs["one"].items[0]
            shown = (
                (item.state, None, None)
                if item.state == "finished"
                else (item.state, item.number, item.edge)
            )
            self.assertThat(
                (shown, [row[1] for row in bench.listed("one")]), Equals((state, listed))
            )
            bench.end(present, "finished", text=b"present", edge="e2")
            self.assertThat(
                [row[1] for row in bench.listed("one")], Equals(listed or ["finished"]), outcome
            )

    def test_a_failure_of_a_former_claim_uses_up_no_attempt(self):
        bench = Bench()
        bench.hand_in("one", attempts=3)
        claims = []
        for _ in range(2):
            claims.append(bench.work(bench.beat("e1"))[0])
            bench.end(claims[-1], "failed", edge="e1")
        present = bench.work(bench.beat("e2"))[0]
        for former in claims:
            bench.end(former, "failed", edge="e1")
        self.assertThat(bench.listed("one"), Equals([]))
        bench.end(present, "failed", edge="e2")
        self.assertThat([row[1] for row in bench.listed("one")], Equals(["dead"]))

    def test_a_claim_handed_back_late_leaves_the_present_one(self):
        """An item of our own interface: only under the number of the present claim is it dealt again."""
        bench = Bench()
        bench.holder.append(
            [
                e.JobAdmitted(
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
        first = bench.work(bench.beat("e1"))[0]
        self.finish(bench, first, "again", "e1")
        second = bench.work(bench.beat("e2"))[0]
        self.finish(bench, first, "again", "e1")
        item = bench.holder.state.jobs["l"].items[0]
        self.assertThat(
            (first.number, second.number, item.state, item.edge, item.number),
            Equals((1, 2, "claimed", "e2", 2)),
        )

    def finish(self, bench, work, outcome, edge):
        bench.ask(
            m.ReportResult(
                job_id=work.job_id,
                index=work.index,
                number=work.number,
                outcome=outcome,
                body="",
                worker="",
                edge=edge,
            )
        )
