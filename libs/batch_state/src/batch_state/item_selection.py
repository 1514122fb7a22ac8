"""The choice of the items that an edge gets.

Lots that are due first come first, forwarded ones up to the edge's share of what waits. Samples of
rollouts get only what is left.
"""

import math
from collections.abc import Callable
from typing import Any

from batch_state import messages as m
from batch_state.jobs import Job

__all__ = ["ItemSelector"]


class ItemSelector:
    """Chooses items from the ledger of one holder.

    `outlook` gets each edge's slots; `recalled` says whether a lot may come late beside rollouts.
    """

    __slots__ = ("_holder", "_log_ms", "_node", "_outlook", "_recalled")

    def __init__(
        self,
        holder: Any,
        node: Any,
        log_ms: Callable[[], int],
        outlook: Any,
        recalled: Callable[[], bool],
    ) -> None:
        self._holder, self._node, self._log_ms = holder, node, log_ms
        self._outlook, self._recalled = outlook, recalled

    def pick(
        self, message: m.EdgeHeartbeat, live_edges: Callable[[], int]
    ) -> tuple[list[Any], bool]:
        """Return the work for an edge, and whether all of it is safe to repeat.

        The edge gets as many items as it has room for, of forwarded lots no more than its share,
        since other edges have room too.
        """
        work: list[Any] = []
        safe_only = True
        if isinstance(message, m.RolloutHeartbeat) and self._outlook is not None:
            self._outlook.heard(message, self._node.env.now())
        if not message.capacity:
            return self._pick_samples(message, work), safe_only
        jobs = sorted(
            (
                job
                for job in self._holder.state.open_jobs.values()
                if job.pending and job.path in message.paths and not job.rollout
            ),
            key=lambda job: (job.due_ms, job.at_ms, job.job_id),
        )
        waiting = sum(len(job.pending) for job in jobs if job.forward)
        share = math.ceil(waiting / max(1, live_edges()))
        for job in jobs:
            for index in job.pending:
                if len(work) >= message.capacity:
                    return work, safe_only
                if job.forward:
                    if share <= 0:
                        break
                    share -= 1
                    work.append(self._forward_work(job, index))
                else:
                    item = job.items[index]
                    work.append(
                        m.ItemAssignment(
                            job_id=job.job_id,
                            index=index,
                            number=item.number + 1,
                            path=job.path,
                            safe=job.safe,
                            body=item.body,
                            due_ms=job.due_ms,
                        )
                    )
                    safe_only = safe_only and job.safe
        return self._pick_samples(message, work), safe_only

    def _pick_samples(
        self, message: m.EdgeHeartbeat | m.RolloutHeartbeat, work: list[Any]
    ) -> list[Any]:
        """Return samples of rollouts if no items go to this edge and no lot may come late."""
        if (
            work
            or not isinstance(message, m.RolloutHeartbeat)
            or not message.sample_capacity
            or self._recalled()
        ):
            return work
        rollouts = [
            job
            for job in self._holder.state.open_jobs.values()
            if job.rollout and job.pending and job.path in message.sample_paths
        ]
        samples: list[Any] = []
        for job in sorted(
            rollouts, key=lambda job: (job.expires_ms or math.inf, job.at_ms, job.job_id)
        ):
            for index in job.pending:
                if len(samples) >= message.sample_capacity:
                    return samples
                prompt, sample = divmod(index, job.samples)
                samples.append(
                    m.RolloutAssignment(
                        job_id=job.job_id,
                        index=index,
                        number=job.items[index].number + 1,
                        path=job.path,
                        body=job.items[index].body,
                        prompt=prompt,
                        sample=sample,
                        weights=job.weights,
                    )
                )
        return samples

    def _forward_work(self, job: Job, index: int) -> m.ForwardAssignment:
        item = job.items[index]
        return m.ForwardAssignment(
            job_id=job.job_id,
            index=index,
            number=item.number + 1,
            path=job.path,
            call=item.body,
            avoid=list(item.failed_at),
            left_ms=max(0, job.expires_ms - self._log_ms()),
        )
