"""Which workers may serve a call, and which of them gets the next attempt.

Both functions are dispatched by the type of the call. `capacity_sharing.sampling` registers
`choose_worker` for rollout samples.
"""

import math
from functools import singledispatch
from typing import Any

from request_routing.calls import Call, ForwardCall
from request_routing.cost_placement import choose_by_cost
from request_routing.prefix_placement import choose_by_prefix
from request_routing.routing_context import RoutingContext
from request_routing.worker import Worker
from request_routing.worker_registry import WorkerRegistry

__all__ = ["allowed_workers", "choose_worker"]

# A worker gets a batch item only if its pending prompts take at most this fraction of `delta_ms`.
_PREFILL_SHARE = 0.3
_NEAR = "near"


@singledispatch
def allowed_workers(
    call: Any, router: RoutingContext, lifecycle: Any, registry: WorkerRegistry
) -> list[Worker]:
    """Return the workers that may serve this call.

    Raises NotImplementedError for a call of an unregistered type.
    """
    raise NotImplementedError(f"allowed_workers: unregistered call type {type(call).__name__}")


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
    """Return the workers of one service, drawn at random by the profile's traffic shares.

    If that service has no workers, those of all services of the profile are returned.
    """
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
    """Return the worker for the next attempt, or None if none of `workers` can take the call.

    Raises NotImplementedError for a call of an unregistered type.
    """
    raise NotImplementedError(f"choose_worker: unregistered call type {type(call).__name__}")


@choose_worker.register
def _(
    call: Call,
    router: RoutingContext,
    lifecycle: Any,
    workers: list[Worker],
    registry: WorkerRegistry,
) -> Worker | None:
    """Choose by prefix; workers at which this request failed are chosen only if there is no other.

    If no other batch item is in flight at this edge, an item may use the slots that are reserved
    for live requests, so that batch jobs always make progress.
    """
    settings, profile = router.node.settings, lifecycle.profile
    live_share = settings.live_share if call.job else 1 - profile.live_share

    def choose_among(near: bool, avoid: frozenset[str]) -> Worker | None:
        return choose_by_prefix(
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
        worker = choose_by_prefix(
            workers, call.prefix, False, settings.zone, False, 0.0, avoid=avoid
        )
    return worker


@choose_worker.register
def _(
    call: ForwardCall,
    router: RoutingContext,
    lifecycle: Any,
    workers: list[Worker],
    registry: WorkerRegistry,
) -> Worker | None:
    """Choose by cost among the workers that are healthy.

    A worker that is backing off is excluded. After the backoff a worker with failures gets one
    idempotent request at a time until it responds. If no healthy worker is left, a live request is
    sent to the worker that failed longest ago. A worker that was unreachable for this request is
    not tried again. Of batch items, the edges together have at most about one per worker whose
    prompt is still being processed.
    """
    workers = [
        worker
        for worker in workers
        if lifecycle.may_attempt(worker.identity)
        and worker.instance_id not in lifecycle.unreachable
    ]
    eligible = _healthy(router, lifecycle, workers, registry)
    if call.job:
        if router.prefilling_items >= math.ceil(len(workers) / router.edge_count()):
            return None
        eligible = [worker for worker in eligible if _may_take_item(router, worker)]
    worker = _cheapest(call, router, lifecycle, eligible, frozenset(lifecycle.avoid))
    if worker is None and lifecycle.avoid:
        failed_before = [other for other in eligible if other.instance_id in lifecycle.avoid]
        worker = _cheapest(call, router, lifecycle, failed_before, frozenset())
    if worker is None and not eligible and not call.job:
        worker = _longest_down(router, lifecycle, workers)
    return worker


def _healthy(
    router: RoutingContext, lifecycle: Any, workers: list[Worker], registry: WorkerRegistry
) -> list[Worker]:
    """Return the workers that did not fail recently; stalled ones only if there are no others."""
    healthy = [
        worker
        for worker in workers
        if not worker.failures or _may_test(router, lifecycle, worker, registry)
    ]
    route = lifecycle.profile.name
    return [worker for worker in healthy if not router.seems_stalled(worker, route)] or healthy


def _may_test(
    router: RoutingContext, lifecycle: Any, worker: Worker, registry: WorkerRegistry
) -> bool:
    """Whether a worker with failures gets this request, to learn whether it serves again.

    It is tested after its backoff by one request at a time, so that only that one waits in vain if
    the worker is still down, and only by one that can be retried.
    """
    return (
        bool(lifecycle.idempotent)
        and not registry.is_backing_off(worker)
        and not _is_tested(router, worker)
    )


def _is_tested(router: RoutingContext, worker: Worker) -> bool:
    return worker.is_tested(router.node.env.now(), router.node.settings.request_timeout_ms)


def _may_take_item(router: RoutingContext, worker: Worker) -> bool:
    """Whether a worker has so few pending prompts that a batch item delays no request for long."""
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
    """Return the cheapest worker with capacity, with this edge's share of the connections."""
    settings, env = router.node.settings, router.node.env
    limit = lifecycle.profile.connections
    connections = max(1, limit // router.edge_count()) if limit else 0
    return choose_by_cost(
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
    """Return the worker that failed longest ago, or None.

    One at which this request failed is returned only if that is at least `delta_ms` ago, and one
    that another request tests is not returned.
    """
    settings, now_ms = router.node.settings, router.node.env.now()
    candidates = [
        worker
        for worker in workers
        if not _is_tested(router, worker)
        and (
            now_ms - worker.down_ms >= settings.delta_ms
            or worker.instance_id not in lifecycle.avoid
        )
    ]
    return min(candidates, key=lambda worker: worker.down_ms, default=None)
