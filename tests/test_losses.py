"""Tests of stores that lose power or their disks right after an acknowledgement, one after another, and around a
retirement. At most store_faults disks of a simulated fleet are lost at once, and all acknowledged data is read back.
"""

from control_store import Change
from simulator import judge
from simulator.runs import Run
from testtools import TestCase
from testtools.matchers import Equals

SETTINGS = {"catch_up_ms": 4900, "segment_bytes": 1 << 14}
CATCH_UP_MS = 4900


class Losses(TestCase):
    def bootstrapped(self, seed, **sizes):
        settings = {**SETTINGS, **sizes.pop("settings", {})}
        run = Run(seed, settings=settings, **sizes)
        run.start()
        run.fleet.run_until_true(lambda: False, 800)
        self.jobs(run, 2)
        return run, run.fleet

    def jobs(self, run, count, then=None):
        """Submit jobs one by one; `then` is called at the moment when the last one is acknowledged."""
        for number in range(count):
            seen = []

            def acknowledged(row, last=number == count - 1, seen=seen):
                seen.append(row)
                if last and then is not None:
                    then()

            run.clients.submit("summaries", 5, 6, done=acknowledged)
            run.fleet.run_until_true(lambda seen=seen: seen, 12_000)
            self.assertThat([row["outcome"] for row in seen], Equals(["admitted"]))

    def wait(self, fleet, wait_ms):
        fleet.run_until_true(lambda: False, wait_ms)

    def check_nothing_lost(self, run, delayed=False):
        """Read everything back; with `delayed`, more was lost at once than is tolerated, so late lots are accepted."""
        fleet = run.fleet
        self.assertThat(
            fleet.run_until_true(lambda: fleet.leader() is not None, 12_000), Equals(True)
        )
        self.wait(fleet, 3000)
        run.read_all()
        violations = judge(fleet.history)
        if delayed:
            violations.pop("lots-in-time", None)
        self.assertThat(violations, Equals({}))
        self.assertThat(
            len(fleet.history.rows_of("final")),
            Equals(sum(job.acknowledged for job in run.clients.jobs.values())),
        )

    def peers(self, fleet):
        return [host for host in fleet.with_role("store") if host is not fleet.leader()]

    def inject_fault(self, fleet, wiped, unpowered, down_ms=1200):
        for host in unpowered:
            host.lose_power()
        for host in wiped:
            host.lose_disk()
        for index, host in enumerate(wiped + unpowered):
            fleet.time.after(down_ms + 150 * index, host.start)

    def members(self, fleet):
        value = fleet.with_role("control")[0].node.config_feed.value("log")
        return (
            {row["identity"] for row in value["members"]} if value["phase"] == "serving" else set()
        )

    def is_member(self, fleet, host):
        return host.up and host.node.log.log.identity in self.members(fleet)

    def test_power_or_disks_lost_right_after_an_acknowledgement(self):
        rows = {
            "the leader's power": lambda leader, peers: ([], [leader]),
            "a peer's power": lambda leader, peers: ([], peers[:1]),
            "the power of all stores": lambda leader, peers: ([], [leader, *peers]),
            "the leader's disk": lambda leader, peers: ([leader], []),
            "a peer's disk": lambda leader, peers: (peers[1:], []),
            "the leader's disk, the power of the others": lambda leader, peers: ([leader], peers),
            "a peer's disk, the power of the others": lambda leader, peers: (
                peers[:1],
                [leader, *peers[1:]],
            ),
        }
        for seed, choose in enumerate(rows.values()):
            run, fleet = self.bootstrapped(seed)
            for host in fleet.with_role("store"):
                host.disk.flush_ms = 20.0
            wiped, unpowered = choose(fleet.leader(), self.peers(fleet))
            self.wait(fleet, 1500)
            self.jobs(
                run,
                1,
                lambda fleet=fleet, wiped=wiped, unpowered=unpowered: self.inject_fault(
                    fleet, wiped, unpowered
                ),
            )
            self.wait(fleet, 3000)
            self.check_nothing_lost(run)

    def test_two_of_five_disks_lost_and_power_of_the_others(self):
        run, fleet = self.bootstrapped(4, stores=5, settings={"store_faults": 2})
        for _ in range(2):
            stores = fleet.with_role("store")
            fleet.time.rng.shuffle(stores)
            self.jobs(
                run, 1, lambda stores=stores: self.inject_fault(fleet, stores[:2], stores[2:])
            )
            self.wait(fleet, 1500 + CATCH_UP_MS)
            self.assertThat(
                [self.is_member(fleet, host) for host in fleet.with_role("store")],
                Equals([True] * 5),
            )
        self.check_nothing_lost(run)

    def test_disks_lost_one_after_another_each_caught_up(self):
        run, fleet = self.bootstrapped(5)
        for _ in range(3):
            for host in fleet.with_role("store"):
                self.jobs(run, 1, lambda host=host: self.inject_fault(fleet, [host], [], 600))
                self.wait(fleet, 600 + CATCH_UP_MS)
                self.assertThat(self.is_member(fleet, host), Equals(True))
        self.check_nothing_lost(run)

    def test_a_store_replaced_at_another_address_and_then_another_disk_lost(self):
        run, fleet = self.bootstrapped(6)
        for number in range(2):
            lost = fleet.leader() if number else self.peers(fleet)[0]
            lost.lose_disk()
            fleet.hosts.pop(lost.name)
            self.wait(fleet, 2000)
            new_host = fleet.add("store", f"fresh{number}")
            self.jobs(run, 1)
            self.wait(fleet, CATCH_UP_MS - 1000)
            self.assertThat(self.is_member(fleet, new_host), Equals(True))
            self.jobs(run, 1, lambda: self.inject_fault(fleet, [fleet.leader()], []))
            self.wait(fleet, 1200 + CATCH_UP_MS)
        self.check_nothing_lost(run)

    def retire(self, fleet, host):
        node = fleet.with_role("control")[0].node
        version = node.config_feed.version("retired")
        names = (node.config_feed.value("retired") or {"identities": []})["identities"] + [
            host.node.log.log.identity
        ]
        body = '{"identities": [' + ", ".join(f'"{name}"' for name in names) + "]}"
        node.owner.submit(
            Change(key="retired", version=version, change_id=f"r{version}", body=body, hops=0),
            lambda result: None,
        )

    def test_a_retired_store_removed_and_another_disk_lost_at_once(self):
        for seed, leader_retires in enumerate((True, False, True, False)):
            run, fleet = self.bootstrapped(20 + seed)
            fleet.add("store", "fresh")
            self.wait(fleet, 1000)
            self.jobs(run, 1)
            host = fleet.leader() if leader_retires else self.peers(fleet)[0]
            old, began_ms = host.node.log.log.identity, fleet.time.now_ms
            self.retire(fleet, host)
            finished = fleet.run_until_true(
                lambda fleet=fleet, old=old: self.members(fleet) and old not in self.members(fleet),
                4000,
            )
            self.assertThat((finished, fleet.time.now_ms - began_ms < 2000), Equals((True, True)))
            host.lose_disk()
            fleet.hosts.pop(host.name)
            rest = fleet.with_role("store")
            self.inject_fault(fleet, [rest.pop(seed % len(rest))], rest if seed > 1 else [])
            self.wait(fleet, 1500 + CATCH_UP_MS)
            self.jobs(run, 1)
            self.check_nothing_lost(run)

    def test_a_wiped_store_returns_while_another_is_frozen(self):
        run, fleet = self.bootstrapped(8)
        leader, (one, _) = fleet.leader(), self.peers(fleet)
        self.jobs(run, 1, lambda: self.inject_fault(fleet, [leader], [], 400))
        one.freeze()
        self.wait(fleet, 4000)
        self.assertThat(fleet.leader(), Equals(None))
        one.wake()
        self.wait(fleet, CATCH_UP_MS)
        self.jobs(run, 1)
        self.check_nothing_lost(run, delayed=True)

    def test_the_first_store_back_neither_recovers_alone_nor_bootstraps(self):
        run, fleet = self.bootstrapped(9)
        leader, peers = fleet.leader(), self.peers(fleet)
        number = fleet.with_role("control")[0].node.config_feed.value("log")["epoch"]
        for host in fleet.hosts.values():
            host.lose_power()
        leader.lose_disk()
        for host in [*fleet.with_role("control"), *fleet.with_role("edge"), leader, peers[0]]:
            host.start()
        fleet.add("store", "fresh")
        fleet.add("store", "another")
        self.wait(fleet, 7000)
        self.assertThat(fleet.leader(), Equals(None))
        self.assertThat(
            fleet.with_role("control")[0].node.config_feed.value("log")["epoch"] >= number,
            Equals(True),
        )
        peers[1].start()
        self.wait(fleet, CATCH_UP_MS)
        self.jobs(run, 1)
        self.check_nothing_lost(run, delayed=True)
