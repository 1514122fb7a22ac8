"""What the leader has to say to one edge when it answers its heartbeat."""

from messaging import encode

from batch_state.item_selection import Assignment
from batch_state.messages import (
    EdgeHeartbeat,
    EdgeHeartbeatResponse,
    ItemAssignment,
    RolloutHeartbeat,
    RolloutHeartbeatResponse,
)

__all__ = ["Heartbeat", "HeartbeatOffer"]

Heartbeat = EdgeHeartbeat | RolloutHeartbeat


class HeartbeatOffer:
    """Work for an edge, and what else its heartbeat's response carries.

    The attributes are the fields of the responses, `work` as assignments that aren't encoded yet.
    """

    __slots__ = (
        "closed_jobs",
        "listing_leases",
        "paths",
        "recalled",
        "samples_out",
        "waiting",
        "work",
    )

    def __init__(
        self,
        work: list[Assignment],
        listing_leases: list[bytes],
        closed_jobs: list[str],
        waiting: int,
        paths: list[str],
        samples_out: int,
        recalled: bool,
    ) -> None:
        self.work, self.listing_leases, self.closed_jobs = work, listing_leases, closed_jobs
        self.waiting, self.paths = waiting, paths
        self.samples_out, self.recalled = samples_out, recalled

    def is_urgent(self, message: Heartbeat) -> bool:
        """Whether an edge should get this at once; otherwise its heartbeat may be parked."""
        return (
            not message.capacity
            or bool(self.work or self.listing_leases or self.closed_jobs)
            or bool(set(self.paths) - set(message.paths))
            or (isinstance(message, RolloutHeartbeat) and self.samples_out > 0)
        )

    def has_unsafe_work(self) -> bool:
        """Whether an item isn't safe to repeat, so that its claim must be committed first."""
        return any(isinstance(row, ItemAssignment) and not row.safe for row in self.work)

    def response(
        self, message: Heartbeat, epoch: int, leader_ms: int, claimed: bool
    ) -> EdgeHeartbeatResponse | RolloutHeartbeatResponse:
        """Return the response to a heartbeat; without the work if it couldn't be claimed."""
        response = EdgeHeartbeatResponse(
            epoch=epoch,
            leader_ms=leader_ms,
            work=[encode(row) for row in self.work] if claimed else [],
            listing_leases=self.listing_leases,
            closed_jobs=self.closed_jobs,
            waiting=self.waiting,
            paths=self.paths,
        )
        if not isinstance(message, RolloutHeartbeat):
            return response
        return RolloutHeartbeatResponse(
            **response.as_dict(), samples_out=self.samples_out, recalled=self.recalled
        )
