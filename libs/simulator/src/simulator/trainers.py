"""Simulated trainers, which submit rollouts, read the samples, and borrow whole workers.

Submissions are sometimes repeated; workers are returned after a while, or when they are recalled.
What trainers see is recorded in the history.
"""

import json
from typing import Any

from data_plane.responses import ServiceResponse
from data_plane.rollouts import RolloutBody

from simulator.history import RowKind

__all__ = ["Trainers"]


class Trainers:
    """All trainers of a run; `hold_ms` is how long they keep a worker."""

    __slots__ = ("_fleet", "_history", "_rng", "_time", "hold_ms", "rollouts", "stopped")

    def __init__(self, fleet: Any, rng: Any) -> None:
        self._fleet, self._time, self._history, self._rng = fleet, fleet.time, fleet.history, rng
        self.hold_ms = 1200.0
        self.rollouts: dict[str, dict[str, Any]] = {}
        self.stopped = False

    def _edge(self) -> Any:
        edges = self._fleet.running("edge")
        return self._rng.choice(edges) if edges else None

    # -- rollouts ------------------------------------------------------------------------------

    def submit(self, prompts: int, samples: int, weights: str = "w1", rollout_id: str = "") -> str:
        """Submit a rollout until it is certainly accepted; return its id.

        After the first acknowledgement it is sent once more through another edge.
        """
        if not rollout_id:
            rollout_id = f"r{len(self.rollouts) + 1}"
            self.rollouts[rollout_id] = {
                "total": prompts * samples,
                "samples": samples,
                "acked": False,
                "results": {},
                "done_ms": 0.0,
            }
        state, host = self.rollouts[rollout_id], self._edge()
        call = RolloutBody(
            path="rollouts",
            weights=weights,
            samples=samples,
            prompts=[
                {"prompt": f"lot {rollout_id} item {place} call sample:{rollout_id}:{place}"}
                for place in range(prompts)
            ],
        )

        def told(answer: ServiceResponse) -> None:
            if answer.status in (200, 201) and not state["acked"]:
                state["acked"] = True
                self._history.add(
                    RowKind.ROLLOUT_ACCEPTED,
                    self._time.now_ms,
                    rollout=rollout_id,
                    total=state["total"],
                )
                self.submit(prompts, samples, weights, rollout_id)
                self.follow(rollout_id)

        if host is not None:
            host.node.rollout_service.submit(rollout_id, call, told)
        if not state["acked"]:
            self._time.after(
                2500,
                lambda: (
                    None
                    if state["acked"] or self.stopped
                    else self.submit(prompts, samples, weights, rollout_id)
                ),
            )
        return rollout_id

    def follow(self, rollout_id: str) -> None:
        """Read on every 400 ms until all samples are there."""
        state = self.rollouts[rollout_id]
        if state["done_ms"] or self.stopped:
            return
        self.read(rollout_id, len(state["results"]))
        self._time.after(400, lambda: self.follow(rollout_id))

    def read(self, rollout_id: str, start: int) -> None:
        """Read samples from an index on and record them."""
        state, host = self.rollouts[rollout_id], self._edge()

        def told(answer: ServiceResponse) -> None:
            if answer.status not in (200, 404):
                return
            shown = json.loads(answer.body)
            rows = (
                [
                    (row["index"], row["verdict"], json.dumps(row["body"], sort_keys=True))
                    for row in shown["results"]
                ]
                if answer.status == 200
                else []
            )
            self._history.add(
                RowKind.ROLLOUT_READ,
                self._time.now_ms,
                rollout=rollout_id,
                start=start,
                results=rows,
                samples=state["samples"],
                outcome="known" if answer.status == 200 else "missing",
            )
            state["results"].update({index: text for index, _, text in rows})
            if len(state["results"]) == state["total"] and not state["done_ms"]:
                state["done_ms"] = self._time.now_ms

        if host is not None:
            host.node.rollout_service.results(rollout_id, start, 1000, told)

    # -- whole workers -------------------------------------------------------------------------

    def borrow(self, every_ms: float, weights: str, until_ms: float) -> None:
        """Ask for a random worker every `every_ms` until a time is reached."""
        if self.stopped or self._time.now_ms > until_ms:
            return
        hosts, workers = (
            self._fleet.running("control"),
            [
                worker
                for worker in self._fleet.workers.values()
                if not worker.crashed and not worker.borrower
            ],
        )
        if hosts and workers:
            worker = self._rng.choice(workers)
            self._rng.choice(hosts).node.loans.grant(
                worker.identity,
                "trainer",
                weights,
                6000,
                1500,
                lambda outcome: self._history.add(
                    RowKind.LOAN_REQUESTED,
                    self._time.now_ms,
                    worker=worker.identity,
                    outcome=outcome.name,
                    reason=outcome.reason,
                ),
            )
        self._time.after(every_ms, lambda: self.borrow(every_ms, weights, until_ms))

    def watch(self) -> None:
        """Follow the loans at control: take lent workers and hand recalled ones back."""
        for host in self._fleet.running("control"):
            for name, row in host.node.loans.rows().items():
                worker = next(
                    (
                        one
                        for one in self._fleet.workers.values()
                        if one.identity == name and not one.crashed
                    ),
                    None,
                )
                if worker is not None and row["state"] in ("lent", "recalled"):
                    self._take(worker, row)
        self._time.after(50, self.watch)

    def _take(self, worker: Any, row: dict[str, Any]) -> None:
        loan = f"loan{row['loan']}"
        if worker.borrower != loan:
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
            self._time.after(self.hold_ms, lambda: self._back(worker, row, "done"))
        elif row["state"] == "recalled":
            self._back(worker, row, "recalled")

    def _back(self, worker: Any, row: dict[str, Any], why: str) -> None:
        """Return a worker with the agreed weights; the worker reports it until control knows."""
        loan = f"loan{row['loan']}"
        if worker.borrower != loan:
            return
        worker.borrower, worker.weights = "", row["weights"] or worker.weights
        self._history.add(
            RowKind.HANDED_BACK, self._time.now_ms, worker=worker.identity, loan=loan, why=why
        )
        self._say_back(worker, row["loan"])

    def _say_back(self, worker: Any, loan: int) -> None:
        hosts, heard = self._fleet.running("control"), []
        if hosts:
            self._rng.choice(hosts).node.loans.hand_back(
                worker.identity, loan, worker.weights, heard.append
            )
        self._time.after(
            400,
            lambda: None if heard and heard[0].name != "doubt" else self._say_back(worker, loan),
        )
