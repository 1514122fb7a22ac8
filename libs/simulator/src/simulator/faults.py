"""Fault injection: functions that each inject a fault and, if it lasts, end it after a set time.

`schedule` draws random schedules of them. A schedule loses or damages at most one disk, since the
fleet has to tolerate the loss of one machine with a disk. The end of a network fault also ends any
other network fault (`Network.heal`). Times are milliseconds of virtual time.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

from simulator.disks import FLUSH_MS
from simulator.history import RowKind

__all__ = ["FAULTS", "LEADER", "UNRESPONSIVE", "FaultSchedule", "schedule"]

LEADER = "leader"
"""Given in place of a role, selects the store that leads the log."""

UNRESPONSIVE = "dark"
"""The `how` in the WORKER_LEFT row of a worker that is only temporarily unresponsive."""

FaultSchedule = list[tuple[float, str]]
"""The time in milliseconds and the name of each fault."""

_REPLACEMENT_OFFSET = 100
_NEVER_MS = 1e12
_SLOW_FLUSH_MS = 150.0


def _choose_host(fleet: Any, role: str) -> Any:
    """Return a random running host of a role, or the leader for LEADER; None if there is none."""
    if role == LEADER:
        return fleet.leader()
    hosts = [host for host in fleet.with_role(role) if host.up]
    return fleet.time.rng.choice(hosts) if hosts else None


def crash(fleet: Any, role: str, down_ms: float) -> None:
    """Kill a random process of a role and restart it after `down_ms`."""
    host = _choose_host(fleet, role)
    if host is not None:
        host.kill()
        fleet.time.after(down_ms, host.start)


def crash_leader(fleet: Any, down_ms: float) -> None:
    """Kill the leader of the log and restart its process after `down_ms`."""
    host = fleet.leader()
    if host is not None:
        host.kill()
        fleet.time.after(down_ms, host.start)


def crash_owner(fleet: Any, down_ms: float) -> None:
    """Kill the owner of the key `profiles` and restart its process after `down_ms`."""
    for host in fleet.with_role("control"):
        if host.up and host.node.owner.owner_of("profiles") == host.node.acceptor.identity:
            host.kill()
            fleet.time.after(down_ms, host.start)
            return


def freeze(fleet: Any, role: str, for_ms: float, step_ms: int) -> None:
    """Freeze a process of a role for `for_ms` and step its machine's wall clock by `step_ms`.

    `role` may also be LEADER.
    """
    host = _choose_host(fleet, role)
    if host is not None:
        host.freeze()
        host.wall_step_ms += step_ms
        fleet.time.after(for_ms, host.wake)


def step_clocks(fleet: Any, step_ms: int) -> None:
    """Step each machine's wall clock by a random amount of at most `step_ms` either way."""
    for host in fleet.hosts.values():
        host.wall_step_ms += int(step_ms * (fleet.time.rng.random() - 0.5) * 2)


def loss(fleet: Any, rate: float, for_ms: float) -> None:
    """Lose messages with probability `rate`, and duplicate them with `rate`, for `for_ms`."""
    fleet.network.loss_rate = fleet.network.duplicate_rate = rate
    fleet.time.after(for_ms, fleet.network.heal)


def split(fleet: Any, for_ms: float) -> None:
    """Partition all hosts into two random groups for `for_ms`."""
    hosts = [host.address for host in fleet.hosts.values()]
    fleet.time.rng.shuffle(hosts)
    at = fleet.time.rng.randrange(2, len(hosts) - 2)
    fleet.network.split([hosts[:at], hosts[at:]])
    fleet.time.after(for_ms, fleet.network.heal)


def partition_control(fleet: Any, for_ms: float, from_fleet: bool) -> None:
    """Partition two control nodes from the other control nodes for `for_ms`.

    With `from_fleet`, partition all control nodes from edges and stores instead.
    """
    control = [host.address for host in fleet.with_role("control")]
    others = [host.address for host in fleet.hosts.values() if host.role != "control"]
    groups = [control, others] if from_fleet else [control[:2], control[2:]]
    fleet.network.split(groups)
    fleet.time.after(for_ms, fleet.network.heal)


