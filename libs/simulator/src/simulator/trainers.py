"""Simulated trainers, which submit rollouts, read the samples, and borrow whole workers.

Each accepted rollout is submitted once more. Workers are returned after a fixed time, or earlier if
they are recalled. Responses and loans are recorded in the history.
"""

import json
from typing import Any

from capacity_sharing import LoanOutcome, LoanState, LoanStatus
from data_plane.responses import ServiceResponse
from data_plane.rollout_service import RolloutBody

from simulator.history import RowKind

__all__ = ["RolloutProgress", "Trainers"]

_RESUBMIT_MS = 2500
_READ_INTERVAL_MS = 400
_LOAN_POLL_MS = 50
_REPORT_RETRY_MS = 400
_READ_LIMIT = 1000
_LEASE_MS = 6000
_RECALL_MS = 1500
_OK, _CREATED, _NOT_FOUND = 200, 201, 404


class RolloutProgress:
    """The state of a rollout as its trainer knows it.

    `results` has the samples read so far by index; `done_ms` is the time at which all had been
    read, or 0.
    """

    __slots__ = ("acknowledged", "done_ms", "prompts", "results", "samples", "weights")

    def __init__(self, prompts: int, samples: int, weights: str) -> None:
        self.prompts, self.samples, self.weights = prompts, samples, weights
        self.acknowledged = False
        self.results: dict[int, str] = {}
        self.done_ms = 0.0

    @property
    def total(self) -> int:
        """The number of samples of the rollout."""
        return self.prompts * self.samples


