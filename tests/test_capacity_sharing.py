"""Tests of capacity_sharing without a fleet: changes of a loan, reasons to refuse or recall one, the division of slots among
edges, the forecast of jobs' deadlines, and samples of rollouts.
"""

import json
from types import SimpleNamespace

from batch_state import entries
from batch_state.state import BatchState
from capacity_sharing.deadline_forecast import JobDeadlineForecast
from capacity_sharing.entitlement import Entitlements
from capacity_sharing.load import EdgeLoad, LiveLoad
from capacity_sharing.loan_table import (
    LoanTable,
    drained,
    granted,
    recalled,
    returned,
    withdrawn,
)
from capacity_sharing.sampling import SampleCall, SampleExchange
from control_store import ProfileTree
from testtools import TestCase
from testtools.matchers import Equals


def loan_number(table):
    return table.loans["w"].number if "w" in table.loans else 0


def grant(table):
    return granted(table, "w", "trainer", "v2", 1000, 100)


class LoanTableChanges(TestCase):
    """The outcome of each change from each state: the new state under the next epoch, or a refusal."""

    STEPS = {
        "grant": grant,
        "drained": lambda table: drained(table, "w", table.epoch),
        "drained, old epoch": lambda table: drained(table, "w", table.epoch - 1),
        "withdrawn": lambda table: withdrawn(table, "w", table.epoch, "x"),
        "recalled": lambda table: recalled(table, "w", "x"),
        "recalled, old epoch": lambda table: recalled(table, "w", "x", table.epoch - 1),
        "returned": lambda table: returned(table, "w", loan_number(table), "v2"),
        "returned, old number": lambda table: returned(table, "w", loan_number(table) - 1, "v2"),
        "returned, other weights": lambda table: returned(table, "w", loan_number(table), "v1"),
    }
    ROWS = [
        ("serving", [], {"grant": "lending"}),
        ("lending", ["grant"], {"drained": "lent", "withdrawn": "serving", "recalled": "serving"}),
        ("lent", ["grant", "drained"], {"recalled": "recalled", "returned": "serving"}),
        ("recalled", ["grant", "drained", "recalled"], {"returned": "serving"}),
        ("serving again", ["grant", "drained", "recalled", "returned"], {"grant": "lending"}),
    ]

    def test_each_change_from_each_state(self):
        for name, steps, allowed in self.ROWS:
            table = LoanTable.from_body("")
            for step in steps:
                table = self.STEPS[step](table).ok
            for step, change in self.STEPS.items():
                changed = change(table)
                state = changed.ok.loans["w"].state if changed.is_ok() else None
                self.assertThat(state, Equals(allowed.get(step)), f"{name}: {step}")
                if changed.is_ok():
                    self.assertThat(changed.ok.epoch, Equals(table.epoch + 1))
                    self.assertThat(
                        LoanTable.from_body(changed.ok.body()).loans, Equals(changed.ok.loans)
                    )
                    self.assertThat(
                        changed.ok.withheld(), Equals(frozenset() if state == "serving" else {"w"})
                    )


class LendingLimits(TestCase):
    """Which workers may be lent whole, which are recalled, and how many slots each edge may fill."""

    PROFILES = ProfileTree(
        {"rulings": {"workers": {"labels": ["gpu"]}}, "other": {"workers": {"labels": ["cpu"]}}}
    )

    def load(self, rows, window_ms=1000, at_risk=False, waiting=0):
        load = LiveLoad(500, lambda: window_ms)
        for now_ms in range(0, 1300, 100):
            load.record_report(
                "e1",
                EdgeLoad(
                    edge="e1",
                    loans_version=1,
                    workers=json.dumps(rows),
                    waiting=waiting,
                    jobs_at_risk=at_risk,
                ),
                now_ms,
            )
            load.measure(now_ms)
        return load

    def test_refusal_reasons(self):
        def row(zone="a", label="gpu", live=0, usable=True):
            return [zone, [label], 4, live, live, usable, 0]

        three = {"w": row(), "x": row(), "y": row()}
        table = [
            ("idle", three, {}, frozenset(), ""),
            ("unknown", {"x": row()}, {}, frozenset(), "no edge"),
            ("unusable", {**three, "w": row(usable=False)}, {}, frozenset(), "no edge"),
            ("last in its zone", {"w": row(), "x": row("b")}, {}, frozenset(), "it is the last"),
            (
                "last with its label",
                {"w": row(), "x": row(label="cpu")},
                {},
                frozenset(),
                "it is the last",
            ),
            (
                "the other one is withheld",
                {"w": row(), "x": row()},
                {},
                frozenset({"x"}),
                "it is the last",
            ),
            (
                "the peak needs it",
                {"w": row(live=3), "x": row(live=2), "y": row(live=2)},
                {},
                frozenset(),
                "live calls",
            ),
            ("calls wait", three, {"waiting": 9}, frozenset(), "live calls"),
            (
                "enough remain",
                {"w": row(live=2), "x": row(live=2), "y": row(live=2)},
                {},
                frozenset(),
                "",
            ),
            (
                "window not complete",
                three,
                {"window_ms": 5000},
                frozenset(),
                "the live load has not",
            ),
            ("jobs at risk", three, {"at_risk": True}, frozenset(), "a lot"),
        ]
        for name, rows, options, withheld, expected in table:
            reason = self.load(rows, **options).refusal_reason("w", self.PROFILES, withheld, 1200)
            self.assertThat(
                (bool(reason), reason[: len(expected)]),
                Equals((bool(expected), expected)),
                f"{name}: {reason}",
            )

    def test_recall_reasons(self):
        def rows(live, *names):
            return {name: ["a", ["gpu"], 4, live, live, True, 0] for name in names}

        for name, reported, options, expected in [
            ("low load", rows(1, "x", "y"), {}, ""),
            ("high load", rows(4, "x", "y"), {}, "live calls"),
            ("jobs at risk", rows(0, "x", "y"), {"at_risk": True}, "a lot"),
        ]:
            load = self.load(rows(0, "w"), **options)
            load.record_report(
                "e1",
                EdgeLoad(
                    edge="e1",
                    loans_version=1,
                    workers=json.dumps(reported),
                    waiting=0,
                    jobs_at_risk=bool(options),
                ),
                1250,
            )
            load.measure(1250)
            reason = load.recall_reason("w", self.PROFILES, frozenset({"w"}))
            self.assertThat(
                (bool(reason), reason[: len(expected)]),
                Equals((bool(expected), expected)),
                f"{name}: {reason}",
            )

    def test_the_entitlements_of_all_edges_add_up_to_the_lendable_slots(self):
        for count in (1, 2, 3, 8):
            edges = [f"e{index}" for index in range(count)]
            for lendable in (0, 1, 5, 24):
                shares = [Entitlements().slots(edge, edges, "w", lendable) for edge in edges]
                self.assertThat(sum(shares), Equals(lendable), f"{count} {lendable}")


