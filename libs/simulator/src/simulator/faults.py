"""Fault injection: functions that each cause a fault and later undo it, and seeded schedules.

A schedule loses or damages at most one disk, since the loss of one machine with a disk is what the
fleet has to tolerate. Times are milliseconds of virtual time.
"""

from typing import Any

from simulator.history import RowKind

__all__ = ["FAULTS", "schedule"]


def _pick(fleet: Any, role: str) -> Any:
    hosts = [host for host in fleet.with_role(role) if host.up]
    return fleet.time.rng.choice(hosts) if hosts else None


def crash(fleet: Any, role: str, down_ms: float) -> None:
    """Kill a process of a role and start it again after `down_ms`."""
    host = _pick(fleet, role)
    if host is not None:
        host.kill()
        fleet.time.after(down_ms, host.start)


def crash_holder(fleet: Any, down_ms: float) -> None:
    """Kill the log's holder and start its process again after `down_ms`."""
    host = fleet.leader()
    if host is not None:
        host.kill()
        fleet.time.after(down_ms, host.start)


def crash_owner(fleet: Any, down_ms: float) -> None:
    """Kill the owner of the key `profiles` and start its process again after `down_ms`."""
    for host in fleet.with_role("control"):
        if host.up and host.node.owner.owner_of("profiles") == host.node.acceptor.identity:
            host.kill()
            fleet.time.after(down_ms, host.start)
            return


def freeze(fleet: Any, role: str, for_ms: float, step_ms: int) -> None:
    """Freeze a process for `for_ms`, with its wall clock stepped by `step_ms`.

    `role` may also be `holder`, for the log's holder.
    """
    host = fleet.leader() if role == "holder" else _pick(fleet, role)
    if host is not None:
        host.freeze()
        host.wall_step_ms += step_ms
        fleet.time.after(for_ms, host.wake)


def step_clocks(fleet: Any, step_ms: int) -> None:
    """Step each machine's wall clock by a random amount of at most `step_ms` either way."""
    for host in fleet.hosts.values():
        host.wall_step_ms += int(step_ms * (fleet.time.rng.random() - 0.5) * 2)


def loss(fleet: Any, rate: float, for_ms: float) -> None:
    """Lose and duplicate messages at `rate` for `for_ms`."""
    fleet.network.loss_rate = fleet.network.duplicate_rate = rate
    fleet.time.after(for_ms, fleet.network.heal)


def split(fleet: Any, for_ms: float) -> None:
    """Split the network into two random groups for `for_ms`."""
    hosts = [host.address for host in fleet.hosts.values()]
    fleet.time.rng.shuffle(hosts)
    at = fleet.time.rng.randrange(2, len(hosts) - 2)
    fleet.network.split([hosts[:at], hosts[at:]])
    fleet.time.after(for_ms, fleet.network.heal)


def control_split(fleet: Any, for_ms: float, cut_off: bool) -> None:
    """Split two control nodes from the rest, or all of them from the fleet if `cut_off`."""
    control = [host.address for host in fleet.with_role("control")]
    others = [host.address for host in fleet.hosts.values() if host.role != "control"]
    groups = [control, others] if cut_off else [control[:2], control[2:]]
    fleet.network.split(groups)
    fleet.time.after(for_ms, fleet.network.heal)


def minority_cut(fleet: Any, for_ms: float, restart: bool) -> None:
    """Cut most edges and a store off from control, for longer than any node is remembered."""
    side = [host for host in fleet.with_role("edge")[1:]] + fleet.with_role("store")[:1]
    names = [host.address for host in side]
    fleet.network.split(
        [names, [host.address for host in fleet.hosts.values() if host.address not in names]]
    )
    if restart:
        fleet.time.after(1500, side[0].kill)
        fleet.time.after(2000, side[0].start)
    fleet.time.after(for_ms, fleet.network.heal)


def isolate(fleet: Any, role: str, for_ms: float) -> None:
    """Cut one host of a role off from everything for `for_ms`."""
    host = _pick(fleet, role)
    if host is not None:
        fleet.network.isolate(host.address)
        fleet.time.after(for_ms, fleet.network.heal)


def slow(fleet: Any, role: str, by_ms: float, for_ms: float) -> None:
    """Delay the messages of one host of a role by up to `by_ms`."""
    host = _pick(fleet, role)
    if host is not None:
        fleet.network.slow_ms[host.address] = by_ms
        fleet.time.after(for_ms, fleet.network.heal)


def slow_disk(fleet: Any, for_ms: float) -> None:
    """Make the flushes of one store take about 150 ms each."""
    host = _pick(fleet, "store")
    if host is not None:
        host.disk.flush_ms = 150.0

        def mend() -> None:
            host.disk.flush_ms = 3.0

        fleet.time.after(for_ms, mend)


def fill(fleet: Any, role: str, for_ms: float) -> None:
    """Take the free room of all disks of a role away for `for_ms`."""
    for host in fleet.with_role(role):
        host.disk.fill()
        fleet.time.after(for_ms, host.disk.restore_capacity)


