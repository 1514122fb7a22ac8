"""The config feed with `fan_out` and `cut_off` = "serve", in simulated fleets without traffic: digests and
updates that the voters relay, and edges that continue to serve when they are disconnected.
"""

import json
from collections import Counter

from config_feed import KeyUpdates, VersionDigest
from control_store import Change
from membership.messages import ShuffleRequest, ShuffleResponse
from simulator.fleet import SimFleet
from testtools import TestCase
from testtools.matchers import Equals, HasLength

SETTINGS = {
    "control_count": 0,
    "first_start": True,
    "cut_off": "serve",
    "catch_up_ms": 4900,
    "fan_out": 2,
    "seeds": ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"],
}


class SendCounter:
    """Wraps the network of one host and records the messages that the host sends to others."""

    def __init__(self, host):
        self._network, self.sent = host.network, []
        host.network = self

    def send(self, sender, to, request_id, in_reply_to, message):
        if to != sender:
            self.sent.append((to, message))
        self._network.send(sender, to, request_id, in_reply_to, message)

    def count_by_receiver(self, kind):
        return Counter(to for to, message in self.sent if isinstance(message, kind))


class FanOutTest(TestCase):
    def bootstrapped(self, control=5, edges=6, seed=4, **settings):
        fleet = SimFleet(
            seed,
            edges=edges,
            stores=3,
            control=control,
            workers=0,
            settings={**SETTINGS, **settings},
        )
        self.assertThat(
            fleet.run_until_true(
                lambda: all(
                    host.node.has_quorum() and len(host.node.acceptor.voters) == control
                    for host in fleet.with_role("control")
                ),
                8000,
            ),
            Equals(True),
        )
        self.assertThat(self.change(fleet, 0)[0], Equals("ok"))
        self.assertThat(fleet.run_until_true(lambda: self.ready(fleet), 3000), Equals(True))
        fleet.time.run_until(fleet.time.now_ms + 4000)
        return fleet

    def ready(self, fleet):
        return all(not host.node.why_unready() for host in fleet.running("edge"))

    def change(self, fleet, version, key="profiles", at="control2"):
        seen, began_ms = [], fleet.time.now_ms
        body = json.dumps({"profiles": {}, "workers": {}, "ended": {}, "v": version})
        fleet.hosts[at].node.owner.submit(
            Change(key=key, version=version, change_id=f"c{version}", hops=0, body=body),
            seen.append,
        )
        fleet.run_until_true(lambda: seen, 4000)
        return (seen[0].outcome if seen else "none"), fleet.time.now_ms - began_ms

    def profile_versions(self, fleet, role="edge"):
        return {host.node.config_feed.version("profiles") for host in fleet.running(role)}

    def test_a_node_reports_to_two_voters_one_of_its_zone_and_occasionally_to_a_peer(self):
        for edges in (6, 24):
            fleet = self.bootstrapped(edges=edges)
            edge = fleet.hosts["edge2"]
            control = {host.address: host.settings.zone for host in fleet.with_role("control")}
            counter, span_ms = SendCounter(edge), 10 * edge.settings.heartbeat_ms
            fleet.time.run_until(fleet.time.now_ms + span_ms)
            digests_sent = counter.count_by_receiver(VersionDigest)
            self.assertThat([control[to] for to in digests_sent if to in control], HasLength(2))
            self.assertThat(
                edge.settings.zone in {control[to] for to in digests_sent if to in control},
                Equals(True),
            )
            self.assertThat(
                sum(count for to, count in digests_sent.items() if to not in control) <= 4,
                Equals(True),
            )
            shuffles = sum(counter.count_by_receiver((ShuffleRequest, ShuffleResponse)).values())
            self.assertThat(
                (sum(digests_sent.values()) <= 14, shuffles <= 8),
                Equals((True, True)),
                (digests_sent, shuffles),
            )

    def test_a_voter_relays_updates_to_the_nodes_that_report_to_it_first(self):
        fleet = self.bootstrapped(edges=12)
        counters = {host.name: SendCounter(host) for host in fleet.with_role("control")}
        self.change(fleet, 1)
        received = Counter(
            to
            for counter in counters.values()
            for to, number in counter.count_by_receiver(KeyUpdates).items()
            for _ in range(number)
        )
        edges = [received[host.address] for host in fleet.with_role("edge")]
        self.assertThat(
            (min(edges), max(edges) <= 2, sum(edges) <= 15), Equals((1, True, True)), received
        )

    def test_acknowledged_once_live_edges_have_it(self):
        fleet = self.bootstrapped()
        for version in range(1, 4):
            outcome, took_ms = self.change(fleet, version, at=f"control{version}")
            self.assertThat(
                (outcome, took_ms <= 150, self.profile_versions(fleet)),
                Equals(("ok", True, {version + 1})),
            )

    def test_an_edge_that_has_not_confirmed_in_time_is_not_waited_for(self):
        fleet = self.bootstrapped()
        settings = fleet.hosts["edge1"].settings
        fleet.hosts["edge1"].freeze()
        outcome, took_ms = self.change(fleet, 1)
        self.assertThat(
            (
                outcome,
                settings.edge_confirmation_timeout_ms - 50
                <= took_ms
                <= settings.edge_confirmation_timeout_ms + 150,
            ),
            Equals(("ok", True)),
            took_ms,
        )
        fleet.time.run_until(fleet.time.now_ms + settings.failure_timeout_ms)
        outcome, took_ms = self.change(fleet, 2)
        self.assertThat((outcome, took_ms <= 150), Equals(("ok", True)), took_ms)
        fleet.hosts["edge1"].wake()
        self.assertThat(
            fleet.run_until_true(lambda: self.profile_versions(fleet) == {3}, 1000), Equals(True)
        )

    def test_stores_are_not_waited_for_where_workers_change(self):
        fleet = self.bootstrapped()
        for host in fleet.with_role("store"):
            host.freeze()
        node = fleet.hosts["control1"].node
        self.change(fleet, 0, "workers")
        version = node.config_feed.version("workers")
        fleet.time.run_until(fleet.time.now_ms + 100)
        self.assertThat(
            [
                node.config_feed.all_have(
                    "workers", version, roles, node.settings.failure_timeout_ms
                )
                for roles in (("edge",), ("edge", "store"))
            ],
            Equals([True, False]),
        )

    def test_an_edge_leaves_voters_without_contact_with_a_majority(self):
        """The edge reaches all nodes, but the voters that it reports to are partitioned from the others."""
        fleet = self.bootstrapped()
        edge = fleet.hosts["edge1"]
        counter = SendCounter(edge)
        fleet.time.run_until(fleet.time.now_ms + 2 * edge.settings.heartbeat_ms)
        targets = [
            to
            for to in counter.count_by_receiver(VersionDigest)
            if to in {host.address for host in fleet.with_role("control")}
        ]
        self.assertThat(targets, HasLength(2))
        target_hosts = [host for host in fleet.with_role("control") if host.address in targets]
        for host in target_hosts:
            for other in fleet.with_role("control"):
                if other not in target_hosts:
                    fleet.network.partition(host.address, other.address)
        fleet.time.run_until(fleet.time.now_ms + int(1.5 * edge.settings.force_ms))
        counter.sent.clear()
        fleet.time.run_until(fleet.time.now_ms + 3 * edge.settings.heartbeat_ms)
        digests_sent = {
            to: message.rank
            for to, message in counter.sent
            if isinstance(message, VersionDigest) and message.rank
        }
        self.assertThat((len(digests_sent), set(digests_sent) & set(targets)), Equals((2, set())))
        at = next(host.name for host in fleet.with_role("control") if host not in target_hosts)
        self.assertThat(self.change(fleet, 1, at=at)[0], Equals("ok"))
        self.assertThat(
            fleet.run_until_true(lambda: edge.node.config_feed.version("profiles") == 2, 300),
            Equals(True),
        )

    def test_a_digest_target_that_stopped_is_replaced_and_selected_again(self):
        fleet = self.bootstrapped()
        edge = fleet.hosts["edge1"]
        first = edge.node.config_feed._digest_targets._targets[0]
        host = next(host for host in fleet.with_role("control") if host.address == first)
        host.kill()
        self.assertThat(
            fleet.run_until_true(
                lambda: edge.node.config_feed._digest_targets.rank(first) == 0, 2000
            ),
            Equals(True),
        )
        host.start()
        self.assertThat(
            fleet.run_until_true(
                lambda: edge.node.config_feed._digest_targets.rank(first) == 1, 9000
            ),
            Equals(True),
        )

    def test_all_nodes_know_the_number_of_live_edges(self):
        fleet = self.bootstrapped(edges=9)

        def counts():
            return {
                host.node.config_feed.edge_count()
                for role in ("edge", "store", "control")
                for host in fleet.running(role)
            }

        self.assertThat(fleet.run_until_true(lambda: counts() == {9}, 2000), Equals(True), counts())
        fleet.hosts["edge3"].kill()
        self.assertThat(fleet.run_until_true(lambda: counts() == {8}, 4000), Equals(True), counts())

    def test_a_disconnected_edge_serves_with_its_last_version_and_catches_up(self):
        fleet = self.bootstrapped()
        edge = fleet.hosts["edge1"]
        fleet.network.isolate(edge.address)
        self.assertThat(self.change(fleet, 1)[0], Equals("ok"))
        for _ in range(20):
            fleet.time.run_until(fleet.time.now_ms + 500)
            self.assertThat(
                (edge.node.why_unready(), edge.node.config_feed.version("profiles")),
                Equals(("", 1)),
            )
        fleet.network.heal()
        self.assertThat(
            fleet.run_until_true(lambda: edge.node.config_feed.version("profiles") == 2, 1500),
            Equals(True),
        )

    def test_a_restarted_node_starts_with_the_newest_from_control_or_from_its_peers(self):
        fleet = self.bootstrapped()
        self.change(fleet, 1)
        edge = fleet.hosts["edge1"]
        edge.kill()
        edge.start()
        self.assertThat(edge.node.why_unready() != "", Equals(True))
        self.assertThat(
            fleet.run_until_true(lambda: not edge.node.why_unready(), 2000), Equals(True)
        )
        self.assertThat(edge.node.config_feed.version("profiles"), Equals(2))
        for host in fleet.with_role("control"):
            host.kill()
        edge.settings = edge.settings.model_copy(
            update={"seeds": [fleet.hosts[name].address for name in ("edge2", "store1", "edge3")]}
        )
        edge.kill()
        edge.start()
        self.assertThat(
            fleet.run_until_true(lambda: not edge.node.why_unready(), 5000), Equals(True)
        )
        self.assertThat(edge.node.config_feed.version("profiles"), Equals(2))
