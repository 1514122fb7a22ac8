"""Claims of items by edges.

A claim is appended to the log before the edge is notified, and committed first if the item isn't
safe to repeat. It ends when the edge reports an outcome or returns the claim, when the notification
was lost, or when the edge is lost.
"""

from messaging import Message, Node

from batch_state.edge_liveness import EdgeLiveness
from batch_state.entries import ItemClaimed, ItemFinished, ItemReturned, ItemsClaimed
from batch_state.interfaces import LogLeader
from batch_state.item_selection import Assignment
from batch_state.jobs import Job
from batch_state.messages import EdgeHeartbeat, ForwardAssignment, RolloutHeartbeat
from batch_state.outcomes import ItemResult

__all__ = ["ItemClaims", "claim_entries"]

_EDGE_LOST_BODY = (
    '{"error":{"verdict":"may_have_run","code":"edge-lost",'
    '"message":"the node running this item was lost"}}'
)


def claim_entries(assignments: list[Assignment], edge: str) -> list[Message]:
    """Return the entries that claim items for an edge.

    There is one entry for each forwarded job, and one for each item of other jobs.
    """
    entries: list[Message] = []
    forward: dict[str, ItemsClaimed] = {}
    for row in assignments:
        if isinstance(row, ForwardAssignment):
            if row.job_id not in forward:
                forward[row.job_id] = ItemsClaimed(
                    job_id=row.job_id, edge=edge, indexes=[], claim_numbers=[]
                )
                entries.append(forward[row.job_id])
            forward[row.job_id].indexes.append(row.index)
            forward[row.job_id].claim_numbers.append(row.claim_number)
        else:
            entries.append(
                ItemClaimed(
                    job_id=row.job_id, index=row.index, edge=edge, claim_number=row.claim_number
                )
            )
    return entries


class ItemClaims:
    """Tracks when claims were made under one leader, and ends those that no edge will finish."""

    __slots__ = ("_claimed_ms", "_edges", "_leader", "_node")

    def __init__(self, leader: LogLeader, node: Node, edges: EdgeLiveness) -> None:
        self._leader, self._node, self._edges = leader, node, edges
        self._claimed_ms: dict[tuple[str, int], int] = {}

    def record_claims(self, assignments: list[Assignment]) -> None:
        """Record that items are claimed now."""
        now_ms = self._node.env.now()
        self._claimed_ms.update({(row.job_id, row.index): now_ms for row in assignments})

    def remove_claim(self, job_id: str, index: int) -> int | None:
        """Remove the record of a claim, and return the claim's age in milliseconds if known.

        It isn't known of a claim under an earlier leader.
        """
        claimed_ms = self._claimed_ms.pop((job_id, index), None)
        return None if claimed_ms is None else self._node.env.now() - claimed_ms

    def return_undelivered(self, message: EdgeHeartbeat | RolloutHeartbeat) -> None:
        """Return claims of which the edge was never notified.

        These are claims older than two request timeouts that the edge doesn't report as running:
        the heartbeat response with the assignment was lost, and the edge no longer accepts it. A
        claim under an earlier leader has an age only from the start of this one.
        """
        oldest_ms = self._node.env.now() - 2 * self._node.settings.request_timeout_ms
        running = set(message.running)
        entries: list[Message] = []
        for job in self._leader.state.open_jobs.values():
            for index, item in job.claims.items():
                if item.edge != message.edge or f"{job.job_id}#{index}" in running:
                    continue
                claimed_ms = self._claimed_ms.get((job.job_id, index), self._edges.started_ms)
                if claimed_ms < oldest_ms:
                    entries.append(_returned(job, index))
        if entries:
            self._leader.append(entries, False, lambda outcome: None, True)

    def reclaim_lost(self) -> bool:
        """End the claims of lost edges, and return whether there were any.

        Items that are safe to repeat wait for dispatch under a higher claim number; others end as
        `may_have_run`.
        """
        entries: list[Message] = []
        for job in self._leader.state.open_jobs.values():
            for index, item in job.claims.items():
                if self._edges.claims_lost(job, item.edge):
                    entries.append(_returned(job, index) if job.safe else _edge_lost(job, index))
        if not entries:
            return False
        self._node.env.log("claims-reclaimed", "WARNING", count=len(entries))
        self._leader.append(entries, False, lambda outcome: None, True)
        return True


def _returned(job: Job, index: int) -> ItemReturned:
    return ItemReturned(job_id=job.job_id, index=index, claim_number=job.items[index].claim_number)


def _edge_lost(job: Job, index: int) -> ItemFinished:
    return ItemFinished(
        job_id=job.job_id,
        index=index,
        outcome=ItemResult.MAY_HAVE_RUN,
        body=_EDGE_LOST_BODY,
        worker="",
    )