class Trainers:
    """All trainers of a run; `hold_ms` is the time for which they keep a borrowed worker."""

    __slots__ = ("_fleet", "_history", "_rng", "_time", "hold_ms", "rollouts", "stopped")

    def __init__(self, fleet: Any, rng: Any) -> None:
        self._fleet, self._time, self._history, self._rng = fleet, fleet.time, fleet.history, rng
        self.hold_ms = 1200.0
        self.rollouts: dict[str, RolloutProgress] = {}
        self.stopped = False

    def _choose_edge(self) -> Any:
        """Return a random running edge, or None."""
        edges = self._fleet.running("edge")
        return self._rng.choice(edges) if edges else None

    def submit(self, prompts: int, samples: int, weights: str = "w1") -> str:
        """Submit a rollout every 2.5 s until it is acknowledged, and return its id.

        After the first acknowledgement it is submitted once more, through a random edge.
        """
        rollout_id = f"r{len(self.rollouts) + 1}"
        self.rollouts[rollout_id] = RolloutProgress(prompts, samples, weights)
        self._send(rollout_id)
        return rollout_id

    def _send(self, rollout_id: str) -> None:
        rollout, host = self.rollouts[rollout_id], self._choose_edge()

        def answered(answer: ServiceResponse[None]) -> None:
            if answer.status in (_OK, _CREATED) and not rollout.acknowledged:
                self._record_acknowledgement(rollout_id)

        def resend() -> None:
            if not rollout.acknowledged and not self.stopped:
                self._send(rollout_id)

        if host is not None:
            host.node.rollout_service.submit(
                rollout_id, _rollout_body(rollout_id, rollout), answered
            )
        if not rollout.acknowledged:
            self._time.after(_RESUBMIT_MS, resend)

    def _record_acknowledgement(self, rollout_id: str) -> None:
        """Record the first acknowledgement, submit the rollout again, and start reading."""
        rollout = self.rollouts[rollout_id]
        rollout.acknowledged = True
        self._history.add(
            RowKind.ROLLOUT_ACCEPTED, self._time.now_ms, rollout=rollout_id, total=rollout.total
        )
        self._send(rollout_id)
        self.follow(rollout_id)

    def follow(self, rollout_id: str) -> None:
        """Read further samples every 400 ms until all have been read."""
        rollout = self.rollouts[rollout_id]
        if rollout.done_ms or self.stopped:
            return
        self.read(rollout_id, len(rollout.results))
        self._time.after(_READ_INTERVAL_MS, lambda: self.follow(rollout_id))

    def read(self, rollout_id: str, start: int) -> None:
        """Read and record the samples from the index `start` on."""
        rollout, host = self.rollouts[rollout_id], self._choose_edge()

        def answered(answer: ServiceResponse[None]) -> None:
            if answer.status not in (_OK, _NOT_FOUND):
                return
            known = answer.status == _OK
            results = [
                (row["index"], row["verdict"], json.dumps(row["body"], sort_keys=True))
                for row in (json.loads(answer.body)["results"] if known else [])
            ]
            self._history.add(
                RowKind.ROLLOUT_READ,
                self._time.now_ms,
                rollout=rollout_id,
                start=start,
                results=results,
                samples=rollout.samples,
                outcome="known" if known else "missing",
            )
            rollout.results.update({index: text for index, _, text in results})
            if len(rollout.results) == rollout.total and not rollout.done_ms:
                rollout.done_ms = self._time.now_ms

        if host is not None:
            host.node.rollout_service.results(rollout_id, start, _READ_LIMIT, answered)

    def borrow(self, every_ms: float, weights: str, until_ms: float) -> None:
        """Request a loan of a random worker every `every_ms`, until the time `until_ms`."""
        if self.stopped or self._time.now_ms > until_ms:
            return
        hosts = self._fleet.running("control")
        workers = [
            worker
            for worker in self._fleet.workers.values()
            if not worker.crashed and not worker.borrower
        ]
        if hosts and workers:
            worker = self._rng.choice(workers)
            self._request_loan(self._rng.choice(hosts), worker.identity, weights)
        self._time.after(every_ms, lambda: self.borrow(every_ms, weights, until_ms))

    def _request_loan(self, host: Any, identity: str, weights: str) -> None:
        def answered(outcome: LoanOutcome) -> None:
            self._history.add(
                RowKind.LOAN_REQUESTED,
                self._time.now_ms,
                worker=identity,
                outcome=str(outcome.status),
                reason=outcome.reason,
            )

        host.node.loans.grant(identity, "trainer", weights, _LEASE_MS, _RECALL_MS, answered)

    def watch(self) -> None:
        """Poll the loans every 50 ms, take over lent workers and return recalled ones."""
        for host in self._fleet.running("control"):
            for identity, row in host.node.loans.rows().items():
                worker = self._running_worker(identity)
                if worker is not None and row["state"] in (LoanState.LENT, LoanState.RECALLED):
                    self._observe_loan(worker, row)
        self._time.after(_LOAN_POLL_MS, self.watch)

    def _running_worker(self, identity: str) -> Any:
        return next(
            (
                worker
                for worker in self._fleet.workers.values()
                if worker.identity == identity and not worker.crashed
            ),
            None,
        )

    def _observe_loan(self, worker: Any, row: dict[str, Any]) -> None:
        """Take over the worker of a new loan, or return it if the loan is recalled."""
        loan = f"loan{row['loan']}"
        if worker.borrower == loan:
            if row["state"] == LoanState.RECALLED:
                self._return(worker, row, "recalled")
            return
        if any(seen["loan"] == loan for seen in self._history.rows_of(RowKind.BORROWED)):
            return
        worker.borrower = loan
        self._history.add(
            RowKind.BORROWED,
            self._time.now_ms,
            worker=worker.identity,
            loan=loan,
            running=worker.busy,
        )
        self._time.after(self.hold_ms, lambda: self._return(worker, row, "done"))

    def _return(self, worker: Any, row: dict[str, Any], why: str) -> None:
        """Return a worker with the agreed weights, and report this to control until it succeeds."""
        loan = f"loan{row['loan']}"
        if worker.borrower != loan:
            return
        worker.borrower, worker.weights = "", row["weights"] or worker.weights
        self._history.add(
            RowKind.RETURNED, self._time.now_ms, worker=worker.identity, loan=loan, why=why
        )
        self._report_return(worker, row["loan"])

    def _report_return(self, worker: Any, loan: int) -> None:
        hosts = self._fleet.running("control")
        outcomes: list[LoanOutcome] = []

        def report_again() -> None:
            if not outcomes or outcomes[0].status is LoanStatus.DOUBT:
                self._report_return(worker, loan)

        if hosts:
            self._rng.choice(hosts).node.loans.return_worker(
                worker.identity, loan, worker.weights, outcomes.append
            )
        self._time.after(_REPORT_RETRY_MS, report_again)


def _rollout_body(rollout_id: str, rollout: RolloutProgress) -> RolloutBody:
    prompts = [
        {"prompt": f"lot {rollout_id} item {index} call sample:{rollout_id}:{index}"}
        for index in range(rollout.prompts)
    ]
    return RolloutBody.model_validate(
        {
            "path": "rollouts",
            "weights": rollout.weights,
            "samples": rollout.samples,
            "prompts": prompts,
        }
    )
