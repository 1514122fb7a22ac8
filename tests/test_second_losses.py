"""A second failure at each step of a change of members.

A store is lost with its disk and an empty store replaces it. Before, during or after the decision on the new list of
members, another store is killed, loses power or loses its disk.
"""

import json

from replicated_log import snapshot_sender
from simulator import judge
from simulator.runs import Run
from testtools import TestCase
from testtools.matchers import Equals, LessThan

CATCH_UP_MS = 4900
SETTINGS = {"catch_up_ms": CATCH_UP_MS, "segment_bytes": 1 << 14}
DOWN_MS = 600


def membership_change_of(fleet):
    leader = fleet.leader()
    return None if leader is None else leader.node.log._membership._change


def is_listed(fleet, host):
    value = fleet.with_role("control")[0].node.config_feed.value("log")
    return host.node.log.log.identity in {row["identity"] for row in value["members"]}


def is_decided(fleet, host):
    """Whether any control node has learned a value of the log's control key that contains the store."""
    learned = [
        host.node.log.log.identity in json.dumps(control.node.config_feed.value("log"))
        for control in fleet.with_role("control")
    ]
    return any(learned)


STEPS = {
    "the standby has just started": lambda fleet, standby: True,
    "the standby is sent the log": lambda fleet, standby: (
        standby.node.log.log.identity in fleet.leader().node.log.leader.followers
    ),
    "the change has begun": lambda fleet, standby: membership_change_of(fleet) is not None,
    "the change is requested": lambda fleet, standby: (
        membership_change_of(fleet) is not None
        and membership_change_of(fleet)._requested_version >= 0
    ),
    "the change is decided": is_decided,
    "the leader knows": lambda fleet, standby: (
        fleet.leader() is not None
        and standby.node.log.log.identity in fleet.leader().node.log.leader.members
    ),
}
DECIDED_STEPS = ("the change is decided", "the leader knows")


def kill(host):
    host.kill()


def lose_power(host):
    host.lose_power()


def lose_disk(host):
    host.lose_disk()