class JobDeadlineForecasts(TestCase):
    def job(self, **fields):
        return SimpleNamespace(
            **{
                "job_id": "l",
                "path": "p",
                "rollout": False,
                "unfinished": 10,
                "waiting": 10,
                "claims": {},
                "at_ms": 0,
                "due_ms": 10_000,
                **fields,
            }
        )

    def test_jobs_at_risk(self):
        rows = [
            ("no job", [], 0, False),
            ("in time", [self.job()], 0, False),
            ("too little time left", [self.job()], 8500, True),
            ("nothing waits", [self.job(waiting=0)], 9900, False),
            ("past its deadline", [self.job()], 10_001, True),
            ("a rollout", [self.job(rollout=True)], 9999, False),
            ("behind another", [self.job(unfinished=90, due_ms=9000), self.job()], 500, True),
            (
                "enough run at once",
                [self.job(unfinished=90, claims=dict.fromkeys(range(20)))],
                8000,
                False,
            ),
        ]
        for name, jobs, log_ms, expected in rows:
            forecast = JobDeadlineForecast(1000)
            forecast.record_heartbeat(SimpleNamespace(edge="e", capacity=2), 0)
            forecast.record_item_duration("p", 200)
            state = SimpleNamespace(open_jobs=dict(enumerate(jobs)))
            logged = []
            self.assertThat(
                forecast.at_risk(
                    state,
                    log_ms,
                    lambda event, *level, logged=logged, **fields: logged.append(event),
                ),
                Equals(expected),
                name,
            )
            self.assertThat(logged, Equals(["loans-recalled"] if expected else []), name)


class RolloutSamples(TestCase):
    def test_only_a_response_with_the_required_weights_counts(self):
        event = b'id: 0\ndata: {"id": "t", "choices": [{"index": 0, "text": "w"}]}\n\n'
        rows = [
            ("v1", ["v1"], "complete", "v1"),
            ("v1", ["v2"], "failed", "v2"),
            ("v1", [], "failed", ""),
            ("", ["v2"], "complete", "v2"),
            ("", [], "complete", ""),
            ("v1", ["v1", "v2"], "failed", ""),
        ]
        for required, named, outcome, reported in rows:
            call = SampleCall({"prompt": "a"}, required)
            exchange = SampleExchange("w/1", "t", 1000, call)
            exchange.head(
                200,
                [
                    ("X-Vaneledge-Worker", "w/1"),
                    ("X-Vaneledge-Transaction", "t"),
                    *(("x-vaneledge-weights", name) for name in named),
                ],
                None,
            )
            _, early = exchange.data(event + b"data: [DONE]\n\n")
            self.assertThat(
                ((early or exchange.end()).kind, call.reported_weights),
                Equals((outcome, reported)),
                f"{required} {named}",
            )

    def test_a_rollout_survives_a_dump_and_is_not_counted_as_a_job(self):
        state = BatchState()
        rows = [
            entries.RolloutAdmitted(
                job_id="rollout:r",
                digest="d",
                path="p",
                items=["a", "b"],
                samples=3,
                weights="v1",
                expires_ms=9,
                at_ms=1,
            ),
            entries.ItemClaimed(job_id="rollout:r", index=4, edge="e1", claim_number=1),
            entries.ItemReturned(job_id="rollout:r", index=4, claim_number=1),
            entries.ItemClaimed(job_id="rollout:r", index=0, edge="e1", claim_number=2),
            entries.ItemFinished(job_id="rollout:r", index=0, outcome="ran", body="x", worker="w"),
        ]
        for row in rows:
            state.apply(row)
        job = state.jobs["rollout:r"]
        self.assertThat(
            (job.total, [item.body for item in job.items], job.items[4].claim_number, job.waiting),
            Equals((6, ["a", "a", "a", "b", "b", "b"], 1, 5)),
        )
        self.assertThat((state.backlog("p"), state.rollout_backlog("p")), Equals((0, 1)))
        copy = state.copy()
        self.assertThat(
            [repr(row) for row in copy.dump()], Equals([repr(row) for row in state.dump()])
        )
        self.assertThat(
            (copy.jobs["rollout:r"].rollout, copy.jobs["rollout:r"].weights), Equals((True, "v1"))
        )
