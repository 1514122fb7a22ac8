"""Tests of a voter's files over thousands of changes, power failures, full and slow disks: their size stays bounded,
and no register reverts to an older version.
"""

import errno
import json
import os
import random
import tempfile
from types import SimpleNamespace

from control_store import Acceptor
from control_store.messages import Accept, Confirm, Value, VoterListDecided
from messaging import Origin, decode, encode
from simulator.disks import SimDisk
from simulator.virtual import VirtualTime
from storage import FolderDisk
from testtools import TestCase
from testtools.matchers import Equals, LessThan

_SEGMENT_BYTES = 1 << 13
_SNAPSHOT, _LOG = "keys-snapshot", "keys-log-"


class _Disk(SimDisk):
    """Fails flushes or file replacements on request, as a full disk does."""

    def __init__(self, *values):
        super().__init__(*values)
        self.flushes_fail = self.replaces_fail = False

    def flush(self, names, done):
        if self.flushes_fail:
            self._schedule(lambda: done(False))
        else:
            super().flush(names, done)

    def replace(self, name, data, done):
        if self.replaces_fail:
            self._schedule(lambda: done(False))
        else:
            super().replace(name, data, done)


class _Machine:
    """One voter on a simulated disk and without a network; its replies are collected in `replies`."""

    def __init__(self, seed, capacity_bytes=1 << 20, flush_ms=3.0):
        self.time = VirtualTime(seed)
        self.disk = _Disk(self.time, capacity_bytes, flush_ms)
        self.incarnation, self.up, self.replies = 0, True, []
        self.acknowledged: dict[str, int] = {}
        self._requests: list[tuple[str, int]] = [("", 0)]
        self.settings = SimpleNamespace(segment_bytes=_SEGMENT_BYTES)
        self.start()
        listed = {"number": 1, "voters": [{"identity": self.acceptor.identity, "address": "a"}]}
        self.send(VoterListDecided(list_body=json.dumps(listed)))
        self.run(500)

    def when_awake(self, what, incarnation):
        what()

    def reply(self, origin, message):
        self.replies.append(message)
        key, version = self._requests[origin.request_id]
        if key and message.ok:
            self.acknowledged[key] = max(self.acknowledged.get(key, 0), version)

    def start(self):
        self.incarnation += 1
        self.disk.bind(self)
        self.acceptor = Acceptor(self.disk, lambda: f"{self.incarnation}")
        self.acceptor.attach(self)

    def lose_power(self):
        self.incarnation += 1
        self.disk.lose_power()
        self.start()

    def send(self, message, key="", version=0):
        self._requests.append((key, version))
        self.acceptor.receive(message, Origin("a", len(self._requests) - 1))

    def accept(self, version, epoch=1, key="profiles", body=""):
        value = Value(version=version, body=body, change_ids=[], change_versions=[])
        message = Accept(key=key, epoch=epoch, proposer="o", value=encode(value), list_number=1)
        self.send(message, key, version)

    def run(self, span_ms, step_ms=5):
        end_ms = self.time.now_ms + span_ms
        while self.time.now_ms < end_ms:
            self.time.run_until(self.time.now_ms + step_ms)
            self.acceptor.tick()

    def version(self, key="profiles"):
        register = self.acceptor.registers.get(key)
        return register.version if register else 0

    def log_names(self):
        return [name for name in self.disk.names() if name.startswith(_LOG)]

    def used_bytes(self):
        return sum(len(self.disk.read(name)) for name in self.disk.names())


