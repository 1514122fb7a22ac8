"""A harness of three log replicas without a fleet, on simulated disks and virtual time.

Messages take 1 ms. A test can cut replicas off, cut the power of disks and set the time of day.
"""

from batch_state import entries
from replicated_log import Leader, LocalLog, Recovery, ReplicaAddress
from replicated_log.follower import Follower
from replicated_log.records import decode_entry
from runtime import Settings
from simulator.disks import SimDisk
from simulator.virtual import VirtualTime

SETTINGS = Settings(
    role="store",
    link="10.0.0.1:1",
    http="10.0.0.1:2",
    zone="z",
    seeds=["10.0.0.1:1"],
    data_folder="d",
    delta_ms=50,
    flush_ms=1000,
    segment_bytes=4096,
)

MEMBERS = [ReplicaAddress(f"store-{name}", name) for name in ("a", "b", "c")]


class Machine:
    """A stub of the host of a simulated disk."""

    def __init__(self):
        self.up, self.frozen, self.incarnation = True, False, 1

    def when_awake(self, callback, incarnation):
        if self.up:
            callback()


class LogHarness:
    """Three replicas, one of which may lead; a test may replace `send` and `request`.

    No messages pass to or from the replicas in `cut`.
    """

    def __init__(self, seed=1):
        self.time = VirtualTime(seed)
        self.wall_ms = 1_000_000
        self.disks = {}
        self.machines = {}
        self.logs = {}
        self.followers = {}
        self.cut = set()
        self.leader = None
        self.deposed_by = []
        for name in ("a", "b", "c"):
            self.disks[name] = SimDisk(self.time, 1 << 20, 1.0)
            self.open(name)

    def open(self, name, token=""):
        """Open the replica's log, as a restart does; a blank disk is named after `token`, or else `name`."""
        self.machines[name] = Machine()
        self.disks[name].bind(self.machines[name])
        self.logs[name] = LocalLog(self.disks[name], SETTINGS, self.now, lambda: token or name)
        self.followers[name] = Follower(self.logs[name])

    def now(self):
        return int(self.time.now_ms)

    def members(self):
        return [ReplicaAddress(self.logs[name].identity, name) for name in ("a", "b", "c")]

    def lead(self, name, epoch, members=None):
        self.logs[name].save_metadata(lambda ok: None, fence=epoch, log_epoch=epoch)
        self.run(10)
        self.leader = Leader(
            self.logs[name],
            epoch,
            members or self.members(),
            SETTINGS,
            self.now,
            lambda: self.wall_ms,
            lambda to, message: self.send(to, message),
            self.deposed_by.append,
        )
        self.leader_name = name
        return self.leader

    def send(self, to, message):
        if to not in self.cut:
            self.time.after(
                1,
                lambda: self.followers[to].receive(
                    message, lambda response: self.send_back(to, response)
                ),
            )

    def send_back(self, sender, response):
        if sender not in self.cut:
            self.time.after(
                1, lambda: self.leader.handle_response(response, sender) if self.leader else None
            )

    def request(self, to, message, wait_ms, done):
        if to in self.cut:
            self.time.after(wait_ms, lambda: done(None))
        else:
            self.time.after(1, lambda: self.followers[to].receive(message, done))

    def run(self, for_ms):
        end_ms = self.time.now_ms + for_ms
        while self.time.now_ms < end_ms:
            self.time.run_until(min(end_ms, self.time.now_ms + 10))
            if self.leader is not None:
                self.leader.tick()

    def append(self, key, durable=False):
        outcomes = []
        self.leader.append([entry(key)], durable, outcomes.append)
        return outcomes

    def recover(self, name, epoch, members=None):
        outcome = []
        recovery = Recovery(
            self.logs[name],
            epoch,
            members or self.members(),
            SETTINGS,
            lambda *call: self.request(*call),
            self.now,
            outcome.append,
        )
        self.leader = None
        recovery.start()
        self.run(3000)
        return outcome

    def keys(self, name):
        return [decode_entry(record).key for record in self.logs[name].records]


def entry(key):
    return entries.KeyOpened(key=key, digest="d", edge="e", request_id="t", at_ms=0)