def damage(fleet: Any, role: str) -> None:
    """Invert a byte of a log or key file on one disk while its process is down."""
    host = _pick(fleet, role)
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
    """Kill a process, wipe its disk, and start it again after `down_ms`."""
    host = fleet.leader() if role == "holder" else _pick(fleet, role)
    if host is not None:
        host.lose_disk()
        fleet.time.after(down_ms, host.start)


def power_cut(fleet: Any, roles: tuple[str, ...], down_ms: float) -> None:
    """Cut the power of all hosts of these roles at once."""
    for host in fleet.hosts.values():
        if host.role in roles:
            host.lose_power()
            fleet.time.after(down_ms + fleet.time.rng.random() * 500, host.start)


def worker_fault(fleet: Any, how: str) -> None:
    """Let one worker crash, leave, fall silent for a while or be replaced, if another remains."""
    workers = [
        worker
        for worker in fleet.workers.values()
        if not (worker.crashed or worker.leaving or worker.unresponsive)
    ]
    if len(workers) < 2:
        return
    worker = fleet.time.rng.choice(workers)
    name = f"worker{len(fleet.history.rows_of('worker-left')) + 100}"
    if how == "crash":
        worker.crash()
        fleet.time.after(2000, lambda: fleet.add_worker(name, ["gpu"]))
    elif how == "leave":
        worker.leave()
        fleet.time.after(2000, lambda: fleet.add_worker(name, ["gpu"]))
    elif how == "replace":
        worker.crash()
        fleet.time.after(100, lambda: fleet.add_worker(name, ["gpu"], worker.address))
    else:
        worker.unresponsive = True
        row = fleet.history.add(
            RowKind.WORKER_LEFT,
            fleet.time.now_ms,
            worker=worker.instance_id,
            how="dark",
            until_ms=1e12,
        )

        def respond_again() -> None:
            worker.unresponsive = False
            row["until_ms"] = min(row["until_ms"], fleet.time.now_ms)

        fleet.time.after(2500, respond_again)


FAULTS: dict[str, Any] = {
    "crash-edge": lambda f: crash(f, "edge", 800),
    "crash-store": lambda f: crash(f, "store", 1500),
    "crash-control": lambda f: crash(f, "control", 1500),
    "crash-holder": lambda f: crash_holder(f, 2500),
    "crash-owner": lambda f: crash_owner(f, 2500),
    "freeze-holder": lambda f: freeze(f, "holder", 4000, 60_000),
    "freeze-edge": lambda f: freeze(f, "edge", 3500, -60_000),
    "freeze-control": lambda f: freeze(f, "control", 3000, 5000),
    "freeze-store": lambda f: freeze(f, "store", 2000, -5000),
    "step-clocks": lambda f: step_clocks(f, 3_600_000),
    "loss": lambda f: loss(f, 0.1, 2500),
    "split": lambda f: split(f, 3000),
    "control-split": lambda f: control_split(f, 3000, False),
    "control-cut-off": lambda f: control_split(f, 3000, True),
    "minority-cut": lambda f: minority_cut(f, 9500, False),
    "minority-cut-restart": lambda f: minority_cut(f, 9500, True),
    "isolate-edge": lambda f: isolate(f, "edge", 3000),
    "isolate-store": lambda f: isolate(f, "store", 3000),
    "slow-store": lambda f: slow(f, "store", 120, 3000),
    "slow-disk": lambda f: slow_disk(f, 3000),
    "lose-store-disk": lambda f: lose_disk(f, "store", 1500),
    "lose-holder-disk": lambda f: lose_disk(f, "holder", 1500),
    "lose-control-disk": lambda f: lose_disk(f, "control", 1500),
    "fill-stores": lambda f: fill(f, "store", 2500),
    "fill-control": lambda f: fill(f, "control", 2500),
    "damage-store": lambda f: damage(f, "store"),
    "damage-control": lambda f: damage(f, "control"),
    "power-stores": lambda f: power_cut(f, ("store",), 1000),
    "power-all": lambda f: power_cut(f, ("store", "control", "edge"), 1000),
    "worker-crash": lambda f: worker_fault(f, "crash"),
    "worker-leave": lambda f: worker_fault(f, "leave"),
    "worker-dark": lambda f: worker_fault(f, "dark"),
    "worker-replace": lambda f: worker_fault(f, "replace"),
}
_ONCE = (
    "lose-store-disk",
    "lose-holder-disk",
    "lose-control-disk",
    "damage-store",
    "damage-control",
)


def schedule(
    rng: Any, start_ms: float, span_ms: float, count: int, only: list[str] | None = None
) -> list[tuple[float, str]]:
    """Draw `count` faults in `span_ms` from `start_ms` on; return (time, name) rows by time."""
    names, rows, lost = list(only or FAULTS), [], False
    while len(rows) < count:
        name = rng.choice(names)
        if name in _ONCE and lost:
            continue
        lost = lost or name in _ONCE
        rows.append((start_ms + rng.random() * span_ms, name))
    return sorted(rows)
