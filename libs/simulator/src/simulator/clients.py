"""Simulated clients, which make live calls and submit, read and cancel batch jobs.

A call that isn't safe to repeat is sent again under its key through another edge when it is in
doubt. What clients see is recorded in the history.
"""

import json
from collections.abc import Callable
from typing import Any

from data_plane.responses import ServiceResponse

from simulator.history import Row, RowKind
from simulator.live_calls import LiveCall, flat_body

__all__ = ["ClientJob", "Clients"]

_PATIENCE_MS = 8000.0
_SEND_DELAY_MS = 1.0
_RESUBMIT_MS = 100
_FOLLOW_MS = 700
_JOB_DUE_MS = 10_000
_READ_LIMIT = 1000
_OK, _CREATED, _NOT_FOUND = 200, 201, 404
_ACCEPTED = ("admitted", "known")


class ClientJob:
    """What clients know of one job: its results by index, and how far it has come."""

    __slots__ = ("acknowledged", "cancelled", "done", "results")

    def __init__(self) -> None:
        self.acknowledged = False
        self.cancelled = False
        self.done = False
        self.results: dict[int, str] = {}


class Clients:
    """All clients of a run; `jobs` is what they know of their batch jobs."""

    __slots__ = ("_call_count", "_fleet", "_history", "_rng", "_time", "jobs")

    def __init__(self, fleet: Any, rng: Any = None) -> None:
        self._fleet, self._time, self._history = fleet, fleet.time, fleet.history
        self._rng = rng or fleet.time.rng
        self._call_count = 0
        self.jobs: dict[str, ClientJob] = {}

    def choose_edge(self, avoid: str = "") -> Any:
        """Return a random running edge other than the one named `avoid`, or None."""
        edges = [host for host in self._fleet.with_role("edge") if host.up and host.name != avoid]
        return self._rng.choice(edges) if edges else None

    def _run_at(self, host: Any, action: Callable[[], None]) -> None:
        """Run `action` once the request has reached the host, unless its process has ended."""
        incarnation = host.incarnation

        def arrive() -> None:
            if host.up and host.incarnation == incarnation:
                host.when_awake(action, incarnation)

        self._time.after(_SEND_DELAY_MS, arrive)

    # -- live calls ----------------------------------------------------------------------------

    def live(
        self,
        path: str,
        key: str = "",
        tries: int = 1,
        avoid: str = "",
        done: Callable[[Row], None] | None = None,
        question: str = "",
        hangs_up_ms: float = 0.0,
    ) -> None:
        """Make a live call at an edge other than `avoid`; `done` gets its row.

        With a `key`, a call in doubt is sent again up to `tries` times. `question` is what the
        prompt asks, by default the key. `hangs_up_ms` as for LiveCall.
        """
        host = self.choose_edge(avoid)
        if host is None:
            return
        self._call_count += 1
        row = self._history.add(
            RowKind.CALL,
            self._time.now_ms,
            call=f"call{self._call_count}",
            path=path,
            key=key,
            edge=host.name,
            question=question or key,
            outcome="none",
            verdict="",
            events=[],
            transaction="",
            body="",
            code="",
            answered_ms=0.0,
        )

        def resend() -> None:
            self.live(path, key, tries - 1, host.name, question=question)

        resends = bool(key) and tries > 1
        call = LiveCall(
            self._time, host, row, resend if resends else None, done, 0.0 if key else hangs_up_ms
        )
        self._run_at(host, call.begin)
        self._time.after(_PATIENCE_MS, call.give_up)

    # -- batch jobs ----------------------------------------------------------------------------

    def submit(
        self,
        path: str,
        count: int,
        tries: int = 3,
        job_id: str = "",
        avoid: str = "",
        done: Callable[[Row], None] | None = None,
    ) -> str:
        """Submit a job of `count` items and return its id; `done` gets the row.

        A submission in doubt is sent again under its id up to `tries` times.
        """
        if not job_id:
            job_id = f"lot{len(self.jobs) + 1}"
            self.jobs[job_id] = ClientJob()
        host = self.choose_edge(avoid)
        if host is None:
            return job_id
        row = self._history.add(
            RowKind.SUBMISSION,
            self._time.now_ms,
            lot=job_id,
            path=path,
            outcome="none",
            verdict="",
            count=count,
            answered_ms=0.0,
        )

        def resubmit() -> None:
            self.submit(path, count, tries - 1, job_id, host.name, done)

        def conclude(outcome: str, verdict: str) -> None:
            if row["outcome"] != "none":
                return
            row.update(outcome=outcome, verdict=verdict, answered_ms=self._time.now_ms)
            if outcome in _ACCEPTED:
                self._acknowledged(job_id)
            elif verdict == "may_have_run" and tries > 1:
                self._time.after(_RESUBMIT_MS, resubmit)
            if done is not None:
                done(row)

        def answered(answer: ServiceResponse[None]) -> None:
            outcome = {_OK: "known", _CREATED: "admitted"}.get(answer.status, answer.code)
            conclude(outcome, answer.verdict)

        items = [
            {"prompt": f"lot {job_id} item {index} call item:{job_id}:{index}"}
            for index in range(count)
        ]
        self._run_at(
            host, lambda: host.node.edge_service.submit(job_id, path, items, _JOB_DUE_MS, answered)
        )
        self._time.after(_PATIENCE_MS, lambda: conclude("lost", "may_have_run"))
        return job_id

    def _acknowledged(self, job_id: str) -> None:
        """Follow a job from its first acknowledgement on."""
        job = self.jobs[job_id]
        if not job.acknowledged:
            self._time.after(
                _FOLLOW_MS, lambda: self.follow(job_id, self._time.now_ms - _FOLLOW_MS)
            )
        job.acknowledged = True

    def follow(self, job_id: str, from_ms: float) -> None:
        """Read every 700 ms until the whole job is listed; `from_ms` is its acknowledgement."""
        job = self.jobs[job_id]
        if job.cancelled or job.done:
            return

        def seen(read: Row) -> None:
            complete = read["outcome"] == "known" and read["listed"] == read["total"]
            if complete and not read["ended"] and not job.done:
                job.done = True
                self._history.add(RowKind.JOB_DONE, self._time.now_ms, lot=job_id, from_ms=from_ms)

        self.read(job_id, seen)
        self._time.after(_FOLLOW_MS, lambda: self.follow(job_id, from_ms))

    def read(
        self, job_id: str, done: Callable[[Row], None] | None = None, start: int | None = None
    ) -> None:
        """Read results from an index on, by default one drawn; `done` gets what was seen."""
        host = self.choose_edge()
        if host is None:
            return
        job = self.jobs[job_id]
        drawn = self._rng.choice((0, len(job.results)))
        start = drawn if start is None else start
        incarnation, began_ms = host.incarnation, self._time.now_ms

        def answered(answer: ServiceResponse[None]) -> None:
            same_process = host.up and host.incarnation == incarnation
            if not same_process or answer.status not in (_OK, _NOT_FOUND):
                return
            shown = json.loads(answer.body)
            known = answer.status == _OK
            results = [_result(row) for row in shown["results"]] if known else []
            seen = {
                "outcome": "known" if known else "missing",
                "listed": shown["listed"] if known else 0,
                "total": shown["total"] if known else 0,
                "ended": known and shown["ended"],
            }
            self._history.add(
                RowKind.READ,
                self._time.now_ms,
                began_ms=began_ms,
                lot=job_id,
                start=start,
                results=results,
                **seen,
            )
            job.results.update({index: text for index, _, text in results})
            if done is not None:
                done(seen)

        self._run_at(
            host, lambda: host.node.edge_service.results(job_id, start, _READ_LIMIT, answered)
        )

    def cancel(self, job_id: str) -> None:
        """Cancel a job before it is done."""
        host = self.choose_edge()
        if host is None:
            return
        incarnation = host.incarnation
        call = self._history.begin_call(RowKind.CANCELLATION, self._time.now_ms, lot=job_id)

        def answered(answer: ServiceResponse[None]) -> None:
            if answer.status == _OK and host.incarnation == incarnation and host.up:
                call.update(outcome="ok", answered_ms=self._time.now_ms)
                self.jobs[job_id].cancelled = True
                self._history.add(RowKind.CANCELLATION, self._time.now_ms, lot=job_id)

        self._run_at(host, lambda: host.node.edge_service.cancel(job_id, answered))


def _result(row: Row) -> tuple[int, str, str]:
    """Return index, verdict and text of a result; the output of a run in the oracle's form."""
    body = json.dumps(row["body"], sort_keys=True)
    return row["index"], row["verdict"], flat_body(body) if row["verdict"] == "ran" else body
