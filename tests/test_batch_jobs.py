"""Guarantees of batch jobs on a simulated fleet, each under the fault that could break it."""

from batch_state import messages
from simulator import judge
from simulator.runs import Run
from testtools import TestCase
from testtools.matchers import Equals


class BatchJobs(TestCase):
    def started_fleet(self, seed=9):
        run = Run(seed)
        run.start()
        run.fleet.run_until_true(lambda: False, 800)
        return run, run.fleet

    def wait_until(self, fleet, check, limit_ms=8000):
        self.assertThat(bool(fleet.run_until_true(check, limit_ms)), Equals(True))

    def request(self, fleet, message):
        seen = []
        edge = next(host for host in fleet.with_role("edge") if host.up)
        edge.node.request(fleet.leader().address, message, 400, seen.append)
        self.wait_until(fleet, lambda: seen)
        return seen[0]

    def submit(self, fleet, job_id, age_ms=0, path="summaries", epoch=None):
        node = fleet.leader().node
        return self.request(
            fleet,
            messages.SubmitJob(
                job_id=job_id,
                digest=job_id,
                path=path,
                items=['{"prompt": "lot a"}'],
                safe=True,
                due_ms=0,
                leader_ms=node.env.now() - age_ms,
                epoch=epoch or node.log.leader.epoch,
            ),
        ).outcome

    def test_late_submissions_are_not_admitted(self):
        run, fleet = self.started_fleet()
        settings = fleet.leader().settings
        for worker in fleet.workers.values():
            worker.crashed = True
        rows = [
            ("old", settings.max_submission_age_ms + 50, None, "stale"),
            ("other", 0, 99, "stale"),
            ("one", 0, None, "admitted"),
            ("two", 0, None, "admitted"),
            ("three", 0, None, "admitted"),
            ("four", 100, None, "no_room"),
            ("four", 200, None, "stale"),
            ("three", 0, None, "known"),
        ]
        for job_id, age_ms, epoch, expected in rows:
            self.assertThat(
                self.submit(fleet, job_id, age_ms, epoch=epoch),
                Equals(expected),
                f"{job_id} {age_ms}",
            )
        self.request(fleet, messages.CancelJob(job_id="one"))
        self.assertThat(self.submit(fleet, "four", 400), Equals("stale"))
        self.assertThat(self.submit(fleet, "four"), Equals("admitted"))

    def test_an_unsafe_report_is_acknowledged_only_once_committed(self):
        for seed in range(3):
            self.lose_power_after_a_report(seed)

    def lose_power_after_a_report(self, seed):
        run, fleet = self.started_fleet(seed)
        history = fleet.history
        run.clients.submit("claims", 6)
        self.wait_until(fleet, lambda: history.rows_of("run"))
        for host in fleet.with_role("store"):
            host.disk.flush_ms = 400.0
        self.wait_until(fleet, lambda: history.rows_of("run-ended"))
        fleet.time.run_until(fleet.time.now_ms + 30)
        for host in fleet.with_role("store"):
            host.lose_power()
            host.disk.flush_ms = 3.0
            fleet.time.after(800, host.start)
        fleet.run_until_true(lambda: False, 9000)
        run.read_all()
        self.assertThat(judge(history), Equals({}))
        self.assertThat(history.rows_of("final")[0]["listed"], Equals(6))

    def test_a_partitioned_edge_stops_a_cancelled_job_in_time(self):
        run, fleet = self.started_fleet()
        for worker in fleet.workers.values():
            worker.event_ms = 1500.0
        run.clients.submit("summaries", 12)
        self.wait_until(
            fleet, lambda: any(host.node.job_runner.running() for host in fleet.with_role("edge"))
        )
        edges = sorted(fleet.with_role("edge"), key=lambda host: -host.node.job_runner.running())
        workers = [worker.address for worker in fleet.workers.values()]
        others = [host.address for host in fleet.hosts.values() if host is not edges[0]]
        fleet.network.split([[edges[0].address], others])
        seen = []
        edges[1].node.leader_client.request(messages.CancelJob(job_id="lot1"), 2000, seen.append)
        self.wait_until(fleet, lambda: seen)
        self.assertThat(seen[0].outcome, Equals("known"))
        self.assertThat(edges[0].node.job_runner.running() > 0 and len(workers) == 3, Equals(True))
        self.wait_until(
            fleet,
            lambda: not any(host.node.job_runner.running() for host in edges),
            edges[0].settings.end_ms,
        )

    def test_the_backlog_limit_is_exact_for_simultaneous_submissions_through_every_edge(self):
        run, fleet = self.started_fleet()
        for worker in fleet.workers.values():
            worker.crashed = True
        rows = []
        for _ in range(20):
            run.clients.submit("summaries", 2, done=rows.append)
        self.wait_until(fleet, lambda: len(rows) == 20)
        outcomes = sorted(row["outcome"] for row in rows)
        self.assertThat(outcomes, Equals(["admitted"] * 3 + ["waiting-room-full"] * 17))

    def test_all_finished_results_are_listed_after_the_edge_with_the_listing_lease_was_lost(self):
        run, fleet = self.started_fleet()
        run.clients.submit("summaries", 1)
        state = fleet.leader().node.log.leader.state
        self.wait_until(fleet, lambda: state.jobs)
        job = next(iter(state.jobs.values()))
        while job.unfinished:
            fleet.time.run_until(fleet.time.now_ms + 0.2)
        self.assertThat(job.listed, Equals(0))
        next(
            host
            for host in fleet.with_role("edge")
            if host.node.job_runner.edge == job.items[0].edge
        ).kill()
        self.wait_until(fleet, lambda: job.listed == 1)

    def test_the_listing_lease_of_a_lost_edge_is_granted_again_under_a_higher_epoch(self):
        run, fleet = self.started_fleet()
        run.clients.submit("summaries", 9)
        leader = fleet.leader().node.log.leader
        self.wait_until(
            fleet,
            lambda: leader.state.jobs and next(iter(leader.state.jobs.values())).listing_epoch,
        )
        job = next(iter(leader.state.jobs.values()))
        before = job.listing_epoch
        next(
            host
            for host in fleet.with_role("edge")
            if host.node.job_runner.edge == job.listing_edge
        ).kill()
        self.wait_until(fleet, lambda: job.listed == 9, 12000)
        self.assertThat(job.listing_epoch > before, Equals(True))
        stale = self.request(
            fleet, messages.AdvanceListing(job_id="lot1", edge="other", epoch=before, up_to=9)
        )
        self.assertThat(stale.ok, Equals(False))
