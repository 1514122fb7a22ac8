"""A control node that is partitioned from the others, in simulated fleets with `cut_off` = "serve".

Without contact with a majority of the voters it must not send updates, report itself as current or
confirm a change. Once it is connected again, it must read the newest versions through a majority
before it reports itself as current.
"""

import json

from config_feed import KeyUpdates, VersionDigest
from control_plane.configuration_changes import ConfigurationChange, ConfigurationStatus
from control_store import Change, ReadKey
from simulator.fleet import SimFleet
from testtools import TestCase
from testtools.matchers import Equals

SETTINGS = {
    "control_count": 0,
    "first_start": True,
    "cut_off": "serve",
    "catch_up_ms": 4900,
    "fan_out": 2,
    "seeds": ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"],
}
PARTITION_MS = 20_000


class IsolatedControlNode(TestCase):
    def bootstrapped(self, control=5, seed=4):
        fleet = SimFleet(seed, edges=3, stores=3, control=control, workers=0, settings=SETTINGS)

        def ready():
            return all(
                host.node.has_quorum() and len(host.node.acceptor.voters) == control
                for host in fleet.with_role("control")
            )

        self.assertThat(fleet.run_until_true(ready, 8000), Equals(True))
        fleet._settings["first_start"] = False
        self.change(fleet, "control2", 0)
        self.assertThat(
            fleet.run_until_true(
                lambda: not any(host.node.why_unready() for host in fleet.with_role("edge")), 3000
            ),
            Equals(True),
        )
        return fleet

    def wait(self, fleet, wait_ms):
        fleet.time.run_until(fleet.time.now_ms + wait_ms)

    def submit_and_wait(self, fleet, host, message):
        seen = []
        fleet.hosts[host].node.owner.submit(message, seen.append)
        fleet.run_until_true(lambda: seen, 6000)
        return seen[0].outcome if seen else "none"

    def change(self, fleet, host, version, wanted="ok"):
        outcome = self.submit_and_wait(
            fleet,
            host,
            Change(
                key="profiles",
                version=version,
                change_id=f"c{version}-{host}",
                hops=0,
                body=json.dumps({"profiles": {}, "v": version}),
            ),
        )
        self.assertThat(outcome, Equals(wanted))

    def owner(self, fleet, key):
        names = {host.node.acceptor.identity: host for host in fleet.with_role("control")}
        return names[fleet.hosts["control1"].node.owner.owner_of(key)].name

    def other(self, fleet, *names):
        return next(host.name for host in fleet.with_role("control") if host.name not in names)

    def partition_host(self, fleet, name, way="both"):
        """Partition a node from the control nodes, or with `way` "all" from all nodes.

        `way` is the direction of the blocked messages as seen from the node: out, in, or both.
        """
        one = fleet.hosts[name].address
        for host in fleet.hosts.values() if way == "all" else fleet.with_role("control"):
            if host.name != name and way != "in":
                fleet.network.partitioned_pairs.add((one, host.address))
            if host.name != name and way != "out":
                fleet.network.partitioned_pairs.add((host.address, one))

    def start_at(self, fleet, role, name, seed):
        """Start a node with `seed` as its only seed, which can reach no other node."""
        fleet._settings["seeds"] = [fleet.hosts[seed].address]
        host = fleet.add(role, name)
        for other in fleet.hosts.values():
            if other.name not in (name, seed):
                fleet.network.partition(host.address, other.address)
        return host

    def test_a_node_started_with_an_isolated_control_node_as_seed_gets_no_configuration(self):
        """Holds whatever role the control node had, for as long as the partition lasts.

        Afterwards the started nodes get the newest version.
        """
        for duty in ("profiles", "steward", "none"):
            fleet = self.bootstrapped()
            away = (
                self.owner(fleet, duty)
                if duty != "none"
                else self.other(fleet, *(self.owner(fleet, key) for key in ("profiles", "steward")))
            )
            self.partition_host(fleet, away)
            self.wait(fleet, 2 * fleet.hosts[away].settings.failure_timeout_ms)
            self.change(fleet, self.other(fleet, away), 1)
            new_hosts = [
                self.start_at(fleet, role, f"fresh-{role}", away) for role in ("edge", "store")
            ]
            for _ in range(PARTITION_MS // 500):
                self.wait(fleet, 500)
                for host in new_hosts:
                    self.assertThat(
                        (host.node.why_unready() != "", host.node.config_feed.version("profiles")),
                        Equals((True, 0)),
                        (duty, host.name),
                    )
            fleet.network.heal()

            def have_the_newest(new_hosts=new_hosts):
                versions = {host.node.config_feed.version("profiles") for host in new_hosts}
                return versions == {2} and not new_hosts[0].node.why_unready()

            self.assertThat(fleet.run_until_true(have_the_newest, 2000), Equals(True), duty)

    def test_an_edge_does_not_start_from_a_peer_that_is_isolated_with_a_control_node(self):
        fleet = self.bootstrapped()
        away = self.owner(fleet, "profiles")
        self.partition_host(fleet, away)
        together = {fleet.hosts[name].address for name in (away, "edge1")}
        rest = [host.address for host in fleet.hosts.values() if host.address not in together]
        fleet.network.split([sorted(together), rest])
        self.wait(fleet, 2000)
        self.change(fleet, self.other(fleet, away), 1)
        fleet._settings["seeds"] = sorted(together)
        new_host = fleet.add("edge", "fresh")
        fleet.network.split([[new_host.address], rest])
        for _ in range(16):
            self.wait(fleet, 500)
            self.assertThat(new_host.node.why_unready() != "", Equals(True))
        fleet.network.heal()
        self.assertThat(
            fleet.run_until_true(lambda: not new_host.node.why_unready(), 4000), Equals(True)
        )
        self.assertThat(new_host.node.config_feed.version("profiles"), Equals(2))

    def test_digests_to_an_isolated_control_node_are_sent_at_the_heartbeat_interval(self):
        """Guards against an endless exchange of digests: an isolated node lists versions that it does not send,
        and each of its digests was answered at once by another one that asked for them.
        """
        fleet = self.bootstrapped()
        away = self.owner(fleet, "profiles")
        self.partition_host(fleet, away)
        self.wait(fleet, 2 * fleet.hosts[away].settings.failure_timeout_ms)
        self.start_at(fleet, "edge", "fresh", away)
        before = fleet.network.sent
        self.wait(fleet, 1000)
        self.assertThat(fleet.network.sent - before < 10_000, Equals(True))

    def test_a_reconnected_control_node_confirms_no_old_version(self):
        """For each direction of the partition, an edge that reaches only this node starts with the newest
        version or not at all.
        """
        for way in ("all", "both", "in", "out"):
            for seed in range(3):
                fleet = self.bootstrapped(3, seed)
                away = self.owner(fleet, "profiles")
                self.partition_host(fleet, away, way)
                self.wait(fleet, 3000)
                other = self.other(fleet, away)
                for version in (1, 2, 3):
                    self.change(fleet, other, version)
                self.wait(fleet, 2000)
                new_host = self.start_at(fleet, "edge", "fresh", away)
                node = fleet.hosts[away].node
                keep = new_host.address
                fleet.network.partitioned_pairs = {
                    pair for pair in fleet.network.partitioned_pairs if keep in pair
                }

                def in_order(new_host=new_host, node=node, way=way):
                    for number, vouches in (
                        (node.config_feed.version("profiles"), node.has_quorum()),
                        (
                            new_host.node.config_feed.version("profiles"),
                            not new_host.node.why_unready(),
                        ),
                    ):
                        self.assertThat(not vouches or number == 4, Equals(True), (way, number))
                    return not new_host.node.why_unready()

                end_ms = fleet.time.now_ms + 4000
                while fleet.time.now_ms < end_ms and not in_order():
                    self.wait(fleet, 0.5)
                self.assertThat(in_order(), Equals(True), (way, seed))

    def test_an_isolated_node_answers_changes_and_reads_only_with_refused_or_doubt(self):
        """Changes and reads of the configuration are answered within the time that a caller waits."""
        for way in ("both", "in"):
            for duty in ("profiles",):
                fleet = self.bootstrapped()
                away = self.owner(fleet, duty)
                self.partition_host(fleet, away, way)
                node = fleet.hosts[away].node
                for _ in range(4):
                    seen = []
                    asked_ms = fleet.time.now_ms
                    node.configuration_changes.read(seen.append)
                    change = ConfigurationChange(0, 1, "mine", lambda tree: 1 / 0)
                    node.configuration_changes.change(change, seen.append)
                    node.retirement.retire("store1", seen.append)
                    node.retirement.progress("store1", seen.append)
                    self.assertThat(
                        fleet.run_until_true(lambda seen=seen: len(seen) == 4, 1000), Equals(True)
                    )
                    self.assertThat(fleet.time.now_ms - asked_ms <= 1000, Equals(True))
                    statuses = {getattr(row, "status", row) for row in seen}
                    self.assertThat(
                        statuses
                        <= {ConfigurationStatus.REFUSED, ConfigurationStatus.DOUBT, "doubt"},
                        Equals(True),
                        statuses,
                    )
                    self.wait(fleet, PARTITION_MS // 10)
                self.assertThat(
                    self.submit_and_wait(fleet, away, ReadKey(key="profiles", hops=0)),
                    Equals("doubt"),
                )

    def test_a_retirement_is_not_refused_by_a_node_that_has_just_reconnected(self):
        """The node does not yet know all live stores, so it cannot tell that a store is unknown or that too
        few would remain.
        """
        fleet = self.bootstrapped()
        fleet.add("store", "store4")
        self.wait(fleet, 4000)
        node = fleet.hosts["control3"].node
        fleet.network.isolate(fleet.hosts["control3"].address)
        self.wait(fleet, 5000)
        fleet.add("store", "store5")
        self.wait(fleet, PARTITION_MS - 5000)
        fleet.network.isolated_hosts.clear()
        named = {
            host.name: host.settings.node_name or host.address for host in fleet.with_role("store")
        }
        answers = []
        end_ms = fleet.time.now_ms + 1000
        while fleet.time.now_ms < end_ms:
            for name in ("store1", "store5"):
                node.retirement.retire(named[name], answers.append)
            self.wait(fleet, 10)
        self.wait(fleet, 1000)
        self.assertThat(set(answers) <= {"ok", "doubt"}, Equals(True), set(answers))

    def test_a_resumed_node_does_not_use_votes_from_before_its_pause(self):
        for freeze_ms in (500, 3000, 6000):
            fleet = self.bootstrapped()
            away = self.owner(fleet, "profiles")
            host = fleet.hosts[away]
            seen = []
            host.node.owner.submit(ReadKey(key="profiles", hops=0), seen.append)
            self.wait(fleet, 0.5)
            host.freeze()
            self.wait(fleet, freeze_ms)
            if freeze_ms > 2000:
                self.change(fleet, self.other(fleet, away), 1)
            host.wake()
            self.wait(fleet, 4000)
            newest = 2 if freeze_ms > 2000 else 1
            for result in seen:
                self.assertThat(
                    (result.outcome, result.version) in (("doubt", 0), ("ok", newest)),
                    Equals(True),
                    (freeze_ms, result.outcome, result.version),
                )
            self.assertThat(host.node.config_feed.version("profiles"), Equals(newest))

    def test_no_update_reaches_an_edge_or_store_while_there_is_no_majority(self):
        fleet = self.bootstrapped(control=3)
        away = self.owner(fleet, "workers")
        self.partition_host(fleet, away)
        self.wait(fleet, fleet.hosts[away].settings.failure_timeout_ms)
        host, sent = fleet.hosts[away], []
        network = host.network

        class RecordingNetwork:
            def send(self, sender, to, request_id, in_reply_to, message):
                if isinstance(message, KeyUpdates) or (
                    isinstance(message, VersionDigest) and message.is_current
                ):
                    sent.append(to)
                network.send(sender, to, request_id, in_reply_to, message)

        host.network = RecordingNetwork()
        self.change(fleet, self.other(fleet, away), 1)
        edge = fleet.hosts["edge1"]
        edge.kill()
        edge.start()
        self.wait(fleet, PARTITION_MS)
        control = {other.address for other in fleet.with_role("control")}
        self.assertThat(set(sent) - control, Equals(set()))
        self.assertThat(edge.node.why_unready(), Equals(""))
        self.assertThat(edge.node.config_feed.version("profiles"), Equals(2))
