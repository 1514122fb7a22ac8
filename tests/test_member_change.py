"""Tests of a change of members by the serving leader, and of a takeover without responses.

The tests cover what is acknowledged during the change, when the change is requested, and how it is
abandoned.
"""

from log_harness import SETTINGS, LogHarness
from replicated_log import Outcome, StartRecovery
from replicated_log.configuration_key import ConfigurationKey
from simulator.runs import Run
from testtools import TestCase
from testtools.matchers import Equals, LessThan


class MemberLists(TestCase):
    """A leader with two followers, and a standby to which it replicates."""

    def leading(self):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        harness.leader.add_learner("store-x", "x")
        harness.followers["x"] = harness.followers["b"]
        return harness

    def new_members(self, harness):
        return [harness.logs["a"].identity, harness.logs["b"].identity, "store-x"]

    def test_an_append_during_a_change_needs_a_quorum_of_both_lists(self):
        harness = self.leading()
        harness.cut.update(("b", "x"))
        harness.leader.begin_change(self.new_members(harness))
        outcomes = harness.append("k1", durable=True)
        harness.run(200)
        self.assertThat(outcomes, Equals([]))
        harness.cut.clear()
        harness.run(300)
        self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))

    def test_the_new_members_are_caught_up_before_the_change_is_requested(self):
        harness = self.leading()
        harness.cut.update(("b", "x"))
        harness.append("k1")
        harness.run(20)
        harness.leader.begin_change(self.new_members(harness))
        harness.run(200)
        self.assertThat(harness.leader.is_change_ready(), Equals(False))
        harness.cut.remove("b")
        harness.run(300)
        self.assertThat(harness.leader.is_change_ready(), Equals(True))

    def test_an_abandoned_change_leaves_the_old_list(self):
        harness = self.leading()
        before = list(harness.leader.members)
        harness.leader.begin_change(self.new_members(harness))
        harness.leader.end_change(False)
        self.assertThat(harness.leader.members, Equals(before))
        harness.leader.begin_change(self.new_members(harness))
        harness.leader.end_change(True)
        self.assertThat(harness.leader.members, Equals(self.new_members(harness)))

    def test_caught_up_members_are_counted(self):
        harness = self.leading()
        harness.append("k1", durable=True)
        harness.run(1500)
        self.assertThat(harness.leader.health.count_caught_up(), Equals(3))
        harness.cut.add("c")
        harness.run(SETTINGS.failure_timeout_ms + 200)
        self.assertThat(harness.leader.health.count_caught_up(), Equals(2))


class ChangeRequest(TestCase):
    def test_the_new_members_are_caught_up_before_the_key_is_changed(self):
        """Guards against a change requested too early: all disks are slow and appends continue."""
        run = Run(31, settings={"catch_up_ms": 4900})
        run.start()
        fleet = run.fleet
        lost_host = next(host for host in fleet.with_role("store") if host is not fleet.leader())
        lost_host.lose_disk()
        fleet.hosts.pop(lost_host.name)
        log = fleet.leader().node.log
        spare = fleet.add("store", "spare")
        for host in fleet.with_role("store"):
            host.disk.flush_ms = 40.0
        for number in range(600):
            fleet.time.after(
                10 * number, lambda number=number: run.clients.make_live_call("moves", f"m{number}")
            )
        ready_at_request, original = [], ConfigurationKey.change

        def change(key, configuration, done):
            ready_at_request.append(key is log.key and log.leader.is_change_ready())
            original(key, configuration, done)

        ConfigurationKey.change = change
        self.addCleanup(setattr, ConfigurationKey, "change", original)
        fleet.run_until_true(lambda: spare.node.log.log.identity in log.leader.members, 4900)
        self.assertThat(ready_at_request[:1], Equals([True]))


class TakeoverWithoutAnswers(TestCase):
    def epoch(self, fleet):
        return fleet.with_role("control")[0].node.config_feed.value("log")["epoch"]

    def test_a_store_without_responding_peers_logs_a_warning_and_does_not_spin(self):
        run = Run(33)
        run.start()
        fleet = run.fleet
        first, other, third = fleet.with_role("store")
        for host in (other, third):
            host.kill()
        first.kill()
        first.start()
        before = self.epoch(fleet)
        fleet.run_until_true(lambda: False, 25_000)
        names = sorted(host.node.log.log.identity for host in (other, third))
        warnings = [row for row in fleet.events if row[2] == "log-unserved"]
        self.assertThat(
            [sorted(fields["lacks"]) for _, _, _, fields in warnings][:1], Equals([names])
        )
        self.assertThat(self.epoch(fleet), Equals(before))
        self.assertThat(len(warnings), LessThan(4))

    def test_a_takeover_without_responses_logs_the_missing_members_and_does_not_spin(self):
        """The other stores respond to polls, but not to the recovery."""
        run = Run(34)
        run.start()
        fleet = run.fleet
        leader = fleet.leader()
        for host in fleet.with_role("store"):
            peer = host.node.log._follower
            original = peer.receive
            host.node.log._follower = _FollowerIgnoringRecovery(original)
        leader.lose_power()
        fleet.run_until_true(lambda: False, 25_000)
        before = self.epoch(fleet)
        fleet.run_until_true(lambda: False, 30_000)
        warnings = [row for row in fleet.events if row[2] in ("recovery-failed", "takeover-stuck")]
        self.assertThat(len(warnings) > 0 and bool(warnings[0][3]["lacks"]), Equals(True))
        self.assertThat(self.epoch(fleet) - before, LessThan(10))


class _FollowerIgnoringRecovery:
    """A follower that doesn't respond to StartRecovery."""

    def __init__(self, receive):
        self._receive = receive

    def receive(self, message, reply, source=""):
        if not isinstance(message, StartRecovery):
            self._receive(message, reply, source)
