"""The samples of rollouts that run at an edge, in slots that nothing else needs.

A slot is lent only where nobody waits, the live share stays free and no prompt is being read. It is
taken back at once, newest sample first, for a call or an item that finds no free slot, and where
another edge reports that one of its calls does. A preempted sample counts for nothing: it waits at
the log again and returns under a higher claim number.
"""

import json
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple, cast

from batch_state.messages import RolloutAssignment, RolloutHeartbeatResponse
from control_store import ProfileTree
from messaging import Component, Message, Origin
from request_routing import (
    Attempt,
    Call,
    ForwardCall,
    InFlightRequest,
    ItemKey,
    RequestLifecycle,
    RequestRouter,
    RetryBudget,
    Step,
    StepKind,
    Worker,
    WorkerRegistry,
)
from request_routing.batch_execution.item_outcome import ItemDone, ItemOutcome

from capacity_sharing.sampling import OTHER_WEIGHTS, SampleCall, may_be_prefilling, sample_result
from capacity_sharing.slot_requests import SlotRequests, SlotsWanted
from capacity_sharing.slots import LendableSlots

__all__ = ["SampleRunner"]

_OK = 200
_MAX_REQUESTED_WORKERS = 8


class _DeferredReport(NamedTuple):
    """A report to the log that is made at `due_ms`."""

    due_ms: int
    report: Callable[[], None]


class _WorkerReport(NamedTuple):
    """Which of a worker's own reports of its load one is: its number, and when it came."""

    heartbeat_number: int
    load_reported_ms: int


class _Sample:
    """A sample that runs at this edge, or has ended."""

    __slots__ = ("assignment", "done", "has_ended", "in_flight")

    def __init__(self, assignment: RolloutAssignment, done: ItemDone) -> None:
        self.assignment = assignment
        self.done = done
        self.in_flight: InFlightRequest | None = None
        self.has_ended = False

    @property
    def attempt(self) -> Attempt | None:
        """The present attempt at a worker; None while there is none."""
        return None if self.in_flight is None else self.in_flight.attempt

    @property
    def worker(self) -> Worker | None:
        """The worker that it runs at; None while there is none."""
        return None if self.attempt is None else self.attempt.worker


