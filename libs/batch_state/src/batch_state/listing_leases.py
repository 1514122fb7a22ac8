"""Listing leases: which edge may list the next results of a job.

The lease is granted to the edge that reported the next result. The lease of a lost edge is granted
to another. Each grant has a higher epoch, which is a fencing token: an edge with an earlier epoch
can list no more results.
"""

from messaging import encode

from batch_state.edge_liveness import EdgeLiveness
from batch_state.entries import ListingLeaseGranted
from batch_state.interfaces import LogLeader
from batch_state.jobs import Job
from batch_state.messages import AdvanceListing, ListingLease, ReportResultResponse

__all__ = ["ListingLeases"]


class ListingLeases:
    """Grants listing leases in the log of one leader."""

    __slots__ = ("_edges", "_leader")

    def __init__(self, leader: LogLeader, edges: EdgeLiveness) -> None:
        self._leader, self._edges = leader, edges

    def of_edge(self, edge: str) -> list[bytes]:
        """Return an edge's leases of open jobs with results to list, as encoded ListingLeases."""
        return [
            encode(ListingLease(job_id=job.job_id, epoch=job.listing_epoch, up_to=job.listable))
            for job in self._leader.state.open_jobs.values()
            if job.listable > job.listed and job.listing_edge == edge and job.listing_epoch
        ]

    def take_over_lost(self, edge: str) -> None:
        """Grant an edge the leases of jobs with results to list whose leaseholder isn't live."""
        for job in list(self._leader.state.open_jobs.values()):
            if job.listable > job.listed and not self._edges.is_live(job.listing_edge):
                self._grant(job, edge)

    def result_reported(self, job: Job, index: int, edge: str) -> None:
        """Grant the lease to an edge that reported a result, if there are results to list.

        It is granted only if the reported result is the next to be listed, or if the present
        leaseholder isn't live.
        """
        if not job.open or job.listable <= job.listed:
            return
        if (
            job.listing_edge == edge
            or not self._edges.is_live(job.listing_edge)
            or index == job.listed
        ):
            self._grant(job, edge)

    def response(self, job: Job, edge: str, ok: bool) -> ReportResultResponse:
        """Return the response to a reported result.

        It carries the lease if the edge has it and there are results to list.
        """
        leased = job.listing_edge == edge and job.listable > job.listed
        return ReportResultResponse(
            ok=ok,
            listing_epoch=job.listing_epoch if leased else 0,
            up_to=job.listable if leased else 0,
        )

    def may_advance(self, message: AdvanceListing) -> bool:
        """Whether an edge may list results up to a position.

        It may if its lease is the present one of an open job, and these results are known.
        """
        job = self._leader.state.jobs.get(message.job_id)
        return (
            job is not None
            and job.open
            and message.epoch == job.listing_epoch
            and message.edge == job.listing_edge
            and job.listed < message.up_to <= job.listable
        )

    def _grant(self, job: Job, edge: str) -> None:
        if job.listing_edge != edge:
            self._leader.append(
                [ListingLeaseGranted(job_id=job.job_id, edge=edge, epoch=job.listing_epoch + 1)],
                False,
                lambda outcome: None,
                True,
            )
