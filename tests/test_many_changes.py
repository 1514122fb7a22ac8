"""Tests with thousands of changes: the worker list and the configuration feed stay bounded, and a node that missed
any number of changes catches up without ever going back to an older version.
"""

import json
from collections import Counter

from config_feed.patches import merge, merge_diff
from control_store import Change, ReadKey, WorkerRecords, WorkerReport, apply_reports
from control_store.change_memory import REMEMBERED_PROFILE_CHANGES
from messaging import encode
from simulator.fleet import SimFleet
from simulator.virtual import Network
from testtools import TestCase
from testtools.matchers import Equals


def _report(name, state="serving", seq=1, address="10.1.0.1:80"):
    return WorkerReport(
        identity=name,
        address=address,
        zone="north",
        label="service/s",
        slots=4,
        state=state,
        seq=seq,
        models="[]",
    )


def _after(records, *reports):
    for report in reports:
        records, _ = apply_reports(records, [report])
    return records


class ManyWorkers(TestCase):
    def test_a_late_heartbeat_of_a_worker_removed_as_silent_does_not_end_its_successor(self):
        """A worker crashed and was removed as silent, another one got its address, and a delayed heartbeat of the first
        arrives.
        """
        records = _after(
            WorkerRecords(),
            _report("old"),
            _report("old", "silent"),
            _report("new"),
            _report("old", seq=9),
        )
        self.assertThat(list(records.workers), Equals(["new"]))
        records = _after(records, _report("new", seq=2), _report("old", seq=10))
        self.assertThat(list(records.workers), Equals(["new"]))

    def test_a_worker_removed_as_silent_may_return(self):
        records = _after(WorkerRecords(), _report("a"), _report("a", "silent"), _report("a", seq=5))
        self.assertThat(list(records.workers), Equals(["a"]))
        records = _after(records, _report("a", "silent", seq=5), _report("a", seq=8))
        self.assertThat(list(records.workers), Equals(["a"]))

    def test_two_thousand_workers_started_and_ended_leave_a_bounded_list_and_small_patches(self):
        records, sizes, patches = WorkerRecords(), [], []
        for index in range(2000):
            address = f"10.1.{index % 8}.1:80"
            for report in (
                _report(f"w{index}", address=address),
                _report(f"w{index}", "draining", 5, address),
                _report(f"w{index}", "gone"),
                _report(f"w{index}", seq=9, address=address),
            ):
                before, records = records, _after(records, report)
                bodies = [json.dumps(one.to_json(), sort_keys=True) for one in (before, records)]
                patch = merge_diff(*bodies)
                self.assertThat(merge(bodies[0], patch), Equals(bodies[1]))
                patches.append(len(patch))
            sizes.append(len(bodies[1]))
        self.assertThat(records.workers, Equals({}))
        self.assertThat(
            (max(sizes[300:]) < 1.3 * sizes[300], max(patches) < 400), Equals((True, True))
        )

    def test_a_list_stored_by_an_earlier_version_is_read(self):
        stored = {"workers": {}, "ended": ["b", "a"]}
        records = _after(WorkerRecords.from_json(stored), _report("a"), _report("c", "gone"))
        wanted = {"workers": {}, "ended": {"b": 1, "a": 2, "c": 3}, "silent": {}}
        self.assertThat(records.to_json(), Equals(wanted))

    def test_ended_workers_are_remembered_until_the_list_has_turned_over_twice(self):
        """All workers of a large fleet are replaced; a late heartbeat of the first one that ended does not add it again."""
        records = WorkerRecords()
        joins = [_report(f"w{index}", address=f"10.1.{index}.1:80") for index in range(700)]
        records, _ = apply_reports(records, joins)
        for index in range(700):
            records = _after(
                records,
                _report(f"n{index}", address=f"10.2.{index}.1:80"),
                _report(f"w{index}", "gone"),
            )
        records = _after(records, _report("w0", seq=9, address="10.1.0.1:80"))
        self.assertThat(("w0" in records.workers, len(records.workers)), Equals((False, 700)))


class _MeteredNetwork(Network):
    """A network that counts the bytes sent to each address."""

    __slots__ = ("bytes_to",)

    def __init__(self, time):
        super().__init__(time)
        self.bytes_to = Counter()

    def send(self, sender, to, request_id, in_reply_to, message):
        if sender != to:
            self.bytes_to[to] += len(encode(message))
        super().send(sender, to, request_id, in_reply_to, message)


class _Fleet(SimFleet):
    NETWORK = _MeteredNetwork


_REFUSING_SETTINGS = {"control_count": 5}
_SERVING_SETTINGS = {
    "control_count": 0,
    "first_start": True,
    "cut_off": "serve",
    "catch_up_ms": 4900,
    "fan_out": 2,
    "seeds": ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"],
}


