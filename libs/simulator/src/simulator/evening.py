"""A simulated busy evening and the night after it, with and without rollouts.

Live calls run near their peak with bursts, beside a client's jobs; then come fewer calls and an
overnight job. Rollouts and loans of whole workers run beside them if wanted. The same seed gives
the same calls, jobs and faults with and without rollouts, so that such runs can be compared;
`chance` varies what is not planned, so that several runs show how far they differ by themselves.
"""

import random
from functools import partial
from typing import Any

from simulator.clients import Clients
from simulator.history import RowKind
from simulator.reading_workers import ReadingWorker
from simulator.runs import Run
from simulator.trainers import Trainers

__all__ = ["FAULTS_OF_AN_EVENING", "Evening", "play_evening"]

_ZONES = ("north", "south")
_SLOTS = 6
_WORKERS = 4
_PEAK_A_S = 60.0
_EVENING_MS = 7000.0
_SPAN_MS = 15_000.0
_SETTINGS = {"resume_ms": 3000, "load_window_ms": 3000}
_JOBS = ((1000.0, 12), (3500.0, 12), (_EVENING_MS + 300, 90))
"""When clients submit jobs, and of how many items; the last is the overnight one."""
_ROLLOUTS = ((200.0, 20, 2), (2500.0, 20, 2), (_EVENING_MS, 40, 4))
"""When trainers submit rollouts, of how many prompts, and how many samples of each."""
_FIRST_LOAN_MS = 500.0
_LOAN_INTERVAL_MS = 700.0
_PROCESS_DOWN_MS = 1500
_WORKER_DOWN_MS = 600
_LAST_READS_MS = 9000
FAULTS_OF_AN_EVENING = (
    (2500, "worker"),
    (4200, "edge"),
    (6000, "holder"),
    (9500, "edge"),
    (11_500, "owner"),
)


