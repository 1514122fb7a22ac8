"""The process of an edge: HTTP servers, connections to workers, status and metrics."""

from typing import Any

from request_routing import Worker

from data_plane.completion_api import CompletionApi
from data_plane.drain_schedule import DrainSchedule
from data_plane.edge_node import EdgeNode
from data_plane.forward_server import ForwardServer
from data_plane.job_api import JobApi
from data_plane.process import NodeProcess
from data_plane.recorder import Recorder
from data_plane.rollout_api import RolloutApi
from data_plane.sender import HttpSender
from data_plane.worker_api import WorkerApi

__all__ = ["EdgeProcess"]


class EdgeProcess(NodeProcess):
    """Runs an edge node with its HTTP servers and its connections to workers.

    `forward_servers` are the servers of forwarded requests; the platform's adapter adds them.
    """

    async def create_node(self) -> None:
        """Make the edge node, its HTTP server and the routes of the HTTP APIs."""
        self._sender = self.make_sender()
        self.node = EdgeNode(self.env, self.settings, self._sender)
        self._recorder = self._make_recorder()
        server = self.make_http_service((self._recorder.middleware,) if self._recorder else ())
        self._completions = CompletionApi(self.node, self.node.edge_service, server)
        JobApi(self.node, self.node.edge_service, server)
        WorkerApi(self.node, server)
        RolloutApi(self.node, self.node.rollout_service, server)
        self.forward_servers: list[ForwardServer] = []
        await self.add_runtime_dependency(server)

    def make_sender(self) -> HttpSender:
        """Return the transport of requests to workers."""
        return HttpSender(self.settings.request_timeout_ms)

    def _make_recorder(self) -> Recorder | None:
        settings = self.settings
        if not settings.record_folder:
            return None
        return Recorder(
            settings.record_folder,
            settings.link.replace(":", "-"),
            settings.record_rows,
            settings.record_bodies,
        )

    def start_draining(self, schedule: DrainSchedule) -> None:
        """Drain the node and the forward servers."""
        self.node.start_draining(schedule)
        for server in self.forward_servers:
            server.start_draining(schedule)

    def busy(self) -> bool:
        """Whether requests or batch items are in flight, or a forward server is still draining."""
        return (
            any(server.busy() for server in self.forward_servers)
            or self.node.router.count_in_flight(False) > 0
            or self._completions.live_now > 0
            or self.node.job_runner.running() > 0
        )

    def stop_unfinished(self) -> None:
        """Stop the batch items that still run, and report their outcomes to the leader."""
        self.node.job_runner.stop_all("stopping")

    async def on_stop(self) -> None:
        """Close the connections to workers and the recording."""
        await self._sender.close()
        if self._recorder is not None:
            self._recorder.close()
        await super().on_stop()

    def why_unready(self) -> str:
        """Return why the edge takes no clients, or an empty string."""
        reason: str = self.node.why_unready()
        return reason

    def status(self) -> dict[str, Any]:
        """Return the edge's state for operators, the body of `/status`."""
        node = self.node
        node.profile_tree()
        return {
            "role": "edge",
            "identity": node.job_runner.edge,
            "zone": self.settings.zone,
            "ready": not node.why_unready(),
            "reason": node.why_unready(),
            "profiles_digest": node.profile_tree_digest,
            "feed": node.config_feed.versions(),
            "place": node.config_feed.position,
            "holder_epoch": node.leader_client.epoch,
            "live": self._completions.live_now,
            "items": node.job_runner.running(),
            "neighbours": [card.address for card in node.membership.view()],
            "workers": [self._worker_row(worker) for worker in node.registry.all()],
        }

    def _worker_row(self, worker: Worker) -> dict[str, Any]:
        node = self.node
        return {
            "identity": worker.identity,
            "incarnation": worker.incarnation,
            "address": worker.address,
            "usable": node.registry.is_usable(worker),
            "leaving": worker.leaving,
            "weight": worker.heartbeat_load,
            "slots": worker.slots,
            "allowed": node.profile_tree().allows_worker(worker.identity, worker.labels),
        }

    def metrics(self) -> dict[str, float]:
        """Return the edge's metrics by name; `data_plane.metrics.HELP` describes them."""
        node = self.node
        rows = {f"edge_{name}_total": count for name, count in node.router.counts.items()}
        for server in self.forward_servers:
            for code, count in server.counts.items():
                rows[f"edge_told_{code.replace('-', '_')}_total"] = count
        pool = self._sender.pool
        rows["edge_connections_opened_total"] = pool.opened if pool is not None else 0
        return {
            **rows,
            "edge_waiting_now": node.router.waiting(),
            "edge_ready": int(not node.why_unready()),
            "edge_live_now": self._completions.live_now,
            "edge_items_now": node.job_runner.running(),
            "edge_items_finished_total": node.job_runner.finished,
            "edge_workers": len(node.registry.workers()),
            "edge_samples_now": node.sample_runner.running(),
            "edge_samples_finished_total": node.sample_runner.finished,
            "edge_samples_given_up_total": node.sample_runner.preempted,
            "edge_loans_recalled_total": node.sample_runner.recalls,
            "edge_workers_lent": len(node.registry.lent),
            "feed_place": node.config_feed.position,
            "worst_tick_ms": self.runner.worst_tick_ms if self.runner else 0,
        }
