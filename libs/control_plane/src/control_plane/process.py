"""The control process: a control node with its disk and HTTP interface."""

from typing import Any

from data_plane.drain_schedule import DrainSchedule
from data_plane.process import NodeProcess

from control_plane.loans_api import LoansApi
from control_plane.members_api import MembersApi
from control_plane.nodes import ControlNode
from control_plane.profiles_api import ProfilesApi
from control_plane.retirement_api import RetirementApi
from control_plane.workers_api import WorkersApi

__all__ = ["ControlProcess"]


class ControlProcess(NodeProcess):
    """Runs a control node and serves requests of operators, workers and borrowers over HTTP."""

    async def create_node(self) -> None:
        """Create the node and the HTTP interface."""
        self._stopping = False
        self.node = ControlNode(self.env, self.settings, self.open_disk())
        service = self.make_http_service()
        for api in (ProfilesApi, MembersApi, RetirementApi, WorkersApi, LoansApi):
            api(self.node, service)
        await self.add_runtime_dependency(service)

    def why_unready(self) -> str:
        """Return why this process is not ready; empty if it is."""
        return "stopping" if self._stopping else self.node.why_unready()

    def start_draining(self, schedule: DrainSchedule) -> None:
        """Report unready from now on, because the process is about to stop."""
        self._stopping = True

    def status(self) -> dict[str, Any]:
        """Return the state of the node, as JSON values for operators."""
        node = self.node
        return {
            "role": "control",
            "identity": node.acceptor.identity,
            "zone": self.settings.zone,
            "ready": not self.why_unready(),
            "reason": self.why_unready(),
            "voters": node.acceptor.voters,
            "voters_number": node.acceptor.list_number,
            "steward": node.voter_list_manager.coordinator() if node.acceptor.voters else None,
            "keys": node.owner.ownership(),
            "feed": node.config_feed.versions(),
            "place": node.config_feed.position,
        }

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name: epochs, counters, sizes in bytes and durations in ms."""
        node = self.node
        rows = {
            f"control_epoch_{name}": row["epoch"] for name, row in node.owner.ownership().items()
        }
        rows.update(
            {f"control_loans_{state}_total": count for state, count in node.loans.counts.items()}
        )
        return {
            **rows,
            "control_quorate": int(node.has_quorum()),
            "control_voters_number": node.acceptor.list_number,
            "feed_place": node.config_feed.position,
            "feed_sent_bytes_total": node.config_feed.sent_bytes,
            "worst_tick_ms": self.runner.worst_tick_ms if self.runner else 0,
        }
