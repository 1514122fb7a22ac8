"""The samples of rollouts that run at an edge, in slots that nothing else needs.

A slot is lent only where nobody waits, the live share stays free and no prompt is being read. It is
taken back at once, newest sample first, for a call or an item that finds no free place, and where
another edge reports that one of its calls does. A sample that is given up counts for nothing: it
waits at the log again and returns under a higher number.
"""

import json
import math
from collections.abc import Callable, Iterable
from typing import Any, cast

from batch_state.messages import RolloutAssignment
from messaging import Component, Message, Origin
from request_routing import (
    Attempt,
    InFlightRequest,
    ItemKey,
    RequestLifecycle,
    RequestRouter,
    RetryBudget,
    Step,
    Worker,
    WorkerRegistry,
)

from capacity_sharing.sampling import OTHER_WEIGHTS, SampleCall, sample_result, unstarted
from capacity_sharing.slots import LendableSlots

__all__ = ["SampleRunner", "SlotsWanted"]

Done = Callable[[str, Any, str], None]
_LONG_AGO_MS = -1 << 40
_MOST_WORKERS_WANTED = 8


class SlotsWanted(Message, wire_name="PlaceWanted"):
    """Asks other edges for slots at a worker, where calls found no free slot."""

    worker: str
    slots: int