class Evening:
    """One run of an evening and its night.

    `share` is the part of the workers' slots that profiles lend to rollouts; `faulty` adds the
    faults of FAULTS_OF_AN_EVENING.
    """

    __slots__ = (
        "_rng",
        "faulty",
        "fleet",
        "live_clients",
        "run",
        "share",
        "start_ms",
        "trainers",
    )

    def __init__(
        self, seed: int, rollouts: bool, faulty: bool = False, share: float = 1.0, chance: int = 0
    ) -> None:
        self.run = Run(seed + 1000 * chance, settings=_SETTINGS, workers=0, control=3)
        self.fleet, self.faulty, self.share = self.run.fleet, faulty, share if rollouts else 0.0
        self.run.operators.extra_profiles = {
            "rollouts": {"parent": "base", "loan_share": self.share, "deadline_ms": 5000}
        }
        self._rng = random.Random(f"evening {seed}")
        self.trainers = Trainers(self.fleet, random.Random(f"trainers {seed}"))
        self.live_clients = Clients(self.fleet, random.Random(f"edges {seed}"))
        self.start_ms = 0.0
        for number in range(1, _WORKERS + 1):
            self._add_worker(f"worker{number}")

    def _add_worker(self, name: str) -> None:
        fleet = self.fleet
        zone = _ZONES[len(fleet.workers) % len(_ZONES)]
        fleet.attach(ReadingWorker(fleet, name, fleet.new_address(), _SLOTS, zone))

    def start(self) -> None:
        """Start the fleet; AssertionError if it does not get ready."""
        self.run.start()
        self.start_ms = self.fleet.time.now_ms
        self.fleet.history.settings.update(night_ms=self.start_ms + _EVENING_MS)

    # -- what happens --------------------------------------------------------------------------

    def rate(self, at_ms: float) -> float:
        """Return the rate of live calls a second at a time after the start.

        In the evening it is 80% of the peak with bursts to all of it; at night a fifth with one
        late burst, for which enough workers stay that aren't lent.
        """
        if at_ms < _EVENING_MS:
            return _PEAK_A_S * (1.0 if at_ms % 2000 < 600 else 0.8)
        return _PEAK_A_S * (0.45 if 12_500 < at_ms < 13_500 else 0.2)

    def schedule(self) -> None:
        """Schedule calls, jobs and faults, all drawn beforehand from a separate generator."""
        rng, after, clients = self._rng, self.fleet.time.after, self.run.clients
        at_ms = 0.0
        while (at_ms := at_ms + rng.expovariate(self.rate(at_ms) / 1000)) < _SPAN_MS:
            dice = rng.random()
            if dice < 0.8:
                path = rng.choice(("rulings", "rulings", "narrations"))
                after(at_ms, partial(self.live_clients.live, path))
            else:
                self._schedule_move(at_ms, f"move{int(at_ms * 10)}", dice < 0.85)
        for at_ms, count in _JOBS:
            after(at_ms, partial(clients.submit, "summaries", count))
        for at_ms, fault in FAULTS_OF_AN_EVENING if self.faulty else ():
            after(at_ms, partial(self._inject, fault, rng.randrange(3)))

    def _schedule_move(self, at_ms: float, key: str, resent: bool) -> None:
        """Schedule a call that isn't safe to repeat; some clients send theirs twice."""
        for wait_ms in (0.0, 150.0) if resent else (0.0,):
            self.fleet.time.after(at_ms + wait_ms, partial(self.live_clients.live, "moves", key, 3))

    def schedule_rollouts(self) -> None:
        """Schedule rollouts and the loans of whole workers."""
        trainers, after = self.trainers, self.fleet.time.after
        for at_ms, prompts, samples in _ROLLOUTS:
            after(at_ms, partial(trainers.submit, prompts, samples))
        until_ms = self.start_ms + _SPAN_MS
        after(_FIRST_LOAN_MS, lambda: trainers.borrow(_LOAN_INTERVAL_MS, "w1", until_ms))
        trainers.watch()

    def _inject(self, fault: str, index: int) -> None:
        """Cause a fault: a process returns after 1.5 s, a lost worker is replaced after 0.6 s."""
        fleet = self.fleet
        fleet.history.add(RowKind.FAULT, fleet.time.now_ms, what=fault)
        if fault == "worker":
            list(fleet.workers.values())[index].crash()
            fleet.time.after(
                _WORKER_DOWN_MS, lambda: self._add_worker(f"worker{len(fleet.workers) + 1}")
            )
            return
        host = self._struck_host(fault, index)
        if host is not None:
            host.kill()
            fleet.time.after(_PROCESS_DOWN_MS, host.start)

    def _struck_host(self, fault: str, index: int) -> Any:
        """Return the edge at `index`, the log's leader or the owner of the loans; None if none."""
        fleet = self.fleet
        if fault == "edge":
            return fleet.with_role("edge")[index]
        if fault == "holder":
            return fleet.leader()
        control = {host.node.acceptor.identity: host for host in fleet.running("control")}
        return control.get(next(iter(control.values())).node.owner.owner_of("loans"))

    def play(self, rest_ms: float = 25_000) -> None:
        """Run evening and night, then up to `rest_ms` until all jobs and rollouts are done."""
        self.schedule()
        if self.share:
            self.schedule_rollouts()
        fleet = self.fleet
        fleet.time.run_until(self.start_ms + _SPAN_MS)
        fleet.run_until_true(self._done, rest_ms)
        self.trainers.stopped = True
        for rollout_id in self.trainers.rollouts:
            self.trainers.read(rollout_id, 0)
        fleet.run_until_true(lambda: False, _LAST_READS_MS)

    def _done(self) -> bool:
        """Return whether all rollouts and all accepted jobs are done."""
        rollouts, jobs = self.trainers.rollouts.values(), self.run.clients.jobs.values()
        return all(rollout.done_ms for rollout in rollouts) and all(
            job.done for job in jobs if job.acknowledged
        )


def play_evening(
    seed: int, rollouts: bool, faulty: bool = False, share: float = 1.0, chance: int = 0
) -> Evening:
    """Return an Evening that has been played to its end."""
    evening = Evening(seed, rollouts, faulty, share, chance)
    evening.start()
    evening.play()
    return evening
