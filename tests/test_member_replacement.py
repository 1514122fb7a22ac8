"""Replacement of members under traffic: retirement without a spare, a retirement that is undone, power failures
and lost spares during a replacement, and retired nodes that return with their disks. Also the descriptions of
members for operators.
"""

import json

from control_plane.member_status import describe_member
from control_store import Change
from simulator import judge
from simulator.runs import Run
from testtools import TestCase
from testtools.matchers import Equals


class MemberDescriptions(TestCase):
    ROWS = [
        (("store", "a", "abc", "a", "", "", 3), "counts: a member of the log, and its holder"),
        (("store", "b", "abc", "a", "", "d", 3), "counts: a member of the log"),
        (
            ("control", "a", "abc", "a", "", "", 3),
            "counts: a member of the voters, and the steward",
        ),
        (
            ("store", "d", "abc", "a", "", "d", 3),
            "spare: catching up with the log, counts for nothing until it takes a place",
        ),
        (
            ("store", "b", "abc", "a", "b", "", 3),
            "counts: a member of the log; retired, waits for a spare: none is live, start one",
        ),
        (
            ("store", "b", "abc", "a", "b", "d", 3),
            "counts: a member of the log; retired, waits until a spare has caught up: d",
        ),
        (
            ("control", "b", "abcd", "a", "b", "", 3),
            "counts: a member of the voters; retired, is being dropped now",
        ),
        (("store", "b", "acd", "a", "b", "", 3), "retired and out: may be stopped"),
    ]

    def test_the_description_of_each_kind_of_member(self):
        for arguments, description in self.ROWS:
            self.assertThat(describe_member(*arguments), Equals(description), str(arguments))


class MemberReplacement(TestCase):
    def bootstrapped(self, seed=11):
        run = Run(seed)
        run.start()
        run.fleet.run_until_true(lambda: False, 1000)
        run.traffic(90.0)
        run.fleet.run_until_true(lambda: False, 1500)
        return run, run.fleet

    def members(self, fleet):
        value = fleet.with_role("edge")[0].node.config_feed.value("log")
        return [row["identity"] for row in value["members"]] if value["phase"] == "serving" else []

    def until(self, fleet, check, limit_ms=20_000):
        self.assertThat(bool(fleet.run_until_true(check, limit_ms)), Equals(True))

    def retire(self, fleet, names):
        owner = fleet.with_role("control")[0].node.owner
        version = fleet.with_role("control")[0].node.config_feed.version("retired")
        seen = []
        owner.submit(
            Change(
                key="retired",
                version=version,
                change_id=str(version),
                hops=0,
                body=json.dumps({"identities": sorted(names)}),
            ),
            seen.append,
        )
        self.until(fleet, lambda: seen)
        self.assertThat(seen[0].outcome, Equals("ok"))

    def check_nothing_lost(self, run):
        """End the traffic, which ran throughout, read all records and let the oracle judge the history."""
        run.stopped = True
        run.fleet.run_until_true(lambda: False, 1500)
        run.probe(3000)
        run.read_all()
        self.assertThat(
            judge(run.fleet.history, ["kept-at-the-end", "service-resumes"]), Equals({})
        )

    def test_a_retired_leader_serves_until_a_spare_replaces_it(self):
        run, fleet = self.bootstrapped()
        old = fleet.leader().node.log.log.identity
        self.retire(fleet, [old])
        fleet.run_until_true(lambda: False, 5000)
        self.assertThat(
            (old in self.members(fleet), fleet.leader() is not None), Equals((True, True))
        )
        new_host = fleet.add("store", "fresh")
        self.until(
            fleet,
            lambda: (
                new_host.node.log.log.identity in self.members(fleet)
                and old not in self.members(fleet)
            ),
        )
        self.check_nothing_lost(run)

    def test_a_retirement_can_be_undone_before_the_replacement(self):
        run, fleet = self.bootstrapped(12)
        old = next(
            host.node.log.log.identity
            for host in fleet.with_role("store")
            if host is not fleet.leader()
        )
        self.retire(fleet, [old])
        fleet.run_until_true(lambda: False, 800)
        self.retire(fleet, [])
        new_host = fleet.add("store", "fresh")
        fleet.run_until_true(lambda: False, 4000)
        self.assertThat(
            (old in self.members(fleet), new_host.node.log.log.identity in self.members(fleet)),
            Equals((True, False)),
        )
        self.check_nothing_lost(run)

    def test_a_replacement_completes_after_a_power_failure_of_the_other_members(self):
        run, fleet = self.bootstrapped(13)
        lost = next(host for host in fleet.with_role("store") if host is not fleet.leader())
        fleet.hosts.pop(lost.name).lose_disk()
        new_host = fleet.add("store", "fresh")
        fleet.run_until_true(lambda: False, fleet.hosts["edge1"].settings.removal_timeout_ms - 500)
        for host in fleet.with_role("store"):
            host.lose_power()
            fleet.time.after(900, host.start)
        self.until(fleet, lambda: new_host.node.log.log.identity in self.members(fleet), 25_000)
        self.check_nothing_lost(run)

    def test_a_spare_lost_while_it_catches_up_is_replaced_by_another(self):
        run, fleet = self.bootstrapped(14)
        lost = next(host for host in fleet.with_role("store") if host is not fleet.leader())
        fleet.hosts.pop(lost.name).lose_disk()
        first = fleet.add("store", "first")
        fleet.run_until_true(lambda: False, 300)
        fleet.hosts.pop("first").lose_disk()
        second = fleet.add("store", "second")
        self.until(fleet, lambda: second.node.log.log.identity in self.members(fleet))
        self.assertThat(first.node.log.log.identity in self.members(fleet), Equals(False))
        self.check_nothing_lost(run)

    def test_a_retired_store_that_returns_with_its_disk_is_not_a_member(self):
        run, fleet = self.bootstrapped(15)
        host = next(host for host in fleet.with_role("store") if host is not fleet.leader())
        old = host.node.log.log.identity
        new_host = fleet.add("store", "fresh")
        self.retire(fleet, [old])
        self.until(fleet, lambda: new_host.node.log.log.identity in self.members(fleet))
        host.kill()
        fleet.run_until_true(lambda: False, 2000)
        host.start()
        fleet.run_until_true(lambda: False, 4000)
        self.assertThat(
            (old in self.members(fleet), host.node.why_unready()),
            Equals((False, "spare: not a member of the log")),
        )
        fleet.hosts.pop(host.name).kill()
        self.check_nothing_lost(run)

    def test_all_control_nodes_are_replaced_while_operators_send_changes(self):
        run, fleet = self.bootstrapped(16)
        for number in range(5):
            new_host = fleet.add("control", f"fresh{number + 1}")
            fleet.hosts.pop(f"control{number + 1}").kill()
            for _ in range(2):
                run.operators.change()
            self.until(
                fleet,
                lambda new_host=new_host: (
                    new_host.node.has_quorum() and len(new_host.node.acceptor.voters) == 5
                ),
                25_000,
            )
        run.operators.resend_acknowledged(8)
        self.assertThat(len(fleet.history.rows_of("final-change")) > 3, Equals(True))
        self.check_nothing_lost(run)