class _ObservedFleet:
    """A bootstrapped fleet that records each node's versions of a key as they come into force there.

    `violations` lists two bodies under one version, and versions that went back on a running node.
    """

    def __init__(self, seed, settings, control=6, routes=40):
        self.fleet = _Fleet(
            seed, edges=3, stores=3, control=control, workers=0, settings={**settings}
        )
        self.routes = {f"route-{index}": {"deadline_ms": 1000} for index in range(routes)}
        self.bodies: dict[tuple[str, int], str] = {}
        self.violations: list[str] = []
        self._seen: dict[tuple[str, int], int] = {}
        self._nodes: set[int] = set()
        self.watch()
        assert self.fleet.run_until_true(self._bootstrapped, 15000), "not bootstrapped"
        self.change("profiles", 2)
        assert self.fleet.run_until_true(self._all_up_to_date, 8000), "not up to date"

    def _bootstrapped(self):
        self.watch()
        nodes = [host.node for host in self.fleet.with_role("control")]
        return sum(node.has_quorum() for node in nodes) >= 5 and all(
            node.acceptor.voters for node in nodes
        )

    def _all_up_to_date(self):
        return all(
            host.node.config_feed.version("profiles") == self.newest("profiles")
            for host in self.fleet.hosts.values()
        )

    def watch(self):
        for host in self.fleet.hosts.values():
            if id(host.node) not in self._nodes:
                self._nodes.add(id(host.node))
                host.node.config_feed.watch(
                    lambda key, number, body, host=host: self._note_published(
                        host, key, number, body
                    )
                )

    def _note_published(self, host, key, number, body):
        if self.bodies.setdefault((key, number), body) != body:
            self.violations.append(f"{host.name}: two bodies under {key} {number}")
        stream = (f"{host.name}/{host.incarnation}/{key}", 0)
        if number <= self._seen.get(stream, 0):
            self.violations.append(f"{host.name}: {key} back to {number}")
        self._seen[stream] = number

    def newest(self, key):
        return max((number for body_key, number in self.bodies if body_key == key), default=0)

    def value_bytes(self, key):
        """Return the largest size of a key's stored value, including its remembered changes, among the voters."""
        registers = [
            host.node.acceptor.registers.get(key) for host in self.fleet.with_role("control")
        ]
        return max(len(register.value) for register in registers if register is not None)

    def change(self, key, count, through="control1"):
        """Submit `count` changes, each as soon as the one before it is decided; again after 700 ms without a decision."""
        goal, submitted_ms = self.newest(key) + count, -1 << 40
        while self.newest(key) < goal:
            newest, now_ms = self.newest(key), self.fleet.time.now_ms
            if newest != self._submitted_at or now_ms - submitted_ms > 700:
                self._submitted_at, submitted_ms = newest, now_ms
                self._submit(key, newest, through)
            self.fleet.time.run_until(now_ms + 5)
            self.watch()

    _submitted_at = -1

    def _submit(self, key, version, through):
        self.routes[f"route-{version % len(self.routes)}"]["deadline_ms"] = 1000 + version
        body = json.dumps(
            {"about": {"revision": version + 1}, "profiles": self.routes}, sort_keys=True
        )
        node = self.fleet.hosts[through].node
        node.owner.submit(
            Change(key=key, version=version, change_id=f"{key}-{version}", hops=0, body=body),
            lambda result: None,
        )

    def owner(self, key="profiles"):
        node = self.fleet.hosts["control1"].node
        identity = node.owner.owner_of(key)
        return next(
            host
            for host in self.fleet.with_role("control")
            if host.node.acceptor.identity == identity
        )


def _cut(fleet, host):
    fleet.network.isolate(host.address)


def _kill(fleet, host):
    host.kill()


def _lose_power(fleet, host):
    host.lose_power()


def _lose_disk(fleet, host):
    host.lose_disk()


def _fill(fleet, host):
    host.disk.fill()


