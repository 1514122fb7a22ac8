"""How the cost of a node grows with the size of the fleet.

Simulated fleets of several sizes serve no requests: nodes exchange their heartbeats and workers
report theirs. The simulated network and hosts meter each node. A node's processor time is that of
its ticks, messages and reports, and of encoding and decoding its messages as a link does; sockets
are not included. Slopes are fitted by least squares over the sizes, one for each seed.
"""

import gc
import sys
from collections import defaultdict
from collections.abc import Callable, Iterable
from statistics import fmean
from time import process_time
from types import BuiltinFunctionType, FunctionType, ModuleType
from typing import Any

from control_store import WorkerReport
from messaging import decode, encode
from runtime import Settings
from simulator.disks import SimDisk
from simulator.fleet import SimFleet
from simulator.hosts import SimEnvironment, SimHost
from simulator.operators import Operators
from simulator.virtual import Network, VirtualTime
from simulator.worker_transport import SimSender

__all__ = [
    "SETTINGS",
    "MeteredFleet",
    "create_fleet",
    "fit_line",
    "held_bytes",
    "measure_scale",
    "meter_span",
]

SETTINGS: dict[str, Any] = {
    "control_count": 0,
    "first_start": True,
    "cut_off": "serve",
    "catch_up_ms": 4900,
    "fan_out": 2,
    "worker_beat_ms": 1200,
    "seeds": ["10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"],
}
_CONTROL, _STORES = 3, 3
_BOOTSTRAP_TIMEOUT_MS, _SETTLE_MS = 30_000, 5000
_ENVELOPE_BYTES = 32
_WORKERS_PER_NODE = 690 / 340
_ROLES = ("control", "store", "edge")
_EXCLUDED_TYPES = (
    type,
    ModuleType,
    BuiltinFunctionType,
    SimFleet,
    Network,
    VirtualTime,
    SimHost,
    SimEnvironment,
    SimSender,
    SimDisk,
    Settings,
)


class Meter:
    """Processor time by address and kind of work, and messages and bytes by address.

    `excluded_s` is the processor time of sending in the simulated network, which `run` leaves out.
    """

    __slots__ = ("counts", "excluded_s", "work_s")

    def __init__(self) -> None:
        self.work_s: dict[tuple[str, str], float] = defaultdict(float)
        self.counts: dict[tuple[str, str], int] = defaultdict(int)
        self.excluded_s = 0.0

    def clear(self) -> None:
        """Set all figures to zero, except `excluded_s`."""
        self.work_s.clear()
        self.counts.clear()

    def run(self, address: str, kind: str, work: Callable[..., Any], *arguments: Any) -> None:
        """Call `work` and add its processor time to an address, without that of `excluded_s`."""
        excluded_s, began_s = self.excluded_s, process_time()
        work(*arguments)
        self.work_s[address, kind] += process_time() - began_s - (self.excluded_s - excluded_s)


class MeteredNetwork(Network):
    __slots__ = ("meter",)

    def __init__(self, time: VirtualTime) -> None:
        super().__init__(time)
        self.meter = Meter()

    def send(self, sender: str, to: str, request_id: int, in_reply_to: int, message: Any) -> None:
        meter, began_s = self.meter, process_time()
        if sender != to:
            data = encode(message)
            encoded_s = process_time()
            decode(data)
            meter.work_s[sender, "packing"] += encoded_s - began_s
            meter.work_s[to, "packing"] += process_time() - encoded_s
            meter.counts[sender, "sent"] += 1
            meter.counts[to, "received"] += 1
            meter.counts[sender, "bytes"] += len(data) + _ENVELOPE_BYTES
            if self.zones.get(sender) != self.zones.get(to):
                meter.counts["", "zone_bytes"] += len(data) + _ENVELOPE_BYTES
        super().send(sender, to, request_id, in_reply_to, message)
        meter.excluded_s += process_time() - began_s

    def _arrive(
        self, sender: str, to: str, request_id: int, in_reply_to: int, message: Any
    ) -> None:
        self.meter.run(to, "receive", super()._arrive, sender, to, request_id, in_reply_to, message)


class MeteredHost(SimHost):
    __slots__ = ()

    def _tick(self, life: int) -> None:
        self.network.meter.run(self.address, "tick", super()._tick, life)

    def when_awake(self, what: Callable[[], None], life: int) -> None:
        self.network.meter.run(self.address, "disk", super().when_awake, what, life)


class MeteredFleet(SimFleet):
    """A simulated fleet whose hosts and network are metered."""

    __slots__ = ()
    NETWORK, HOST = MeteredNetwork, MeteredHost

    @property
    def meter(self) -> Meter:
        """The meter of the whole fleet."""
        return self.network.meter

    def start_worker_reports(self, count: int) -> None:
        """Start the periodic reports of `count` workers, each to a random control node.

        The reports of a worker differ only in their sequence number.
        """
        interval_ms = SETTINGS["worker_beat_ms"]
        for index in range(count):
            self.time.after(
                interval_ms * self.time.rng.random(),
                lambda index=index: self._send_report(index, 1, interval_ms),
            )

    def _send_report(self, index: int, seq: int, interval_ms: int) -> None:
        host = self.time.rng.choice(self.running("control"))
        report = WorkerReport(
            identity=f"worker-{index}",
            address=f"10.9.{index >> 8}.{index & 255}:8080",
            zone="north",
            label="gpu",
            slots=8,
            state="serving",
            seq=seq,
            models='[{"name": "m", "revision": 1}]',
        )
        self.meter.run(
            host.address, "report", host.node.worker_list.report, report, lambda outcome: None
        )
        self.meter.counts[host.address, "reports"] += 1
        self.time.after(interval_ms, lambda: self._send_report(index, seq + 1, interval_ms))