class SecondLossTest(TestCase):
    def bootstrapped(self, seed):
        run = Run(seed, settings=SETTINGS)
        run.start()
        run.fleet.run_until_true(lambda: False, 800)
        self.submit_jobs(run, 2)
        return run, run.fleet

    def submit_jobs(self, run, count):
        seen = []
        for _ in range(count):
            run.clients.submit("summaries", 5, 6, done=seen.append)
        run.fleet.run_until_true(lambda: len(seen) == count, 12_000)
        self.assertThat([row["outcome"] for row in seen], Equals(["admitted"] * count))

    def followers(self, fleet):
        return [host for host in fleet.with_role("store") if host is not fleet.leader()]

    def until(self, fleet, check, limit_ms=CATCH_UP_MS):
        """Runs the fleet in steps of a millisecond, so that no step of a change is missed."""
        end_ms = fleet.time.now_ms + limit_ms
        while fleet.time.now_ms < end_ms:
            if check():
                return True
            fleet.time.run_until(fleet.time.now_ms + 1)
        return False

    def all_members(self, fleet):
        return fleet.leader() is not None and all(
            host.up and is_listed(fleet, host) for host in fleet.with_role("store")
        )

    def check_nothing_lost(self, run):
        run.read_all()
        violations = judge(run.fleet.history)
        violations.pop("lots-in-time", None)
        self.assertThat(violations, Equals({}))
        self.assertThat(
            len(run.fleet.history.rows_of("final")),
            Equals(sum(job.acknowledged for job in run.clients.jobs.values())),
        )

    def lose_follower_for_good(self, fleet):
        lost = self.followers(fleet)[0]
        lost.lose_disk()
        fleet.hosts.pop(lost.name)

    def check_replacement(self, seed, step, inject_fault, target):
        run, fleet = self.bootstrapped(seed)
        self.lose_follower_for_good(fleet)
        fleet.run_until_true(lambda: False, 200)
        other, leader = self.followers(fleet)[0], fleet.leader()
        standby = fleet.add("store", "spare")
        self.assertThat(self.until(fleet, lambda: STEPS[step](fleet, standby)), Equals(True))
        failing_host = {"leader": leader, "other": other, "standby": standby}[target]
        inject_fault(failing_host)
        fleet.time.after(DOWN_MS, failing_host.start)
        has_all_members = fleet.run_until_true(
            lambda: self.all_members(fleet), DOWN_MS + 2 * CATCH_UP_MS
        )
        self.assertThat(has_all_members, Equals(True))
        self.submit_jobs(run, 1)
        self.check_nothing_lost(run)

    def test_a_second_failure_while_a_member_is_replaced(self):
        seed = 40
        for step in STEPS:
            rows = [(kill, "leader"), (lose_power, "other"), (lose_disk, "other")]
            rows += [(lose_disk, "leader")] if step in DECIDED_STEPS else [(lose_disk, "standby")]
            for inject_fault, target in rows:
                seed += 1
                self.check_replacement(seed, step, inject_fault, target)

    def test_a_leader_left_alone_with_the_log_replaces_both_other_members(self):
        """Only the leader is left of the old members, so no recovery from a majority of them is possible."""
        run, fleet = self.bootstrapped(7)
        leader = fleet.leader()
        epoch = leader.node.log.leader.epoch
        for _ in range(2):
            self.lose_follower_for_good(fleet)
        fleet.run_until_true(lambda: False, 1000)
        for number in range(2):
            fleet.add("store", f"fresh{number}")
        self.assertThat(
            fleet.run_until_true(lambda: self.all_members(fleet), 2 * CATCH_UP_MS), Equals(True)
        )
        self.assertThat(
            (fleet.leader() is leader, leader.node.log.leader.epoch), Equals((True, epoch))
        )
        self.submit_jobs(run, 1)
        self.check_nothing_lost(run)

    def test_a_leaving_member_stays_until_enough_others_have_caught_up(self):
        """One member's disk is lost and not yet replaced, so the leaving member's copy is needed until a standby has caught up."""
        for seed, leader_leaves in ((70, False), (71, True)):
            run, fleet = self.bootstrapped(seed)
            self.lose_follower_for_good(fleet)
            fleet.run_until_true(lambda: False, 300)
            leaving = fleet.leader() if leader_leaves else self.followers(fleet)[0]
            log = leaving.node.log
            log.start_leaving()
            fleet.run_until_true(lambda: False, 500)
            self.assertThat(log.must_stay(), Equals(True))
            fleet.add("store", "spare1")
            fleet.add("store", "spare2")
            may_stop = fleet.run_until_true(lambda log=log: not log.must_stay(), 2 * CATCH_UP_MS)
            self.assertThat(may_stop, Equals(True))
            leaving.lose_disk()
            fleet.hosts.pop(leaving.name)
            has_all_members = fleet.run_until_true(
                lambda fleet=fleet: self.all_members(fleet), 2 * CATCH_UP_MS
            )
            self.assertThat(has_all_members, Equals(True))
            self.submit_jobs(run, 1)
            self.check_nothing_lost(run)

    def test_a_store_with_a_new_disk_is_a_member_in_time_idle_and_under_a_burst(self):
        """The store is sent a snapshot in several parts while calls continue. Meanwhile it responds to appends for its
        former identity, which are still sent to its address; these responses must not end the snapshot transfer.
        """
        part_bytes, snapshot_sender._PART_BYTES = snapshot_sender._PART_BYTES, 4096
        self.addCleanup(setattr, snapshot_sender, "_PART_BYTES", part_bytes)
        for seed, burst in ((60, 0), (61, 30)):
            run, fleet = self.bootstrapped(seed)
            self.burst(run, burst)
            fleet.run_until_true(lambda: False, 1500)
            fleet.leader().node.log.log.maintain_snapshot(force=True)
            host = self.followers(fleet)[0]
            host.lose_disk()
            fleet.run_until_true(lambda: False, DOWN_MS)
            host.start()
            began_ms = fleet.time.now_ms
            self.assertThat(
                self.until(fleet, lambda fleet=fleet: self.all_members(fleet)), Equals(True)
            )
            self.assertThat(fleet.time.now_ms - began_ms, LessThan(CATCH_UP_MS // 2))

    def burst(self, run, jobs):
        """Starts jobs, and calls that aren't safe to repeat; each of them needs records of the log."""
        after, clients = run.fleet.time.after, run.clients
        for number in range(jobs):
            after(50 * number, lambda: clients.submit("summaries", 50, 20))
        for number in range(10 * jobs):
            after(
                1500 + 10 * number,
                lambda number=number: clients.make_live_call("moves", f"m{number}"),
            )
