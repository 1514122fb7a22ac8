"""A simulated fleet: hosts in zones, workers, and periodic samples of their state."""

from typing import Any

from control_plane import ControlNode
from data_plane import EdgeNode, StoreNode
from runtime import Settings

from simulator.disks import SimDisk
from simulator.history import History, RowKind
from simulator.hosts import SimEnvironment, SimHost
from simulator.virtual import Network, VirtualTime
from simulator.worker_transport import SimSender
from simulator.workers import SimWorker

__all__ = ["SimFleet"]

ZONES = ("north", "south", "west")
_SAMPLE_MS = 100.0


class SimFleet:
    """All hosts and workers of a run on one network and one virtual clock.

    NETWORK and HOST are the classes used for them; a measurement replaces them by metered ones.
    """

    __slots__ = (
        "_count",
        "_settings",
        "events",
        "_away",
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
        self.events: list[tuple[float, str, str, dict]] = []
        self.hosts: dict[str, SimHost] = {}
        self.workers: dict[str, SimWorker] = {}
        self._count = 0
        self._away: dict[str, dict] = {}
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

    def _address(self) -> str:
        self._count += 1
        return f"10.0.{self._count >> 8}.{self._count & 255}:7000"

    def add(self, role: str, name: str) -> SimHost:
        """Start a host of a role, with a blank disk unless it is an edge."""
        address = self._address()
        known = [host.address for host in self.hosts.values() if host.up][:3] or ["10.0.0.1:7000"]
        settings = Settings(
            role=role,
            link=address,
            http=address.replace(":7000", ":7001"),
            zone=ZONES[len(self.hosts) % 3],
            data_folder="disk",
            **{"seeds": known, **self._settings},
        )
        disk = SimDisk(self.time, settings.disk_bytes) if role != "edge" else None
        self.network.zones[address] = settings.zone
        host = self.HOST(
            name, role, address, self.time, self.network, settings, disk, self._make, self._note
        )
        self.hosts[name] = host
        host.start()
        return host

    def add_worker(self, name: str, labels: list[str], address: str = "") -> SimWorker:
        """Start a worker, at a new address if none is given."""
        worker = SimWorker(
            self, name, address or self._address(), labels, 4, ZONES[len(self.workers) % 3]
        )
        self.network.zones[worker.address] = worker.zone
        self.workers[worker.address] = worker
        return worker

    def worker_at(self, address: str) -> SimWorker | None:
        """Return the worker that listens at an address, or None."""
        return self.workers.get(address)

    def _make(self, host: SimHost, env: SimEnvironment) -> Any:
        if host.role == "control":
            return ControlNode(env, host.settings, host.disk)
        if host.role == "store":
            return StoreNode(env, host.settings, host.disk)
        return EdgeNode(env, host.settings, SimSender(self, host))

    def _note(self, name: str, event: str, fields: dict) -> None:
        self.events.append((self.time.now_ms, name, event, fields))
        if event in ("killed", "frozen-by-fault") and name not in self._away:
            self._away[name] = self.history.add(
                RowKind.AWAY, self.time.now_ms, name=name, until_ms=1e12
            )
        elif event in ("started", "woken") and name in self._away:
            self._away.pop(name)["until_ms"] = self.time.now_ms

    def with_role(self, role: str) -> list[SimHost]:
        """Return all hosts of a role, running or not."""
        return [host for host in self.hosts.values() if host.role == role]

    def running(self, role: str) -> list[SimHost]:
        """Return the hosts of a role that are up and not frozen."""
        return [host for host in self.with_role(role) if host.up and not host.frozen]

    def leader(self) -> SimHost | None:
        """Return the store that serves as holder under the highest epoch, or None."""
        serving = [
            host
            for host in self.with_role("store")
            if host.up and host.node.log.leader is not None and host.node.log.role == "serving"
        ]
        return max(serving, key=lambda host: host.node.log.leader.epoch, default=None)

    def start_sampling(self) -> None:
        """Record free capacity, each edge's state and each holder's waiting room every 100 ms."""
        able = [
            worker for worker in self.workers.values() if not worker.crashed and not worker.leaving
        ]
        free = sum(max(0, worker.slots - worker.busy) for worker in able if not worker.unresponsive)
        self.history.add(
            RowKind.CAPACITY,
            self.time.now_ms,
            free=round(free / max(1, sum(worker.slots for worker in able)), 2),
        )
        for host in self.with_role("edge"):
            if host.up and not host.frozen:
                self.history.add(
                    RowKind.SAMPLE,
                    self.time.now_ms,
                    edge=host.name,
                    incarnation=host.incarnation,
                    ready=not host.node.why_unready(),
                    number=host.node.config_feed.number("profiles"),
                    change_id=_change_id_in(host.node.profile_tree()),
                )
        for host in self.with_role("store"):
            holder = host.node.log.leader if host.up and not host.frozen else None
            if holder is not None and not holder.deposed:
                paths = {job.path for job in holder.state.open_jobs.values()}
                for path in sorted(paths):
                    self.history.add(
                        RowKind.BACKLOG,
                        self.time.now_ms,
                        store=host.name,
                        path=path,
                        epoch=holder.epoch,
                        used=holder.state.backlog(path),
                    )
        self.time.after(_SAMPLE_MS, self.start_sampling)

    def ready(self) -> bool:
        """Return whether all edges and stores take requests and all control nodes have a quorum."""
        return all(
            not host.node.why_unready() for host in self.with_role("edge") + self.with_role("store")
        ) and all(host.node.has_quorum() for host in self.with_role("control"))

    def in_serving_set(self) -> bool:
        """Return whether every running host's roll lists exactly the running edges and stores."""
        links = {host.address for host in self.hosts.values() if host.up and host.role != "control"}
        return all(host.node.config_feed.roll() == links for host in self.hosts.values() if host.up)

    def run_until_true(self, check: Any, limit_ms: float) -> bool:
        """Run until `check` holds, tested every 50 ms; return whether it did within `limit_ms`."""
        end_ms = self.time.now_ms + limit_ms
        while self.time.now_ms < end_ms:
            self.time.run_until(self.time.now_ms + 50)
            if check():
                return True
        return False


def _change_id_in(tree: Any) -> str:
    """Return the change that made a tree, which the name of one of its profiles gives."""
    return next((name[5:] for name in tree.rows if name.startswith("mark-")), "")
