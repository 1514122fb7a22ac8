"""Live calls that find no free worker slot at an edge.

The edge queues calls that can still meet their deadline, and refuses the others at once.
"""

from simulator import judge
from simulator.runs import Run
from testtools import TestCase
from testtools.matchers import Equals


class Admission(TestCase):
    def started_fleet(self, seed=4, **sizes):
        run = Run(seed, **sizes)
        run.start()
        run.fleet.run_until_true(lambda: False, 900)
        return run, run.fleet

    def send_burst(self, run, count, span_ms=20.0, path="rulings"):
        rows = []
        for index in range(count):
            run.fleet.time.after(
                span_ms * index / count, lambda: run.clients.make_live_call(path, done=rows.append)
            )
        run.fleet.run_until_true(lambda: len(rows) == count, 7000)
        self.assertThat(len(rows), Equals(count))
        return rows

    def test_a_burst_that_can_meet_its_deadlines_is_answered(self):
        run, _ = self.started_fleet()
        self.send_burst(run, 12, 600.0)
        rows = self.send_burst(run, 60)
        self.assertThat([row["code"] for row in rows if row["outcome"] != "finish"], Equals([]))
        self.assertThat(max(row["answered_ms"] - row["at_ms"] for row in rows) < 2000, Equals(True))

    def test_calls_that_cannot_meet_their_deadline_are_refused_at_once_with_a_retry_time(self):
        run, _ = self.started_fleet()
        self.send_burst(run, 12, 600.0)
        rows = self.send_burst(run, 900)
        refused = [row for row in rows if row["outcome"] != "finish"]
        self.assertThat(len(refused) > 100 and len(rows) - len(refused) > 100, Equals(True))
        self.assertThat(
            {(row["verdict"], row["code"], row["back_ms"] > 0) for row in refused},
            Equals({("not_run", "busy", True)}),
        )
        waited = sorted(row["answered_ms"] - row["at_ms"] for row in refused)
        self.assertThat((waited[len(waited) // 2] < 10, waited[-1] <= 1000), Equals((True, True)))
        self.assertThat(max(row["answered_ms"] - row["at_ms"] for row in rows) < 2000, Equals(True))

    def test_calls_wait_out_a_moment_without_any_worker(self):
        run, fleet = self.started_fleet()
        self.send_burst(run, 3)
        for worker in list(fleet.workers.values()):
            worker.leave()
        for name in ("late1", "late2"):
            fleet.time.after(350, lambda name=name: fleet.add_worker(name, ["gpu"]))
        fleet.time.run_until(fleet.time.now_ms + 10)
        rows = self.send_burst(run, 6)
        self.assertThat([row["outcome"] for row in rows], Equals(["finish"] * 6))

    def test_calls_wait_also_at_an_edge_that_has_served_none_yet(self):
        for seed in (6, 11, 15):
            run, fleet = self.started_fleet(seed)
            for worker in list(fleet.workers.values()):
                worker.leave()
            fleet.time.after(350, lambda fleet=fleet: fleet.add_worker("late", ["gpu"]))
            fleet.time.run_until(fleet.time.now_ms + 10)
            rows = self.send_burst(run, 6)
            self.assertThat([row["outcome"] for row in rows], Equals(["finish"] * 6), seed)

    def test_calls_are_refused_at_once_after_a_long_time_without_workers(self):
        run, fleet = self.started_fleet()
        for worker in list(fleet.workers.values()):
            worker.leave()
        fleet.time.run_until(fleet.time.now_ms + 3000)
        row = self.send_burst(run, 1)[0]
        self.assertThat(
            (row["code"], row["answered_ms"] - row["at_ms"] < 20), Equals(("no-worker", True))
        )

    def test_a_worker_crash_with_many_calls_in_flight_fails_none_of_them(self):
        run, fleet = self.started_fleet()
        for worker in fleet.workers.values():
            worker.slots, worker.event_ms = 20, 60.0
        fleet.run_until_true(lambda: False, 900)
        worker = next(iter(fleet.workers.values()))
        fleet.time.after(40, worker.crash)
        rows = self.send_burst(run, 45)
        self.assertThat(len(fleet.history.rows_of("send")) > 55, Equals(True))
        self.assertThat([row["code"] for row in rows if row["outcome"] == "error"], Equals([]))
        self.assertThat(judge(fleet.history), Equals({}))

    def test_a_client_disconnect_frees_the_slot_and_counts_as_no_failure(self):
        run, fleet = self.started_fleet()
        for _ in range(12):
            run.clients.make_live_call("rulings", disconnect_after_ms=30.0)
        fleet.time.run_until(fleet.time.now_ms + 120)
        nodes = [host.node for host in fleet.with_role("edge")]
        self.assertThat(sum(node.router.counts.get("steps_gone", 0) for node in nodes), Equals(12))
        self.assertThat(sum(node.router.counts.get("sends_failed", 0) for node in nodes), Equals(0))
        self.assertThat(
            {
                (worker.in_flight, node.registry.is_usable(worker))
                for node in nodes
                for worker in node.registry.all()
            },
            Equals({(0, True)}),
        )
