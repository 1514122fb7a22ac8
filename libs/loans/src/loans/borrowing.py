"""The samples of rollouts that run at an edge, in slots that nothing else needs. A slot is lent only where nobody
waits, the live share stays free, and no prompt is being read; it is taken back at once, newest sample first, for a
call or an item that finds no free place, and where another edge says that one of its calls does. A sample that is
given up counts for nothing: it waits at the log again, and comes back under a higher number.
"""

import json
import math
from collections.abc import Callable, Iterable
from typing import Any

from circulation import Budget, Carriage, Carrier, Roster, Step, Transaction, Worker
from ledger import messages as m
from vellum import Long, Message, Origin, Part, Text

from loans.entitlement import Entitlements
from loans.sampling import OTHER_WEIGHTS, SampleCall, sample_result, unstarted

__all__ = ["Borrowing", "PlaceWanted"]

Done = Callable[[str, Any, str], None]
_ASKED = 8


class PlaceWanted(Message):
    """A call found no free place at this worker: whoever runs samples there gives some up."""

    worker: Text
    places: Long


class _Sample:
    __slots__ = ("carriage", "done", "over", "work")

    def __init__(self, work: m.RolloutWork, done: Done) -> None:
        self.work, self.done = work, done
        self.carriage: Carriage | None = None
        self.over = False


