"""The process of a storage node: its disk, its HTTP server, its status and metrics."""

from typing import Any

from runtime import Settings

from data_plane.drain_schedule import DrainSchedule
from data_plane.process import NodeProcess
from data_plane.store_node import StoreNode

__all__ = ["StoreProcess"]


class StoreProcess(NodeProcess):
    """Runs a storage node with its disk, and serves `/ready`, `/status` and `/metrics`."""

    async def create_node(self) -> None:
        """Open the disk, and create the store and its HTTP server."""
        self._stopping = False
        self.node = StoreNode(self.env, self.settings, self.open_disk())
        await self.add_runtime_dependency(self.make_http_service())

    def why_unready(self) -> str:
        """Return why the store is not ready, or an empty string."""
        return "stopping" if self._stopping else self.node.why_unready()

    def start_draining(self, schedule: DrainSchedule) -> None:
        """Become unready, and hand over leadership of the log if this store has it."""
        self._stopping = True
        self.node.log.start_leaving()

    def busy(self) -> bool:
        """Whether the log still needs this store: as leader, or as one of too few replicas."""
        return bool(self.node.log.must_stay())

    def apply(self, settings: Settings) -> None:
        """Apply changed settings to the process, the node and the log."""
        super().apply(settings)
        self.node.log.apply_settings(settings)

    def status(self) -> dict[str, Any]:
        """Return the state of the store, as `/status` shows it to operators."""
        log = self.node.log
        local = log.log
        return {
            "role": "store",
            "identity": local.identity,
            "zone": self.settings.zone,
            "ready": not self.why_unready(),
            "reason": self.why_unready(),
            "log_role": str(log.role),
            "fence": local.metadata.fence,
            "log_epoch": local.metadata.log_epoch,
            "last_seq": local.last_seq,
            "flushed_seq": local.flushed_seq,
            "settled_seq": local.committed_seq,
            "snap_seq": local.snapshot_seq,
            "feed": self.node.config_feed.versions(),
            "place": self.node.config_feed.position,
            "lots": len(local.state.jobs),
            "open_lots": len(local.state.open_jobs),
            "keys": len(local.state.keys),
            "log": log.configuration.as_dict(),
            "waiting_rooms": self.node.batch_service.backlogs(),
        }

    def metrics(self) -> dict[str, float]:
        """Return the store's metrics by name; `data_plane.metrics.HELP` describes them."""
        local = self.node.log.log
        rows = {
            f"store_asked_{name}_total": count
            for name, count in self.node.batch_service.counts.items()
        }
        leader = self.node.log.leader
        if leader is not None:
            caught_up = leader.health.count_caught_up()
            rows["store_members_level"] = caught_up
            rows["store_copies_at_risk"] = len(leader.members) - caught_up
        return {
            **rows,
            "store_last_seq": local.last_seq,
            "store_settled_seq": local.committed_seq,
            "store_flushed_seq": local.flushed_seq,
            "store_epoch": local.metadata.fence,
            "store_holds": int(self.node.log.leader is not None),
            "store_open_lots": len(local.state.open_jobs),
            "store_shelves": len(local.archive.names()),
            "feed_place": self.node.config_feed.position,
            "worst_tick_ms": self.runner.worst_tick_ms if self.runner else 0,
        }
