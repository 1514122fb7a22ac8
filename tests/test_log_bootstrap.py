"""Tests of the selection of the log's first members and of their spread over the zones."""

from log_harness import Machine
from replicated_log import LocalLog, LogReplica, select_across_zones
from runtime import Settings
from simulator.disks import SimDisk
from simulator.virtual import VirtualTime
from testtools import TestCase
from testtools.matchers import Equals

BASE = {
    "role": "store",
    "link": "10.0.0.1:1",
    "http": "10.0.0.1:2",
    "zone": "x",
    "seeds": ["10.0.0.9:1"],
    "data_folder": "d",
}


def rows(zones):
    return [
        {"identity": name, "address": f"10.0.0.{number}:1", "zone": zone}
        for number, (name, zone) in enumerate(zones.items(), 1)
    ]


class StubNode:
    """A stub of a store's node, fleet view and control client, with live stores set by the test."""

    def __init__(self, zones, **settings):
        self.time = VirtualTime(1)
        self.settings = Settings(**{**BASE, "control_count": 0, **settings})
        self.rows, self.requested_values, self.env = rows(zones), [], self
        self.address = "10.0.0.1:1"

    def now(self):
        return int(self.time.now_ms)

    def log(self, event, level="INFO", **fields):
        return None

    def log_key(self):
        return 0, ""

    def knows_fleet(self):
        return True

    def store_rows(self):
        return list(self.rows)

    def change(self, key, version, body, done):
        self.requested_values.append(body)

    def store(self, name, disk=None):
        disk = disk or SimDisk(self.time, 1 << 20)
        disk.bind(Machine())
        store = LogReplica(
            LocalLog(disk, self.settings, self.now, lambda: name), self, self, lambda leader: None
        )
        store.attach(self)
        return store

    def run(self, store, for_ms):
        end_ms = self.time.now_ms + for_ms
        while self.time.now_ms < end_ms:
            self.time.run_until(self.time.now_ms + 25)
            store.tick()


class Spread(TestCase):
    def test_members_are_taken_from_each_zone_in_turn(self):
        for zones, count, expected in (
            ({"a": "x", "b": "x", "c": "y", "d": "z"}, 3, ["a", "c", "d"]),
            ({"a": "x", "b": "x", "c": "x"}, 3, ["a", "b", "c"]),
            ({"a": "z", "b": "y", "c": "y", "d": "x"}, 5, ["d", "b", "a", "c"]),
            ({"a": "x", "b": "y", "c": "x", "d": "y", "e": "x"}, 5, ["a", "b", "c", "d", "e"]),
        ):
            self.assertThat(
                [row["identity"] for row in select_across_zones(rows(zones), count)],
                Equals(expected),
            )


class Bootstrap(TestCase):
    THREE = {"store-a": "x", "store-b": "y", "store-c": "z"}

    def test_waits_for_enough_stores(self):
        node = StubNode({"store-a": "x", "store-b": "y"}, first_start=True)
        store = node.store("a")
        node.run(store, 5000)
        self.assertThat(node.requested_values, Equals([]))
        node.rows = rows(self.THREE)
        node.run(store, 1000)
        self.assertThat(len(node.requested_values), Equals(1))

    def test_waits_until_the_list_of_stores_is_stable(self):
        node = StubNode(self.THREE, first_start=True)
        store = node.store("a")
        node.run(store, 300)
        node.rows = rows({**self.THREE, "store-d": "zz"})
        node.run(store, 300)
        self.assertThat(node.requested_values, Equals([]))
        node.run(store, 200)
        self.assertThat(len(node.requested_values), Equals(1))

    def test_members_try_one_after_another(self):
        for name, wait_ms in (("a", 600), ("b", 1100), ("c", 1600)):
            node = StubNode(self.THREE, first_start=True)
            store = node.store(name)
            node.run(store, wait_ms - 50)
            self.assertThat(node.requested_values, Equals([]))
            node.run(store, 150)
            self.assertThat(len(node.requested_values), Equals(1))

    def test_a_store_that_is_not_selected_does_not_bootstrap(self):
        node = StubNode(
            {"store-a": "x", "store-b": "x", "store-c": "y", "store-d": "z"}, first_start=True
        )
        store = node.store("b")
        node.run(store, 5000)
        self.assertThat(node.requested_values, Equals([]))

    def test_a_blank_store_added_after_the_first_start_never_bootstraps(self):
        node = StubNode(self.THREE)
        store = node.store("a")
        node.run(store, 5000)
        self.assertThat(node.requested_values, Equals([]))

    def test_a_store_of_the_first_start_bootstraps_after_a_restart(self):
        node = StubNode(self.THREE, first_start=True)
        disk = SimDisk(node.time, 1 << 20)
        store = node.store("a", disk)
        node.run(store, 200)
        identity = store.log.identity
        node.settings = Settings(**{**BASE, "control_count": 0})
        store = node.store("another", disk)
        self.assertThat(store.log.identity, Equals(identity))
        node.run(store, 1000)
        self.assertThat(len(node.requested_values), Equals(1))

    def test_a_store_with_a_fence_never_bootstraps(self):
        node = StubNode(self.THREE)
        disk = SimDisk(node.time, 1 << 20)
        store = node.store("a", disk)
        store.log.save_metadata(lambda ok: None, fence=4)
        node.run(store, 200)
        store = node.store("a", disk)
        node.run(store, 5000)
        self.assertThat(node.requested_values, Equals([]))
