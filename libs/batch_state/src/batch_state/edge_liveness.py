"""Which edges the leader of the log considers live, and which have lost their claims."""

from messaging import Node

from batch_state.jobs import Job

__all__ = ["EdgeLiveness"]


class EdgeLiveness:
    """Tracks when each edge last sent a message, by the node's monotonic clock in milliseconds.

    An edge that has sent none to this leader counts as silent since the leader's start. An edge has
    ended once another one sends a heartbeat from its address.
    """

    __slots__ = ("_edge_at", "_last_message_ms", "_node", "_replaced", "started_ms")

    def __init__(self, node: Node) -> None:
        self._node = node
        self.started_ms = node.env.now()
        self._last_message_ms: dict[str, int] = {}
        self._edge_at: dict[str, str] = {}
        self._replaced: set[str] = set()

    def record_message(self, edge: str) -> None:
        """Record that a message of an edge has arrived now."""
        self._last_message_ms[edge] = self._node.env.now()

    def record_heartbeat(self, edge: str, address: str) -> str | None:
        """Record a heartbeat from an address; return the edge that it replaces there, if any."""
        self.record_message(edge)
        previous = self._edge_at.get(address, edge)
        self._edge_at[address] = edge
        if previous == edge:
            return None
        self._replaced.add(previous)
        return previous

    def _silent_ms(self, edge: str) -> int:
        return self._node.env.now() - self._last_message_ms.get(edge, self.started_ms)

    def is_live(self, edge: str) -> bool:
        """Whether an edge has been silent for no more than `failure_timeout_ms`."""
        return bool(edge) and self._silent_ms(edge) <= self._node.settings.failure_timeout_ms

    def live_count(self) -> int:
        """Return how many edges are live."""
        return sum(1 for edge in self._last_message_ms if self.is_live(edge))

    def claims_lost(self, job: Job, edge: str) -> bool:
        """Whether an edge has lost its claims of a job, because it was replaced or is silent.

        Claims are lost after `claim_revocation_ms` of silence, which is longer than any edge keeps
        its claims. Forwarded items are safe to repeat and due soon, so their claims are lost once
        the edge isn't live.
        """
        if edge in self._replaced:
            return True
        if job.forward:
            return not self.is_live(edge)
        return bool(self._silent_ms(edge) > self._node.settings.claim_revocation_ms)
