"""The samples of rollouts that run at an edge, in slots that no other request needs.

`slots` decides where a sample may start. Samples are preempted, newest first:

- before a live call or a batch item is sent to a worker that has too few free slots, and before a
  live call is sent to a worker that may still be processing the sample's prompt;
- when a live call finds no free slot at any worker, or another edge requests slots for its calls;
- when requests are queued at the worker, the worker is not usable any more, or this edge's
  entitlement there has shrunk;
- when a batch job may miss its deadline, this edge is not ready, or no profile lends slots.

A preempted sample has no result. It is returned to the log, from where it is assigned again under a
higher claim number.
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
"""Workers of which slots are requested from other edges for one live call that found none free."""


class _DeferredReport(NamedTuple):
    """A report of an outcome that is made at `due_ms`."""

    due_ms: int
    report: Callable[[], None]


class _WorkerReport(NamedTuple):
    """Identifies a worker's latest report of its load.

    A new report changes the number of the last heartbeat or the time of the last report in a
    response.
    """

    heartbeat_number: int
    load_reported_ms: int


class _Sample:
    """A sample that runs at this edge or has ended; `done` gets its outcome."""

    __slots__ = ("assignment", "done", "has_ended", "in_flight")

    def __init__(self, assignment: RolloutAssignment, done: ItemDone) -> None:
        self.assignment = assignment
        self.done = done
        self.in_flight: InFlightRequest | None = None
        self.has_ended = False

    @property
    def attempt(self) -> Attempt | None:
        """The present attempt at a worker, or None if there is none."""
        return None if self.in_flight is None else self.in_flight.attempt

    @property
    def worker(self) -> Worker | None:
        """The worker of the present attempt, or None if there is none."""
        return None if self.attempt is None else self.attempt.worker


class SampleRunner(Component):
    """The component of an edge that runs samples and preempts them for other requests.

    Parameters
    ----------
    edge
        Identity of this edge.
    router
        Sends the samples; this component becomes its `slot_lender`.
    registry
        The known workers.
    profiles
        Returns the profiles in force.
    why_unready
        Returns why this edge takes no requests; empty if it takes them.
    edges
        Returns the identity and the address of each other live edge.

    Attributes
    ----------
    finished, preempted
        How many samples have finished with a result, and how many were preempted.
    recalls
        How often the log's leader has begun to recall all samples.
    live_peak
        Returns the recent peak of live calls at a worker, or None if it is unknown. It is set after
        construction; until then every peak is unknown, so no slot is lent.
    """

    __slots__ = (
        "_deferred",
        "_edges",
        "_fleet_samples",
        "_handled_reports",
        "_profiles",
        "_recalled",
        "_registry",
        "_router",
        "_samples",
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
        self._fleet_samples = 0
        self.preempted = self.finished = self.recalls = 0
        self.live_peak: Callable[[str], int | None] = lambda worker: None
        router.slot_lender = self

    def lends(self) -> bool:
        """Return whether any usable profile lends slots."""
        return bool(self._slots.lending_profiles())

    @property
    def recalled(self) -> bool:
        """Whether the log's leader recalls all samples, as a batch job may miss its deadline."""
        return self._recalled

    def running(self) -> int:
        """Return how many samples run at this edge."""
        return len(self._samples)

    def capacity(self) -> tuple[int, frozenset[str]]:
        """Return how many samples may start now, at most one at each worker, and on which paths."""
        if self._recalled or self._why_unready():
            return 0, frozenset()
        return self._slots.capacity()

    def choose(
        self, lifecycle: RequestLifecycle, weights: str, workers: list[Worker]
    ) -> Worker | None:
        """Return the worker for a sample, or None if no worker may take it; called by the router.

        It is the least loaded worker of those that are not known to have other weights.
        """
        return self._slots.choose(lifecycle, weights, workers)

    def start(self, assignment: RolloutAssignment, done: ItemDone) -> Callable[[], None]:
        """Run a sample and return a function that stops it.

        `done` gets the outcome, a text and the worker. The text is the result if the outcome is
        RAN, the body of the error response if it is REFUSED, and empty if it is AGAIN. A sample
        that finds no worker, fails or may not run now ends with AGAIN after `heartbeat_ms`, a
        preempted one at once. Stopping a sample does not call `done`, but an AGAIN that is delayed
        already is still reported.
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
        """Report AGAIN for a sample after `heartbeat_ms`, which returns the sample to the log."""

        def report() -> None:
            sample.done(ItemOutcome.AGAIN, "", "")

        due_ms = self.node.env.now() + self.node.settings.heartbeat_ms
        self._deferred.append(_DeferredReport(due_ms, report))

    def _close(self, sample: _Sample) -> None:
        sample.has_ended = True
        if sample in self._samples:
            self._samples.remove(sample)

    def _stop(self, sample: _Sample) -> None:
        """Cancel a sample, because its rollout has ended or this edge may no longer run it.

        `done` is not called; the caller reports the end to the log if that is needed.
        """
        if not sample.has_ended:
            self._close(sample)
            if sample.in_flight is not None:
                sample.in_flight.cancel()

    def _preempt(self, sample: _Sample, reason: str) -> None:
        """Cancel a sample and return it to the log at once."""
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

    def _samples_at(self, worker: Worker) -> list[_Sample]:
        """Return the samples that run at a worker, newest first."""
        return [sample for sample in reversed(self._samples) if sample.worker is worker]

    def _preempt_at(self, worker: Worker, slots: int, reason: str) -> None:
        """Preempt the newest samples at a worker, at most as many as `slots`."""
        samples = self._samples_at(worker)[: max(0, slots)]
        for sample in samples:
            self._preempt(sample, reason)

    def reclaim_slot(self, worker: Worker, call: Call | ForwardCall) -> None:
        """Free a slot at a worker before a request that is not a sample is sent there.

        Called by the router. For a live call, samples whose prompt the worker may still be
        processing are preempted as well, and other edges are asked for slots if the call needs a
        part of the live share.
        """
        if worker.borrowed:
            if not call.job:
                self._preempt_prefilling(worker)
            self._preempt_excess(worker, call.job)
        if not call.job and self._slots.used(worker) + 1 > self._slots.usable(worker):
            self._request_live_share(worker)

    def _preempt_prefilling(self, worker: Worker) -> None:
        """Preempt the samples at a worker whose prompt it may still be processing."""
        now_ms = self.node.env.now()
        prefill_ms = self.node.settings.heartbeat_ms
        for sample in self._samples_at(worker):
            attempt = sample.attempt
            if attempt is not None and may_be_prefilling(attempt, now_ms, prefill_ms):
                self._preempt(sample, "a live call takes precedence over its prompt")

    def _preempt_excess(self, worker: Worker, for_item: bool) -> None:
        """Preempt as many samples as one more request at a worker needs beside the live share.

        Slots with samples of other edges are not counted. For live calls these are requested from
        the other edges.
        """
        used = self._slots.used(worker) - worker.borrowed_elsewhere + 1
        excess = math.ceil(used - self._slots.usable(worker))
        reason = "a batch item needs the slot" if for_item else "a live call needs the slot"
        self._preempt_at(worker, excess, reason)

    def reclaim_slots(self, workers: Iterable[Worker]) -> None:
        """Preempt all samples at these workers, as a live call found no free slot at any of them.

        Called by the router. Other edges are asked for slots of the first few workers.
        """
        workers = list(workers)
        for worker in workers:
            self._preempt_at(worker, worker.borrowed, "a live call found no free slot")
        for worker in workers[:_MAX_REQUESTED_WORKERS]:
            self._request_live_share(worker)

    def _request_live_share(self, worker: Worker) -> None:
        """Request a slot of a worker from other edges, if they may have samples running."""
        if self._fleet_samples > len(self._samples):
            self._slot_requests.add(worker.identity)
            self._request_slots()

    def _request_slots(self) -> None:
        """Send the collected requests to all other edges, at most once in `delta_ms`."""
        requests = self._slot_requests.take_due(self.node.env.now(), self.node.settings.delta_ms)
        if not requests:
            return
        for _, address in self._edges():
            for request in requests:
                self.node.send(address, request)

    def receive(self, message: Message, origin: Origin) -> None:
        """Preempt samples because live calls of another edge need their slots."""
        wanted = cast(SlotsWanted, message)
        for worker in self._registry.all():
            if worker.identity == wanted.worker:
                self._preempt_at(worker, wanted.slots, "a live call of another edge needs the slot")

    def on_heartbeat_response(self, response: RolloutHeartbeatResponse) -> None:
        """Apply the leader's response: the number of samples in the fleet, and a recall of all."""
        self._fleet_samples = response.samples_out
        if response.recalled and not self._recalled:
            self.recalls += 1
        self._recalled = response.recalled
        if response.recalled:
            self._preempt_all("a lot may come late")

    def _preempt_all(self, reason: str) -> None:
        for sample in list(reversed(self._samples)):
            self._preempt(sample, reason)

    def tick(self) -> None:
        """Make the reports and requests for slots that are due, and preempt where limits changed.

        All samples are preempted if this edge is not ready or no profile lends slots.
        """
        now_ms = self.node.env.now()
        due = [deferred for deferred in self._deferred if deferred.due_ms <= now_ms]
        self._deferred = [deferred for deferred in self._deferred if deferred.due_ms > now_ms]
        for deferred in due:
            deferred.report()
        self._request_slots()
        if not self._samples:
            return
        if reason := self._why_unready() or ("" if self.lends() else "no profile lends slots"):
            self._preempt_all(reason)
            return
        workers = [sample.worker for sample in self._samples if sample.worker is not None]
        for worker in {id(worker): worker for worker in workers}.values():
            self._preempt_beyond_limits(worker)

    def _preempt_beyond_limits(self, worker: Worker) -> None:
        """Preempt the samples at a worker that its state or this edge's entitlement rules out.

        These are all samples if the worker is not usable, one for each request that the worker
        reports as queued, and those beyond the entitlement. A report of queued requests is acted on
        once, as it stays in place until the worker's next one.
        """
        report = _WorkerReport(worker.beat, worker.load_reported_ms)
        if not self._registry.is_usable(worker):
            self._preempt_at(worker, worker.borrowed, "the worker is not usable")
        elif worker.waiting and self._handled_reports.get(worker.instance_id) != report:
            self._handled_reports[worker.instance_id] = report
            self._preempt_at(worker, worker.waiting, "requests are queued at the worker")
        else:
            share = max(
                (profile.loan_share for profile in self._slots.lending_profiles()), default=0.0
            )
            self._preempt_at(
                worker,
                worker.borrowed - self._slots.entitlement(worker, share),
                "more samples than the entitlement of this edge",
            )

    def resumed(self, gap_ms: int) -> None:
        """Forget which reports were acted on; called after the process was frozen for `gap_ms`."""
        self._handled_reports.clear()