class ReturningNodes(TestCase):
    """Tests of nodes that are away while the configuration changes 1, 70, 300 or 2,000 times."""

    CATCH_UP_LIMIT_MS = 2500
    OTHER_SENT_BYTES = 25_000  # besides the value: digests, node cards, other keys
    MAX_SENT_VALUES = 12  # how many times the value of the key may be sent to a returning node
    REMEMBERED_CHANGE_BYTES = 20  # size of one remembered change; its id is short in these tests

    def check_catch_up(self, watched, faults, count):
        """Check that nodes catch up after they miss `count` changes.

        Returns for each node the time that it took after its return, in ms, and the bytes sent to it in that time.
        One more change is made on the return, as a patch against a version that the nodes don't have.
        """
        fleet, names = watched.fleet, {host.name for host, _ in faults}
        through = next(
            host.name
            for host in fleet.with_role("control")
            if host.name not in names and host.node.has_quorum()
        )
        for host, inject in faults:
            inject(fleet, host)
        watched.change("profiles", count, through)
        fleet.time.run_until(fleet.time.now_ms + 300)
        fleet.network.heal()
        for host, _ in faults:
            if host.disk is not None:
                host.disk.restore_capacity()
            host.start()
        before = Counter(fleet.network.bytes_to)
        begun_ms, results = fleet.time.now_ms, []
        watched.change("profiles", 1, through)
        self.reads(watched, names, results)
        rows = {}

        def up_to_date():
            watched.watch()
            for host, _ in faults:
                if host.node.config_feed.version("profiles") >= watched.newest("profiles"):
                    sent = fleet.network.bytes_to[host.address] - before[host.address]
                    rows.setdefault(host.name, (fleet.time.now_ms - begun_ms, sent))
            return len(rows) == len(faults)

        self.assertThat(
            fleet.run_until_true(up_to_date, 6000),
            Equals(True),
            f"caught up: {rows}, expected: {names}",
        )
        fleet.time.run_until(fleet.time.now_ms + 3000)
        self.assertThat({row[0] for row in results if row[0] != "doubt"} <= {"ok"}, Equals(True))
        old = [row for row in results if row[0] == "ok" and row[1] < watched.newest("profiles")]
        self.assertThat((old, watched.violations), Equals(([], [])))
        value_bytes = watched.value_bytes("profiles")
        most_bytes = self.OTHER_SENT_BYTES + self.MAX_SENT_VALUES * value_bytes
        for took_ms, sent_bytes in rows.values():
            self.assertThat(
                (took_ms <= self.CATCH_UP_LIMIT_MS, sent_bytes <= most_bytes),
                Equals((True, True)),
                f"{count} changes, value of {value_bytes} bytes; (ms, bytes sent) by node: {rows}",
            )
        body = watched.bodies["profiles", watched.newest("profiles")]
        memory_bytes = value_bytes - len(body)
        self.assertThat(
            memory_bytes <= REMEMBERED_PROFILE_CHANGES * self.REMEMBERED_CHANGE_BYTES, Equals(True)
        )
        return rows

    def reads(self, watched, names, results):
        """Read through the voters that have just returned; the result may be DOUBT but never an old version."""
        for name in names:
            host = watched.fleet.hosts[name]
            if host.role == "control" and host.node.acceptor.voters:
                host.node.owner.submit(
                    ReadKey(key="profiles", hops=0),
                    lambda result: results.append((result.outcome, result.version)),
                )

    def test_catching_up_takes_the_same_time_after_any_number_of_changes(self):
        watched = _ObservedFleet(5, _SERVING_SETTINGS, 5)
        hosts = watched.fleet.hosts
        other = next(
            host for host in watched.fleet.with_role("control")[1:] if host is not watched.owner()
        )
        faults = [(hosts["edge2"], _kill), (hosts["store2"], _cut), (other, _kill)]
        rows = [self.check_catch_up(watched, faults, count) for count in (1, 70, 300, 2000)]
        for name in rows[0]:
            sent = [row[name][1] for row in rows[1:]]
            self.assertThat(max(sent) <= 2 * min(sent) + 4000, Equals(True), str(rows))
        self.check_registers(watched)

    def test_catching_up_with_a_standby_where_nodes_that_are_cut_off_refuse(self):
        watched = _ObservedFleet(7, _REFUSING_SETTINGS, 6)
        hosts = watched.fleet.hosts
        spare = next(
            host
            for host in watched.fleet.with_role("control")
            if host.node.why_unready().startswith("spare")
        )
        faults = [(hosts["edge2"], _cut), (hosts["store2"], _kill), (spare, _kill)]
        for count in (1, 70, 300):
            self.check_catch_up(watched, faults, count)

    def test_a_voter_and_the_owner_catch_up(self):
        """The voter or the owner is cut off, killed, or loses power or its disk, or its disk is full; in the end all five
        voters have the newest value.
        """
        watched = _ObservedFleet(6, _SERVING_SETTINGS, 5)
        for fault in (_cut, _kill, _lose_power, _lose_disk, _fill):
            owner = watched.owner()
            other = next(host for host in watched.fleet.with_role("control") if host is not owner)
            for host in (other, owner):
                self.check_catch_up(watched, [(host, fault)], 70)
                self.check_registers(watched)

    def check_registers(self, watched):
        def flushed_versions():
            watched.watch()
            return [
                host.node.acceptor.registers["profiles"].flushed.version
                for host in watched.fleet.with_role("control")
                if host.node.acceptor.identity in host.node.acceptor.voters
                and "profiles" in host.node.acceptor.registers
            ]

        wanted = [watched.newest("profiles")] * 5
        watched.fleet.run_until_true(lambda: flushed_versions() == wanted, 15000)
        self.assertThat(flushed_versions(), Equals(wanted))

    def test_a_change_of_a_large_tree_is_sent_as_a_small_patch(self):
        watched = _ObservedFleet(8, _SERVING_SETTINGS, 5, routes=200)
        edge = watched.fleet.hosts["edge1"].address
        before = watched.fleet.network.bytes_to[edge]
        watched.change("profiles", 60)
        body = watched.bodies["profiles", watched.newest("profiles")]
        sent_bytes = watched.fleet.network.bytes_to[edge] - before
        self.assertThat((sent_bytes < 60 * 700, len(body) > 5000), Equals((True, True)), sent_bytes)
        self.assertThat(watched.violations, Equals([]))
