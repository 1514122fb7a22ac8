"""A change of members by the serving holder, step by step: what is acknowledged meanwhile, when it is asked for, how it is
given back; and a takeover that cannot get its answers.
"""

from log_table import PARAMS, Table
from replicated_log import LogReplica, Outcome
from simulator.runs import Run
from testtools import TestCase
from testtools.matchers import Equals, LessThan


class Lists(TestCase):
    """A holder with two peers and a spare that is sent the log."""

    def holding(self):
        table = Table()
        table.hold("a", 1)
        table.run(300)
        table.holder.add_learner("store-x", "x")
        table.followers["x"] = table.followers["b"]
        return table

    def following(self, table):
        return [table.logs["a"].identity, table.logs["b"].identity, "store-x"]

    def test_during_a_change_both_lists_have_what_is_acknowledged(self):
        table = self.holding()
        table.cut.update(("b", "x"))
        table.holder.begin_change(self.following(table))
        outcomes = table.append("k1", durable=True)
        table.run(200)
        self.assertThat(outcomes, Equals([]))
        table.cut.clear()
        table.run(300)
        self.assertThat(outcomes, Equals([Outcome.ACKNOWLEDGED]))

    def test_the_new_members_are_level_before_the_change_is_asked_for(self):
        table = self.holding()
        table.cut.update(("b", "x"))
        table.append("k1")
        table.run(20)
        table.holder.begin_change(self.following(table))
        table.run(200)
        self.assertThat(table.holder.is_change_ready(), Equals(False))
        table.cut.remove("b")
        table.run(300)
        self.assertThat(table.holder.is_change_ready(), Equals(True))

    def test_a_change_that_is_given_back_leaves_the_old_list(self):
        table = self.holding()
        before = list(table.holder.members)
        table.holder.begin_change(self.following(table))
        table.holder.end_change(False)
        self.assertThat(table.holder.members, Equals(before))
        table.holder.begin_change(self.following(table))
        table.holder.end_change(True)
        self.assertThat(table.holder.members, Equals(self.following(table)))

    def test_level_members_are_counted(self):
        table = self.holding()
        table.append("k1", durable=True)
        table.run(1500)
        self.assertThat(table.holder.count_caught_up(), Equals(3))
        table.cut.add("c")
        table.run(PARAMS.failure_timeout_ms + 200)
        self.assertThat(table.holder.count_caught_up(), Equals(2))


class Asking(TestCase):
    def test_the_new_members_are_level_before_the_key_is_changed(self):
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
        asked, plain = [], LogReplica.change

        def change(this, body, done):
            asked.append(this.leader.is_change_ready())
            plain(this, body, done)

        LogReplica.change = change
        self.addCleanup(setattr, LogReplica, "change", plain)
        fleet.run_until_true(lambda: spare.node.log.log.identity in log.leader.members, 4900)
        self.assertThat(asked[:1], Equals([True]))


class Alone(TestCase):
    def epoch(self, fleet):
        return fleet.with_role("control")[0].node.config_feed.value("log")["epoch"]

    def test_a_store_whose_fellows_do_not_answer_says_so_and_does_not_spin(self):
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
        holder = fleet.leader()
        for host in fleet.with_role("store"):
            peer = host.node.log._follower_role
            plain = peer.receive
            host.node.log._follower_role = _Deaf(plain)
        holder.lose_power()
        fleet.run_until_true(lambda: False, 25_000)
        before = self.epoch(fleet)
        fleet.run_until_true(lambda: False, 30_000)
        told = [row for row in fleet.events if row[2] in ("recovery-failed", "takeover-stuck")]
        self.assertThat(len(told) > 0 and bool(told[0][3]["lacks"]), Equals(True))
        self.assertThat(self.epoch(fleet) - before, LessThan(10))


class _Deaf:
    """A peer side that answers no recovery."""

    def __init__(self, receive):
        self._receive = receive

    def receive(self, message, reply, source=""):
        if type(message).__name__ != "StartRecovery":
            self._receive(message, reply, source)
