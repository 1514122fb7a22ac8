"""Where a transaction is sent. Workers are put in the order that rendezvous hashing gives for the
prompt's prefix, so that equal prefixes meet a warm cache, and the first one is taken whose weight is
within its bound. Live traffic may use all slots and a short queue; lots leave the live share free
and take nothing from a worker where somebody waits.
"""

import hashlib
import math
from collections.abc import Iterable
from typing import Any

from membership.duties import score

from circulation.roster import Worker

__all__ = ["Budget", "choose", "choose_forward", "cost", "prefix_of"]

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
    """A digest of what prompts with a common start share: the head of the prompt or of the messages."""
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
    lot: bool,
    zone: str,
    near: bool,
    live_share: float,
    lot_share: float = 1.0,
    avoid: frozenset[str] = frozenset(),
    by_prefix: bool = True,
) -> Worker | None:
    candidates = [worker for worker in workers if worker.stamp not in avoid]
    if not candidates:
        return None
    mean = sum(worker.weight for worker in candidates) / len(candidates)
    even = math.ceil(_EVENNESS * mean) + 1

    def bound(worker: Worker) -> int:
        if lot:
            return min(
                worker.slots - math.ceil(worker.slots * live_share),
                math.floor(worker.slots * lot_share),
            )
        return worker.slots

    def rank(worker: Worker) -> tuple:
        far = near and worker.zone != zone
        return (
            (far, -score(worker.identity, prefix))
            if by_prefix
            else (far, worker.weight, worker.identity)
        )

    ordered = sorted(candidates, key=rank)
    if lot:
        ordered = [worker for worker in ordered if worker.waiting == 0]
    for worker in ordered:
        if worker.weight < min(bound(worker), even):
            return worker
    for worker in ordered:
        if worker.weight < bound(worker):
            return worker
    if lot:
        return None
    queued = [worker for worker in ordered if worker.weight < 2 * worker.slots]
    return min(queued, key=lambda worker: worker.weight / worker.slots, default=None)


class Budget:
    """Resends as a share of first sends, so that a failing pool is not multiplied; at the most as many at
    once as one lost worker can have had under way.
    """

    __slots__ = ("_tokens", "_top")

    def __init__(self, top: float = 10.0) -> None:
        self._top = top
        self._tokens = top

    def widen(self, top: float) -> None:
        if top > self._top:
            self._tokens += top - self._top
            self._top = top

    def earn(self, share: float) -> None:
        self._tokens = min(self._top, self._tokens + share)

    def spend(self) -> bool:
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def cost(
    worker: Worker, now_ms: int, kept_share: float, near: bool, recent_ms: int, left_ms: float = 0.0
) -> float:
    """What a further request at this worker is thought to cost, as a share of its slots. Counted is above all what
    this edge itself has there, prompts that are still read twice: what a worker told of others is old by
    the time it is used, and edges that all believe it fall upon the same worker at once. Of equals the one
    sent to longest ago is taken, less what it need not read again and what is saved by staying in the zone.
    `left_ms` is how long it is thought to go on reading prompts, of whatever edge.
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


def _room(worker: Worker, lot: bool, lot_free: float, now_ms: int) -> bool:
    """Lots leave slots free and take nothing where somebody waits; live calls also take the short queue."""
    load = worker.load(now_ms)
    if lot:
        return load < math.floor(worker.slots * (1 - lot_free)) and worker.full_until_ms <= now_ms
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
    lot_free: float = 0.0,
    avoid: frozenset[str] = frozenset(),
    connections: int = 0,
    readings: Any = None,
) -> Worker | None:
    """The cheapest worker with a place; `lot_free` is the share of the slots that lots leave free. Ties are
    broken at random, so that edges which know the same do not all choose the same. Of very many workers
    some are looked at, and those that hold what this prompt shares with fewest.
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
            or not _room(worker, call.lot, lot_free, now_ms)
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
