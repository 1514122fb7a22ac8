"""Runs the batch items that this edge was assigned, each as a transaction of its own.

The claim in the log stands for the transaction's opening, so nothing more is asked of the stores.
It also computes how many items this edge has room for. `item_run` runs forwarded items.
"""

import json
import math
from collections.abc import Callable
from typing import Any

from batch_state import messages as m
from messaging import Component
from runtime import Verdict

from request_routing.calls import Call
from request_routing.in_flight import InFlightRequest
from request_routing.item_run import ItemRun
from request_routing.lifecycle import RequestLifecycle, Step
from request_routing.placement import RetryBudget, prefix_of
from request_routing.request_router import RequestRouter
from request_routing.worker_registry import Worker, WorkerRegistry

__all__ = ["ItemExecutor"]

Done = Callable[[str, Any, str], None]


class ItemExecutor(Component):
    """Starts batch items in the slots that live traffic leaves.

    `why_unready` gives why the edge is not ready, or an empty string; `edges` how many edges share
    the workers, itself included.
    """

    __slots__ = (
        "_budgets",
        "_carrier",
        "_edges",
        "_later",
        "_roster",
        "_running",
        "_tree",
        "_trickled_ms",
        "_why_unready",
    )

    def __init__(
        self,
        carrier: RequestRouter,
        roster: WorkerRegistry,
        tree: Callable[[], Any],
        why_unready: Callable[[], str],
        edges: Callable[[], int],
    ) -> None:
        self._carrier, self._roster, self._tree = carrier, roster, tree
        self._why_unready, self._edges = why_unready, edges
        self._budgets: dict[str, RetryBudget] = {}
        self._later: list[tuple[int, Callable[[], None]]] = []
        self._running = 0
        self._trickled_ms = 0

    # -- room ----------------------------------------------------------------------------------

    def room(self) -> tuple[int, frozenset[str]]:
        """Return how many items may start now, and the paths that this edge's workers serve.

        The free slots that batches may use are shared evenly among the known edges.
        """
        if self._why_unready():
            return 0, frozenset()
        workers = self._roster.workers()
        paths = self._tree().served_by(
            frozenset((worker.identity, worker.labels) for worker in workers)
        )
        free = sum(self._free(worker) for worker in workers)
        room = (
            max(0, math.ceil(free / self._edges()) - self._carrier.items_waiting())
            if free >= 1
            else 0
        )
        return room or self._trickle(workers), paths

    def _free(self, worker: Worker) -> float:
        """Return how many slots of a worker batches may take; none where live requests wait."""
        share = self.node.settings.live_share
        if worker.listed:
            load = worker.load(self.node.env.now())
            return (
                0.0
                if worker.waiting and 2 * load >= worker.slots
                else max(0.0, math.floor(worker.slots * (1 - share)) - load)
            )
        return (
            0.0
            if worker.waiting
            else max(0, worker.slots - math.ceil(worker.slots * share) - worker.weight)
        )

    def _trickle(self, workers: list[Any]) -> int:
        """Allow one item now and then even where live traffic takes every slot."""
        now_ms = self.node.env.now()
        if (
            not workers
            or self._running
            or now_ms - self._trickled_ms < self.node.settings.heartbeat_ms
        ):
            return 0
        self._trickled_ms = now_ms
        return 1

    # -- running -------------------------------------------------------------------------------

    def start(self, work: m.ItemAssignment | m.ForwardAssignment, done: Done) -> Callable[[], None]:
        """Run an item; `done` gets outcome, text and worker. Return what cancels it."""
        return (
            self._start_forward(work, done)
            if isinstance(work, m.ForwardAssignment)
            else self._start_own(work, done)
        )

    def _start_forward(self, work: m.ForwardAssignment, done: Done) -> Callable[[], None]:
        def ended(outcome: str, text: bytes, worker: str) -> None:
            self._running -= 1
            done(outcome, text, worker)

        def cancel() -> None:
            if run.stop():
                self._running -= 1

        self._running += 1
        run = ItemRun(work, self._carrier, self._tree, self._after, ended)
        run.begin()
        return cancel

    def _after(self, wait_ms: int, what: Callable[[], None]) -> None:
        self._later.append((self.node.env.now() + wait_ms, what))

    def _start_own(self, work: m.ItemAssignment, done: Done) -> Callable[[], None]:
        profile = self._tree().usable(work.path)
        if profile is None:
            done("again", "", "")
            return lambda: None
        env, body = self.node.env, json.loads(work.body)
        due_ms = env.now() + max(profile.deadline_ms, 2 * self.node.settings.force_ms)
        tx = RequestLifecycle(
            f"{env.token()}-{work.job_id}-{work.index}",
            profile,
            "",
            env.now(),
            self._budgets.setdefault(work.path, RetryBudget()),
            due_ms,
            claimed=True,
        )
        tx.safe = work.safe
        tx.job = (work.job_id, work.index)
        self._running += 1
        state = {"over": False}

        def over() -> bool:
            if state["over"]:
                return False
            state["over"] = True
            self._running -= 1
            return True

        def ended(step: Step) -> None:
            if over():
                self._tell(work, tx, step, done)

        carriage: InFlightRequest = self._carrier.carry(
            tx, Call(body, "", prefix_of(body), True, False), None, ended
        )

        def cancel() -> None:
            if over():
                carriage.stop()

        return cancel

    def _tell(self, work: Any, tx: RequestLifecycle, step: Step, done: Done) -> None:
        worker = tx.sends[-1][0] if tx.sends else ""
        if step.name == "finish":
            status, text = step.value
            done("ran" if status == 200 else "refused", text, worker)
        elif step.refusal.verdict is Verdict.NOT_RUN or work.safe:
            self._after(self.node.settings.heartbeat_ms, lambda: done("again", "", worker))
        else:
            done("may_have_run", json.dumps(step.refusal.body()), worker)

    def tick(self) -> None:
        """Call what was put off and is due now."""
        now_ms = self.node.env.now()
        due = [what for at_ms, what in self._later if at_ms <= now_ms]
        self._later = [row for row in self._later if row[0] > now_ms]
        for what in due:
            what()
