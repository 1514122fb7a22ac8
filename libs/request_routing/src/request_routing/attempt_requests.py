"""What differs by the kind of call when it is sent to a worker.

One function each, dispatched by the call's type, gives how the answer is judged, what is written,
which worker is chosen, and which ones are allowed.
"""

import math
from functools import singledispatch
from typing import Any

from request_routing.calls import Call, ForwardCall
from request_routing.forward_exchange import ForwardExchange
from request_routing.placement import choose, choose_forward
from request_routing.worker_exchange import WorkerExchange
from request_routing.worker_registry import Worker, WorkerRegistry

_READING_SHARE = 0.3

__all__ = ["allowed_workers", "choose_worker", "new_exchange", "worker_request"]


@singledispatch
def new_exchange(call: Any, carrier: Any, tx: Any, worker: Worker) -> Any:
    """Return what judges the answer to this attempt; raises NotImplementedError for other calls."""
    raise NotImplementedError(type(call).__name__)


@new_exchange.register
def _(call: Call, carrier: Any, tx: Any, worker: Worker) -> WorkerExchange:
    return WorkerExchange(
        worker.stamp, tx.transaction_id, call.stream, carrier.node.settings.max_response_bytes
    )


@new_exchange.register
def _(call: ForwardCall, carrier: Any, tx: Any, worker: Worker) -> ForwardExchange:
    return ForwardExchange(
        carrier.dialect,
        worker.identity,
        call.request_id,
        call.method,
        call.stream,
        carrier.node.settings.max_response_bytes,
        _resume_after(call, tx),
    )


def _resume_after(call: ForwardCall, tx: Any) -> int | None:
    return tx.last_event_id if tx.last_event_id is not None else call.last_event_id


@singledispatch
def worker_request(call: Any, carrier: Any, tx: Any, worker: Worker) -> tuple:
    """Return the transport's arguments after the address.

    Raises NotImplementedError for other calls.
    """
    raise NotImplementedError(type(call).__name__)


@worker_request.register
def _(call: Call, carrier: Any, tx: Any, worker: Worker) -> tuple:
    """Build the completion's path, headers and body."""
    kind = "/v1/chat/completions" if call.body.get("messages") is not None else "/v1/completions"
    headers = {"X-Vaneledge-Worker": worker.stamp, "X-Vaneledge-Transaction": tx.transaction_id}
    return kind, headers, {**call.body, "model": tx.profile.path, "stream": call.stream}


@worker_request.register
def _(call: ForwardCall, carrier: Any, tx: Any, worker: Worker) -> tuple:
    """Keep the request's own headers, with ours in the place of any of the same name."""
    dialect, after = carrier.dialect, _resume_after(call, tx)
    left_ms = max(1, tx.due_ms - carrier.node.env.now())
    ours = [
        (dialect.worker, worker.identity),
        (dialect.urgency, str(call.urgency)),
        (dialect.deadline_ms, str(left_ms)),
    ]
    if after is not None:
        ours.append((dialect.last_event_id, str(after)))
    ours = [(name, value) for name, value in ours if name]
    out = {name.lower() for name, _ in ours} | {dialect.request_id.lower(), "host"}
    kept = [(name, value) for name, value in call.headers if name.lower() not in out]
    headers = [("Host", call.host), (dialect.request_id, call.request_id), *kept, *ours]
    return call.target, headers, call.body, call.method


@singledispatch
def allowed_workers(call: Any, carrier: Any, tx: Any, roster: WorkerRegistry) -> list[Worker]:
    """Return the workers that may serve this call; raises NotImplementedError for other calls."""
    raise NotImplementedError(type(call).__name__)


@allowed_workers.register
def _(call: Call, carrier: Any, tx: Any, roster: WorkerRegistry) -> list[Worker]:
    return [
        worker for worker in roster.workers() if tx.profile.allows(worker.identity, worker.labels)
    ]


@allowed_workers.register
def _(call: ForwardCall, carrier: Any, tx: Any, roster: WorkerRegistry) -> list[Worker]:
    """Return the workers of the service drawn by the traffic shares, else all that may serve it."""
    return roster.listed(tx.profile.choose_labels(carrier.node.env.rng.random())) or roster.listed(
        tx.profile.labels
    )


@singledispatch
def choose_worker(
    call: Any, carrier: Any, tx: Any, workers: list[Worker], roster: WorkerRegistry
) -> Worker | None:
    """Return the worker for the next attempt, or None.

    Raises NotImplementedError for other calls.
    """
    raise NotImplementedError(type(call).__name__)


@choose_worker.register
def _(
    call: Call, carrier: Any, tx: Any, workers: list[Worker], roster: WorkerRegistry
) -> Worker | None:
    settings, job, prefix = carrier.node.settings, call.job, call.prefix
    share = settings.live_share if job else 1 - tx.profile.live_share
    worker = choose(
        workers,
        prefix,
        job,
        settings.zone,
        tx.profile.zone == "near",
        share,
        tx.profile.lot_share,
        frozenset(tx.avoid),
        carrier.by_prefix,
    )
    if worker is None and tx.avoid:
        worker = choose(
            workers,
            prefix,
            job,
            settings.zone,
            False,
            share,
            tx.profile.lot_share,
            frozenset(),
            carrier.by_prefix,
        )
    if worker is None and job and carrier.carrying(True) <= 1:
        worker = choose(
            workers, prefix, False, settings.zone, False, 0.0, avoid=frozenset(tx.avoid)
        )
    return worker


@choose_worker.register
def _(
    call: ForwardCall, carrier: Any, tx: Any, workers: list[Worker], roster: WorkerRegistry
) -> Worker | None:
    """Leave out workers that failed lately; what may be repeated retries them first.

    If all are left out, the one that failed longest ago is tried. None is tried again that could
    not be reached for this very request.
    """
    settings, now_ms = carrier.node.settings, carrier.node.env.now()
    workers = [
        worker
        for worker in workers
        if tx.may_try(worker.identity) and worker.stamp not in tx.unreached
    ]
    path = tx.profile.name
    fit = [
        worker
        for worker in workers
        if not roster.resting(worker) and (tx.safe or not worker.failures)
    ]
    fit = [worker for worker in fit if not carrier.seems_dark(worker, path)] or fit
    if call.job:
        if carrier.reading_items >= math.ceil(len(workers) / carrier.edges()):
            return None
        fit = [
            worker
            for worker in fit
            if not worker.reading_items
            and (
                carrier.readings is None
                or carrier.readings.left_ms(worker.identity) <= settings.delta_ms * _READING_SHARE
            )
        ]
    bound = max(1, tx.profile.connections // carrier.edges()) if tx.profile.connections else 0

    def choose_of(among: list[Worker], avoid: frozenset[str]) -> Worker | None:
        return choose_forward(
            among,
            call,
            carrier.parts,
            now_ms,
            settings.zone,
            carrier.node.env.rng,
            settings.heartbeat_ms,
            settings.live_share,
            avoid,
            bound,
            carrier.readings,
        )

    worker = choose_of(fit, frozenset(tx.avoid))
    if worker is None and tx.avoid:
        worker = choose_of([one for one in fit if one.stamp in tx.avoid], frozenset())
    if worker is None and not fit and not call.job:
        rested = [
            one
            for one in workers
            if now_ms - one.down_ms >= settings.delta_ms or one.stamp not in tx.avoid
        ]
        worker = min(rested, key=lambda one: one.down_ms, default=None)
    return worker
