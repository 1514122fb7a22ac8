"""The samples of rollouts that run at an edge, in slots that nothing else needs.

A slot is lent only where nobody waits, the live share stays free and no prompt is being read. It is
taken back at once, newest sample first, for a call or an item that finds no free place, and where
another edge reports that one of its calls does. A sample that is given up counts for nothing: it
waits at the log again and returns under a higher number.
"""

import json
import math
from collections.abc import Callable, Iterable
from typing import Any

from batch_state import messages as m
from messaging import Component, Message, Origin
from request_routing import (
    InFlightRequest,
    RequestLifecycle,
    RequestRouter,
    RetryBudget,
    Step,
    Worker,
    WorkerRegistry,
)

from capacity_sharing.sampling import OTHER_WEIGHTS, SampleCall, sample_result, unstarted
from capacity_sharing.slots import LendableSlots

__all__ = ["Borrowing", "PlaceWanted"]

Done = Callable[[str, Any, str], None]
_ASKED = 8


class PlaceWanted(Message):
    """Asks other edges for slots at a worker, where calls found no free place."""

    worker: str
    places: int


class _Sample:
    __slots__ = ("carriage", "done", "over", "work")

    def __init__(self, work: m.RolloutAssignment, done: Done) -> None:
        self.work, self.done = work, done
        self.carriage: InFlightRequest | None = None
        self.over = False


