"""The data plane's two processes: an edge and a store."""

from typing import Any

from runtime import Settings

from data_plane.client_api import ClientApi
from data_plane.edge_node import EdgeNode
from data_plane.http_service import HttpService
from data_plane.process import NodeProcess
from data_plane.recorder import Recorder
from data_plane.rollouts import RolloutApi
from data_plane.sender import HttpSender
from data_plane.store_node import StoreNode
from data_plane.worker_api import WorkerApi

__all__ = ["EdgeProcess", "StoreProcess"]


class EdgeProcess(NodeProcess):
    """An edge with its clients, workers and batch items."""

    async def make(self) -> None:
        """Make the edge and its HTTP server."""
        self._sender = self.make_sender()
        self.node = EdgeNode(self.env, self.settings, self._sender)
        settings = self.settings
        self._recorder = (
            Recorder(
                settings.record_folder,
                settings.link.replace(":", "-"),
                settings.record_rows,
                settings.record_bodies,
            )
            if settings.record_folder
            else None
        )
        desk = HttpService(
            settings.http,
            settings.max_body_bytes,
            self.node.why_unready,
            self.status,
            self.metrics,
            (self._recorder.middleware,) if self._recorder else (),
        )
        self._visitors = ClientApi(self.node, self.node.edge_service, desk)
        WorkerApi(self.node, desk)
        RolloutApi(self.node, self.node.rollout_service, desk)
        self.forward_servers: list[Any] = []
        await self.add_runtime_dependency(desk)

    def make_sender(self) -> HttpSender:
        """Return the transport of requests to workers."""
        return HttpSender(self.settings.request_timeout_ms)

    def start_draining(self) -> None:
        """Become unready, and take no more batch items."""
        self.node.stopping = True
        self.node.job_runner.paused = True
        for desk in self.forward_servers:
            desk.start_draining()

    def busy(self) -> bool:
        """Whether live requests or batch items are in flight."""
        return (
            any(desk.busy() for desk in self.forward_servers)
            or self.node.carrier.carrying(False) > 0
            or self._visitors.live_now > 0
            or self.node.job_runner.running() > 0
        )

    def wind_down(self) -> None:
        """Stop the batch items that still run; what they came to is reported."""
        self.node.job_runner.stop_all("stopping")

    async def on_stop(self) -> None:
        """Close the connections to workers and the recording."""
        await self._sender.close()
        if self._recorder is not None:
            self._recorder.close()
        await super().on_stop()

    def status(self) -> dict[str, Any]:
        """Return the edge's state for operators, as `/status` shows it."""
        node = self.node
        node.profile_tree()
        return {
            "role": "edge",
            "identity": node.job_runner.edge,
            "zone": self.settings.zone,
            "ready": not node.why_unready(),
            "reason": node.why_unready(),
            "profiles_digest": node.profile_tree_digest,
            "feed": node.config_feed.numbers(),
            "place": node.config_feed.place,
            "holder_epoch": node.holder.epoch,
            "live": self._visitors.live_now,
            "items": node.job_runner.running(),
            "neighbours": [card.address for card in node.membership.view()],
            "workers": [
                {
                    "identity": worker.identity,
                    "incarnation": worker.incarnation,
                    "address": worker.address,
                    "usable": node.roster.usable(worker),
                    "leaving": worker.leaving,
                    "weight": worker.weight,
                    "slots": worker.slots,
                    "allowed": node.profile_tree().allows_worker(worker.identity, worker.labels),
                }
                for worker in node.roster.all()
            ],
        }

    def metrics(self) -> dict[str, float]:
        """Return the edge's numbers by name; `data_plane.metrics.HELP` explains them."""
        node = self.node
        rows = {f"edge_{name}_total": count for name, count in node.carrier.counts.items()}
        for desk in self.forward_servers:
            rows.update(
                {
                    f"edge_told_{name.replace('-', '_')}_total": count
                    for name, count in desk.counts.items()
                }
            )
        pool = self._sender.pool
        rows["edge_connections_opened_total"] = pool.opened if pool is not None else 0
        return {
            **rows,
            "edge_waiting_now": node.carrier.waiting(),
            "edge_ready": int(not node.why_unready()),
            "edge_live_now": self._visitors.live_now,
            "edge_items_now": node.job_runner.running(),
            "edge_items_finished_total": node.job_runner.finished,
            "edge_workers": len(node.roster.workers()),
            "edge_samples_now": node.borrowing.running(),
            "edge_samples_finished_total": node.borrowing.finished,
            "edge_samples_given_up_total": node.borrowing.given_up,
            "edge_loans_recalled_total": node.borrowing.recalls,
            "edge_workers_lent": len(node.roster.lent),
            "feed_place": node.config_feed.place,
            "worst_tick_ms": self.runner.worst_tick_ms if self.runner else 0,
        }