def create_fleet(seed: int, nodes: int, settings: dict[str, Any] | None = None) -> MeteredFleet:
    """Return a fleet that is ready, with profiles in force at every edge."""
    fleet = MeteredFleet(
        seed,
        edges=nodes - _CONTROL - _STORES,
        stores=_STORES,
        control=_CONTROL,
        workers=0,
        settings={**SETTINGS, **(settings or {})},
    )
    if not fleet.run_until_true(
        lambda: all(host.node.has_quorum() for host in fleet.with_role("control")),
        _BOOTSTRAP_TIMEOUT_MS,
    ):
        raise AssertionError("no quorum of control nodes within 30 s of virtual time")
    Operators(fleet).change()
    if not fleet.run_until_true(
        lambda: fleet.ready() and fleet.leader() is not None, _BOOTSTRAP_TIMEOUT_MS
    ):
        raise AssertionError("fleet not ready within 30 s of virtual time")
    return fleet


def meter_span(fleet: MeteredFleet, span_ms: float) -> None:
    """Run and meter a fleet for a span, with the garbage collector disabled.

    The collector would also spend time on the objects of the simulator.
    """
    gc.collect()
    gc.disable()
    fleet.meter.clear()
    fleet.time.run_until(fleet.time.now_ms + span_ms)
    gc.enable()


def held_bytes(node: Any) -> int:
    """Return the bytes of objects that a node refers to, without those that the fleet shares."""
    seen: set[int] = set()
    rows, size = [node], 0
    while rows:
        row = rows.pop()
        if id(row) in seen or isinstance(row, _EXCLUDED_TYPES):
            continue
        seen.add(id(row))
        size += sys.getsizeof(row)
        if isinstance(row, FunctionType):
            rows += [*(row.__closure__ or ()), *(row.__defaults__ or ())]
        else:
            rows += gc.get_referents(row)
    return size


def fit_line(points: Iterable[tuple[float, float]]) -> tuple[float, float]:
    """Return the slope and intercept of the least-squares line; slope 0 if all x are equal."""
    points = list(points)
    mean_x, mean_y = fmean(x for x, _ in points), fmean(y for _, y in points)
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
        if sum_of_squares
        else 0.0
    )
    return slope, mean_y - slope * mean_x


def _row(fleet: MeteredFleet, role: str, span_s: float) -> dict[str, float]:
    """Return the means of the nodes of a role, for one second of the span.

    `cpu_ms_most` is the processor time of the busiest node. `held_kb` is the mean of three nodes.
    """
    meter, hosts = fleet.meter, fleet.with_role(role)
    kinds = ("tick", "receive", "packing", "report", "disk")
    cpu_ms = {
        host.address: sum(meter.work_s[host.address, kind] for kind in kinds) * 1000 / span_s
        for host in hosts
    }
    row = {"cpu_ms": fmean(cpu_ms.values()), "cpu_ms_most": max(cpu_ms.values())}
    for kind in kinds:
        row[f"cpu_ms_{kind}"] = (
            sum(meter.work_s[host.address, kind] for host in hosts) * 1000 / span_s / len(hosts)
        )
    for name, count, unit in (
        ("sent", "sent", 1),
        ("received", "received", 1),
        ("kb_sent", "bytes", 1000),
        ("reports", "reports", 1),
    ):
        row[name] = (
            sum(meter.counts[host.address, count] for host in hosts) / unit / span_s / len(hosts)
        )
    row["held_kb"] = fmean(held_bytes(host.node) for host in hosts[:3]) / 1000
    return row


def measure_one(seed: int, nodes: int, span_s: float) -> dict[str, dict[str, float]]:
    fleet = create_fleet(seed, nodes)
    fleet.start_worker_reports(round(nodes * _WORKERS_PER_NODE))
    fleet.time.run_until(fleet.time.now_ms + _SETTLE_MS)
    meter_span(fleet, span_s * 1000)
    rows = {role: _row(fleet, role, span_s) for role in _ROLES}
    rows["control"]["zone_kb"] = fleet.meter.counts["", "zone_bytes"] / 1000 / span_s
    return rows


def measure_scale(sizes: Iterable[int], seeds: int, span_s: float) -> str:
    """Measure fleets of `sizes` nodes, each with several seeds; return the report as text."""
    sizes = list(sizes)
    found = {
        (nodes, seed): measure_one(seed, nodes, span_s)
        for nodes in sizes
        for seed in range(1, seeds + 1)
    }
    lines = [
        f"nodes {sizes}: {_CONTROL} control, {_STORES} stores, the rest edges; "
        f"{_WORKERS_PER_NODE:.2f} workers to a node; "
        f"{span_s:g} s measured, {seeds} seeds; of one node in a second (zone_kb: of the fleet), "
        "least to most over seeds"
    ]
    for role in _ROLES:
        lines.append(role)
        for name in next(iter(found.values()))[role]:
            cells = []
            for nodes in sizes:
                values = [found[nodes, seed][role][name] for seed in range(1, seeds + 1)]
                cells.append(f"{nodes}: {min(values):.4g} to {max(values):.4g}")
            if any(row[role][name] for row in found.values()):
                fits = [
                    fit_line((nodes, found[nodes, seed][role][name]) for nodes in sizes)
                    for seed in range(1, seeds + 1)
                ]
                slopes, starts = [fit[0] for fit in fits], [fit[1] for fit in fits]
                lines.append(
                    f"  {name:16} {'; '.join(cells)}; slope {min(slopes):.4g} to "
                    f"{max(slopes):.4g}, "
                    f"intercept {min(starts):.4g} to {max(starts):.4g}"
                )
    return "\n".join(lines)
