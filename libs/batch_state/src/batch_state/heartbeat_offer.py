"""The content of the leader's response to an edge's heartbeat."""

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
    """What the response to an edge's heartbeat would carry at this moment.

    The attributes are the fields of the responses, except that `work` isn't encoded yet.
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
        """Whether the heartbeat must be answered now; otherwise it may be parked.

        It must if the edge has no free capacity, if there are items, leases or closed jobs for it,
        if items wait on a path for which it reported no capacity, or if it runs rollouts and one is
        open.
        """
        return (
            not message.capacity
            or bool(self.work or self.listing_leases or self.closed_jobs)
            or bool(set(self.paths) - set(message.paths))
            or (isinstance(message, RolloutHeartbeat) and self.samples_out > 0)
        )

    def has_unsafe_work(self) -> bool:
        """Whether an item isn't safe to repeat, so that the claims must be committed first."""
        return any(isinstance(row, ItemAssignment) and not row.safe for row in self.work)

    def response(
        self, message: Heartbeat, epoch: int, leader_ms: int, claimed: bool
    ) -> EdgeHeartbeatResponse | RolloutHeartbeatResponse:
        """Return the response to a heartbeat, without the work unless it was `claimed`."""
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
