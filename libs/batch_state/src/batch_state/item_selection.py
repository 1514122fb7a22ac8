"""Selection of the items to dispatch to an edge.

Jobs are served by earliest deadline. An edge gets at most its share of the waiting forwarded items.
Samples of rollouts are selected only for an edge that gets no other item.
"""

import itertools
import math
from collections.abc import Callable

from messaging import Node

from batch_state.edge_liveness import EdgeLiveness
from batch_state.interfaces import DeadlineForecast, LogLeader
from batch_state.jobs import Job
from batch_state.messages import (
    EdgeHeartbeat,
    ForwardAssignment,
    ItemAssignment,
    RolloutAssignment,
    RolloutHeartbeat,
)

__all__ = ["Assignment", "ItemSelector"]

Assignment = ItemAssignment | ForwardAssignment | RolloutAssignment
"""An item that an edge is to run."""


class ItemSelector:
    """Selects items from the state of one leader.

    Parameters
    ----------
    leader
        The leader whose state has the jobs.
    node
        The node, for its clock.
    edges
        The liveness of edges; forwarded items are shared among the live ones.
    log_ms
        Returns the log's own time in milliseconds.
    forecast
        Records the heartbeats of edges that run rollouts; None if rollouts aren't dispatched.
    recalled
        Returns whether rollouts must yield, because a job may miss its deadline.
    """

    __slots__ = ("_edges", "_forecast", "_leader", "_log_ms", "_node", "_recalled")

    def __init__(
        self,
        leader: LogLeader,
        node: Node,
        edges: EdgeLiveness,
        log_ms: Callable[[], int],
        forecast: DeadlineForecast | None,
        recalled: Callable[[], bool],
    ) -> None:
        self._leader, self._node, self._edges, self._log_ms = leader, node, edges, log_ms
        self._forecast, self._recalled = forecast, recalled

    def select(self, message: EdgeHeartbeat | RolloutHeartbeat) -> list[Assignment]:
        """Return the items to dispatch to an edge, at most as many as it has capacity for.

        Of the waiting forwarded items an edge gets an equal share, so that other live edges with
        capacity get some too.
        """
        if isinstance(message, RolloutHeartbeat) and self._forecast is not None:
            self._forecast.record_heartbeat(message, self._node.env.now())
        work: list[Assignment] = []
        if message.capacity:
            work = self._select_items(message)
        if work or not isinstance(message, RolloutHeartbeat):
            return work
        if not message.sample_capacity or self._recalled():
            return work
        return self._select_samples(message)

    def _select_items(self, message: EdgeHeartbeat | RolloutHeartbeat) -> list[Assignment]:
        jobs = sorted(
            (
                job
                for job in self._leader.state.open_jobs.values()
                if job.pending and job.path in message.paths and not job.rollout
            ),
            key=lambda job: (job.due_ms, job.at_ms, job.job_id),
        )
        waiting = sum(len(job.pending) for job in jobs if job.forward)
        share = math.ceil(waiting / max(1, self._edges.live_count()))
        work: list[Assignment] = []
        for job in jobs:
            limit = message.capacity - len(work)
            if job.forward:
                limit = min(limit, share)
            indexes = _first_pending(job, limit)
            if job.forward:
                share -= len(indexes)
                work += [self._forward_assignment(job, index) for index in indexes]
            else:
                work += [_item_assignment(job, index) for index in indexes]
        return work

    def _select_samples(self, message: RolloutHeartbeat) -> list[Assignment]:
        """Return samples of rollouts, by earliest expiry."""
        rollouts = sorted(
            (
                job
                for job in self._leader.state.open_jobs.values()
                if job.rollout and job.pending and job.path in message.sample_paths
            ),
            key=lambda job: (job.expires_ms or math.inf, job.at_ms, job.job_id),
        )
        samples: list[Assignment] = []
        for job in rollouts:
            indexes = _first_pending(job, message.sample_capacity - len(samples))
            samples += [_rollout_assignment(job, index) for index in indexes]
        return samples

    def _forward_assignment(self, job: Job, index: int) -> ForwardAssignment:
        item = job.items[index]
        return ForwardAssignment(
            job_id=job.job_id,
            index=index,
            claim_number=item.claim_number + 1,
            path=job.path,
            call=item.body,
            avoid=list(item.failed_at),
            remaining_ms=max(0, job.expires_ms - self._log_ms()),
        )


def _first_pending(job: Job, count: int) -> list[int]:
    """Return the indexes of the first pending items, at most `count`."""
    return list(itertools.islice(job.pending, max(0, count)))


def _item_assignment(job: Job, index: int) -> ItemAssignment:
    item = job.items[index]
    return ItemAssignment(
        job_id=job.job_id,
        index=index,
        claim_number=item.claim_number + 1,
        path=job.path,
        safe=job.safe,
        body=item.body,
        due_ms=job.due_ms,
    )


def _rollout_assignment(job: Job, index: int) -> RolloutAssignment:
    prompt, sample = divmod(index, job.samples)
    item = job.items[index]
    return RolloutAssignment(
        job_id=job.job_id,
        index=index,
        claim_number=item.claim_number + 1,
        path=job.path,
        body=item.body,
        prompt=prompt,
        sample=sample,
        weights=job.weights,
    )
