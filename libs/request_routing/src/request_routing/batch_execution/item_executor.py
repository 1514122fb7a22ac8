"""Runs the batch items that are assigned to this edge, each as a request of its own.

The log's claim of an item takes the place of an idempotency key, so that no key is opened. The
module also computes how many items this edge has capacity for. `item_run` runs forwarded items.
"""

import json
import math
from collections.abc import Callable
from typing import Any

from batch_state import messages
from messaging import Component
from runtime import Verdict

from request_routing.batch_execution.item_outcome import ItemDone, ItemOutcome
from request_routing.batch_execution.item_run import ItemRun
from request_routing.calls import Call
from request_routing.lifecycle import ItemKey, RequestLifecycle
from request_routing.prefix_placement import prefix_of
from request_routing.request_router import RequestRouter
from request_routing.retry_budget import RetryBudget
from request_routing.steps import Step, StepKind
from request_routing.worker import Worker
from request_routing.worker_registry import WorkerRegistry

__all__ = ["ItemExecutor"]

_OK = 200


class ItemExecutor(Component):
    """Runs batch items in the slots that live requests leave free.

    Parameters
    ----------
    router
        Runs the items as requests.
    registry
        The workers.
    profiles
        Returns the tree of the profiles in force.
    why_unready
        Returns why the edge is not ready, or an empty string if it is.
    edge_count
        Returns the number of edges that share the workers, this one included.
    """

    __slots__ = (
        "_budgets",
        "_edge_count",
        "_min_start_ms",
        "_profiles",
        "_registry",
        "_router",
        "_running",
        "_scheduled",
        "_why_unready",
    )

    def __init__(
        self,
        router: RequestRouter,
        registry: WorkerRegistry,
        profiles: Callable[[], Any],
        why_unready: Callable[[], str],
        edge_count: Callable[[], int],
    ) -> None:
        self._router, self._registry, self._profiles = router, registry, profiles
        self._why_unready, self._edge_count = why_unready, edge_count
        self._budgets: dict[str, RetryBudget] = {}
        self._scheduled: list[tuple[int, Callable[[], None]]] = []
        self._running = 0
        self._min_start_ms = 0

    def capacity(self) -> tuple[int, frozenset[str]]:
        """Return how many items may start now, and the routes that the workers serve.

        The free slots that batch items may use are shared evenly among the edges. Even without a
        free slot, one item may start per `heartbeat_ms` while none is running.
        """
        if self._why_unready():
            return 0, frozenset()
        workers = self._registry.workers()
        routes = self._profiles().served_by(
            frozenset((worker.identity, worker.labels) for worker in workers)
        )
        free_slots = sum(self._free_slots(worker) for worker in workers)
        capacity = 0
        if free_slots >= 1:
            own_share = math.ceil(free_slots / self._edge_count())
            capacity = max(0, own_share - self._router.items_waiting())
        return capacity or self._minimum_capacity(workers), routes

    def _free_slots(self, worker: Worker) -> float:
        """Return how many slots of a worker batch items may take.

        The fraction `live_share` of its slots stays free for live requests. A worker that reported
        queued requests has no free slots; a listed one, which reports in its responses only, for
        `heartbeat_ms` after that.
        """
        live_share: float = self.node.settings.live_share
        if not worker.listed:
            if worker.waiting:
                return 0.0
            return max(
                0, worker.slots - math.ceil(worker.slots * live_share) - worker.heartbeat_load
            )
        now_ms = self.node.env.now()
        report_age_ms = now_ms - worker.load_reported_ms
        if worker.waiting and report_age_ms <= self.node.settings.heartbeat_ms:
            return 0.0
        return max(0.0, math.floor(worker.slots * (1 - live_share)) - worker.load(now_ms))

    def _minimum_capacity(self, workers: list[Worker]) -> int:
        """Return 1 at most once per `heartbeat_ms` while no item runs, so that items progress."""
        now_ms, period_ms = self.node.env.now(), self.node.settings.heartbeat_ms
        if not workers or self._running or now_ms - self._min_start_ms < period_ms:
            return 0
        self._min_start_ms = now_ms
        return 1

    def start(
        self, assignment: messages.ItemAssignment | messages.ForwardAssignment, done: ItemDone
    ) -> Callable[[], None]:
        """Run an item, call `done` with its outcome, and return a function that cancels it."""
        if isinstance(assignment, messages.ForwardAssignment):
            return self._start_forward(assignment, done)
        return self._start_completion(assignment, done)

    def _start_forward(
        self, assignment: messages.ForwardAssignment, done: ItemDone
    ) -> Callable[[], None]:
        def on_done(outcome: str, text: bytes, worker: str) -> None:
            self._running -= 1
            done(outcome, text, worker)

        def cancel() -> None:
            if run.cancel():
                self._running -= 1

        self._running += 1
        run = ItemRun(assignment, self._router, self._profiles, self._call_later, on_done)
        run.begin()
        return cancel

    def _start_completion(
        self, assignment: messages.ItemAssignment, done: ItemDone
    ) -> Callable[[], None]:
        profile = self._profiles().usable(assignment.path)
        if profile is None:
            done(ItemOutcome.AGAIN, "", "")
            return lambda: None
        lifecycle = self._lifecycle(assignment, profile)
        body = json.loads(assignment.body)
        call = Call(body, "", prefix_of(body), job=True, stream=False)
        self._running += 1
        over = False

        def mark_over() -> bool:
            nonlocal over
            was_over, over = over, True
            if not was_over:
                self._running -= 1
            return not was_over

        def on_finished(step: Step) -> None:
            if mark_over():
                self._report(assignment, lifecycle, step, done)

        request = self._router.start(lifecycle, call, None, on_finished)

        def cancel() -> None:
            if mark_over():
                request.cancel()

        return cancel

    def _lifecycle(self, assignment: messages.ItemAssignment, profile: Any) -> RequestLifecycle:
        env, settings = self.node.env, self.node.settings
        due_ms = env.now() + max(profile.deadline_ms, 2 * settings.force_ms)
        lifecycle = RequestLifecycle(
            f"{env.token()}-{assignment.job_id}-{assignment.index}",
            profile,
            "",
            env.now(),
            self._budgets.setdefault(assignment.path, RetryBudget()),
            due_ms,
            claimed=True,
        )
        lifecycle.idempotent = assignment.safe
        lifecycle.job = ItemKey(assignment.job_id, assignment.index)
        return lifecycle

    def _report(
        self,
        assignment: messages.ItemAssignment,
        lifecycle: RequestLifecycle,
        step: Step,
        done: ItemDone,
    ) -> None:
        worker = lifecycle.attempts[-1].worker if lifecycle.attempts else ""
        if step.kind is StepKind.FINISH and step.response is not None:
            status, text = step.response
            done(ItemOutcome.RAN if status == _OK else ItemOutcome.REFUSED, text, worker)
            return
        refusal = step.refusal
        if refusal is None or refusal.verdict is Verdict.NOT_RUN or assignment.safe:
            self._call_later(
                self.node.settings.heartbeat_ms, lambda: done(ItemOutcome.AGAIN, "", worker)
            )
        else:
            done(ItemOutcome.MAY_HAVE_RUN, json.dumps(refusal.body()), worker)

    def _call_later(self, wait_ms: int, callback: Callable[[], None]) -> None:
        self._scheduled.append((self.node.env.now() + wait_ms, callback))

    def tick(self) -> None:
        """Call the scheduled callbacks that are due."""
        now_ms = self.node.env.now()
        due = [callback for at_ms, callback in self._scheduled if at_ms <= now_ms]
        self._scheduled = [row for row in self._scheduled if row[0] > now_ms]
        for callback in due:
            callback()
