"""Simulated workers with what rollouts depend on.

Prompts are read one at a time, calls beyond the slots wait in a short queue, and each answer names
the weights in force. A worker may be lent whole; it then runs no calls.
"""

import json
from collections.abc import Callable
from typing import Any

from request_routing import WorkerUpdate

from simulator.workers import SimWorker, told_in_prompt

__all__ = ["ReadingWorker"]

_SAMPLE_TIMES = 4


class ReadingWorker(SimWorker):
    """A worker that reads prompts for `read_ms` each, one after another.

    `borrower` is who has it whole, as the worker knows; `weights` are those that it has loaded.
    """

    watches = True
    __slots__ = (
        "_running",
        "_runs",
        "_waiting",
        "borrower",
        "read_ms",
        "reading_until_ms",
        "weights",
    )

    def __init__(
        self,
        fleet: Any,
        identity: str,
        address: str,
        slots: int,
        zone: str,
        piece_ms: float = 40.0,
        read_ms: float = 15.0,
    ) -> None:
        self._running = 0
        self._runs: list[_ReadingRun] = []
        self._waiting: list[_ReadingRun] = []
        self.read_ms, self.reading_until_ms = read_ms, 0.0
        self.borrower, self.weights = "", "w1"
        super().__init__(fleet, identity, address, ["gpu"], slots, zone)
        self.piece_ms = piece_ms

    @property
    def runs(self) -> list["_ReadingRun"]:
        """The calls that run, oldest first; those that wait are not among them."""
        return self._runs

    @property
    def busy(self) -> int:
        """How many calls run or wait."""
        return self._running + len(self._waiting)

    @busy.setter
    def busy(self, count: int) -> None:
        """The parent starts with none; runs are counted here."""

    def _tell(self, leaving: bool) -> bool:
        edges = [
            host
            for host in self._fleet.with_role("edge")
            if host.up
            and not host.frozen
            and self._fleet.network.passes(self.address, host.address)
        ]
        if edges:
            self.time.rng.choice(edges).node.roster.hear(
                WorkerUpdate(
                    identity=self.identity,
                    incarnation=self.incarnation,
                    address=self.address,
                    zone=self.zone,
                    labels=self.labels,
                    beat=self._beat,
                    running=self._running,
                    waiting=len(self._waiting),
                    slots=self.slots,
                    cache_use=0.0,
                    leaving=leaving,
                )
            )
        return bool(edges)

    def call(
        self,
        headers: dict[str, str],
        body: dict[str, Any],
        reply: Callable[..., None],
        open_: Callable[[], bool],
    ) -> None:
        """Take a request: run it, queue it or refuse it; silent while `dark`.

        The arguments are those of SimWorker.call.
        """
        run = _ReadingRun(self, headers, body, reply, open_)
        if self.gone:
            reply("no connection")
        elif self.dark:
            return
        elif headers["X-Vaneledge-Worker"] != self.stamp:
            run.refuse(409, "wrong-worker")
        elif headers.get("X-Vaneledge-Weights", "") not in ("", self.weights):
            run.refuse(409, "wrong-weights")
        elif self.leaving or len(self._waiting) >= self.slots:
            run.refuse(429, "busy")
        elif self._running < self.slots:
            self.begin(run)
        else:
            self._waiting.append(run)

    def begin(self, run: "_ReadingRun") -> None:
        """Start a run; its first output follows once its prompt has been read."""
        self._running += 1
        self._runs.append(run)
        self.history.add(
            "run",
            self.time.now_ms,
            worker=self.stamp,
            identity=self.identity,
            labels=self.labels,
            address=self.address,
            transaction=run.transaction,
            path=run.path,
            borrower=self.borrower,
            **told_in_prompt(run.body),
        )
        self.reading_until_ms = max(self.reading_until_ms, self.time.now_ms) + self.read_ms
        self.time.after(self.reading_until_ms - self.time.now_ms, lambda: run.piece(0))

    def look(self) -> None:
        """End runs whose caller has disconnected."""
        for run in [run for run in self._runs if not run.open()]:
            self.over(run)

    def over(self, run: "_ReadingRun") -> None:
        """Take a run off and start the next that waits and whose caller is still there."""
        if run not in self._runs:
            return
        self._runs.remove(run)
        self._running -= 1
        while self._waiting and self._running < self.slots:
            run = self._waiting.pop(0)
            if run.open():
                self.begin(run)


class _ReadingRun:
    __slots__ = ("_pieces", "_reply", "_worker", "body", "open", "path", "transaction")

    def __init__(
        self,
        worker: ReadingWorker,
        headers: dict[str, str],
        body: dict[str, Any],
        reply: Callable[..., None],
        open_: Callable[[], bool],
    ) -> None:
        self._worker, self._reply, self.body, self.open = worker, reply, body, open_
        self.transaction, self.path = headers["X-Vaneledge-Transaction"], body["model"]
        self._pieces = worker.pieces * (_SAMPLE_TIMES if self.path == "rollouts" else 1)

    def _head(self, status: int, length: int | None) -> None:
        self._reply(
            "head",
            status,
            [
                ("X-Vaneledge-Worker", self._worker.stamp),
                ("X-Vaneledge-Transaction", self.transaction),
                ("X-Vaneledge-Weights", self._worker.weights),
            ],
            length,
        )

    def refuse(self, status: int, code: str) -> None:
        data = json.dumps({"error": {"verdict": "not_run", "code": code}}).encode()
        self._head(status, len(data))
        self._reply("data", data)
        self._reply("end")

    def piece(self, place: int) -> None:
        worker, stream = self._worker, self.body["stream"]
        if self not in worker.runs:
            return
        if worker.gone or not self.open():
            worker.over(self)
            self._reply("connection lost")
            return
        if worker.dark:
            worker.time.after(50.0, lambda: self.piece(place))
            return
        if stream and place == 0:
            self._head(200, None)
        if place < self._pieces:
            if stream:
                data = json.dumps({"id": self.transaction, "choices": [{"index": 0, "text": "w "}]})
                self._reply("data", f"id: {place}\ndata: {data}\n\n".encode())
            worker.time.after(
                worker.piece_ms * (0.5 + worker.time.rng.random()), lambda: self.piece(place + 1)
            )
            return
        worker.over(self)
        worker.history.add(
            "run-ended",
            worker.time.now_ms,
            worker=worker.stamp,
            transaction=self.transaction,
            pieces=self._pieces,
        )
        if stream:
            self._reply("data", b"data: [DONE]\n\n")
        else:
            whole = json.dumps(
                {"id": self.transaction, "choices": [{"index": 0, "text": "w " * self._pieces}]}
            ).encode()
            self._head(200, len(whole))
            self._reply("data", whole)
        self._reply("end")
