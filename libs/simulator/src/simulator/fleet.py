"""A simulated fleet: hosts in zones, workers, and periodic samples of their state."""

from collections.abc import Callable
from typing import Any, Literal, TypeVar

from control_plane import ControlNode
from data_plane import EdgeNode, StoreNode
from runtime import Settings

from simulator.disks import SimDisk
from simulator.history import History, Row, RowKind
from simulator.hosts import SimEnvironment, SimHost
from simulator.virtual import Network, VirtualTime
from simulator.worker_transport import SimSender
from simulator.workers import SimWorker

__all__ = ["SimFleet"]

ZONES = ("north", "south", "west")
Role = Literal["control", "edge", "store"]

WorkerType = TypeVar("WorkerType", bound=SimWorker)

HostEvent = tuple[float, str, str, dict[str, Any]]
"""Time in milliseconds, name of the host, event, and the fields of the event."""

_SAMPLE_INTERVAL_MS = 100.0
_CHECK_INTERVAL_MS = 50
_WORKER_SLOTS = 4
_NEVER_MS = 1e12
_CHANGE_PREFIX = "mark-"
"""Prefix of the abstract profile whose name has the id of the change that made a tree."""


class SimFleet:
    """All hosts and workers of a run on one network and one virtual clock.

    NETWORK and HOST are the classes of the network and the hosts. A subclass may replace them, for
    instance to measure costs.
    """

    __slots__ = (
        "_address_count",
        "_open_outages",
        "_settings",
        "events",
        "history",
        "hosts",
        "network",
        "time",
        "workers",
    )
    NETWORK, HOST = Network, SimHost

    def __init__(
        self,
        seed: int,
        edges: int = 3,
        stores: int = 3,
        control: int = 5,
        workers: int = 3,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.time = VirtualTime(seed)
        self.network = self.NETWORK(self.time)
        self.history = History(seed=seed)
        self.events: list[HostEvent] = []
        self.hosts: dict[str, SimHost] = {}
        self.workers: dict[str, SimWorker] = {}
        self._address_count = 0
        self._open_outages: dict[str, Row] = {}
        self._settings = {
            "flush_ms": 1500,
            "segment_bytes": 1 << 13,
            "disk_bytes": 1 << 23,
            "control_count": control,
            "store_count": stores,
            **(settings or {}),
        }
        for index in range(control):
            self.add("control", f"control{index + 1}")
        for index in range(stores):
            self.add("store", f"store{index + 1}")
        for index in range(edges):
            self.add("edge", f"edge{index + 1}")
        for index in range(workers):
            self.add_worker(f"worker{index + 1}", ["gpu"])

    def new_address(self) -> str:
        """Return an unused address."""
        self._address_count += 1
        return f"10.0.{self._address_count >> 8}.{self._address_count & 255}:7000"

    def add(self, role: Role, name: str) -> SimHost:
        """Start a host of a role, with an empty disk unless it is an edge."""
        address = self.new_address()
        known = [host.address for host in self.hosts.values() if host.up][:3] or ["10.0.0.1:7000"]
        settings = Settings(
            role=role,
            link=address,
            http=address.replace(":7000", ":7001"),
            zone=ZONES[len(self.hosts) % len(ZONES)],
            data_folder="disk",
            **{"seeds": known, **self._settings},
        )
        disk = SimDisk(self.time, settings.disk_bytes) if role != "edge" else None
        self.network.zones[address] = settings.zone
        host = self.HOST(
            name,
            role,
            address,
            self.time,
            self.network,
            settings,
            disk,
            self._make_node,
            self._record_event,
        )
        self.hosts[name] = host
        host.start()
        return host

    def add_worker(self, name: str, labels: list[str], address: str = "") -> SimWorker:
        """Start a worker at an address, by default an unused one."""
        address = address or self.new_address()
        zone = ZONES[len(self.workers) % len(ZONES)]
        return self.attach(SimWorker(self, name, address, labels, _WORKER_SLOTS, zone))

    def attach(self, worker: WorkerType) -> WorkerType:
        """Connect a worker to the network at its address."""
        self.network.zones[worker.address] = worker.zone
        self.workers[worker.address] = worker
        return worker

    def worker_at(self, address: str) -> SimWorker | None:
        """Return the worker that listens at an address, or None."""
        return self.workers.get(address)

    def _make_node(self, host: SimHost, env: SimEnvironment) -> Any:
        if host.role == "control":
            return ControlNode(env, host.settings, host.disk)
        if host.role == "store":
            return StoreNode(env, host.settings, host.disk)
        return EdgeNode(env, host.settings, SimSender(self, host))

    def _record_event(self, name: str, event: str, fields: dict[str, Any]) -> None:
        self.events.append((self.time.now_ms, name, event, fields))
        if event in ("killed", "frozen-by-fault") and name not in self._open_outages:
            self._open_outages[name] = self.history.add(
                RowKind.AWAY, self.time.now_ms, name=name, until_ms=_NEVER_MS
            )
        elif event in ("started", "woken") and name in self._open_outages:
            self._open_outages.pop(name)["until_ms"] = self.time.now_ms

    def with_role(self, role: str) -> list[SimHost]:
        """Return all hosts of a role, running or not."""
        return [host for host in self.hosts.values() if host.role == role]

    def running(self, role: str) -> list[SimHost]:
        """Return the hosts of a role that are up and not frozen."""
        return [host for host in self.with_role(role) if host.up and not host.frozen]

    def leader(self) -> SimHost | None:
        """Return the store that serves as leader under the highest epoch, or None."""
        serving = [
            host
            for host in self.with_role("store")
            if host.up and host.node.log.leader is not None and host.node.log.role == "serving"
        ]
        return max(serving, key=lambda host: host.node.log.leader.epoch, default=None)

    def start_sampling(self) -> None:
        """Record free capacity, each edge's state and each leader's backlog every 100 ms."""
        self._sample_capacity()
        self._sample_edges()
        self._sample_backlog()
        self.time.after(_SAMPLE_INTERVAL_MS, self.start_sampling)

    def _sample_capacity(self) -> None:
        workers = [
            worker for worker in self.workers.values() if not worker.crashed and not worker.leaving
        ]
        free = sum(
            max(0, worker.slots - worker.busy) for worker in workers if not worker.unresponsive
        )
        slots = sum(worker.slots for worker in workers)
        self.history.add(RowKind.CAPACITY, self.time.now_ms, free=round(free / max(1, slots), 2))

    def _sample_edges(self) -> None:
        for host in self.running("edge"):
            self.history.add(
                RowKind.SAMPLE,
                self.time.now_ms,
                edge=host.name,
                incarnation=host.incarnation,
                ready=not host.node.why_unready(),
                number=host.node.config_feed.version("profiles"),
                change_id=_change_id_in(host.node.profile_tree()),
            )

    def _sample_backlog(self) -> None:
        for host in self.running("store"):
            leader = host.node.log.leader
            if leader is None or leader.deposed:
                continue
            for path in sorted({job.path for job in leader.state.open_jobs.values()}):
                self.history.add(
                    RowKind.BACKLOG,
                    self.time.now_ms,
                    store=host.name,
                    path=path,
                    epoch=leader.epoch,
                    used=leader.state.backlog(path),
                )

    def ready(self) -> bool:
        """Return whether all edges and stores are ready and all control nodes have a quorum."""
        return (
            all(
                not host.node.why_unready()
                for host in self.with_role("edge") + self.with_role("store")
            )
            and self.control_has_quorum()
        )

    def control_has_quorum(self) -> bool:
        """Return whether all control nodes have a quorum."""
        return all(host.node.has_quorum() for host in self.with_role("control"))

    def in_serving_set(self) -> bool:
        """Return whether the serving set at each running host is the running edges and stores."""
        links = {host.address for host in self.hosts.values() if host.up and host.role != "control"}
        return all(
            host.node.config_feed.serving_set() == links for host in self.hosts.values() if host.up
        )

    def run_until_true(self, check: Callable[[], Any], limit_ms: float) -> bool:
        """Run until `check` is true, and return whether it became true within `limit_ms`.

        It is evaluated every 50 ms of virtual time.
        """
        end_ms = self.time.now_ms + limit_ms
        while self.time.now_ms < end_ms:
            self.time.run_until(self.time.now_ms + _CHECK_INTERVAL_MS)
            if check():
                return True
        return False


def _change_id_in(tree: Any) -> str:
    """Return the id of the change that made a profile tree, or an empty string if there is none."""
    return next(
        (
            name.removeprefix(_CHANGE_PREFIX)
            for name in tree.rows
            if name.startswith(_CHANGE_PREFIX)
        ),
        "",
    )