class Borrowing(Part):
    """`edges` gives identity and address of the other live edges; `why_unready` as the edge has it; `live_peak` says how
    many live calls a worker lately had at once, None while that isn't known.
    """

    __slots__ = (
        "_acted",
        "_asked_ms",
        "_carrier",
        "_edge",
        "_edges",
        "_entitled",
        "_later",
        "_lending",
        "_other_weights",
        "_recalled",
        "_roster",
        "_samples",
        "_samples_out",
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
        carrier: Carrier,
        roster: Roster,
        tree: Callable[[], Any],
        why_unready: Callable[[], str],
        edges: Callable[[], list[tuple[str, str]]],
    ) -> None:
        self._edge, self._carrier, self._roster, self._tree = edge, carrier, roster, tree
        self._why_unready, self._edges = why_unready, edges
        self._entitled = Entitlements()
        self._samples: list[_Sample] = []
        self._later: list[tuple[int, Callable[[], None]]] = []
        self._lending: tuple[Any, list[Any]] = (None, [])
        self._other_weights: dict[tuple[str, str], int] = {}
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
        return bool(self._profiles())

    def _profiles(self) -> list[Any]:
        tree = self._tree()
        if self._lending[0] is not tree:
            lends = any(row.get("loan_share") for row in tree.rows.values())
            found = [tree.usable(name) for name in tree.rows] if lends else []
            self._lending = (
                tree,
                [profile for profile in found if profile is not None and profile.loan_share > 0],
            )
        return self._lending[1]

    @property
    def recalled(self) -> bool:
        return self._recalled

    def running(self) -> int:
        return len(self._samples)

    def room(self) -> tuple[int, frozenset[str]]:
        """How many samples could be started now, one at a worker, and on which paths."""
        if self._recalled or self._why_unready():
            return 0, frozenset()
        reading = self._reading()
        room, paths = 0, set()
        for worker in self._roster.workers():
            open_paths = [
                profile.name
                for profile in self._profiles()
                if profile.allows(worker.identity, worker.labels)
                and self._takes(worker, profile, reading)
            ]
            room += bool(open_paths)
            paths.update(open_paths)
        return room, frozenset(paths)

    def _reading(self) -> set[str]:
        """The workers at which a prompt of ours may still be being read."""
        now_ms, reading_ms = self.node.env.now(), self.node.params.beat_ms
        return {
            send.worker.stamp
            for send in self._carrier.sends()
            if unstarted(send, now_ms, reading_ms)
        }

    def _total(self, worker: Worker) -> float:
        """With the samples that run there."""
        return (
            worker.borrowed
            + worker.borrowed_elsewhere
            + (worker.load(self.node.env.now()) if worker.listed else worker.weight)
        )

    def _free(self, worker: Worker) -> int:
        """How many of its slots may be taken before the share kept for live calls."""
        return worker.slots - math.ceil(worker.slots * self.node.params.live_share)

    def _takes(self, worker: Worker, profile: Any, reading: set[str]) -> bool:
        return (
            not worker.waiting
            and worker.full_until_ms <= self.node.env.now()
            and worker.stamp not in reading
            and self._total(worker) < self._free(worker)
            and worker.borrowed < self._entitlement(worker, profile.loan_share)
        )

    def _entitlement(self, worker: Worker, share: float) -> int:
        """What this edge may fill there: its part of the share lent, less what live calls lately needed."""
        peak = self.live_peak(worker.identity)
        if peak is None:
            return 0
        edges = [self._edge, *(identity for identity, _ in self._edges())]
        lendable = min(math.floor(worker.slots * share), self._free(worker) - peak)
        return self._entitled.slots(self._edge, edges, worker.identity, max(0, lendable))

    def choose(self, tx: Transaction, weights: str, workers: list[Worker]) -> Worker | None:
        """Asked by the carrier for a sample: the emptiest worker that may take it and isn't known to have other weights."""
        now_ms, reading = self.node.env.now(), self._reading()
        fit = [
            worker
            for worker in workers
            if worker.stamp not in tx.avoid
            and self._takes(worker, tx.profile, reading)
            and self._other_weights.get((worker.stamp, weights), -1) < now_ms
        ]
        return min(
            fit,
            key=lambda worker: (self._total(worker) / worker.slots, worker.identity),
            default=None,
        )

    # -- running -------------------------------------------------------------------------------

    def start(self, work: m.RolloutWork, done: Done) -> Callable[[], None]:
        sample = _Sample(work, done)
        profile, env = self._tree().usable(work.path), self.node.env
        if profile is None or self._recalled or self._why_unready():
            self._after_a_beat(sample)
            return lambda: self._drop(sample)
        due_ms = env.now() + max(profile.deadline_ms, 2 * self.node.params.force_ms)
        tx = Transaction(
            f"{env.token()}-{work.lot_id}-{work.index}",
            profile,
            "",
            env.now(),
            Budget(),
            due_ms,
            claimed=True,
        )
        tx.safe = True
        tx.lot = (work.lot_id, work.index)
        self._samples.append(sample)
        call = SampleCall(json.loads(work.body), work.weights)
        carriage = self._carrier.carry(
            tx, call, None, lambda step: self._ended(sample, tx, call, step)
        )
        if not sample.over:
            sample.carriage = carriage
        return lambda: self._drop(sample)

    def _ended(self, sample: _Sample, tx: Transaction, call: SampleCall, step: Step) -> None:
        if sample.over:
            return
        self._close(sample)
        worker = tx.sends[-1][0] if tx.sends else ""
        for stamp, reason in tx.sends:
            if reason == OTHER_WEIGHTS:
                self._other_weights[stamp, sample.work.weights] = (
                    self.node.env.now() + self.node.params.force_ms
                )
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

        self._later.append((self.node.env.now() + self.node.params.beat_ms, again))

    def _close(self, sample: _Sample) -> None:
        sample.over = True
        if sample in self._samples:
            self._samples.remove(sample)

    def _drop(self, sample: _Sample) -> None:
        """The rollout is over, or the edge may no longer run it: whoever stops it tells the log."""
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
            lot=sample.work.lot_id,
            index=sample.work.index,
            number=sample.work.number,
            worker=worker,
            reason=reason,
        )
        self.given_up += 1
        self._drop(sample)
        sample.done("again", "", "")

    # -- giving back ---------------------------------------------------------------------------

    def _at(self, worker: Worker) -> list[_Sample]:
        """Newest first."""
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
        """Something else than a sample is about to be sent there: it finds a place, and no sample's prompt before it."""
        if worker.borrowed:
            now_ms = self.node.env.now()
            for sample in self._at(worker):
                if not call.lot and unstarted(
                    sample.carriage.send, now_ms, self.node.params.beat_ms
                ):
                    self._give_up(sample, "a live call comes first")
            over = math.ceil(
                self._total(worker) - worker.borrowed_elsewhere + 1 - self._free(worker)
            )
            if over > 0:
                self._give_back(
                    worker,
                    over,
                    "an item needs the slot" if call.lot else "a live call needs the slot",
                )
        if not call.lot and self._total(worker) + 1 > self._free(worker):
            self._want(worker)

    def starved(self, workers: Iterable[Worker]) -> None:
        """A live call found no place at any of these."""
        workers = list(workers)
        for worker in workers:
            self._give_back(worker, worker.borrowed, "a live call waits")
        for worker in workers[:_ASKED]:
            self._want(worker)

    def _want(self, worker: Worker) -> None:
        """Other edges are asked to keep the live share of it free, if the holder says that they have samples out."""
        if self._samples_out > len(self._samples):
            self._wanted[worker.identity] = self._wanted.get(worker.identity, 0) + 1
            if self.node.env.now() - self._asked_ms >= self.node.params.delta_ms:
                self._ask_others()

    def _ask_others(self) -> None:
        self._asked_ms = self.node.env.now()
        wanted, self._wanted = self._wanted, {}
        for _, address in self._edges():
            for identity, places in wanted.items():
                self.node.post(address, PlaceWanted(worker=identity, places=places))

    def receive(self, message: PlaceWanted, origin: Origin) -> None:
        for worker in self._roster.all():
            if worker.identity == message.worker:
                self._give_back(worker, message.places, "a live call elsewhere needs the slot")

    def told(self, receipt: Any) -> None:
        """The holder's word: how many samples are out in the fleet, and whether lots need their slots."""
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
        now_ms = self.node.env.now()
        due = [what for at_ms, what in self._later if at_ms <= now_ms]
        self._later = [row for row in self._later if row[0] > now_ms]
        for what in due:
            what()
        if self._wanted and now_ms - self._asked_ms >= self.node.params.delta_ms:
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
        """Its own word that somebody waits there is acted on once."""
        if not self._roster.usable(worker):
            self._give_back(worker, worker.borrowed, "the worker is not to be used")
        elif worker.waiting and self._acted.get(worker.stamp) != (worker.beat, worker.told_ms):
            self._acted[worker.stamp] = (worker.beat, worker.told_ms)
            self._give_back(worker, worker.waiting, "somebody waits at the worker")
        else:
            share = max((profile.loan_share for profile in self._profiles()), default=0.0)
            self._give_back(
                worker,
                worker.borrowed - self._entitlement(worker, share),
                "live calls need more of the worker",
            )

    def woke(self, gap_ms: int) -> None:
        self._acted.clear()
