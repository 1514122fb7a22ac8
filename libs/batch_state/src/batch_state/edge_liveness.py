"""Which edges the leader of the log hears, and which have lost their claims."""

from messaging import Node

from batch_state.jobs import Job

__all__ = ["EdgeLiveness"]


class EdgeLiveness:
    """When each edge was last heard, by the node's monotonic clock in milliseconds.

    Silence from before this leader's start doesn't count. Of two edges at one address the earlier
    one has ended.
    """

    __slots__ = ("_edge_at", "_heard_ms", "_node", "_replaced", "started_ms")

    def __init__(self, node: Node) -> None:
        self._node = node
        self.started_ms = node.env.now()
        self._heard_ms: dict[str, int] = {}
        self._edge_at: dict[str, str] = {}
        self._replaced: set[str] = set()

    def heard(self, edge: str) -> None:
        """Record that a message of an edge has come."""
        self._heard_ms[edge] = self._node.env.now()

    def heard_at(self, edge: str, address: str) -> str | None:
        """Record a heartbeat, and return the edge that was at this address before, if another."""
        self.heard(edge)
        before = self._edge_at.get(address, edge)
        self._edge_at[address] = edge
        if before == edge:
            return None
        self._replaced.add(before)
        return before

    def _silent_ms(self, edge: str) -> int:
        return self._node.env.now() - self._heard_ms.get(edge, self.started_ms)

    def is_live(self, edge: str) -> bool:
        """Whether an edge has been heard within `failure_timeout_ms`."""
        return bool(edge) and self._silent_ms(edge) <= self._node.settings.failure_timeout_ms

    def live_count(self) -> int:
        """Return how many edges are live."""
        return sum(1 for edge in self._heard_ms if self.is_live(edge))

    def claims_lost(self, job: Job, edge: str) -> bool:
        """Whether an edge has been silent for so long that its claims of a job are lost.

        That is longer than any edge keeps its claims. Forwarded items are safe and due soon, so
        they are dispatched again once their edge doesn't count as live.
        """
        if edge in self._replaced:
            return True
        if job.forward:
            return not self.is_live(edge)
        return bool(self._silent_ms(edge) > self._node.settings.claim_revocation_ms)
