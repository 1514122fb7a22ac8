"""Loans of spare capacity: the states of a worker that is lent, what live calls and lots keep back from loans, and samples
that give way, each by a table of its own.
"""

import json
from types import SimpleNamespace

from batch_state import entries as e
from batch_state.state import BatchState
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
from capacity_sharing.outlook import JobOutlook
from capacity_sharing.sampling import SampleCall, SampleExchange
from control_store import ProfileTree
from testtools import TestCase
from testtools.matchers import Equals


def loan_number(table):
    return table.loans["w"].number if "w" in table.loans else 0


def grant(table):
    return granted(table, "w", "trainer", "v2", 1000, 100)


class States(TestCase):
    """From each state, what each change gives; a refusal changes nothing."""

    STEPS = {
        "grant": grant,
        "drained": lambda table: drained(table, "w", table.epoch),
        "drained-late": lambda table: drained(table, "w", table.epoch - 1),
        "withdrawn": lambda table: withdrawn(table, "w", table.epoch, "x"),
        "recalled": lambda table: recalled(table, "w", "x"),
        "recalled-late": lambda table: recalled(table, "w", "x", table.epoch - 1),
        "returned": lambda table: returned(table, "w", loan_number(table), "v2"),
        "returned-old": lambda table: returned(table, "w", loan_number(table) - 1, "v2"),
        "returned-other": lambda table: returned(table, "w", loan_number(table), "v1"),
    }
    ROWS = [
        ("serving", [], {"grant": "lending"}),
        ("lending", ["grant"], {"drained": "lent", "withdrawn": "serving", "recalled": "serving"}),
        ("lent", ["grant", "drained"], {"recalled": "recalled", "returned": "serving"}),
        ("recalled", ["grant", "drained", "recalled"], {"returned": "serving"}),
        ("serving again", ["grant", "drained", "recalled", "returned"], {"grant": "lending"}),
    ]

    def test_rows(self):
        for name, way, allowed in self.ROWS:
            table = LoanTable.from_body("")
            for step in way:
                table = self.STEPS[step](table).ok
            for step, change in self.STEPS.items():
                made = change(table)
                state = made.ok.loans["w"].state if made.is_ok() else None
                self.assertThat(state, Equals(allowed.get(step)), f"{name}: {step}")
                if made.is_ok():
                    self.assertThat(made.ok.epoch, Equals(table.epoch + 1))
                    self.assertThat(
                        LoanTable.from_body(made.ok.body()).loans, Equals(made.ok.loans)
                    )
                    self.assertThat(
                        made.ok.withheld(), Equals(frozenset() if state == "serving" else {"w"})
                    )


class Kept(TestCase):
    """What is kept back from loans of whole workers."""

    TREE = ProfileTree(
        {"rulings": {"workers": {"labels": ["gpu"]}}, "other": {"workers": {"labels": ["cpu"]}}}
    )

    def load(self, rows, window_ms=1000, at_risk=False, waiting=0):
        load = LiveLoad(500, lambda: window_ms)
        for now_ms in range(0, 1300, 100):
            load.take(
                "e1",
                EdgeLoad(
                    edge="e1",
                    number=1,
                    workers=json.dumps(rows),
                    waiting=waiting,
                    jobs_at_risk=at_risk,
                ),
                now_ms,
            )
            load.note(now_ms)
        return load

    def test_why_not(self):
        def row(zone="a", label="gpu", live=0, usable=True):
            return [zone, [label], 4, live, live, usable, 0]

        three = {"w": row(), "x": row(), "y": row()}
        table = [
            ("idle", three, {}, frozenset(), ""),
            ("unknown", {"x": row()}, {}, frozenset(), "no edge"),
            ("unusable", {**three, "w": row(usable=False)}, {}, frozenset(), "no edge"),
            ("last in its zone", {"w": row(), "x": row("b")}, {}, frozenset(), "it is the last"),
            (
                "last of its kind",
                {"w": row(), "x": row(label="cpu")},
                {},
                frozenset(),
                "it is the last",
            ),
            (
                "the other one is out",
                {"w": row(), "x": row()},
                {},
                frozenset({"x"}),
                "it is the last",
            ),
            (
                "needed",
                {"w": row(live=3), "x": row(live=2), "y": row(live=2)},
                {},
                frozenset(),
                "live calls",
            ),
            ("waited for", three, {"waiting": 9}, frozenset(), "live calls"),
            (
                "enough stay",
                {"w": row(live=2), "x": row(live=2), "y": row(live=2)},
                {},
                frozenset(),
                "",
            ),
            ("not watched", three, {"window_ms": 5000}, frozenset(), "the live load has not"),
            ("lots at risk", three, {"at_risk": True}, frozenset(), "a lot"),
        ]
        for name, rows, more, out, wanted in table:
            why = self.load(rows, **more).why_not("w", self.TREE, out, 1200)
            self.assertThat(
                (bool(why), why[: len(wanted)]), Equals((bool(wanted), wanted)), f"{name}: {why}"
            )

    def test_why_recall(self):
        def rows(live, *names):
            return {name: ["a", ["gpu"], 4, live, live, True, 0] for name in names}

        for name, seen, more, wanted in [
            ("quiet", rows(1, "x", "y"), {}, ""),
            ("busy", rows(4, "x", "y"), {}, "live calls"),
            ("lots", rows(0, "x", "y"), {"at_risk": True}, "a lot"),
        ]:
            load = self.load(rows(0, "w"), **more)
            load.take(
                "e1",
                EdgeLoad(
                    edge="e1",
                    number=1,
                    workers=json.dumps(seen),
                    waiting=0,
                    jobs_at_risk=bool(more),
                ),
                1250,
            )
            load.note(1250)
            why = load.why_recall("w", self.TREE, frozenset({"w"}))
            self.assertThat(
                (bool(why), why[: len(wanted)]), Equals((bool(wanted), wanted)), f"{name}: {why}"
            )

    def test_edges_together_fill_no_more_than_is_lent(self):
        for count in (1, 2, 3, 8):
            edges = [f"e{place}" for place in range(count)]
            for lendable in (0, 1, 5, 24):
                shares = [Entitlements().slots(edge, edges, "w", lendable) for edge in edges]
                self.assertThat(sum(shares), Equals(lendable), f"{count} {lendable}")