def partition_minority(fleet: Any, for_ms: float, restart: bool) -> None:
    """Partition all edges but one, and one store, from all other hosts.

    `for_ms` has to be longer than `removal_timeout_ms`, after which silent nodes
    are forgotten. With `restart`, one of the partitioned edges is restarted meanwhile.
    """
    side = fleet.with_role("edge")[1:] + fleet.with_role("store")[:1]
    addresses = [host.address for host in side]
    others = [host.address for host in fleet.hosts.values() if host.address not in addresses]
    fleet.network.split([addresses, others])
    if restart:
        fleet.time.after(1500, side[0].kill)
        fleet.time.after(2000, side[0].start)
    fleet.time.after(for_ms, fleet.network.heal)


def isolate(fleet: Any, role: str, for_ms: float) -> None:
    """Partition a random host of a role from all others for `for_ms`."""
    host = _choose_host(fleet, role)
    if host is not None:
        fleet.network.isolate(host.address)
        fleet.time.after(for_ms, fleet.network.heal)


def slow(fleet: Any, role: str, by_ms: float, for_ms: float) -> None:
    """Delay the messages to and from a random host of a role by up to `by_ms` for `for_ms`."""
    host = _choose_host(fleet, role)
    if host is not None:
        fleet.network.slow_ms[host.address] = by_ms
        fleet.time.after(for_ms, fleet.network.heal)


def slow_disk(fleet: Any, for_ms: float) -> None:
    """Make each flush of a random store take 150 ms on average for `for_ms`."""
    host = _choose_host(fleet, "store")
    if host is not None:
        host.disk.flush_ms = _SLOW_FLUSH_MS

        def restore() -> None:
            host.disk.flush_ms = FLUSH_MS

        fleet.time.after(for_ms, restore)


def fill(fleet: Any, role: str, for_ms: float) -> None:
    """Reduce the capacity of all disks of a role to 110% of the space in use for `for_ms`."""
    for host in fleet.with_role(role):
        host.disk.fill()
        fleet.time.after(for_ms, host.disk.restore_capacity)


