"""A change of members by the serving holder, step by step: what is acknowledged meanwhile, when it is asked for, how it is
given back; and a takeover that cannot get its answers.
"""

from log_harness import SETTINGS, LogHarness
from replicated_log import Outcome, StartRecovery
from replicated_log.configuration_key import ConfigurationKey
from simulator.runs import Run
from testtools import TestCase
from testtools.matchers import Equals, LessThan


class MemberLists(TestCase):
    """A leader with two followers and a standby that is sent the log."""

    def leading(self):
        harness = LogHarness()
        harness.lead("a", 1)
        harness.run(300)
        harness.leader.add_learner("store-x", "x")
        harness.followers["x"] = harness.followers["b"]
        return harness

    def following(self, harness):
        return [harness.logs["a"].identity, harness.logs["b"].identity, "store-x"]

    def test_during_a_change_both_lists_have_what_is_acknowledged(self):
        harness = self.leading()
        harness.cut.update(("b", "x"))
        harness.leader.begin_change(self.following(harness))
        outcomes = harness.append("k1", durable=True)
        harness.run(200)
        self.assertThat(outcomes, Equals([]))
        harness.cut.clear()
        harness.run(300)
        self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))

    def test_the_new_members_are_caught_up_before_the_change_is_asked_for(self):
        harness = self.leading()
        harness.cut.update(("b", "x"))
        harness.append("k1")
        harness.run(20)
        harness.leader.begin_change(self.following(harness))
        harness.run(200)
        self.assertThat(harness.leader.is_change_ready(), Equals(False))
        harness.cut.remove("b")
        harness.run(300)
        self.assertThat(harness.leader.is_change_ready(), Equals(True))

    def test_a_change_that_is_given_back_leaves_the_old_list(self):
        harness = self.leading()
        before = list(harness.leader.members)
        harness.leader.begin_change(self.following(harness))
        harness.leader.end_change(False)
        self.assertThat(harness.leader.members, Equals(before))
        harness.leader.begin_change(self.following(harness))
        harness.leader.end_change(True)
        self.assertThat(harness.leader.members, Equals(self.following(harness)))

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
        """The spare's disk is slow, and calls go on that each take records of the log."""
        run = Run(31, settings={"catch_up_ms": 4900})
        run.start()
        fleet = run.fleet
        gone = next(host for host in fleet.with_role("store") if host is not fleet.leader())
        gone.lose_disk()
        fleet.hosts.pop(gone.name)
        log = fleet.leader().node.log
        spare = fleet.add("store", "spare")
        for host in fleet.with_role("store"):
            host.disk.flush_ms = 40.0
        for number in range(600):
            fleet.time.after(
                10 * number, lambda number=number: run.clients.live("moves", f"m{number}")
            )
        asked, plain = [], ConfigurationKey.change

        def change(key, configuration, done):
            asked.append(key is log.key and log.leader.is_change_ready())
            plain(key, configuration, done)

        ConfigurationKey.change = change
        self.addCleanup(setattr, ConfigurationKey, "change", plain)
        fleet.run_until_true(lambda: spare.node.log.log.identity in log.leader.members, 4900)
        self.assertThat(asked[:1], Equals([True]))


class TakeoverWithoutAnswers(TestCase):
    def epoch(self, fleet):
        return fleet.with_role("control")[0].node.config_feed.value("log")["epoch"]

    def test_a_store_whose_peers_do_not_answer_says_so_and_does_not_spin(self):
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
        told = [row for row in fleet.events if row[2] == "log-unserved"]
        self.assertThat([sorted(fields["lacks"]) for _, _, _, fields in told][:1], Equals([names]))
        self.assertThat(self.epoch(fleet), Equals(before))
        self.assertThat(len(told), LessThan(4))

    def test_a_takeover_that_gets_no_answers_names_them_and_does_not_spin(self):
        """The others answer that they are there, but never the recovery itself."""
        run = Run(34)
        run.start()
        fleet = run.fleet
        leader = fleet.leader()
        for host in fleet.with_role("store"):
            peer = host.node.log._follower
            plain = peer.receive
            host.node.log._follower = _Deaf(plain)
        leader.lose_power()
        fleet.run_until_true(lambda: False, 25_000)
        before = self.epoch(fleet)
        fleet.run_until_true(lambda: False, 30_000)
        told = [row for row in fleet.events if row[2] in ("recovery-failed", "takeover-stuck")]
        self.assertThat(len(told) > 0 and bool(told[0][3]["lacks"]), Equals(True))
        self.assertThat(self.epoch(fleet) - before, LessThan(10))


class _Deaf:
    """A follower that answers no recovery."""

    def __init__(self, receive):
        self._receive = receive

    def receive(self, message, reply, source=""):
        if not isinstance(message, StartRecovery):
            self._receive(message, reply, source)
