"""Faults of stores in simulated fleets: stores are replaced, damaged, retired, frozen, without disk space or lost, up to
two at once. At the end all acknowledged jobs have to be complete, and the oracle judges the history.
"""

from control_store import Change
from simulator import judge
from simulator.runs import Run
from testtools import TestCase
from testtools.matchers import Equals


class StoreFaults(TestCase):
    def bootstrapped(self, seed=5):
        run = Run(seed)
        run.start()
        fleet = run.fleet
        fleet.run_until_true(lambda: False, 1000)
        self.submit_jobs(run, 3)
        return run, fleet

    def submit_jobs(self, run, count):
        seen = []
        for _ in range(count):
            run.clients.submit("summaries", 4, done=seen.append)
            run.fleet.run_until_true(lambda: seen and seen[-1]["outcome"] == "admitted", 5000)
            run.fleet.run_until_true(lambda: False, 800)
        self.assertThat([row["outcome"] for row in seen], Equals(["admitted"] * count))

    def members(self, fleet):
        value = fleet.with_role("edge")[0].node.config_feed.value("log")
        return (
            {row["identity"] for row in value["members"]} if value["phase"] == "serving" else set()
        )

    def check_nothing_lost(self, run):
        run.read_all()
        self.assertThat(judge(run.fleet.history), Equals({}))
        self.assertThat(
            len(run.fleet.history.rows_of("final")),
            Equals(sum(job.acknowledged for job in run.clients.jobs.values())),
        )

    def until_member(self, run, host, limit_ms=15000):
        fleet = run.fleet
        joined = fleet.run_until_true(
            lambda: host.node.log.log.identity in self.members(fleet), limit_ms
        )
        self.assertThat(joined, Equals(True))

    def test_every_store_is_replaced_by_an_empty_one_at_a_new_address(self):
        run, fleet = self.bootstrapped()
        first = self.members(fleet)
        for number in range(3):
            fleet.hosts.pop(f"store{number + 1}").lose_disk()
            new_host = fleet.add("store", f"fresh{number + 1}")
            self.until_member(run, new_host)
            self.submit_jobs(run, 1)
        self.assertThat(first & self.members(fleet), Equals(set()))
        self.check_nothing_lost(run)

    def test_a_frozen_member_that_was_replaced_is_refused(self):
        run, fleet = self.bootstrapped()
        host = fleet.leader()
        old = host.node.log.log.identity
        new_host = fleet.add("store", "fresh")
        host.freeze()
        self.until_member(run, new_host, 20000)
        self.submit_jobs(run, 1)
        seq = fleet.leader().node.log.log.last_seq
        host.wake()
        fleet.run_until_true(lambda: False, 2000)
        self.assertThat(
            old in self.members(fleet) or host.node.log.leader is not None, Equals(False)
        )
        self.assertThat(fleet.leader().node.log.log.last_seq >= seq, Equals(True))
        self.check_nothing_lost(run)

    def test_a_damaged_store_is_repaired_by_the_others(self):
        run, fleet = self.bootstrapped()
        host = next(host for host in fleet.with_role("store") if host is not fleet.leader())
        old = host.node.log.log.identity
        host.kill()
        name = next(name for name in host.disk.names() if name.startswith(("queue-", "snapshot")))
        host.disk.damage(name, 20)
        host.start()
        self.assertThat(
            (host.disk.quarantine_count, host.node.log.log.identity != old), Equals((1, True))
        )
        self.until_member(run, host)
        wanted = fleet.leader().node.log.log.state.jobs
        fleet.run_until_true(lambda: host.node.log.log.state.jobs.keys() == wanted.keys(), 4000)
        self.assertThat(sorted(host.node.log.log.state.jobs), Equals(sorted(wanted)))
        self.check_nothing_lost(run)

    def test_a_retired_leader_hands_over_to_a_standby(self):
        run, fleet = self.bootstrapped()
        old = fleet.leader().node.log.log.identity
        new_host = fleet.add("store", "fresh")
        control = fleet.with_role("control")[0].node
        control.owner.submit(
            Change(
                key="retired", version=0, change_id="r", body=f'{{"identities": ["{old}"]}}', hops=0
            ),
            lambda result: None,
        )
        self.until_member(run, new_host)
        self.assertThat(
            fleet.run_until_true(lambda: fleet.leader() is not None, 5000), Equals(True)
        )
        self.assertThat(old in self.members(fleet), Equals(False))
        self.submit_jobs(run, 1)
        self.check_nothing_lost(run)

    def test_two_stores_lost_at_once_nothing_is_acknowledged_until_one_returns(self):
        run, fleet = self.bootstrapped()
        hosts = fleet.with_role("store")
        for host in hosts[:2]:
            host.kill()
        fleet.add("store", "spare")
        fleet.run_until_true(lambda: False, 9000)
        seen = []
        run.clients.submit("summaries", 4, 1, done=seen.append)
        fleet.run_until_true(lambda: seen, 9000)
        self.assertThat(seen[0]["verdict"], Equals("may_have_run"))
        hosts[0].start()
        self.assertThat(
            fleet.run_until_true(lambda: fleet.leader() is not None, 12000), Equals(True)
        )
        fleet.run_until_true(lambda: False, 1500)
        self.submit_jobs(run, 1)
        self.check_nothing_lost(run)

    def test_service_resumes_after_all_hosts_lose_power_and_start_in_any_order(self):
        run, fleet = self.bootstrapped()
        for host in fleet.hosts.values():
            host.lose_power()
        order = list(fleet.hosts.values())
        fleet.time.rng.shuffle(order)
        for index, host in enumerate(order):
            fleet.time.after(300 * index, host.start)
        self.assertThat(
            fleet.run_until_true(
                lambda: fleet.leader() is not None and fleet.ready(), 300 * len(order) + 12000
            ),
            Equals(True),
        )
        self.submit_jobs(run, 1)
        self.check_nothing_lost(run)

    def test_clock_steps_hide_no_store_and_expire_no_result(self):
        run, fleet = self.bootstrapped()
        seen = []
        run.clients.make_live_call("moves", "kept", done=seen.append)
        fleet.run_until_true(lambda: seen, 5000)
        day = 2 * fleet.leader().settings.keep_ms
        for host in fleet.with_role("store"):
            host.wall_step_ms -= 3_600_000
            host.kill()
            host.start()
        self.assertThat(
            fleet.run_until_true(lambda: fleet.leader() is not None, 12000), Equals(True)
        )
        leader = fleet.leader()
        self.assertThat(
            fleet.run_until_true(lambda: len(leader.node.live_stores()) == 2, 3000), Equals(True)
        )
        for host in fleet.with_role("store"):
            host.wall_step_ms += 8 * day
        fleet.run_until_true(lambda: False, 2 * leader.settings.resume_ms)
        run.clients.make_live_call("moves", "kept", done=seen.append)
        fleet.run_until_true(lambda: len(seen) == 2, 5000)
        self.assertThat([row["outcome"] for row in seen], Equals(["finish", "replay"]))
        self.check_nothing_lost(run)

    def test_finished_jobs_are_forgotten_after_their_retention(self):
        run = Run(6, settings={"keep_ms": 2000})
        run.start()
        fleet = run.fleet
        seen = []
        run.clients.make_live_call("moves", "old", done=seen.append)
        run.clients.submit("summaries", 2)

        def state():
            return fleet.leader().node.log.log.state

        fleet.run_until_true(lambda: seen and state().jobs and not state().open_jobs, 8000)
        self.assertThat((len(state().keys), len(state().jobs)), Equals((1, 1)))
        self.assertThat(
            fleet.run_until_true(lambda: not state().keys and not state().jobs, 45000),
            Equals(True),
        )

    def test_a_leader_with_a_full_disk_is_replaced_by_a_store_with_space(self):
        run, fleet = self.bootstrapped()
        first = fleet.leader()
        first.disk.fill()
        first.disk.capacity_bytes = int(first.disk.capacity_bytes / 1.1)
        self.assertThat(
            fleet.run_until_true(lambda: fleet.leader() not in (None, first), 5000), Equals(True)
        )
        self.submit_jobs(run, 2)
        first.disk.restore_capacity()
        self.check_nothing_lost(run)