class _Sample:
    """A sample that runs at this edge, or has ended."""

    __slots__ = ("done", "has_ended", "in_flight", "work")

    def __init__(self, work: RolloutAssignment, done: Done) -> None:
        self.work = work
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
        "_recalled",
        "_registry",
        "_requested_ms",
        "_router",
        "_samples",
        "_samples_out",
        "_slots",
        "_slots_wanted",
        "_tree",
        "_why_unready",
        "finished",
        "given_up",
        "live_peak",
        "recalls",
    )
    HANDLES = (SlotsWanted,)

    def __init__(
        self,
        edge: str,
        router: RequestRouter,
        registry: WorkerRegistry,
        tree: Callable[[], Any],
        why_unready: Callable[[], str],
        edges: Callable[[], list[tuple[str, str]]],
    ) -> None:
        self._router, self._registry, self._tree = router, registry, tree
        self._why_unready, self._edges = why_unready, edges
        self._slots = LendableSlots(
            edge, router, registry, tree, edges, lambda worker: self.live_peak(worker)
        )
        self._samples: list[_Sample] = []
        self._deferred: list[tuple[int, Callable[[], None]]] = []
        self._handled_reports: dict[str, tuple[int, int]] = {}
        self._slots_wanted: dict[str, int] = {}
        self._requested_ms = _LONG_AGO_MS
        self._recalled = False
        self._samples_out = 0
        self.given_up = self.finished = self.recalls = 0
        self.live_peak: Callable[[str], int | None] = lambda worker: None
        router.slot_lender = self

    # -- what may be lent ----------------------------------------------------------------------

    def lends(self) -> bool:
        """Return whether any usable profile lends slots."""
        return bool(self._slots.profiles())

    @property
    def recalled(self) -> bool:
        """Whether the log's leader has recalled all samples, as a batch job may come late."""
        return self._recalled

    def running(self) -> int:
        """Return how many samples run at this edge."""
        return len(self._samples)

    def room(self) -> tuple[int, frozenset[str]]:
        """Return how many samples could start now, one for each worker, and on which paths."""
        if self._recalled or self._why_unready():
            return 0, frozenset()
        return self._slots.room()

    def choose(
        self, lifecycle: RequestLifecycle, weights: str, workers: list[Worker]
    ) -> Worker | None:
        """Choose a worker for a sample, on the carrier's behalf; None if no worker may take it.

        The least loaded one is taken of those that aren't known to have other weights.
        """
        return self._slots.choose(lifecycle, weights, workers)

    # -- running -------------------------------------------------------------------------------

    def start(self, work: RolloutAssignment, done: Done) -> Callable[[], None]:
        """Run a sample and return a function that stops it.

        `done` gets the outcome (`ran`, `refused` or `again`), the result or the reason, and the
        worker.
        """
        sample = _Sample(work, done)
        profile, env = self._tree().usable(work.path), self.node.env
        if profile is None or self._recalled or self._why_unready():
            self._retry_later(sample)
            return lambda: self._stop(sample)
        due_ms = env.now() + max(profile.deadline_ms, 2 * self.node.settings.force_ms)
        lifecycle = RequestLifecycle(
            f"{env.token()}-{work.job_id}-{work.index}",
            profile,
            "",
            env.now(),
            RetryBudget(),
            due_ms,
            claimed=True,
        )
        lifecycle.idempotent = True
        lifecycle.job = ItemKey(work.job_id, work.index)
        self._samples.append(sample)
        call = SampleCall(json.loads(work.body), work.weights)
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
        for stamp, reason in lifecycle.attempts:
            if reason == OTHER_WEIGHTS:
                self._slots.has_other_weights(stamp, sample.work.weights)
        if step.kind != "finish" or step.response is None:
            self._retry_later(sample)
        elif step.response.status == 200:
            self.finished += 1
            sample.done(
                "ran",
                sample_result(
                    sample.work, worker, call.told or call.weights, cast(str, step.response.body)
                ),
                worker,
            )
        else:
            sample.done("refused", step.response.body, worker)

    def _retry_later(self, sample: _Sample) -> None:
        def report() -> None:
            sample.done("again", "", "")

        self._deferred.append((self.node.env.now() + self.node.settings.heartbeat_ms, report))

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
            job=sample.work.job_id,
            index=sample.work.index,
            claim_number=sample.work.claim_number,
            worker=worker,
            reason=reason,
        )
        self.given_up += 1
        self._stop(sample)
        sample.done("again", "", "")

    # -- giving back ---------------------------------------------------------------------------

    def _samples_at(self, worker: Worker) -> list[_Sample]:
        """Return the samples that run at a worker, newest first."""
        return [sample for sample in reversed(self._samples) if sample.worker is worker]

    def _preempt_at(self, worker: Worker, slots: int, reason: str) -> int:
        samples = self._samples_at(worker)[: max(0, slots)]
        for sample in samples:
            self._preempt(sample, reason)
        return len(samples)

    def reclaim_slot(self, worker: Worker, call: Any) -> None:
        """Make room at a worker before something other than a sample is sent there.

        Called by the carrier; a live call also takes precedence over samples whose prompt may still
        be unread.
        """
        if worker.borrowed:
            now_ms = self.node.env.now()
            reading_ms = self.node.settings.heartbeat_ms
            for sample in self._samples_at(worker):
                attempt = sample.attempt
                if not call.job and attempt is not None and unstarted(attempt, now_ms, reading_ms):
                    self._preempt(sample, "a live call comes first")
            over = math.ceil(
                self._slots.used(worker)
                - worker.borrowed_elsewhere
                + 1
                - self._slots.usable(worker)
            )
            if over > 0:
                self._preempt_at(
                    worker,
                    over,
                    "an item needs the slot" if call.job else "a live call needs the slot",
                )
        if not call.job and self._slots.used(worker) + 1 > self._slots.usable(worker):
            self._note_demand(worker)

    def reclaim_slots(self, workers: Iterable[Worker]) -> None:
        """Give back all slots at these workers, since a live call found no free slot at any."""
        workers = list(workers)
        for worker in workers:
            self._preempt_at(worker, worker.borrowed, "a live call waits")
        for worker in workers[:_MOST_WORKERS_WANTED]:
            self._note_demand(worker)

    def _note_demand(self, worker: Worker) -> None:
        """Ask other edges to keep the worker's live share free, if they have samples running."""
        if self._samples_out > len(self._samples):
            self._slots_wanted[worker.identity] = self._slots_wanted.get(worker.identity, 0) + 1
            if self.node.env.now() - self._requested_ms >= self.node.settings.delta_ms:
                self._request_slots()

    def _request_slots(self) -> None:
        self._requested_ms = self.node.env.now()
        wanted, self._slots_wanted = self._slots_wanted, {}
        for _, address in self._edges():
            for identity, slots in wanted.items():
                self.node.send(address, SlotsWanted(worker=identity, slots=slots))

    def receive(self, message: Message, origin: Origin) -> None:
        """Give slots back because a live call at another edge needs them."""
        wanted = cast(SlotsWanted, message)
        for worker in self._registry.all():
            if worker.identity == wanted.worker:
                self._preempt_at(worker, wanted.slots, "a live call elsewhere needs the slot")

    def on_heartbeat_response(self, response: Any) -> None:
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
        due = [report for at_ms, report in self._deferred if at_ms <= now_ms]
        self._deferred = [row for row in self._deferred if row[0] > now_ms]
        for report in due:
            report()
        if self._slots_wanted and now_ms - self._requested_ms >= self.node.settings.delta_ms:
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
        report = (worker.beat, worker.load_reported_ms)
        if not self._registry.is_usable(worker):
            self._preempt_at(worker, worker.borrowed, "the worker is not to be used")
        elif worker.waiting and self._handled_reports.get(worker.instance_id) != report:
            self._handled_reports[worker.instance_id] = report
            self._preempt_at(worker, worker.waiting, "somebody waits at the worker")
        else:
            share = max((profile.loan_share for profile in self._slots.profiles()), default=0.0)
            self._preempt_at(
                worker,
                worker.borrowed - self._slots.entitlement(worker, share),
                "live calls need more of the worker",
            )

    def resumed(self, gap_ms: int) -> None:
        """Forget which workers' reports were acted on; called after the process was frozen."""
        self._handled_reports.clear()
