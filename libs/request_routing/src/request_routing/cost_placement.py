"""Which worker a forwarded request is sent to: the one of the lowest estimated cost."""

import math
from random import Random

from request_routing.calls import ForwardCall
from request_routing.prefill_tracker import PrefillTracker
from request_routing.prefix_affinity import PrefixAffinity
from request_routing.worker import Worker

__all__ = ["choose_forward", "cost"]

_CACHED_DISCOUNT = 0.75
_NEAR_DISCOUNT = 0.25
_NOISE = 0.01
_OTHER_LOAD_WEIGHT = 0.1
_PREFILL_PER_MS = 0.2
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
    """Return the estimated cost of one more request at this worker, as a share of its slots.

    What this edge itself has there counts most, and prompts that are still read count twice: a
    worker's report on others is old by the time it is used, and edges that all believe it choose
    the same worker at once. Of equal workers the one sent to longest ago is cheapest; what is
    cached (`cached_share`, 0 to 1) and a worker in this zone (`near`) cost less. `recent_ms` is how
    long an attempt counts as recent; `prefill_ms` how long the worker will probably go on reading
    prompts, whichever edge sent them.
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
    """Whether a worker has capacity: batch jobs leave slots free, live requests may queue briefly.

    A batch item takes nothing where live requests wait.
    """
    load = worker.load(now_ms)
    accepts = worker.full_until_ms <= now_ms
    if job:
        return accepts and load < math.floor(worker.slots * (1 - job_free))
    return load < worker.slots or (accepts and load < worker.slots * (1 + _QUEUE_SHARE))


def choose_forward(
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

    `job_free` is the share of the slots that batch jobs leave free; `avoid` are the instances to
    leave out; `connections` bounds this edge's attempts at one worker, 0 for no bound. Ties are
    broken at random, so that edges with the same knowledge do not all choose the same worker.
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
    """Return the workers to look at: of very many, a random sample.

    Those that have cached what this prompt shares with fewest others are added to the sample.
    """
    if len(workers) <= 2 * _SAMPLE_SIZE:
        return workers
    caching = affinity.workers_with(call.parts)
    return (
        rng.sample(workers, _SAMPLE_SIZE)
        + [worker for worker in workers if worker.identity in caching][:_SAMPLE_SIZE]
    )
