"""Which worker a request of our own interface is sent to, by the prefix of its prompt.

Workers are ordered by rendezvous hashing of the prefix, so that equal prefixes meet a warm cache,
and the first one whose weight is within its bound is taken. Live requests may use all slots and a
short queue; batch jobs leave the live share free and take nothing from a worker where requests
wait.
"""

import hashlib
import math
from collections.abc import Callable, Iterable
from typing import Any

from membership.role_assignment import rendezvous_weight

from request_routing.worker import Worker

__all__ = ["choose", "prefix_of"]

_PREFIX_CHARS = 256
_DIGEST_BYTES = 8
_EVENNESS = 1.25
_QUEUE_FACTOR = 2


def prefix_of(body: dict[str, Any]) -> str:
    """Return a digest of the start of the prompt or messages, for placement by common prefix."""
    if isinstance(body.get("prompt"), str):
        text = body["prompt"]
    else:
        text = "\n".join(
            str(row.get("content", "")) for row in body.get("messages", []) if isinstance(row, dict)
        )
    start = text[:_PREFIX_CHARS].encode()
    return hashlib.blake2b(start, digest_size=_DIGEST_BYTES).hexdigest()


def choose(
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
    """Return the worker for a request of our own interface, or None if none has capacity.

    `live_share` is the share of a worker's slots that batch jobs leave to live requests,
    `lot_share` the most that they may take; `avoid` are the instances of workers to leave out;
    `near` prefers `zone`. Without `by_prefix` the lightest worker comes first.
    """
    candidates = [worker for worker in workers if worker.instance_id not in avoid]
    if not candidates:
        return None
    mean_weight = sum(worker.weight for worker in candidates) / len(candidates)
    even_bound = math.ceil(_EVENNESS * mean_weight) + 1

    def bound(worker: Worker) -> int:
        return _job_slots(worker, live_share, lot_share) if job else worker.slots

    ordered = _ordered(candidates, prefix, zone if near else None, by_prefix)
    if job:
        ordered = [worker for worker in ordered if worker.waiting == 0]
    chosen = _first(ordered, lambda worker: worker.weight < min(bound(worker), even_bound))
    if chosen is None:
        chosen = _first(ordered, lambda worker: worker.weight < bound(worker))
    if chosen is not None or job:
        return chosen
    queued = [worker for worker in ordered if worker.weight < _QUEUE_FACTOR * worker.slots]
    return min(queued, key=lambda worker: worker.weight / worker.slots, default=None)


def _job_slots(worker: Worker, live_share: float, lot_share: float) -> int:
    """Return how many of a worker's slots batch jobs may use."""
    return min(
        worker.slots - math.ceil(worker.slots * live_share), math.floor(worker.slots * lot_share)
    )


def _ordered(workers: list[Worker], prefix: str, zone: str | None, by_prefix: bool) -> list[Worker]:
    """Return the workers in the order they are tried; those of `zone` first, unless it is None."""

    def rank(worker: Worker) -> tuple[Any, ...]:
        far = zone is not None and worker.zone != zone
        if by_prefix:
            return (far, -rendezvous_weight(worker.identity, prefix))
        return (far, worker.weight, worker.identity)

    return sorted(workers, key=rank)


def _first(workers: list[Worker], fits: Callable[[Worker], bool]) -> Worker | None:
    return next((worker for worker in workers if fits(worker)), None)