def damage(fleet: Any, role: str) -> None:
    """Kill a process of a role, invert a byte of a log or key file, and restart it after 1 s."""
    host = _choose_host(fleet, role)
    names = (
        [name for name in host.disk.names() if name.startswith(("queue-", "keys-"))]
        if host is not None
        else []
    )
    if names:
        host.kill()
        host.disk.damage(names[0], len(host.disk.read(names[0])) // 3)
        fleet.time.after(1000, host.start)


def lose_disk(fleet: Any, role: str, down_ms: float) -> None:
    """Kill a random process of a role, wipe its disk, and restart it after `down_ms`."""
    host = _choose_host(fleet, role)
    if host is not None:
        host.lose_disk()
        fleet.time.after(down_ms, host.start)


def power_loss(fleet: Any, roles: tuple[str, ...], down_ms: float) -> None:
    """Cut the power of all hosts of these roles at once; they restart within 0.5 s of `down_ms`."""
    for host in fleet.hosts.values():
        if host.role in roles:
            host.lose_power()
            fleet.time.after(down_ms + fleet.time.rng.random() * 500, host.start)


def _choose_worker(fleet: Any) -> Any:
    """Return a random worker that accepts requests, or None if there is at most one."""
    workers = [
        worker
        for worker in fleet.workers.values()
        if not (worker.crashed or worker.leaving or worker.unresponsive)
    ]
    return fleet.time.rng.choice(workers) if len(workers) > 1 else None


def _replacement_name(fleet: Any) -> str:
    departures = len(fleet.history.rows_of(RowKind.WORKER_LEFT))
    return f"worker{departures + _REPLACEMENT_OFFSET}"


def _add_worker_later(fleet: Any, name: str, wait_ms: float, address: str = "") -> None:
    fleet.time.after(wait_ms, lambda: fleet.add_worker(name, ["gpu"], address))


def crash_worker(fleet: Any) -> None:
    """Crash a random worker and start another at a new address after 2 s."""
    worker, name = _choose_worker(fleet), _replacement_name(fleet)
    if worker is not None:
        worker.crash()
        _add_worker_later(fleet, name, 2000)


def remove_worker(fleet: Any) -> None:
    """Let a random worker leave and start another at a new address after 2 s."""
    worker, name = _choose_worker(fleet), _replacement_name(fleet)
    if worker is not None:
        worker.leave()
        _add_worker_later(fleet, name, 2000)


def replace_worker(fleet: Any) -> None:
    """Crash a random worker and start another at the same address after 100 ms."""
    worker, name = _choose_worker(fleet), _replacement_name(fleet)
    if worker is not None:
        worker.crash()
        _add_worker_later(fleet, name, 100, worker.address)


def make_worker_unresponsive(fleet: Any) -> None:
    """Make a random worker unresponsive for 2.5 s."""
    worker = _choose_worker(fleet)
    if worker is None:
        return
    worker.unresponsive = True
    row = fleet.history.add(
        RowKind.WORKER_LEFT,
        fleet.time.now_ms,
        worker=worker.instance_id,
        how=UNRESPONSIVE,
        until_ms=_NEVER_MS,
    )

    def respond_again() -> None:
        worker.unresponsive = False
        row["until_ms"] = min(row["until_ms"], fleet.time.now_ms)

    fleet.time.after(2500, respond_again)


FAULTS: dict[str, Callable[[Any], None]] = {
    "crash-edge": partial(crash, role="edge", down_ms=800),
    "crash-store": partial(crash, role="store", down_ms=1500),
    "crash-control": partial(crash, role="control", down_ms=1500),
    "crash-holder": partial(crash_leader, down_ms=2500),
    "crash-owner": partial(crash_owner, down_ms=2500),
    "freeze-holder": partial(freeze, role=LEADER, for_ms=4000, step_ms=60_000),
    "freeze-edge": partial(freeze, role="edge", for_ms=3500, step_ms=-60_000),
    "freeze-control": partial(freeze, role="control", for_ms=3000, step_ms=5000),
    "freeze-store": partial(freeze, role="store", for_ms=2000, step_ms=-5000),
    "step-clocks": partial(step_clocks, step_ms=3_600_000),
    "loss": partial(loss, rate=0.1, for_ms=2500),
    "split": partial(split, for_ms=3000),
    "control-split": partial(partition_control, for_ms=3000, from_fleet=False),
    "control-cut-off": partial(partition_control, for_ms=3000, from_fleet=True),
    "minority-cut": partial(partition_minority, for_ms=9500, restart=False),
    "minority-cut-restart": partial(partition_minority, for_ms=9500, restart=True),
    "isolate-edge": partial(isolate, role="edge", for_ms=3000),
    "isolate-store": partial(isolate, role="store", for_ms=3000),
    "slow-store": partial(slow, role="store", by_ms=120, for_ms=3000),
    "slow-disk": partial(slow_disk, for_ms=3000),
    "lose-store-disk": partial(lose_disk, role="store", down_ms=1500),
    "lose-holder-disk": partial(lose_disk, role=LEADER, down_ms=1500),
    "lose-control-disk": partial(lose_disk, role="control", down_ms=1500),
    "fill-stores": partial(fill, role="store", for_ms=2500),
    "fill-control": partial(fill, role="control", for_ms=2500),
    "damage-store": partial(damage, role="store"),
    "damage-control": partial(damage, role="control"),
    "power-stores": partial(power_loss, roles=("store",), down_ms=1000),
    "power-all": partial(power_loss, roles=("store", "control", "edge"), down_ms=1000),
    "worker-crash": crash_worker,
    "worker-leave": remove_worker,
    "worker-dark": make_worker_unresponsive,
    "worker-replace": replace_worker,
}
"""The faults by their names in schedules."""

_DISK_LOSSES = (
    "lose-store-disk",
    "lose-holder-disk",
    "lose-control-disk",
    "damage-store",
    "damage-control",
)


def schedule(
    rng: Any, start_ms: float, span_ms: float, count: int, only: list[str] | None = None
) -> FaultSchedule:
    """Draw `count` faults at random times within `span_ms` from `start_ms`; return them by time.

    `only` gives the names from which faults are drawn, by default all.
    """
    names, disk_lost = list(only or FAULTS), False
    rows: FaultSchedule = []
    while len(rows) < count:
        name = rng.choice(names)
        if name in _DISK_LOSSES and disk_lost:
            continue
        disk_lost = disk_lost or name in _DISK_LOSSES
        rows.append((start_ms + rng.random() * span_ms, name))
    return sorted(rows)
