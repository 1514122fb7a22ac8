"""Tests of voters lost one after another, on simulated fleets: after every replacement no lost voter is on the list,
and a further loss at any step leaves a majority.
"""

import json
from types import SimpleNamespace

from control_store import Change
from control_store.voter_list import Voter, VoterList
from control_store.voter_succession import next_list_of_all_nodes
from simulator.fleet import SimFleet
from testtools import TestCase
from testtools.matchers import Equals

SEEDS = ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"]
SETTINGS = {
    "control_count": 0,
    "first_start": True,
    "cut_off": "serve",
    "catch_up_ms": 4900,
    "fan_out": 2,
    "seeds": SEEDS,
}
CATCH_UP_MS = 4900


class VoterLosses(TestCase):
    def bootstrapped(self, control, seed=5):
        fleet = SimFleet(seed, edges=2, stores=3, control=control, workers=0, settings=SETTINGS)

        def all_vote():
            return all(
                host.node.has_quorum() and len(host.node.acceptor.voters) == control
                for host in fleet.with_role("control")
            )

        self.assertThat(fleet.run_until_true(all_vote, 8000), Equals(True))
        fleet._settings["first_start"] = False
        self.check_change(fleet, 0)
        return fleet

    def wait(self, fleet, wait_ms):
        fleet.time.run_until(fleet.time.now_ms + wait_ms)

    def check_change(self, fleet, version):
        """Submit a change of the profiles to a running control node, and check that it is acknowledged."""
        seen = []
        fleet.running("control")[0].node.owner.submit(
            Change(
                key="profiles",
                version=version,
                change_id=f"c{version}",
                hops=0,
                body=json.dumps({"profiles": {}, "v": version}),
            ),
            seen.append,
        )
        fleet.run_until_true(lambda: seen, 6000)
        self.assertThat([result.outcome for result in seen], Equals(["ok"]))
        self.assertThat(seen[0].version, Equals(version + 1))

    def replace(self, fleet, name, gap_ms, fresh_name):
        fleet.hosts.pop(name).kill()
        self.wait(fleet, gap_ms)
        return fleet.add("control", fresh_name)

    def settled(self, fleet):
        """Whether the voters are exactly the running control nodes, according to the lists of all of them."""
        running = fleet.running("control")
        names = {host.node.acceptor.identity for host in running}
        return all(
            set(host.node.acceptor.voters) == names and host.node.has_quorum() for host in running
        )

    def test_a_replacement_leaves_no_lost_voter_on_the_list(self):
        """Any node may be the coordinator meanwhile, even the replacement, which has received few heartbeats yet."""
        for control in (3, 5):
            for seed in range(6):
                for gap_ms in (0, 1000, 3000):
                    fleet = self.bootstrapped(control, seed)
                    self.replace(fleet, "control3", gap_ms, "fresh")
                    began_ms = fleet.time.now_ms
                    self.assertThat(
                        fleet.run_until_true(lambda fleet=fleet: self.settled(fleet), CATCH_UP_MS),
                        Equals(True),
                        (control, seed, gap_ms),
                    )
                    self.assertThat(
                        fleet.time.now_ms - began_ms <= 0.8 * CATCH_UP_MS,
                        Equals(True),
                        (control, seed, gap_ms, fleet.time.now_ms - began_ms),
                    )

    def test_a_new_coordinator_gives_up_no_replacement_before_it_can_have_heard_the_voter(self):
        voters = [Voter(name, name, None, None) for name in "abcd"]
        current = VoterList(4, voters, leaving="b")
        rows = [
            # (has_returned, expected next list)
            (None, None),
            (False, ["a", "c", "d"]),
            (True, ["a", "b", "c", "d"]),
        ]
        for returned, wanted in rows:
            observations = SimpleNamespace(
                is_silent=lambda identity: False,
                is_stable=lambda node: True,
                all_voters_heard_since=lambda node: True,
                has_returned=lambda identity, returned=returned: returned,
            )
            next_list = next_list_of_all_nodes(current, [], set(), observations)
            self.assertThat(next_list and next_list.identities(), Equals(wanted), returned)

    def test_a_replacement_added_before_the_loss_leaves_no_lost_voter(self):
        """A planned replacement: the new node becomes a voter first, then the old one is removed for good."""
        for control in (3, 5):
            for seed in range(4):
                fleet = self.bootstrapped(control, seed)
                fleet.add("control", "fresh")
                self.assertThat(
                    fleet.run_until_true(lambda fleet=fleet: self.settled(fleet), CATCH_UP_MS),
                    Equals(True),
                )
                fleet.hosts.pop("control3").kill()
                self.assertThat(
                    fleet.run_until_true(
                        lambda fleet=fleet: self.settled(fleet), 0.8 * CATCH_UP_MS
                    ),
                    Equals(True),
                    (control, seed),
                )
                fleet.hosts["control2"].kill()
                self.wait(fleet, 1500)
                self.check_change(fleet, 1)

    def test_a_second_loss_after_a_replacement_leaves_a_majority(self):
        """One of three voters is replaced; after the time to catch up, the voters lose their disks in turn."""
        for seed in range(4):
            fleet = self.bootstrapped(3, seed)
            self.replace(fleet, "control2", 1000, "fresh")
            self.wait(fleet, CATCH_UP_MS)
            for version, name in enumerate(("control1", "fresh", "control3"), 1):
                fleet.hosts[name].lose_disk()
                self.check_change(fleet, version)
                fleet.hosts[name].start()
                self.wait(fleet, CATCH_UP_MS)
                self.assertThat(self.settled(fleet), Equals(True), (seed, name))

    def test_a_second_loss_at_any_step_of_a_replacement_loses_nothing(self):
        """Five voters tolerate two losses; the second one happens at each of several times after the first."""
        for after_ms in range(0, 4000, 400):
            for fault in ("kill", "lose_power", "lose_disk"):
                fleet = self.bootstrapped(5, 1 + after_ms // 400)
                lost = fleet.hosts["control2"]
                lost.lose_disk()
                fleet.time.after(600, lost.start)
                self.wait(fleet, after_ms)
                other = fleet.hosts["control4"]
                getattr(other, fault)()
                fleet.time.after(900, other.start)
                self.wait(fleet, 300)
                self.check_change(fleet, 1)
                self.assertThat(
                    fleet.run_until_true(lambda fleet=fleet: self.settled(fleet), 2 * CATCH_UP_MS),
                    Equals(True),
                    (after_ms, fault),
                )
                self.check_change(fleet, 2)
                versions = {
                    host.node.config_feed.version("profiles") for host in fleet.with_role("control")
                }
                self.assertThat(versions, Equals({3}), (after_ms, fault))
