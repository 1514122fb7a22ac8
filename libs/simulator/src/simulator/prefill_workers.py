"""Simulated workers with the behaviour that rollouts depend on.

Prefills take time and are done one at a time, calls beyond the slots wait in a short queue, and
each response names the weights in force. A worker may be lent to a borrower.
"""

from typing import Any

from simulator.worker_runs import WorkerRun
from simulator.workers import SimWorker

__all__ = ["PrefillWorker"]

_ROLLOUT_PATH = "rollouts"
_SAMPLE_EVENT_FACTOR = 4
"""The number of events of a rollout's sample, as a multiple of that of other runs."""


class PrefillWorker(SimWorker):
    """A worker whose prefills take `prefill_ms` each and are done one after another.

    `borrower` is the loan under which the whole worker is lent, or empty; `weights` names the
    weights that are loaded.
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
        """The number of calls that wait for a slot."""
        return len(self._waiting)

    def event_count_of(self, path: str) -> int:
        """Return the number of events of a run on `path`; samples of rollouts have more."""
        return self.event_count * (_SAMPLE_EVENT_FACTOR if path == _ROLLOUT_PATH else 1)

    def extra_headers(self) -> list[tuple[str, str]]:
        """Return the header that names the loaded weights."""
        return [("X-Vaneledge-Weights", self.weights)]

    def refusal(self, headers: dict[str, str]) -> tuple[int, str] | None:
        """Return the status and code of a refusal, or None if the request is accepted.

        Requests for another incarnation or other weights are refused, and all requests while the
        worker leaves or as many calls wait as there are slots.
        """
        if headers["X-Vaneledge-Worker"] != self.instance_id:
            return 409, "wrong-worker"
        if headers.get("X-Vaneledge-Weights", "") not in ("", self.weights):
            return 409, "wrong-weights"
        if self.leaving or len(self._waiting) >= self.slots:
            return 429, "busy"
        return None

    def accept(self, run: WorkerRun) -> None:
        """Start a run, or queue it if no slot is free."""
        if self._running_count < self.slots:
            self._start(run)
        else:
            self._waiting.append(run)

    def _start(self, run: WorkerRun) -> None:
        """Start a run; its first output follows once its prefill is done."""
        self._running_count += 1
        self._runs.append(run)
        self.record_run(run, borrower=self.borrower)
        self._prefill_until_ms = max(self._prefill_until_ms, self.time.now_ms) + self.prefill_ms
        self.time.after(self._prefill_until_ms - self.time.now_ms, lambda: run.write_event(0))

    def check_connections(self) -> None:
        """End the runs whose caller has disconnected."""
        for run in [run for run in self._runs if not run.is_open()]:
            self.finish(run)

    def is_running(self, run: WorkerRun) -> bool:
        """Return whether a run has been started and not finished."""
        return run in self._runs

    def is_abandoned(self, run: WorkerRun, index: int) -> bool:
        """Return whether the caller has disconnected."""
        return not run.is_open()

    def finish(self, run: WorkerRun) -> None:
        """Remove a run and start queued ones in the freed slots.

        Queued runs whose caller has disconnected are dropped.
        """
        if run not in self._runs:
            return
        self._runs.remove(run)
        self._running_count -= 1
        while self._waiting and self._running_count < self.slots:
            waiting = self._waiting.pop(0)
            if waiting.is_open():
                self._start(waiting)