class Outlook(TestCase):
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

    def test_rows(self):
        rows = [
            ("no lot", [], 0, False),
            ("in time", [self.job()], 0, False),
            ("too near", [self.job()], 8500, True),
            ("nothing waits", [self.job(waiting=0)], 9900, False),
            ("late already", [self.job()], 10_001, True),
            ("a rollout", [self.job(rollout=True)], 9999, False),
            ("behind another", [self.job(unfinished=90, due_ms=9000), self.job()], 500, True),
            (
                "enough run at once",
                [self.job(unfinished=90, claims=dict.fromkeys(range(20)))],
                8000,
                False,
            ),
        ]
        for name, jobs, log_ms, wanted in rows:
            outlook = JobOutlook(1000)
            outlook.heard(SimpleNamespace(edge="e", capacity=2), 0)
            outlook.took("p", 200)
            state = SimpleNamespace(open_jobs=dict(enumerate(jobs)))
            logged = []
            self.assertThat(
                outlook.at_risk(
                    state, log_ms, lambda *told, logged=logged, **fields: logged.append(told[0])
                ),
                Equals(wanted),
                name,
            )
            self.assertThat(logged, Equals(["loans-recalled"] if wanted else []), name)


class Samples(TestCase):
    def test_only_an_answer_of_the_weights_wanted_counts(self):
        event = b'id: 0\ndata: {"id": "t", "choices": [{"index": 0, "text": "w"}]}\n\n'
        rows = [
            ("v1", ["v1"], "complete", "v1"),
            ("v1", ["v2"], "failed", "v2"),
            ("v1", [], "failed", ""),
            ("", ["v2"], "complete", "v2"),
            ("", [], "complete", ""),
            ("v1", ["v1", "v2"], "failed", ""),
        ]
        for wanted, told, fate, seen in rows:
            call = SampleCall({"prompt": "a"}, wanted)
            exchange = SampleExchange("w/1", "t", 1000, call)
            exchange.head(
                200,
                [
                    ("X-Vaneledge-Worker", "w/1"),
                    ("X-Vaneledge-Transaction", "t"),
                    *(("x-vaneledge-weights", name) for name in told),
                ],
                None,
            )
            _, early = exchange.data(event + b"data: [DONE]\n\n")
            self.assertThat(
                ((early or exchange.end()).kind, call.told),
                Equals((fate, seen)),
                f"{wanted} {told}",
            )

    def test_a_rollout_is_folded_dumped_and_counts_for_no_lot(self):
        state = BatchState()
        rows = [
            e.RolloutAdmitted(
                job_id="rollout:r",
                digest="d",
                path="p",
                items=["a", "b"],
                samples=3,
                weights="v1",
                expires_ms=9,
                at_ms=1,
            ),
            e.ItemClaimed(job_id="rollout:r", index=4, edge="e1", claim_number=1),
            e.ItemReturned(job_id="rollout:r", index=4, claim_number=1),
            e.ItemClaimed(job_id="rollout:r", index=0, edge="e1", claim_number=2),
            e.ItemFinished(job_id="rollout:r", index=0, outcome="ran", body="x", worker="w"),
        ]
        for row in rows:
            state.apply(row)
        job = state.jobs["rollout:r"]
        self.assertThat(
            (job.total, [item.body for item in job.items], job.items[4].claim_number, job.waiting),
            Equals((6, ["a", "a", "a", "b", "b", "b"], 1, 5)),
        )
        self.assertThat((state.backlog("p"), state.rollout_backlog("p")), Equals((0, 1)))
        twin = state.copy()
        self.assertThat(
            [repr(row) for row in twin.dump()], Equals([repr(row) for row in state.dump()])
        )
        self.assertThat(
            (twin.jobs["rollout:r"].rollout, twin.jobs["rollout:r"].weights), Equals((True, "v1"))
        )
