"""Which workers may serve a call, and which of them the next attempt is made at.

One function each, dispatched by the call's type. `capacity_sharing.sampling` adds samples.
"""

import math
from functools import singledispatch
from typing import Any

from request_routing.calls import Call, ForwardCall
from request_routing.cost_placement import choose_forward
from request_routing.prefix_placement import choose
from request_routing.routing_context import RoutingContext
from request_routing.worker import Worker
from request_routing.worker_registry import WorkerRegistry

__all__ = ["allowed_workers", "choose_worker"]

_PREFILL_SHARE = 0.3
_NEAR = "near"


@singledispatch
def allowed_workers(
    call: Any, router: RoutingContext, lifecycle: Any, registry: WorkerRegistry
) -> list[Worker]:
    """Return the workers that may serve this call; raises NotImplementedError for other calls."""
    raise NotImplementedError(type(call).__name__)


@allowed_workers.register
def _(call: Call, router: RoutingContext, lifecycle: Any, registry: WorkerRegistry) -> list[Worker]:
    return [
        worker
        for worker in registry.workers()
        if lifecycle.profile.allows(worker.identity, worker.labels)
    ]


@allowed_workers.register
def _(
    call: ForwardCall, router: RoutingContext, lifecycle: Any, registry: WorkerRegistry
) -> list[Worker]:
    """Return the workers of the service drawn by the traffic shares, else all that may serve it."""
    profile = lifecycle.profile
    return registry.listed(profile.choose_labels(router.node.env.rng.random())) or registry.listed(
        profile.labels
    )


@singledispatch
def choose_worker(
    call: Any,
    router: RoutingContext,
    lifecycle: Any,
    workers: list[Worker],
    registry: WorkerRegistry,
) -> Worker | None:
    """Return the worker for the next attempt, or None.

    Raises NotImplementedError for other calls.
    """
    raise NotImplementedError(type(call).__name__)


@choose_worker.register
def _(
    call: Call,
    router: RoutingContext,
    lifecycle: Any,
    workers: list[Worker],
    registry: WorkerRegistry,
) -> Worker | None:
    """Prefer workers that did not fail this request; of batch items, let one run in any case."""
    settings, profile = router.node.settings, lifecycle.profile
    live_share = settings.live_share if call.job else 1 - profile.live_share

    def choose_among(near: bool, avoid: frozenset[str]) -> Worker | None:
        return choose(
            workers,
            call.prefix,
            call.job,
            settings.zone,
            near,
            live_share,
            profile.lot_share,
            avoid,
            router.by_prefix,
        )

    avoid = frozenset(lifecycle.avoid)
    worker = choose_among(profile.zone == _NEAR, avoid)
    if worker is None and avoid:
        worker = choose_among(False, frozenset())
    if worker is None and call.job and router.count_in_flight(True) <= 1:
        worker = choose(workers, call.prefix, False, settings.zone, False, 0.0, avoid=avoid)
    return worker


@choose_worker.register
def _(
    call: ForwardCall,
    router: RoutingContext,
    lifecycle: Any,
    workers: list[Worker],
    registry: WorkerRegistry,
) -> Worker | None:
    """Leave out workers that failed lately; an idempotent request retries them first.

    If all are left out, the one that failed longest ago is tried. None is tried again that could
    not be reached for this very request.
    """
    workers = [
        worker
        for worker in workers
        if lifecycle.may_attempt(worker.identity)
        and worker.instance_id not in lifecycle.unreachable
    ]
    fit = _healthy(router, lifecycle, workers, registry)
    if call.job:
        if router.prefilling_items >= math.ceil(len(workers) / router.edge_count()):
            return None
        fit = [worker for worker in fit if _may_take_item(router, worker)]
    worker = _cheapest(call, router, lifecycle, fit, frozenset(lifecycle.avoid))
    if worker is None and lifecycle.avoid:
        failed_before = [one for one in fit if one.instance_id in lifecycle.avoid]
        worker = _cheapest(call, router, lifecycle, failed_before, frozenset())
    if worker is None and not fit and not call.job:
        worker = _longest_down(router, lifecycle, workers)
    return worker


def _healthy(
    router: RoutingContext, lifecycle: Any, workers: list[Worker], registry: WorkerRegistry
) -> list[Worker]:
    """Return the workers that did not fail lately, without the stalled ones if others are left."""
    healthy = [
        worker
        for worker in workers
        if not registry.is_backing_off(worker) and (lifecycle.idempotent or not worker.failures)
    ]
    route = lifecycle.profile.name
    return [worker for worker in healthy if not router.seems_stalled(worker, route)] or healthy


def _may_take_item(router: RoutingContext, worker: Worker) -> bool:
    """Whether a worker reads so little that a batch item's prompt delays nobody for long."""
    if worker.prefilling_items:
        return False
    if router.prefill is None:
        return True
    bound_ms = router.node.settings.delta_ms * _PREFILL_SHARE
    return bool(router.prefill.left_ms(worker.identity) <= bound_ms)


def _cheapest(
    call: ForwardCall,
    router: RoutingContext,
    lifecycle: Any,
    workers: list[Worker],
    avoid: frozenset[str],
) -> Worker | None:
    settings, env = router.node.settings, router.node.env
    limit = lifecycle.profile.connections
    connections = max(1, limit // router.edge_count()) if limit else 0
    return choose_forward(
        workers,
        call,
        router.prefix_affinity,
        env.now(),
        settings.zone,
        env.rng,
        settings.heartbeat_ms,
        settings.live_share,
        avoid,
        connections,
        router.prefill,
    )


def _longest_down(router: RoutingContext, lifecycle: Any, workers: list[Worker]) -> Worker | None:
    """Return the worker that failed longest ago, which is tried when all failed lately."""
    settings, now_ms = router.node.settings, router.node.env.now()
    candidates = [
        worker
        for worker in workers
        if now_ms - worker.down_ms >= settings.delta_ms or worker.instance_id not in lifecycle.avoid
    ]
    return min(candidates, key=lambda worker: worker.down_ms, default=None)
