"""Placement: which worker a request is sent to.

For our own interface, workers are ordered by rendezvous hashing of the prompt's prefix, so that
equal prefixes meet a warm cache, and the first one whose weight is within its bound is taken. Live
requests may use all slots and a short queue; batches leave the live share free and take nothing
from a worker where requests wait. Forwarded requests go to the worker of the lowest cost.
"""

import hashlib
import math
from collections.abc import Iterable
from typing import Any

from membership.role_assignment import rendezvous_weight

from request_routing.worker_registry import Worker

__all__ = ["RetryBudget", "choose", "choose_forward", "cost", "prefix_of"]

_PREFIX_CHARS = 256
_EVENNESS = 1.25
_KEPT = 0.75
_NEAR = 0.25
_NOISE = 0.01
_OTHERS = 0.1
_QUEUE = 0.25
_READ_PER_MS = 0.2
_SAMPLE = 16


def prefix_of(body: dict[str, Any]) -> str:
    """Return a digest of the start of the prompt or messages, for placement by common prefix."""
    if isinstance(body.get("prompt"), str):
        text = body["prompt"]
    else:
        text = "\n".join(
            str(row.get("content", "")) for row in body.get("messages", []) if isinstance(row, dict)
        )
    return hashlib.blake2b(text[:_PREFIX_CHARS].encode(), digest_size=8).hexdigest()


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
    """Return the worker for a request of our own interface, or None if none has room.

    `live_share` is the share of a worker's slots that batches leave to live requests, `lot_share`
    the most that they may take; `avoid` are stamps of workers to leave out; `near` prefers `zone`.
    Without `by_prefix` the lightest worker comes first.
    """
    candidates = [worker for worker in workers if worker.stamp not in avoid]
    if not candidates:
        return None
    mean = sum(worker.weight for worker in candidates) / len(candidates)
    even = math.ceil(_EVENNESS * mean) + 1

    def bound(worker: Worker) -> int:
        if job:
            return min(
                worker.slots - math.ceil(worker.slots * live_share),
                math.floor(worker.slots * lot_share),
            )
        return worker.slots

    def rank(worker: Worker) -> tuple:
        far = near and worker.zone != zone
        return (
            (far, -rendezvous_weight(worker.identity, prefix))
            if by_prefix
            else (far, worker.weight, worker.identity)
        )

    ordered = sorted(candidates, key=rank)
    if job:
        ordered = [worker for worker in ordered if worker.waiting == 0]
    for worker in ordered:
        if worker.weight < min(bound(worker), even):
            return worker
    for worker in ordered:
        if worker.weight < bound(worker):
            return worker
    if job:
        return None
    queued = [worker for worker in ordered if worker.weight < 2 * worker.slots]
    return min(queued, key=lambda worker: worker.weight / worker.slots, default=None)


class RetryBudget:
    """A retry budget: a token bucket filled by first attempts, so that failures are not multiplied.

    It holds at most as many tokens as one lost worker can have had requests in flight.
    """

    __slots__ = ("_tokens", "_top")

    def __init__(self, top: float = 10.0) -> None:
        self._top = top
        self._tokens = top

    def widen(self, top: float) -> None:
        """Raise the bound to `top` tokens and add the difference; a lower bound changes nothing."""
        if top > self._top:
            self._tokens += top - self._top
            self._top = top

    def earn(self, share: float) -> None:
        """Add `share` tokens for a first attempt."""
        self._tokens = min(self._top, self._tokens + share)

    def spend(self) -> bool:
        """Take a token for a retry; false if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def cost(
    worker: Worker, now_ms: int, kept_share: float, near: bool, recent_ms: int, left_ms: float = 0.0
) -> float:
    """Return the estimated cost of one more request at this worker, as a share of its slots.

    What this edge itself has there counts most, and prompts that are still read count twice: a
    worker's report on others is old by the time it is used, and edges that all believe it choose
    the same worker at once. Of equal workers the one sent to longest ago is cheapest; what is
    cached (`kept_share`) and a worker in this zone (`near`) cost less. `recent_ms` is how long a
    send counts as recent; `left_ms` how long the worker is thought to go on reading prompts,
    whichever edge sent them.
    """
    recent = max(0.0, 1.0 - (now_ms - worker.sent_ms) / recent_ms)
    own = (
        worker.sending
        - worker.borrowed
        + worker.reading
        + recent
        - _KEPT * kept_share
        - (_NEAR if near else 0.0)
    )
    return (own + _OTHERS * worker.others_now(now_ms) + _READ_PER_MS * left_ms) / worker.slots


def _room(worker: Worker, job: bool, job_free: float, now_ms: int) -> bool:
    """Whether a worker has room: batches leave slots free, live requests may use a short queue.

    A batch item takes nothing where live requests wait.
    """
    load = worker.load(now_ms)
    if job:
        return load < math.floor(worker.slots * (1 - job_free)) and worker.full_until_ms <= now_ms
    return load < worker.slots or (
        load < worker.slots * (1 + _QUEUE) and worker.full_until_ms <= now_ms
    )


def choose_forward(
    workers: list[Worker],
    call: Any,
    parts: Any,
    now_ms: int,
    zone: str,
    rng: Any,
    recent_ms: int,
    job_free: float = 0.0,
    avoid: frozenset[str] = frozenset(),
    connections: int = 0,
    readings: Any = None,
) -> Worker | None:
    """Return the cheapest worker with room for a forwarded request, or None.

    `job_free` is the share of the slots that batches leave free; `avoid` are stamps to leave out;
    `connections` bounds this edge's attempts at one worker, 0 for no bound. Ties are broken at
    random, so that edges with the same knowledge do not all choose the same worker. Of very many
    workers only a random sample is looked at, and those that have cached what this prompt shares
    with fewest.
    """
    if len(workers) > 2 * _SAMPLE:
        holders = parts.holders(call.parts)
        workers = (
            rng.sample(workers, _SAMPLE)
            + [worker for worker in workers if worker.identity in holders][:_SAMPLE]
        )
    best, best_cost = None, 0.0
    for worker in workers:
        if (
            worker.stamp in avoid
            or (connections and worker.sending >= connections)
            or not _room(worker, call.job, job_free, now_ms)
        ):
            continue
        this = (
            cost(
                worker,
                now_ms,
                parts.share(worker.identity, call.parts),
                worker.zone == zone,
                recent_ms,
                readings.left_ms(worker.identity) if readings is not None else 0.0,
            )
            + _NOISE * rng.random() / worker.slots
        )
        if best is None or this < best_cost:
            best, best_cost = worker, this
    return best