class VoterFiles(TestCase):
    def test_files_stay_bounded_over_two_thousand_changes(self):
        machine, largest = _Machine(1), 0
        for version in range(1, 2001):
            machine.accept(version, body="x" * 700)
            machine.run(10)
            largest = max(largest, machine.used_bytes())
        self.assertThat(largest, LessThan(3 * _SEGMENT_BYTES))
        machine.start()
        self.assertThat((machine.version(), machine.used_bytes() == largest), Equals((2000, False)))

    def test_the_log_is_replaced_by_a_snapshot_even_if_the_disk_is_never_idle(self):
        """Votes arrive faster than a slow disk flushes, so that each flush starts as the previous one ends."""
        machine, largest = _Machine(2, flush_ms=60.0), 0
        for version in range(1, 1001):
            machine.accept(version, body="x" * 700)
            machine.run(10)
            largest = max(largest, machine.used_bytes())
        self.assertThat(largest, LessThan(8 * _SEGMENT_BYTES))
        machine.run(500)
        self.assertThat({vote.ok for vote in machine.replies}, Equals({True}))
        machine.lose_power()
        self.assertThat(machine.version(), Equals(1000))

    def test_an_old_log_that_reappears_restores_no_old_value(self):
        """Two logs are removed after one snapshot, without a sync of their folder in between. After a power failure the
        older log exists again, but the newer one doesn't.
        """
        machine = _Machine(3)
        machine.disk.replaces_fail = True
        self._change(machine, range(1, 16))
        old, newer = machine.log_names()
        data = machine.disk.read(old)
        machine.disk.replaces_fail = False
        version = 15
        while {old, newer} & set(machine.disk.names()):
            version += 1
            self.assertThat(version, LessThan(40))
            self._change(machine, [version])
        machine.disk.write(old, 0, data)
        machine.start()
        self.assertThat(machine.version(), Equals(version))

    def _change(self, machine, versions):
        for version in versions:
            machine.accept(version, body="x" * 900)
            machine.run(20)

    def test_acknowledged_votes_survive_a_power_failure_at_any_moment(self):
        for seed in range(60):
            rng, machine = random.Random(seed), _Machine(seed)
            sent = dict.fromkeys(("profiles", "workers"), 0)
            for _ in range(6):
                for _ in range(rng.randrange(5, 60)):
                    key = rng.choice(list(sent))
                    sent[key] += 1
                    machine.accept(sent[key], key=key, body="x" * rng.randrange(900))
                    machine.run(rng.choice((0, 1, 4, 20)), 1)
                machine.lose_power()
                for key, version in machine.acknowledged.items():
                    self.assertThat(machine.version(key) >= version, Equals(True), f"{seed} {key}")
                sent = {key: machine.version(key) for key in sent}

    def test_a_vote_whose_flush_failed_is_not_reported_as_flushed(self):
        machine = _Machine(5)
        machine.accept(1)
        machine.run(50)
        machine.disk.flushes_fail = True
        machine.accept(2)
        machine.run(50)
        self.assertThat(machine.replies[-1].ok, Equals(False))
        machine.send(Confirm(key="profiles", epoch=1, proposer="o", list_number=1))
        self.assertThat(decode(machine.replies[-1].value).version, Equals(1))

    def test_a_vote_that_is_not_flushed_yet_is_not_reported_as_flushed(self):
        machine = _Machine(6, flush_ms=40.0)
        machine.accept(1)
        machine.run(200)
        machine.accept(2)
        machine.send(Confirm(key="profiles", epoch=1, proposer="o", list_number=1))
        self.assertThat(
            (machine.replies[-1].ok, decode(machine.replies[-1].value).version), Equals((True, 1))
        )
        machine.run(200)
        machine.send(Confirm(key="profiles", epoch=1, proposer="o", list_number=1))
        self.assertThat(decode(machine.replies[-1].value).version, Equals(2))

    def test_records_of_a_killed_process_are_flushed_before_they_are_reported_as_flushed(self):
        machine = _Machine(8, flush_ms=40.0)
        machine.accept(1)
        machine.start()
        machine.send(Confirm(key="profiles", epoch=1, proposer="o", list_number=1))
        self.assertThat((machine.replies[-1].ok, machine.replies[-1].value), Equals((True, b"")))
        machine.run(200)
        machine.send(Confirm(key="profiles", epoch=1, proposer="o", list_number=1))
        self.assertThat(decode(machine.replies[-1].value).version, Equals(1))
        machine.lose_power()
        self.assertThat(machine.version(), Equals(1))

    def test_a_full_disk_that_has_space_again_removes_its_logs(self):
        machine, version = _Machine(7), 0
        for capacity_bytes in (24_000, 1 << 20):
            machine.disk.capacity_bytes = capacity_bytes
            for _ in range(40):
                version += 1
                machine.accept(version, body="x" * 700)
                machine.run(20)
        self.assertThat((machine.acknowledged["profiles"], machine.version()), Equals((80, 80)))
        self.assertThat(machine.used_bytes(), LessThan(3 * _SEGMENT_BYTES))
        machine.lose_power()
        self.assertThat(machine.version(), Equals(80))


class VoterOnFullDevice(TestCase):
    """Tests of a voter on a real folder whose device is full for a while."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.calls, self.replies, self.full = [], [], False
        self.settings = SimpleNamespace(segment_bytes=_SEGMENT_BYTES)
        self.disk = FolderDisk(folder.name, 1 << 20, self.calls.append)
        self.addCleanup(self.disk.close)
        plain = os.pwrite
        self.addCleanup(setattr, os, "pwrite", plain)

        def pwrite(handle, data, offset):
            if self.full:
                raise OSError(errno.ENOSPC, "full")
            return plain(handle, data, offset)

        os.pwrite = pwrite
        self.acceptor = Acceptor(self.disk, lambda: "1")
        self.acceptor.attach(self)
        listed = {"number": 1, "voters": [{"identity": self.acceptor.identity, "address": "a"}]}
        self.acceptor.receive(VoterListDecided(list_body=json.dumps(listed)), Origin("a", 1))
        self.finish_disk_work()

    def reply(self, origin, message):
        self.replies.append(message.ok)

    def finish_disk_work(self):
        """Wait until the disk's thread has finished its work, and run the callbacks that it has queued."""
        self.acceptor.tick()
        for _ in range(3):
            self.disk._worker.submit(lambda: None).result()
            calls, self.calls[:] = list(self.calls), []
            for call in calls:
                call()

    def vote(self, version):
        value = Value(version=version, body="x" * 700, change_ids=[], change_versions=[])
        accept = Accept(key="profiles", epoch=1, proposer="o", value=encode(value), list_number=1)
        self.acceptor.receive(accept, Origin("a", 1))
        self.finish_disk_work()
        return self.replies[-1]

    def test_it_votes_again_once_there_is_space(self):
        self.assertThat([self.vote(version) for version in (1, 2)], Equals([True, True]))
        self.full = True
        self.assertThat([self.vote(version) for version in (3, 4, 5)], Equals([False] * 3))
        self.full = False
        self.finish_disk_work()
        accepted = [self.vote(version) for version in range(6, 40)]
        self.assertThat(accepted, Equals([True] * len(accepted)))
        names = self.disk.names()
        self.assertThat(len(names) <= 4, Equals(True), str(names))
