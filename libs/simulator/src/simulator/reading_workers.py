"""Simulated workers with what rollouts depend on.

Prompts are read one at a time, calls beyond the slots wait in a short queue, and each answer names
the weights in force. A worker may be lent whole; it then runs no calls.
"""

from typing import Any

from simulator.worker_runs import WorkerRun
from simulator.workers import SimWorker

__all__ = ["ReadingWorker"]

_ROLLOUT_PATH = "rollouts"
_SAMPLE_LENGTH = 4
"""How many times as many events a rollout's sample has."""


class ReadingWorker(SimWorker):
    """A worker that reads prompts for `prefill_ms` each, one after another.

    `borrower` is who has it whole, as the worker knows; `weights` are those that it has loaded.
    """

    watches_connections = True
    __slots__ = ("_prefill_until_ms", "_runs", "_waiting", "borrower", "prefill_ms", "weights")

    def __init__(
        self,
        fleet: Any,
        identity: str,
        address: str,
        slots: int,
        zone: str,
        event_ms: float = 40.0,
        prefill_ms: float = 15.0,
    ) -> None:
        self._runs: list[WorkerRun] = []
        self._waiting: list[WorkerRun] = []
        self.prefill_ms, self._prefill_until_ms = prefill_ms, 0.0
        self.borrower, self.weights = "", "w1"
        super().__init__(fleet, identity, address, ["gpu"], slots, zone)
        self.event_ms = event_ms

    @property
    def waiting_count(self) -> int:
        """How many calls wait for a slot."""
        return len(self._waiting)

    def events_of(self, path: str) -> int:
        """Return how many events a run on `path` has; samples of rollouts are longer."""
        return self.event_count * (_SAMPLE_LENGTH if path == _ROLLOUT_PATH else 1)

    def extra_headers(self) -> list[tuple[str, str]]:
        """Return the header that names the weights in force."""
        return [("X-Vaneledge-Weights", self.weights)]

    def refusal(self, headers: dict[str, str]) -> tuple[int, str] | None:
        """Return status and code with which a request is refused, or None if it is accepted."""
        if headers["X-Vaneledge-Worker"] != self.instance_id:
            return 409, "wrong-worker"
        if headers.get("X-Vaneledge-Weights", "") not in ("", self.weights):
            return 409, "wrong-weights"
        if self.leaving or len(self._waiting) >= self.slots:
            return 429, "busy"
        return None

    def accept(self, run: WorkerRun) -> None:
        """Start a run, or let it wait for a slot."""
        if self._running_count < self.slots:
            self._start(run)
        else:
            self._waiting.append(run)

    def _start(self, run: WorkerRun) -> None:
        """Start a run; its first output follows once its prompt has been read."""
        self._running_count += 1
        self._runs.append(run)
        self.record_run(run, borrower=self.borrower)
        self._prefill_until_ms = max(self._prefill_until_ms, self.time.now_ms) + self.prefill_ms
        self.time.after(self._prefill_until_ms - self.time.now_ms, lambda: run.write_event(0))

    def check_connections(self) -> None:
        """End runs whose caller has disconnected."""
        for run in [run for run in self._runs if not run.is_open()]:
            self.finish(run)

    def is_running(self, run: WorkerRun) -> bool:
        """Return whether a run that was started has not been finished."""
        return run in self._runs

    def is_abandoned(self, run: WorkerRun, index: int) -> bool:
        """Return whether the caller has gone."""
        return not run.is_open()

    def finish(self, run: WorkerRun) -> None:
        """Take a run off and start those that wait, as far as slots and callers allow."""
        if run not in self._runs:
            return
        self._runs.remove(run)
        self._running_count -= 1
        while self._waiting and self._running_count < self.slots:
            waiting = self._waiting.pop(0)
            if waiting.is_open():
                self._start(waiting)
