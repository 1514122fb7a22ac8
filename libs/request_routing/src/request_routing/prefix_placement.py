"""Placement of completions by the prefix of their prompt.

Workers are ordered by rendezvous hashing of the prefix, so that prompts with the same prefix go to
the same worker and find its cache warm. The first worker whose load is below its bound is chosen.
Live requests may use all slots and a short queue. Batch jobs leave a fraction of the slots to live
requests, and are not placed at a worker with queued requests.
"""

import hashlib
import math
from collections.abc import Callable, Iterable
from typing import Any

from membership.role_assignment import rendezvous_weight

from request_routing.worker import Worker

__all__ = ["choose_by_prefix", "prefix_of"]

_PREFIX_CHARS = 256
_DIGEST_BYTES = 8
# Consistent hashing with bounded loads: no worker is preferred beyond this multiple of the mean.
_BOUNDED_LOAD_FACTOR = 1.25
# A live request may be queued at a worker with a load below this multiple of its slots.
_QUEUE_FACTOR = 2


def prefix_of(body: dict[str, Any]) -> str:
    """Return a hex digest of the start of the prompt or messages of a completion's body.

    Bodies whose first 256 characters of text are the same have the same digest.
    """
    if isinstance(body.get("prompt"), str):
        text = body["prompt"]
    else:
        text = "\n".join(
            str(row.get("content", "")) for row in body.get("messages", []) if isinstance(row, dict)
        )
    start = text[:_PREFIX_CHARS].encode()
    return hashlib.blake2b(start, digest_size=_DIGEST_BYTES).hexdigest()


def choose_by_prefix(
    workers: Iterable[Worker],
    prefix: str,
    job: bool,
    zone: str,
    near: bool,
    live_share: float,
    lot_share: float = 1.0,
    avoid: frozenset[str] = frozenset(),
    by_prefix: bool = True,
) -> Worker | None:
    """Return the worker for a completion, or None if no worker has capacity.

    Parameters
    ----------
    workers
        The workers to choose from.
    prefix
        Digest of the start of the prompt.
    job
        Whether the completion is an item of a batch job.
    zone
        This edge's zone.
    near
        Whether workers in `zone` come first.
    live_share
        Fraction of a worker's slots that batch jobs leave to live requests.
    lot_share
        Maximum fraction of a worker's slots that batch jobs may use.
    avoid
        Instance ids of the workers to exclude.
    by_prefix
        False to order the workers by their load instead of the prefix.
    """
    candidates = [worker for worker in workers if worker.instance_id not in avoid]
    if not candidates:
        return None
    mean_load = sum(worker.heartbeat_load for worker in candidates) / len(candidates)
    balanced_bound = math.ceil(_BOUNDED_LOAD_FACTOR * mean_load) + 1

    def bound(worker: Worker) -> int:
        return _job_slots(worker, live_share, lot_share) if job else worker.slots

    ordered = _ordered(candidates, prefix, zone if near else None, by_prefix)
    if job:
        ordered = [worker for worker in ordered if worker.waiting == 0]
    chosen = _first(
        ordered, lambda worker: worker.heartbeat_load < min(bound(worker), balanced_bound)
    )
    if chosen is None:
        chosen = _first(ordered, lambda worker: worker.heartbeat_load < bound(worker))
    if chosen is not None or job:
        return chosen
    queued = [worker for worker in ordered if worker.heartbeat_load < _QUEUE_FACTOR * worker.slots]
    return min(queued, key=lambda worker: worker.heartbeat_load / worker.slots, default=None)


def _job_slots(worker: Worker, live_share: float, lot_share: float) -> int:
    """Return the load below which a worker gets items of batch jobs."""
    return min(
        worker.slots - math.ceil(worker.slots * live_share), math.floor(worker.slots * lot_share)
    )


def _ordered(workers: list[Worker], prefix: str, zone: str | None, by_prefix: bool) -> list[Worker]:
    """Return the workers in order of preference; those in `zone` first, unless it is None."""

    def rank(worker: Worker) -> tuple[Any, ...]:
        far = zone is not None and worker.zone != zone
        if by_prefix:
            return (far, -rendezvous_weight(worker.identity, prefix))
        return (far, worker.heartbeat_load, worker.identity)

    return sorted(workers, key=rank)


def _first(workers: list[Worker], fits: Callable[[Worker], bool]) -> Worker | None:
    return next((worker for worker in workers if fits(worker)), None)