class SampleRunner(Component):
    """The component of an edge that runs samples and gives slots back.

    `edges` gives identity and address of the other live edges; `why_unready` gives why this edge
    takes no requests, empty if it does; `live_peak` gives how many live calls a worker lately had
    at once, None while that isn't known.
    """

    __slots__ = (
        "_deferred",
        "_edges",
        "_handled_reports",
        "_profiles",
        "_recalled",
        "_registry",
        "_router",
        "_samples",
        "_samples_out",
        "_slot_requests",
        "_slots",
        "_why_unready",
        "finished",
        "live_peak",
        "preempted",
        "recalls",
    )
    HANDLES = (SlotsWanted,)

    def __init__(
        self,
        edge: str,
        router: RequestRouter,
        registry: WorkerRegistry,
        profiles: Callable[[], ProfileTree],
        why_unready: Callable[[], str],
        edges: Callable[[], list[tuple[str, str]]],
    ) -> None:
        self._router = router
        self._registry = registry
        self._profiles = profiles
        self._why_unready = why_unready
        self._edges = edges
        self._slots = LendableSlots(
            edge, router, registry, profiles, edges, lambda worker: self.live_peak(worker)
        )
        self._samples: list[_Sample] = []
        self._deferred: list[_DeferredReport] = []
        self._handled_reports: dict[str, _WorkerReport] = {}
        self._slot_requests = SlotRequests()
        self._recalled = False
        self._samples_out = 0
        self.preempted = self.finished = self.recalls = 0
        self.live_peak: Callable[[str], int | None] = lambda worker: None
        router.slot_lender = self

    # -- what may be lent ----------------------------------------------------------------------

    def lends(self) -> bool:
        """Return whether any usable profile lends slots."""
        return bool(self._slots.lending_profiles())

    @property
    def recalled(self) -> bool:
        """Whether the log's leader has recalled all samples for a batch job at risk."""
        return self._recalled

    def running(self) -> int:
        """Return how many samples run at this edge."""
        return len(self._samples)

    def capacity(self) -> tuple[int, frozenset[str]]:
        """Return how many samples could start now, one for each worker, and on which paths."""
        if self._recalled or self._why_unready():
            return 0, frozenset()
        return self._slots.capacity()

    def choose(
        self, lifecycle: RequestLifecycle, weights: str, workers: list[Worker]
    ) -> Worker | None:
        """Choose a worker for a sample, on the router's behalf; None if no worker may take it.

        The least loaded one is taken of those that aren't known to have other weights.
        """
        return self._slots.choose(lifecycle, weights, workers)

    # -- running -------------------------------------------------------------------------------

    def start(self, assignment: RolloutAssignment, done: ItemDone) -> Callable[[], None]:
        """Run a sample and return a function that stops it.

        `done` gets the outcome (RAN, REFUSED or AGAIN), the result or the reason, and the worker.
        """
        sample = _Sample(assignment, done)
        profile, env = self._profiles().usable(assignment.path), self.node.env
        if profile is None or self._recalled or self._why_unready():
            self._retry_later(sample)
            return lambda: self._stop(sample)
        due_ms = env.now() + max(profile.deadline_ms, 2 * self.node.settings.force_ms)
        lifecycle = RequestLifecycle(
            f"{env.token()}-{assignment.job_id}-{assignment.index}",
            profile,
            "",
            env.now(),
            RetryBudget(),
            due_ms,
            claimed=True,
        )
        lifecycle.idempotent = True
        lifecycle.job = ItemKey(assignment.job_id, assignment.index)
        self._samples.append(sample)
        call = SampleCall(json.loads(assignment.body), assignment.weights)
        in_flight = self._router.start(
            lifecycle, call, None, lambda step: self._ended(sample, lifecycle, call, step)
        )
        if not sample.has_ended:
            sample.in_flight = in_flight
        return lambda: self._stop(sample)

    def _ended(
        self, sample: _Sample, lifecycle: RequestLifecycle, call: SampleCall, step: Step
    ) -> None:
        if sample.has_ended:
            return
        self._close(sample)
        worker = lifecycle.attempts[-1][0] if lifecycle.attempts else ""
        for instance_id, reason in lifecycle.attempts:
            if reason == OTHER_WEIGHTS:
                self._slots.record_other_weights(instance_id, sample.assignment.weights)
        if step.kind is not StepKind.FINISH or step.response is None:
            self._retry_later(sample)
        elif step.response.status == _OK:
            self.finished += 1
            sample.done(
                ItemOutcome.RAN,
                sample_result(
                    sample.assignment,
                    worker,
                    call.reported_weights or call.weights,
                    cast(str, step.response.body),
                ),
                worker,
            )
        else:
            sample.done(ItemOutcome.REFUSED, step.response.body, worker)

    def _retry_later(self, sample: _Sample) -> None:
        def report() -> None:
            sample.done(ItemOutcome.AGAIN, "", "")

        due_ms = self.node.env.now() + self.node.settings.heartbeat_ms
        self._deferred.append(_DeferredReport(due_ms, report))

    def _close(self, sample: _Sample) -> None:
        sample.has_ended = True
        if sample in self._samples:
            self._samples.remove(sample)

    def _stop(self, sample: _Sample) -> None:
        """Stop a sample because its rollout is over or this edge may no longer run it.

        Whoever stops it reports that to the log.
        """
        if not sample.has_ended:
            self._close(sample)
            if sample.in_flight is not None:
                sample.in_flight.cancel()

    def _preempt(self, sample: _Sample, reason: str) -> None:
        worker = "" if sample.worker is None else sample.worker.identity
        self.node.env.log(
            "sample-given-up",
            job=sample.assignment.job_id,
            index=sample.assignment.index,
            claim_number=sample.assignment.claim_number,
            worker=worker,
            reason=reason,
        )
        self.preempted += 1
        self._stop(sample)
        sample.done(ItemOutcome.AGAIN, "", "")

    # -- preemption ----------------------------------------------------------------------------

    def _samples_at(self, worker: Worker) -> list[_Sample]:
        """Return the samples that run at a worker, newest first."""
        return [sample for sample in reversed(self._samples) if sample.worker is worker]

    def _preempt_at(self, worker: Worker, slots: int, reason: str) -> None:
        samples = self._samples_at(worker)[: max(0, slots)]
        for sample in samples:
            self._preempt(sample, reason)

    def reclaim_slot(self, worker: Worker, call: Call | ForwardCall) -> None:
        """Free a slot at a worker before something other than a sample is sent there.

        Called by the router; a live call also takes precedence over samples whose prompt may still
        be unread.
        """
        if worker.borrowed:
            if not call.job:
                self._preempt_prefilling(worker)
            self._preempt_excess(worker, call.job)
        if not call.job and self._slots.used(worker) + 1 > self._slots.usable(worker):
            self._request_live_share(worker)

    def _preempt_prefilling(self, worker: Worker) -> None:
        """Preempt the samples at a worker whose prompt may still be unread."""
        now_ms = self.node.env.now()
        prefill_ms = self.node.settings.heartbeat_ms
        for sample in self._samples_at(worker):
            attempt = sample.attempt
            if attempt is not None and may_be_prefilling(attempt, now_ms, prefill_ms):
                self._preempt(sample, "a live call comes first")

    def _preempt_excess(self, worker: Worker, for_item: bool) -> None:
        """Preempt as many samples at a worker as one request more needs beside the live share."""
        used = self._slots.used(worker) - worker.borrowed_elsewhere + 1
        excess = math.ceil(used - self._slots.usable(worker))
        reason = "an item needs the slot" if for_item else "a live call needs the slot"
        self._preempt_at(worker, excess, reason)

    def reclaim_slots(self, workers: Iterable[Worker]) -> None:
        """Give back all slots at these workers, since a live call found no free slot at any."""
        workers = list(workers)
        for worker in workers:
            self._preempt_at(worker, worker.borrowed, "a live call waits")
        for worker in workers[:_MAX_REQUESTED_WORKERS]:
            self._request_live_share(worker)

    def _request_live_share(self, worker: Worker) -> None:
        """Ask other edges to keep the worker's live share free, if they have samples running."""
        if self._samples_out > len(self._samples):
            self._slot_requests.add(worker.identity)
            self._request_slots()

    def _request_slots(self) -> None:
        """Send the requests that are due to the other edges."""
        requests = self._slot_requests.take_due(self.node.env.now(), self.node.settings.delta_ms)
        if not requests:
            return
        for _, address in self._edges():
            for request in requests:
                self.node.send(address, request)

    def receive(self, message: Message, origin: Origin) -> None:
        """Give slots back because a live call at another edge needs them."""
        wanted = cast(SlotsWanted, message)
        for worker in self._registry.all():
            if worker.identity == wanted.worker:
                self._preempt_at(worker, wanted.slots, "a live call elsewhere needs the slot")

    def on_heartbeat_response(self, response: RolloutHeartbeatResponse) -> None:
        """Take from the leader's response how many samples the fleet runs, and whether to stop."""
        self._samples_out = response.samples_out
        if response.recalled and not self._recalled:
            self.recalls += 1
        self._recalled = response.recalled
        if response.recalled:
            self._preempt_all("a lot may come late")

    def _preempt_all(self, reason: str) -> None:
        for sample in list(reversed(self._samples)):
            self._preempt(sample, reason)

    def tick(self) -> None:
        """Report what is due to the log, ask other edges for slots and review workers in use."""
        now_ms = self.node.env.now()
        due = [deferred for deferred in self._deferred if deferred.due_ms <= now_ms]
        self._deferred = [deferred for deferred in self._deferred if deferred.due_ms > now_ms]
        for deferred in due:
            deferred.report()
        self._request_slots()
        if not self._samples:
            return
        if reason := self._why_unready() or ("" if self.lends() else "nothing is lent any more"):
            self._preempt_all(reason)
            return
        workers = [sample.worker for sample in self._samples if sample.worker is not None]
        for worker in {id(worker): worker for worker in workers}.values():
            self._review(worker)

    def _review(self, worker: Worker) -> None:
        """Give back what a worker needs; each report that somebody waits is acted on once."""
        report = _WorkerReport(worker.beat, worker.load_reported_ms)
        if not self._registry.is_usable(worker):
            self._preempt_at(worker, worker.borrowed, "the worker is not to be used")
        elif worker.waiting and self._handled_reports.get(worker.instance_id) != report:
            self._handled_reports[worker.instance_id] = report
            self._preempt_at(worker, worker.waiting, "somebody waits at the worker")
        else:
            share = max(
                (profile.loan_share for profile in self._slots.lending_profiles()), default=0.0
            )
            self._preempt_at(
                worker,
                worker.borrowed - self._slots.entitlement(worker, share),
                "live calls need more of the worker",
            )

    def resumed(self, gap_ms: int) -> None:
        """Forget which workers' reports were acted on; called after the process was frozen."""
        self._handled_reports.clear()
