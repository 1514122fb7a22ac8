"""Evenings and nights with rollouts against the same ones without, judged by the rules of loans; each rule is seen to catch
a deliberate break. Then what samples and lent workers do in single moments.
"""

import json
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from unittest import mock

from capacity_sharing import LentWorkers, LoanManager, SampleRunner
from capacity_sharing.slots import LendableSlots
from data_plane.rollout_service import RolloutBody
from simulator import judge
from simulator.clients import Clients
from simulator.evening import Evening, play_evening
from simulator.rules_rollouts import LOAN_RULES, judge_loans
from testtools import TestCase
from testtools.matchers import Equals

BREAKS = {
    "nothing is kept back or taken back": [
        (LendableSlots, "entitlement", lambda self, worker, share: 99),
        (LendableSlots, "usable", lambda self, worker: worker.slots),
        (LendableSlots, "_reading", lambda self: set()),
        (SampleRunner, "reclaim_slot", lambda self, worker, call: None),
        (SampleRunner, "_review", lambda self, worker: None),
    ],
    "a sample given up is not told": [
        (SampleRunner, "_preempt", lambda self, sample, reason: self._stop(sample))
    ],
    "a lent worker is used": [
        (LoanManager, "_is_drained", lambda self, worker: True),
        (LentWorkers, "_published", lambda self, key, number, body: None),
    ],
}
CAUGHT = {
    "nothing is kept back or taken back": "live-is-not-late",
    "a sample given up is not told": "samples-listed-once",
    "a lent worker is used": "lent-workers-are-alone",
}
JOBS = [(seed, faulty, "with", 0) for seed, faulty in ((1, False), (2, True))]
JOBS += [
    (seed, faulty, "without", chance)
    for seed, faulty in ((1, False), (2, True))
    for chance in range(3)
]
JOBS += [(1, False, name, 0) for name in BREAKS]


def played(job):
    seed, faulty, name, chance = job
    with ExitStack() as stack:
        for owner, attribute, other in BREAKS.get(name, ()):
            stack.enter_context(mock.patch.object(owner, attribute, other))
        return job, play_evening(seed, name != "without", faulty, chance=chance).fleet.history


class Evenings(TestCase):
    def test_nothing_is_late_lost_or_doubled_beside_rollouts_and_breaks_are_caught(self):
        with ProcessPoolExecutor(4) as pool:
            histories = dict(pool.map(played, JOBS))
        for seed, faulty in ((1, False), (2, True)):
            having = histories[seed, faulty, "with", 0]
            without = [histories[seed, faulty, "without", chance] for chance in range(3)]
            self.assertThat(judge_loans(having, without), Equals({}), f"seed {seed}")
            self.assertThat(judge(having), Equals({}), f"seed {seed}")
        without = [histories[1, False, "without", chance] for chance in range(3)]
        for name, rule in CAUGHT.items():
            self.assertThat(
                rule in judge_loans(histories[1, False, name, 0], without), Equals(True), name
            )
        self.assertThat(set(CAUGHT.values()) <= set(LOAN_RULES), Equals(True))


