"""Placement of forwarded requests at the worker with the lowest estimated cost."""

import math
from random import Random

from request_routing.calls import ForwardCall
from request_routing.prefill_tracker import PrefillTracker
from request_routing.prefix_affinity import PrefixAffinity
from request_routing.worker import Worker

__all__ = ["choose_by_cost", "cost"]

# Costs and discounts are in requests: a request in flight costs 1.
_CACHED_DISCOUNT = 0.75
_NEAR_DISCOUNT = 0.25
_NOISE = 0.01
_OTHER_LOAD_WEIGHT = 0.1
_PREFILL_PER_MS = 0.2
# Live requests beyond the slots that may be queued at a worker, as a fraction of its slots.
_QUEUE_SHARE = 0.25
_SAMPLE_SIZE = 16


def cost(
    worker: Worker,
    now_ms: int,
    cached_share: float,
    near: bool,
    recent_ms: int,
    prefill_ms: float = 0.0,
) -> float:
    """Return the estimated cost of one more request at this worker, as a fraction of its slots.

    This edge's own requests have the highest weight, and those whose prompt is still being
    processed count twice. Requests of other callers have a low weight: a worker's report on them is
    outdated when it is used, and edges that all rely on it would choose the same worker at the same
    time. Among otherwise equal workers the one with the least recent request of this edge is
    cheapest.

    Parameters
    ----------
    worker
        The worker.
    now_ms
        Time of the node's clock in milliseconds.
    cached_share
        Fraction (0 to 1) of the prompt that the worker has probably cached; reduces the cost.
    near
        Whether the worker is in this edge's zone; reduces the cost.
    recent_ms
        How long the last request to the worker adds to its cost; the addition declines linearly.
    prefill_ms
        How long the worker is expected to process prompts of any edge.
    """
    recent = max(0.0, 1.0 - (now_ms - worker.sent_ms) / recent_ms)
    own = (
        worker.in_flight
        - worker.borrowed
        + worker.prefilling
        + recent
        - _CACHED_DISCOUNT * cached_share
        - (_NEAR_DISCOUNT if near else 0.0)
    )
    others = _OTHER_LOAD_WEIGHT * worker.other_load_now(now_ms)
    return (own + others + _PREFILL_PER_MS * prefill_ms) / worker.slots


def _has_capacity(worker: Worker, job: bool, job_free: float, now_ms: int) -> bool:
    """Whether a worker has capacity for one more request.

    A live request may use all slots, and a short queue unless the worker has just rejected a
    request as busy. A batch item leaves `job_free` of the slots free, so it gets none where
    requests are queued, and none at a worker that has just rejected a request.
    """
    load = worker.load(now_ms)
    accepts = worker.full_until_ms <= now_ms
    if job:
        return accepts and load < math.floor(worker.slots * (1 - job_free))
    return load < worker.slots or (accepts and load < worker.slots * (1 + _QUEUE_SHARE))


def choose_by_cost(
    workers: list[Worker],
    call: ForwardCall,
    affinity: PrefixAffinity,
    now_ms: int,
    zone: str,
    rng: Random,
    recent_ms: int,
    job_free: float = 0.0,
    avoid: frozenset[str] = frozenset(),
    connections: int = 0,
    prefill: PrefillTracker | None = None,
) -> Worker | None:
    """Return the cheapest worker with capacity for a forwarded request, or None.

    Ties are broken at random, so that edges with the same information do not all choose the same
    worker.

    Parameters
    ----------
    workers
        The workers to choose from.
    call
        The request.
    affinity
        Estimates of the workers' prompt caches.
    now_ms
        Time of the node's clock in milliseconds.
    zone
        This edge's zone.
    rng
        Random numbers for samples and ties.
    recent_ms
        How long the last request to a worker adds to its cost.
    job_free
        Fraction of the slots that batch items leave free.
    avoid
        Instance ids of the workers to exclude.
    connections
        Maximum number of this edge's requests in flight at one worker; 0 means no limit.
    prefill
        Estimates of the prompts that workers have still to process, or None.
    """
    best, best_cost = None, 0.0
    for worker in _sampled(workers, call, affinity, rng):
        if (
            worker.instance_id in avoid
            or (connections and worker.in_flight >= connections)
            or not _has_capacity(worker, call.job, job_free, now_ms)
        ):
            continue
        estimated = cost(
            worker,
            now_ms,
            affinity.share(worker.identity, call.parts),
            worker.zone == zone,
            recent_ms,
            prefill.left_ms(worker.identity) if prefill is not None else 0.0,
        )
        noisy = estimated + _NOISE * rng.random() / worker.slots
        if best is None or noisy < best_cost:
            best, best_cost = worker, noisy
    return best


def _sampled(
    workers: list[Worker], call: ForwardCall, affinity: PrefixAffinity, rng: Random
) -> list[Worker]:
    """Return the workers to compare: all of them, or a random sample if there are many.

    Added to the sample are workers that probably have cached the longest known prefix of the
    prompt, at most as many as are in the sample.
    """
    if len(workers) <= 2 * _SAMPLE_SIZE:
        return workers
    caching = affinity.workers_with(call.parts)
    return (
        rng.sample(workers, _SAMPLE_SIZE)
        + [worker for worker in workers if worker.identity in caching][:_SAMPLE_SIZE]
    )