class Borrowing(Component):
    """The part of an edge that runs samples and gives slots back.

    `edges` gives identity and address of the other live edges; `why_unready` gives why this edge
    takes no requests, empty if it does; `live_peak` gives how many live calls a worker lately had
    at once, None while that isn't known.
    """

    __slots__ = (
        "_acted",
        "_asked_ms",
        "_carrier",
        "_edges",
        "_later",
        "_recalled",
        "_roster",
        "_samples",
        "_samples_out",
        "_slots",
        "_tree",
        "_wanted",
        "_why_unready",
        "given_up",
        "finished",
        "live_peak",
        "recalls",
    )
    HANDLES = (PlaceWanted,)

    def __init__(
        self,
        edge: str,
        carrier: RequestRouter,
        roster: WorkerRegistry,
        tree: Callable[[], Any],
        why_unready: Callable[[], str],
        edges: Callable[[], list[tuple[str, str]]],
    ) -> None:
        self._carrier, self._roster, self._tree = carrier, roster, tree
        self._why_unready, self._edges = why_unready, edges
        self._slots = LendableSlots(
            edge, carrier, roster, tree, edges, lambda worker: self.live_peak(worker)
        )
        self._samples: list[_Sample] = []
        self._later: list[tuple[int, Callable[[], None]]] = []
        self._acted: dict[str, tuple[int, int]] = {}
        self._wanted: dict[str, int] = {}
        self._asked_ms = -1 << 40
        self._recalled = False
        self._samples_out = 0
        self.given_up = self.finished = self.recalls = 0
        self.live_peak: Callable[[str], int | None] = lambda worker: None
        carrier.loans = self

    # -- what may be lent ----------------------------------------------------------------------

    def lends(self) -> bool:
        """Return whether any usable profile lends slots."""
        return bool(self._slots.profiles())

    @property
    def recalled(self) -> bool:
        """Whether the log's holder has recalled all samples, since a lot may miss its deadline."""
        return self._recalled

    def running(self) -> int:
        """Return how many samples run at this edge."""
        return len(self._samples)

    def room(self) -> tuple[int, frozenset[str]]:
        """Return how many samples could start now, one for each worker, and on which paths."""
        if self._recalled or self._why_unready():
            return 0, frozenset()
        return self._slots.room()

    def choose(self, tx: RequestLifecycle, weights: str, workers: list[Worker]) -> Worker | None:
        """Choose a worker for a sample, on the carrier's behalf; None if no worker may take it.

        The least loaded one is taken of those that aren't known to have other weights.
        """
        return self._slots.choose(tx, weights, workers)

    # -- running -------------------------------------------------------------------------------

    def start(self, work: m.RolloutAssignment, done: Done) -> Callable[[], None]:
        """Run a sample and return a function that stops it.

        `done` gets the outcome (`ran`, `refused` or `again`), the result or the reason, and the
        worker.
        """
        sample = _Sample(work, done)
        profile, env = self._tree().usable(work.path), self.node.env
        if profile is None or self._recalled or self._why_unready():
            self._after_a_beat(sample)
            return lambda: self._drop(sample)
        due_ms = env.now() + max(profile.deadline_ms, 2 * self.node.settings.force_ms)
        tx = RequestLifecycle(
            f"{env.token()}-{work.job_id}-{work.index}",
            profile,
            "",
            env.now(),
            RetryBudget(),
            due_ms,
            claimed=True,
        )
        tx.safe = True
        tx.job = (work.job_id, work.index)
        self._samples.append(sample)
        call = SampleCall(json.loads(work.body), work.weights)
        carriage = self._carrier.carry(
            tx, call, None, lambda step: self._ended(sample, tx, call, step)
        )
        if not sample.over:
            sample.carriage = carriage
        return lambda: self._drop(sample)

    def _ended(self, sample: _Sample, tx: RequestLifecycle, call: SampleCall, step: Step) -> None:
        if sample.over:
            return
        self._close(sample)
        worker = tx.sends[-1][0] if tx.sends else ""
        for stamp, reason in tx.sends:
            if reason == OTHER_WEIGHTS:
                self._slots.has_other_weights(stamp, sample.work.weights)
        if step.name != "finish":
            self._after_a_beat(sample)
        elif step.value[0] == 200:
            self.finished += 1
            sample.done(
                "ran",
                sample_result(sample.work, worker, call.told or call.weights, step.value[1]),
                worker,
            )
        else:
            sample.done("refused", step.value[1], worker)

    def _after_a_beat(self, sample: _Sample) -> None:
        def again() -> None:
            sample.done("again", "", "")

        self._later.append((self.node.env.now() + self.node.settings.heartbeat_ms, again))

    def _close(self, sample: _Sample) -> None:
        sample.over = True
        if sample in self._samples:
            self._samples.remove(sample)

    def _drop(self, sample: _Sample) -> None:
        """Stop a sample because its rollout is over or this edge may no longer run it.

        Whoever stops it reports that to the log.
        """
        if not sample.over:
            self._close(sample)
            if sample.carriage is not None:
                sample.carriage.stop()

    def _give_up(self, sample: _Sample, reason: str) -> None:
        worker = (
            sample.carriage.send.worker.identity
            if sample.carriage is not None and sample.carriage.send is not None
            else ""
        )
        self.node.env.log(
            "sample-given-up",
            job=sample.work.job_id,
            index=sample.work.index,
            claim_number=sample.work.claim_number,
            worker=worker,
            reason=reason,
        )
        self.given_up += 1
        self._drop(sample)
        sample.done("again", "", "")

    # -- giving back ---------------------------------------------------------------------------

    def _at(self, worker: Worker) -> list[_Sample]:
        """Return the samples that run at a worker, newest first."""
        return [
            sample
            for sample in reversed(self._samples)
            if sample.carriage is not None
            and sample.carriage.send is not None
            and sample.carriage.send.worker is worker
        ]

    def _give_back(self, worker: Worker, places: int, reason: str) -> int:
        samples = self._at(worker)[: max(0, places)]
        for sample in samples:
            self._give_up(sample, reason)
        return len(samples)

    def first_claim(self, worker: Worker, call: Any) -> None:
        """Make room at a worker before something other than a sample is sent there.

        Called by the carrier; a live call also takes precedence over samples whose prompt may still
        be unread.
        """
        if worker.borrowed:
            now_ms = self.node.env.now()
            for sample in self._at(worker):
                if not call.job and unstarted(
                    sample.carriage.send, now_ms, self.node.settings.heartbeat_ms
                ):
                    self._give_up(sample, "a live call comes first")
            over = math.ceil(
                self._slots.used(worker)
                - worker.borrowed_elsewhere
                + 1
                - self._slots.usable(worker)
            )
            if over > 0:
                self._give_back(
                    worker,
                    over,
                    "an item needs the slot" if call.job else "a live call needs the slot",
                )
        if not call.job and self._slots.used(worker) + 1 > self._slots.usable(worker):
            self._want(worker)

    def starved(self, workers: Iterable[Worker]) -> None:
        """Give back all slots at these workers, since a live call found no place at any of them."""
        workers = list(workers)
        for worker in workers:
            self._give_back(worker, worker.borrowed, "a live call waits")
        for worker in workers[:_ASKED]:
            self._want(worker)

    def _want(self, worker: Worker) -> None:
        """Ask other edges to keep the worker's live share free, if they have samples running."""
        if self._samples_out > len(self._samples):
            self._wanted[worker.identity] = self._wanted.get(worker.identity, 0) + 1
            if self.node.env.now() - self._asked_ms >= self.node.settings.delta_ms:
                self._ask_others()

    def _ask_others(self) -> None:
        self._asked_ms = self.node.env.now()
        wanted, self._wanted = self._wanted, {}
        for _, address in self._edges():
            for identity, places in wanted.items():
                self.node.send(address, PlaceWanted(worker=identity, places=places))

    def receive(self, message: PlaceWanted, origin: Origin) -> None:
        """Give slots back because a live call at another edge needs them."""
        for worker in self._roster.all():
            if worker.identity == message.worker:
                self._give_back(worker, message.places, "a live call elsewhere needs the slot")

    def told(self, receipt: Any) -> None:
        """Take from the holder's answer how many samples the fleet runs, and whether to stop."""
        self._samples_out = receipt.samples_out
        if receipt.recalled and not self._recalled:
            self.recalls += 1
        self._recalled = receipt.recalled
        if receipt.recalled:
            self._give_all_up("a lot may come late")

    def _give_all_up(self, reason: str) -> None:
        for sample in list(reversed(self._samples)):
            self._give_up(sample, reason)

    def tick(self) -> None:
        """Report what is due to the log, ask other edges for places and review workers in use."""
        now_ms = self.node.env.now()
        due = [what for at_ms, what in self._later if at_ms <= now_ms]
        self._later = [row for row in self._later if row[0] > now_ms]
        for what in due:
            what()
        if self._wanted and now_ms - self._asked_ms >= self.node.settings.delta_ms:
            self._ask_others()
        if not self._samples:
            return
        if reason := self._why_unready() or ("" if self.lends() else "nothing is lent any more"):
            self._give_all_up(reason)
            return
        for worker in {
            id(sample.carriage.send.worker): sample.carriage.send.worker
            for sample in self._samples
            if sample.carriage is not None and sample.carriage.send is not None
        }.values():
            self._review(worker)

    def _review(self, worker: Worker) -> None:
        """Give back what a worker needs; each report that somebody waits is acted on once."""
        if not self._roster.usable(worker):
            self._give_back(worker, worker.borrowed, "the worker is not to be used")
        elif worker.waiting and self._acted.get(worker.stamp) != (worker.beat, worker.told_ms):
            self._acted[worker.stamp] = (worker.beat, worker.told_ms)
            self._give_back(worker, worker.waiting, "somebody waits at the worker")
        else:
            share = max((profile.loan_share for profile in self._slots.profiles()), default=0.0)
            self._give_back(
                worker,
                worker.borrowed - self._slots.entitlement(worker, share),
                "live calls need more of the worker",
            )

    def resumed(self, gap_ms: int) -> None:
        """Forget which workers' reports were acted on; called after the process was frozen."""
        self._acted.clear()