class Moments(TestCase):
    def founded(self, seed=3):
        evening = Evening(seed, True)
        evening.start()
        evening.fleet.run_until_true(lambda: False, 1500)
        return evening, evening.fleet

    def wait(self, fleet, check, limit_ms=8000):
        self.assertThat(bool(fleet.run_until_true(check, limit_ms)), Equals(True))

    def samples(self, fleet):
        return sum(host.node.sample_runner.running() for host in fleet.running("edge"))

    def ordered(self, fleet, give):
        heard = []
        give(fleet.running("control")[0].node.loans, heard.append)
        self.wait(fleet, lambda: heard)
        return heard[0]

    def state(self, fleet, worker="worker1"):
        return fleet.running("control")[0].node.loans.rows().get(worker, {}).get("state", "serving")

    def test_a_live_call_takes_its_slot_back_at_once(self):
        """Nearly as many calls as slots, all through the edge with the most samples; others have some at the same workers."""
        for seed in (3, 5):
            evening, fleet = self.founded(seed)
            for worker in fleet.workers.values():
                worker.event_ms = 300.0
            evening.trainers.submit(30, 2)
            self.wait(fleet, lambda fleet=fleet: self.samples(fleet) >= 12)
            edge = max(fleet.with_role("edge"), key=lambda host: host.node.sample_runner.running())
            with mock.patch.object(Clients, "choose_edge", lambda self, avoid="", edge=edge: edge):
                for _ in range(23):
                    evening.live_clients.live("rulings")
            fleet.run_until_true(
                lambda fleet=fleet: all(
                    "first_ms" in call for call in fleet.history.rows_of("call")
                ),
                3000,
            )
            took = sorted(
                call.get("first_ms", 1e9) - call["at_ms"] for call in fleet.history.rows_of("call")
            )
            self.assertThat(
                (len(took), took[-1] < 125), Equals((23, True)), f"seed {seed}: {took[-3:]}"
            )

    def test_a_lot_that_may_come_late_has_all_samples_given_up(self):
        evening, fleet = self.founded()
        evening.trainers.submit(40, 4)
        self.wait(fleet, lambda: self.samples(fleet) >= 8)
        for worker in fleet.workers.values():
            worker.event_ms = 250.0
        evening.run.clients.submit("summaries", 300)
        self.wait(
            fleet, lambda: any(event == "loans-recalled" for _, _, event, _ in fleet.events), 2000
        )
        self.wait(fleet, lambda: self.samples(fleet) == 0, 600)
        fleet.time.run_until(fleet.time.now_ms + 1500)
        self.assertThat(self.samples(fleet), Equals(0))

    def test_what_is_handed_in_is_taken_once_within_its_room_and_ended(self):
        evening, fleet = self.founded()

        def ask(what):
            heard = []
            what(
                fleet.running("edge")[len(fleet.history.rows) % 3].node.rollout_service,
                heard.append,
            )
            self.wait(fleet, lambda: heard)
            return heard[0]

        def submit(name, path="rollouts", samples=2, **more):
            call = RolloutBody(
                path=path,
                samples=samples,
                prompts=[{"prompt": f"lot {name} item 0 call x"}],
                **more,
            )
            return ask(lambda service, told: service.submit(name, call, told))

        for worker in fleet.workers.values():
            worker.event_ms = 2000.0
        rows = [
            ("r1", {}, 201, ""),
            ("r1", {}, 200, ""),
            ("r1", {"samples": 3}, 409, "lot-reused"),
            ("r2", {"path": "rulings"}, 409, "lends-nothing"),
            ("r2", {"path": "nowhere"}, 404, "unknown-path"),
            ("r2", {}, 201, ""),
            ("r3", {"due_ms": 800}, 201, ""),
            ("r4", {}, 201, ""),
            ("r5", {}, 429, "waiting-room-full"),
        ]
        for name, more, status, code in rows:
            answer = submit(name, **more)
            self.assertThat((answer.status, answer.code), Equals((status, code)), f"{name} {more}")
        self.assertThat(
            json.loads(ask(lambda service, told: service.progress("r1", told)).body)["rollout_id"],
            Equals("r1"),
        )
        self.assertThat(ask(lambda service, told: service.cancel("r1", told)).status, Equals(200))
        self.assertThat(
            ask(lambda service, told: service.progress("nobody", told)).refusal.field,
            Equals("rollout_id"),
        )
        fleet.time.run_until(fleet.time.now_ms + 3000)
        shown = [
            json.loads(ask(lambda service, told, name=name: service.progress(name, told)).body)[
                "state"
            ]
            for name in ("r1", "r2", "r3")
        ]
        self.assertThat(shown, Equals(["ended", "open", "ended"]))

    def test_a_worker_is_lent_only_once_its_calls_are_done_and_serves_by_its_own_word(self):
        evening, fleet = self.founded()
        fleet.run_until_true(lambda: False, 3500)
        worker = next(worker for worker in fleet.workers.values() if worker.identity == "worker1")
        for one in fleet.workers.values():
            one.event_ms = 250.0
        for _ in range(14):
            evening.live_clients.live("narrations")
        self.wait(fleet, lambda: worker.busy > 0, 500)
        began = {
            run["transaction"]
            for run in fleet.history.rows_of("run")
            if run["identity"] == "worker1"
        }
        asked = self.ordered(
            fleet, lambda loans, done: loans.grant("worker1", "t", "w2", 60_000, 500, done)
        )
        self.assertThat((asked.status, asked.loan.state), Equals(("ok", "lending")), asked.reason)
        seen = []
        self.wait(
            fleet,
            lambda: seen.append((self.state(fleet), worker.busy)) or self.state(fleet) == "lent",
            5000,
        )
        self.assertThat(
            ([busy for state, busy in seen if state == "lent"], max(busy for _, busy in seen) > 0),
            Equals(([0], True)),
        )
        worker.borrower = "t"
        for _ in range(30):
            evening.live_clients.live("rulings")
        loan = fleet.running("control")[0].node.loans.rows()["worker1"]["loan"]
        for give, outcome in (
            (lambda loans, done: loans.take_back("worker1", loan, "w1", done), "refused"),
            (lambda loans, done: loans.take_back("worker1", loan - 1, "w2", done), "refused"),
            (lambda loans, done: loans.recall("worker1", "wanted", done), "ok"),
            (lambda loans, done: loans.recall("worker1", "wanted", done), "refused"),
        ):
            self.assertThat(self.ordered(fleet, give).status, Equals(outcome))
        fleet.run_until_true(lambda: False, 2500)
        self.assertThat(self.state(fleet), Equals("recalled"))
        self.assertThat(
            {
                run["transaction"]
                for run in fleet.history.rows_of("run")
                if run["identity"] == "worker1"
            },
            Equals(began),
        )
        self.assertThat(
            any(event == "loan-overdue" for _, _, event, _ in fleet.events), Equals(True)
        )
        self.assertThat(
            self.ordered(
                fleet, lambda loans, done: loans.take_back("worker1", loan, "w2", done)
            ).loan.state,
            Equals("serving"),
        )
        self.wait(
            fleet,
            lambda: not any(host.node.registry.lent for host in fleet.with_role("edge")),
            1000,
        )

    def test_a_lent_worker_is_recalled_when_live_calls_need_it(self):
        evening, fleet = self.founded()
        fleet.run_until_true(lambda: False, 3500)
        self.ordered(fleet, lambda loans, done: loans.grant("worker1", "t", "", 60_000, 500, done))
        self.wait(fleet, lambda: self.state(fleet) == "lent", 3000)
        for worker in fleet.workers.values():
            worker.event_ms = 200.0
        for _ in range(16):
            evening.live_clients.live("narrations")
        self.wait(fleet, lambda: self.state(fleet) == "recalled", 800)
        told = [
            fields["reason"]
            for _, _, event, fields in fleet.events
            if event == "loan-changed" and fields["state"] == "recalled"
        ]
        self.assertThat([reason.startswith("live calls of") for reason in told], Equals([True]))

    def test_an_edge_that_may_not_know_holds_a_loan_up_and_a_cut_off_one_keeps_to_it(self):
        evening, fleet = self.founded()
        fleet.run_until_true(lambda: False, 3500)
        edge = fleet.with_role("edge")[0]
        fleet.network.isolate(edge.address)
        asked = self.ordered(
            fleet, lambda loans, done: loans.grant("worker1", "t", "", 2000, 500, done)
        )
        self.assertThat(asked.status, Equals("ok"), asked.reason)
        fleet.run_until_true(lambda: False, 1200)
        self.assertThat(
            (self.state(fleet), edge.node.registry.lent), Equals(("lending", frozenset()))
        )
        fleet.network.heal()
        self.wait(fleet, lambda: self.state(fleet) == "lent", 3000)
        fleet.network.isolate(edge.address)
        self.wait(fleet, lambda: self.state(fleet) == "recalled", 4000)
        loan = fleet.running("control")[0].node.loans.rows()["worker1"]["loan"]
        self.ordered(fleet, lambda loans, done: loans.take_back("worker1", loan, "", done))
        self.wait(
            fleet,
            lambda: all(not host.node.registry.lent for host in fleet.with_role("edge")[1:]),
            1000,
        )
        self.assertThat(edge.node.registry.lent, Equals(frozenset({"worker1"})))
        fleet.network.heal()
        self.wait(fleet, lambda: not edge.node.registry.lent, 2000)
