"""A load scenario of an evening peak and a quiet night, with or without rollouts.

In the evening, live calls run near their peak rate with bursts, beside small batch jobs. At night
there are few calls and one large job. Optionally, rollouts run and whole workers are lent.

The same seed gives the same calls, jobs and faults with and without rollouts, so that the runs can
be compared. Runs that differ only in `variant` have the same calls, jobs and faults but different
delays and choices of workers; they show how much runs differ without any change of the load.
"""

import random
from functools import partial
from typing import Any

from simulator.clients import Clients
from simulator.history import RowKind
from simulator.prefill_workers import PrefillWorker
from simulator.runs import Run
from simulator.trainers import Trainers

__all__ = ["EVENING_FAULTS", "Evening", "run_evening"]

_ZONES = ("north", "south")
_SLOTS = 6
_WORKERS = 4
_PEAK_CALLS_PER_S = 60.0
_EVENING_MS = 7000.0
_SPAN_MS = 15_000.0
_SETTINGS = {"resume_ms": 3000, "load_window_ms": 3000}
_JOBS = ((1000.0, 12), (3500.0, 12), (_EVENING_MS + 300, 90))
"""Time of submission and number of items of each job; the last one is the overnight job."""
_ROLLOUTS = ((200.0, 20, 2), (2500.0, 20, 2), (_EVENING_MS, 40, 4))
"""Time of submission, number of prompts and samples per prompt of each rollout."""
_FIRST_LOAN_MS = 500.0
_LOAN_INTERVAL_MS = 700.0
_PROCESS_DOWN_MS = 1500
_WORKER_DOWN_MS = 600
_FINAL_READ_MS = 9000
EVENING_FAULTS = (
    (2500, "worker"),
    (4200, "edge"),
    (6000, "holder"),
    (9500, "edge"),
    (11_500, "owner"),
)
"""The time from the start in milliseconds, and the target, of each fault."""


class Evening:
    """One run of the scenario.

    Parameters
    ----------
    seed
        Determines calls, jobs, faults and rollouts.
    rollouts
        Whether rollouts run and workers are lent.
    faulty
        Whether the faults of EVENING_FAULTS are injected.
    share
        The share of the workers' slots that rollouts may use.
    variant
        Varies everything that `seed` does not determine.
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
        self, seed: int, rollouts: bool, faulty: bool = False, share: float = 1.0, variant: int = 0
    ) -> None:
        self.run = Run(seed + 1000 * variant, settings=_SETTINGS, workers=0, control=3)
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
        fleet.attach(PrefillWorker(fleet, name, fleet.new_address(), _SLOTS, zone))

    def start(self) -> None:
        """Start the fleet; AssertionError if it is not ready in time."""
        self.run.start()
        self.start_ms = self.fleet.time.now_ms
        self.fleet.history.settings.update(night_ms=self.start_ms + _EVENING_MS)

    def rate(self, at_ms: float) -> float:
        """Return the rate of live calls per second, `at_ms` after the start.

        In the evening it is 80% of the peak, with bursts of 100%. At night it is 20%, with one late
        burst of 45%, which the workers that are never lent can serve.
        """
        if at_ms < _EVENING_MS:
            return _PEAK_CALLS_PER_S * (1.0 if at_ms % 2000 < 600 else 0.8)
        return _PEAK_CALLS_PER_S * (0.45 if 12_500 < at_ms < 13_500 else 0.2)

    def schedule(self) -> None:
        """Schedule calls, jobs and faults, drawn from a generator that nothing else uses."""
        rng, after, clients = self._rng, self.fleet.time.after, self.run.clients
        at_ms = 0.0
        while (at_ms := at_ms + rng.expovariate(self.rate(at_ms) / 1000)) < _SPAN_MS:
            draw = rng.random()
            if draw < 0.8:
                path = rng.choice(("rulings", "rulings", "narrations"))
                after(at_ms, partial(self.live_clients.make_live_call, path))
            else:
                self._schedule_keyed_call(at_ms, f"move{int(at_ms * 10)}", draw < 0.85)
        for at_ms, count in _JOBS:
            after(at_ms, partial(clients.submit, "summaries", count))
        for at_ms, fault in EVENING_FAULTS if self.faulty else ():
            after(at_ms, partial(self._inject, fault, rng.randrange(3)))

    def _schedule_keyed_call(self, at_ms: float, key: str, repeated: bool) -> None:
        """Schedule a call that isn't safe to repeat; `repeated` sends it again after 150 ms."""
        for wait_ms in (0.0, 150.0) if repeated else (0.0,):
            self.fleet.time.after(
                at_ms + wait_ms, partial(self.live_clients.make_live_call, "moves", key, 3)
            )

    def schedule_rollouts(self) -> None:
        """Schedule the rollouts, and the requests for whole workers."""
        trainers, after = self.trainers, self.fleet.time.after
        for at_ms, prompts, samples in _ROLLOUTS:
            after(at_ms, partial(trainers.submit, prompts, samples))
        until_ms = self.start_ms + _SPAN_MS
        after(_FIRST_LOAN_MS, lambda: trainers.borrow(_LOAN_INTERVAL_MS, "w1", until_ms))
        trainers.watch()

    def _inject(self, fault: str, index: int) -> None:
        """Crash a process, which restarts after 1.5 s, or a worker, replaced after 0.6 s."""
        fleet = self.fleet
        fleet.history.add(RowKind.FAULT, fleet.time.now_ms, what=fault)
        if fault == "worker":
            list(fleet.workers.values())[index].crash()
            fleet.time.after(
                _WORKER_DOWN_MS, lambda: self._add_worker(f"worker{len(fleet.workers) + 1}")
            )
            return
        host = self._fault_target(fault, index)
        if host is not None:
            host.kill()
            fleet.time.after(_PROCESS_DOWN_MS, host.start)

    def _fault_target(self, fault: str, index: int) -> Any:
        """Return the edge at `index`, the log's leader, or the owner of the loans; None if none."""
        fleet = self.fleet
        if fault == "edge":
            return fleet.with_role("edge")[index]
        if fault == "holder":
            return fleet.leader()
        control = {host.node.acceptor.identity: host for host in fleet.running("control")}
        return control.get(next(iter(control.values())).node.owner.owner_of("loans"))

    def run_to_end(self, drain_limit_ms: float = 25_000) -> None:
        """Run evening and night, and then until all jobs and rollouts are done.

        The latter takes at most `drain_limit_ms`. Finally all rollouts are read again from their
        start.
        """
        self.schedule()
        if self.share:
            self.schedule_rollouts()
        fleet = self.fleet
        fleet.time.run_until(self.start_ms + _SPAN_MS)
        fleet.run_until_true(self._done, drain_limit_ms)
        self.trainers.stopped = True
        for rollout_id in self.trainers.rollouts:
            self.trainers.read(rollout_id, 0)
        fleet.run_until_true(lambda: False, _FINAL_READ_MS)

    def _done(self) -> bool:
        """Return whether all rollouts and all accepted jobs are done."""
        rollouts, jobs = self.trainers.rollouts.values(), self.run.clients.jobs.values()
        return all(rollout.done_ms for rollout in rollouts) and all(
            job.done for job in jobs if job.acknowledged
        )


def run_evening(
    seed: int, rollouts: bool, faulty: bool = False, share: float = 1.0, variant: int = 0
) -> Evening:
    """Run an Evening to its end and return it."""
    evening = Evening(seed, rollouts, faulty, share, variant)
    evening.start()
    evening.run_to_end()
    return evening
