"""Simulated clients, which make live calls and submit, read and cancel batch jobs.

If it is unknown whether a call with an idempotency key has run, the client retries it with the same
key through another edge. All requests and their outcomes are recorded in the history.
"""

import json
from collections.abc import Callable
from typing import Any

from data_plane.responses import ServiceResponse

from simulator.history import Row, RowKind
from simulator.live_calls import LiveCall, flat_body

__all__ = ["ClientJob", "Clients"]

_CALL_TIMEOUT_MS = 8000.0
_SEND_DELAY_MS = 1.0
_RESUBMIT_DELAY_MS = 100
_POLL_INTERVAL_MS = 700
_JOB_DEADLINE_MS = 10_000
_READ_LIMIT = 1000
_OK, _CREATED, _NOT_FOUND = 200, 201, 404
_ACCEPTED = ("admitted", "known")


class ClientJob:
    """The state of one job as its clients know it, with its results by item index."""

    __slots__ = ("acknowledged", "cancelled", "done", "results")

    def __init__(self) -> None:
        self.acknowledged = False
        self.cancelled = False
        self.done = False
        self.results: dict[int, str] = {}


class Clients:
    """All clients of a run; `jobs` has the state of their batch jobs by job id."""

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

    def _deliver(self, host: Any, action: Callable[[], None]) -> None:
        """Run `action` after the network delay, unless the host's process has ended by then."""
        incarnation = host.incarnation

        def arrive() -> None:
            if host.up and host.incarnation == incarnation:
                host.when_awake(action, incarnation)

        self._time.after(_SEND_DELAY_MS, arrive)

    def make_live_call(
        self,
        path: str,
        key: str = "",
        tries: int = 1,
        avoid: str = "",
        done: Callable[[Row], None] | None = None,
        question: str = "",
        disconnect_after_ms: float = 0.0,
    ) -> None:
        """Make a live call through a random running edge; do nothing if there is none.

        Parameters
        ----------
        path
            The name of the profile that serves the call.
        key
            The idempotency key, or an empty string.
        tries
            How often the call is sent at most. Only a call with a key is retried, and only if it
            may have run.
        avoid
            The name of an edge that is not used.
        done
            Receives the call's row once it has an outcome; not called for retries.
        question
            Text that tells apart prompts with the same key; by default the key.
        disconnect_after_ms
            Time after which the client disconnects; 0, or a call with a key, means never.
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
            self.make_live_call(path, key, tries - 1, host.name, question=question)

        resends = bool(key) and tries > 1
        call = LiveCall(
            self._time,
            host,
            row,
            resend if resends else None,
            done,
            0.0 if key else disconnect_after_ms,
        )
        self._deliver(host, call.begin)
        self._time.after(_CALL_TIMEOUT_MS, call.give_up)

    def submit(
        self,
        path: str,
        count: int,
        tries: int = 3,
        job_id: str = "",
        avoid: str = "",
        done: Callable[[Row], None] | None = None,
    ) -> str:
        """Submit a job of `count` items through a random running edge and return its id.

        A submission that may have been accepted is sent at most `tries` times, under the same id
        and through another edge. `done` receives the row of each try once it has an outcome.
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
                self._record_acknowledgement(job_id)
            elif verdict == "may_have_run" and tries > 1:
                self._time.after(_RESUBMIT_DELAY_MS, resubmit)
            if done is not None:
                done(row)

        def answered(answer: ServiceResponse[None]) -> None:
            outcome = {_OK: "known", _CREATED: "admitted"}.get(answer.status, answer.code)
            conclude(outcome, answer.verdict)

        items = [
            {"prompt": f"lot {job_id} item {index} call item:{job_id}:{index}"}
            for index in range(count)
        ]
        self._deliver(
            host,
            lambda: host.node.edge_service.submit(job_id, path, items, _JOB_DEADLINE_MS, answered),
        )
        self._time.after(_CALL_TIMEOUT_MS, lambda: conclude("lost", "may_have_run"))
        return job_id

    def _record_acknowledgement(self, job_id: str) -> None:
        """Start polling a job on its first acknowledgement."""
        job = self.jobs[job_id]
        if not job.acknowledged:
            self._time.after(
                _POLL_INTERVAL_MS,
                lambda: self.follow(job_id, self._time.now_ms - _POLL_INTERVAL_MS),
            )
        job.acknowledged = True

    def follow(self, job_id: str, from_ms: float) -> None:
        """Poll a job every 700 ms until all its results are listed or it is cancelled.

        `from_ms` is the time of its first acknowledgement.
        """
        job = self.jobs[job_id]
        if job.cancelled or job.done:
            return

        def seen(read: Row) -> None:
            complete = read["outcome"] == "known" and read["listed"] == read["total"]
            if complete and not read["ended"] and not job.done:
                job.done = True
                self._history.add(RowKind.JOB_DONE, self._time.now_ms, lot=job_id, from_ms=from_ms)

        self.read(job_id, seen)
        self._time.after(_POLL_INTERVAL_MS, lambda: self.follow(job_id, from_ms))

    def read(
        self, job_id: str, done: Callable[[Row], None] | None = None, start: int | None = None
    ) -> None:
        """Read results from the index `start` on and record them.

        By default the read starts at random at the first result or after those already read.
        `done` receives the outcome; it is not called if the edge fails or returns another error
        than 404.
        """
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

        self._deliver(
            host, lambda: host.node.edge_service.results(job_id, start, _READ_LIMIT, answered)
        )

    def cancel(self, job_id: str) -> None:
        """Cancel a job, without retries; the request and its acknowledgement are recorded."""
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

        self._deliver(host, lambda: host.node.edge_service.cancel(job_id, answered))


def _result(row: Row) -> tuple[int, str, str]:
    """Return the index, verdict and text of a result; a run's output is given by `flat_body`."""
    body = json.dumps(row["body"], sort_keys=True)
    return row["index"], row["verdict"], flat_body(body) if row["verdict"] == "ran" else body
