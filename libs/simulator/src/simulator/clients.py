"""Simulated clients, which make live calls and submit, read and end batches.

A call that isn't safe to repeat is sent again under its key through another edge when it is in
doubt. What clients see is recorded in the history.
"""

import json
from collections.abc import Callable
from typing import Any

from data_plane.responses import ServiceResponse

from simulator.live_calls import LiveCall, flat_body

__all__ = ["Clients"]

_PATIENCE_MS = 8000.0


class Clients:
    """All clients of a run; `jobs` is what they know of their batches."""

    __slots__ = ("_calls", "_fleet", "_history", "_rng", "_time", "jobs")

    def __init__(self, fleet: Any, rng: Any = None) -> None:
        self._fleet, self._time, self._history = fleet, fleet.time, fleet.history
        self._rng = rng or fleet.time.rng
        self._calls = 0
        self.jobs: dict[str, dict[str, Any]] = {}

    def _edge(self, avoid: str = "") -> Any:
        edges = [host for host in self._fleet.with_role("edge") if host.up and host.name != avoid]
        return self._rng.choice(edges) if edges else None

    def _at(self, host: Any, what: Callable[[], None]) -> None:
        incarnation = host.incarnation

        def arrive() -> None:
            if host.up and host.incarnation == incarnation:
                host.when_awake(what, incarnation)

        self._time.after(1.0, arrive)

    # -- live ----------------------------------------------------------------------------------

    def live(
        self,
        path: str,
        key: str = "",
        tries: int = 1,
        avoid: str = "",
        done: Callable | None = None,
        asked: str = "",
        hangs_up_ms: float = 0.0,
    ) -> None:
        """Make a live call at an edge other than `avoid`; `done` gets its row.

        With a `key`, a call in doubt is sent again up to `tries` times. `asked` is what the prompt
        asks, by default the key. `hangs_up_ms` as for LiveCall.
        """
        host = self._edge(avoid)
        if host is None:
            return
        self._calls += 1
        call = f"call{self._calls}"
        row = self._history.add(
            "call",
            self._time.now_ms,
            call=call,
            path=path,
            key=key,
            edge=host.name,
            asked=asked or key,
            outcome="none",
            verdict="",
            pieces=[],
            transaction="",
            body="",
            code="",
            answered_ms=0.0,
        )

        def resend() -> None:
            self.live(path, key, tries - 1, host.name, asked=asked)

        resends = bool(key) and tries > 1
        leaves_ms = 0.0 if key else hangs_up_ms
        visit = LiveCall(self._time, host, row, resend if resends else None, done, leaves_ms)
        self._at(host, visit.begin)
        self._time.after(_PATIENCE_MS, visit.give_up)

    # -- lots ----------------------------------------------------------------------------------

    def submit(
        self,
        path: str,
        count: int,
        tries: int = 3,
        job_id: str = "",
        avoid: str = "",
        done: Callable | None = None,
    ) -> str:
        """Submit a batch of `count` items and return its id; `done` gets the row.

        A submission in doubt is sent again under its id up to `tries` times.
        """
        if not job_id:
            job_id = f"lot{len(self.jobs) + 1}"
            self.jobs[job_id] = {
                "path": path,
                "count": count,
                "acked": False,
                "results": {},
                "ended": False,
                "done": False,
            }
        host = self._edge(avoid)
        if host is None:
            return job_id
        row = self._history.add(
            "hand-in",
            self._time.now_ms,
            lot=job_id,
            path=path,
            outcome="none",
            verdict="",
            count=count,
            answered_ms=0.0,
        )

        def answered(outcome: str, verdict: str) -> None:
            if row["outcome"] != "none":
                return
            row.update(outcome=outcome, verdict=verdict, answered_ms=self._time.now_ms)
            if outcome in ("admitted", "known"):
                if not self.jobs[job_id]["acked"]:
                    self._time.after(700, lambda: self.follow(job_id, self._time.now_ms - 700))
                self.jobs[job_id]["acked"] = True
            elif verdict == "may_have_run" and tries > 1:
                self._time.after(
                    100, lambda: self.submit(path, count, tries - 1, job_id, host.name, done)
                )
            if done is not None:
                done(row)

        def told(answer: ServiceResponse) -> None:
            answered(
                {200: "known", 201: "admitted"}.get(answer.status, answer.code), answer.verdict
            )

        items = [
            {"prompt": f"lot {job_id} item {place} call item:{job_id}:{place}"}
            for place in range(count)
        ]
        self._at(host, lambda: host.node.edge_service.submit(job_id, path, items, 10_000, told))
        self._time.after(_PATIENCE_MS, lambda: answered("lost", "may_have_run"))
        return job_id

    def follow(self, job_id: str, from_ms: float) -> None:
        """Read every 700 ms until the whole batch is listed."""
        job = self.jobs[job_id]
        if job["ended"] or job["done"]:
            return

        def seen(row: dict[str, Any]) -> None:
            if (
                row["outcome"] == "known"
                and row["listed"] == row["total"]
                and not row["ended"]
                and not job["done"]
            ):
                job["done"] = True
                self._history.add("lot-done", self._time.now_ms, lot=job_id, from_ms=from_ms)

        self.read(job_id, seen)
        self._time.after(700, lambda: self.follow(job_id, from_ms))

    def read(
        self, job_id: str, done: Callable[[Any], None] | None = None, start: int | None = None
    ) -> None:
        """Read results from an index on, by default one drawn; `done` gets what was seen."""
        host = self._edge()
        if host is None:
            return
        job = self.jobs[job_id]
        drawn = self._rng.choice((0, len(job["results"])))
        start = drawn if start is None else start
        incarnation, began_ms = host.incarnation, self._time.now_ms

        def told(answer: ServiceResponse) -> None:
            if host.incarnation != incarnation or not host.up or answer.status not in (200, 404):
                return
            shown = json.loads(answer.body)
            known = answer.status == 200
            rows = (
                [
                    (
                        row["index"],
                        row["verdict"],
                        flat_body(json.dumps(row["body"]))
                        if row["verdict"] == "ran"
                        else json.dumps(row["body"], sort_keys=True),
                    )
                    for row in shown["results"]
                ]
                if known
                else []
            )
            seen = {
                "outcome": "known" if known else "missing",
                "listed": shown["listed"] if known else 0,
                "total": shown["total"] if known else 0,
                "ended": known and shown["ended"],
            }
            self._history.add(
                "read",
                self._time.now_ms,
                began_ms=began_ms,
                lot=job_id,
                start=start,
                results=rows,
                **seen,
            )
            job["results"].update({index: text for index, _, text in rows})
            if done is not None:
                done(seen)

        self._at(host, lambda: host.node.edge_service.results(job_id, start, 1000, told))

    def end(self, job_id: str) -> None:
        """End a batch before it is done."""
        host = self._edge()
        if host is None:
            return
        incarnation = host.incarnation
        asked = self._history.ask("end", self._time.now_ms, lot=job_id)

        def told(answer: ServiceResponse) -> None:
            if answer.status == 200 and host.incarnation == incarnation and host.up:
                asked.update(outcome="ok", answered_ms=self._time.now_ms)
                self.jobs[job_id]["ended"] = True
                self._history.add("end", self._time.now_ms, lot=job_id)

        self._at(host, lambda: host.node.edge_service.cancel(job_id, told))