class StoreProcess(NodeProcess):
    """A store, which keeps the log."""

    async def make(self) -> None:
        """Open the disk, and make the store and its HTTP server."""
        self.node = StoreNode(self.env, self.settings, self.open_disk())
        await self.add_runtime_dependency(
            HttpService(
                self.settings.http,
                self.settings.max_body_bytes,
                self.why_unready,
                self.status,
                self.metrics,
            )
        )
        self._stopping = False

    def why_unready(self) -> str:
        """Return why the store is not ready, or an empty string."""
        return "stopping" if self._stopping else self.node.why_unready()

    def start_draining(self) -> None:
        """Become unready, and hand over the log if this store leads it."""
        self._stopping = True
        self.node.log.start_leaving()

    def busy(self) -> bool:
        """Whether the log is being handed over."""
        return self.node.log.must_stay()

    def apply(self, settings: Settings) -> None:
        """Apply changed settings, to the log too."""
        super().apply(settings)
        self.node.log.log.settings = settings
        if self.node.log.leader is not None:
            self.node.log.leader.settings = settings

    def status(self) -> dict[str, Any]:
        """Return the store's state for operators, as `/status` shows it."""
        log = self.node.log
        local = log.log
        return {
            "role": "store",
            "identity": local.identity,
            "zone": self.settings.zone,
            "ready": not self.why_unready(),
            "reason": self.why_unready(),
            "log_role": str(log.role),
            "fence": local.meta.fence,
            "log_epoch": local.meta.log_epoch,
            "last_seq": local.last_seq,
            "flushed_seq": local.flushed_seq,
            "settled_seq": local.committed_seq,
            "snap_seq": local.snapshot_seq,
            "feed": self.node.config_feed.numbers(),
            "place": self.node.config_feed.place,
            "lots": len(local.state.jobs),
            "open_lots": len(local.state.open_jobs),
            "keys": len(local.state.keys),
            "log": log.value,
            "waiting_rooms": self.node.batch_service.backlogs(),
        }

    def metrics(self) -> dict[str, float]:
        """Return the store's numbers by name; `data_plane.metrics.HELP` explains them."""
        local = self.node.log.log
        rows = {
            f"store_asked_{name}_total": count
            for name, count in self.node.batch_service.counts.items()
        }
        holder = self.node.log.leader
        if holder is not None:
            level = holder.count_caught_up()
            rows["store_members_level"] = level
            rows["store_copies_at_risk"] = len(holder.members) - level
        return {
            **rows,
            "store_last_seq": local.last_seq,
            "store_settled_seq": local.committed_seq,
            "store_flushed_seq": local.flushed_seq,
            "store_epoch": local.meta.fence,
            "store_holds": int(self.node.log.leader is not None),
            "store_open_lots": len(local.state.open_jobs),
            "store_shelves": len(local.archive.names()),
            "feed_place": self.node.config_feed.place,
            "worst_tick_ms": self.runner.worst_tick_ms if self.runner else 0,
        }
