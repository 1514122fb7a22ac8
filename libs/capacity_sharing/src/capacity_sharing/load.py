"""What live calls need of the workers, from the reports of all edges.

Edges report what they have running at each worker. No loan may go below the peak over a window,
with a margin. Until a whole window has been seen, the need counts as unknown.
"""

import json
from collections.abc import Callable
from typing import NamedTuple

from control_store import ProfileTree
from messaging import Message
from request_routing import RequestRouter, WorkerRegistry

__all__ = ["EdgeLoad", "LiveLoad", "WorkerLoad", "load_report"]

_PEAK_MARGIN = 1.25
_RECALL_UTILIZATION = 0.8
_UNKNOWN_MS = -1
_JOBS_AT_RISK = "a lot may come late"


class EdgeLoad(Message):
    """An edge's report of what it has running.

    `number` is the version of the loans in force at the edge. `workers` is a JSON object with the
    row of a `WorkerLoad` for each worker's identity. `waiting` is the number of live calls that
    wait at the edge.
    """

    edge: str
    number: int
    workers: str
    waiting: int
    jobs_at_risk: bool


class WorkerLoad(NamedTuple):
    """What an edge reports of a worker; on the wire, a JSON array in the order of the fields.

    `live` are the live calls that the edge runs there, `running` everything that it runs there, and
    `samples` the samples of rollouts among that.
    """

    zone: str
    labels: list[str]
    slots: int
    live: int
    running: int
    is_usable: bool
    samples: int


class _Report(NamedTuple):
    received_ms: int
    message: EdgeLoad
    workers: dict[str, WorkerLoad]


class _LoadMeasurement(NamedTuple):
    """The load at one time: live calls by worker, and live calls that wait at edges."""

    at_ms: int
    live: dict[str, int]
    waiting: int

    def calls(self, workers: list[str]) -> int:
        """Return the live calls that run at these workers, and those that wait."""
        return sum(self.live.get(worker, 0) for worker in workers) + self.waiting


class _ServedProfile(NamedTuple):
    """A profile that a worker serves: all its workers, and those that stay if this one is lent."""

    name: str
    workers: list[str]
    staying: list[str]


def load_report(
    edge: str, number: int, registry: WorkerRegistry, router: RequestRouter, jobs_at_risk: bool
) -> EdgeLoad:
    """Return an edge's report, from its worker registry and what its router is sending."""
    live: dict[int, int] = {}
    for attempt in router.attempts():
        if not attempt.request.call.job:
            live[id(attempt.worker)] = live.get(id(attempt.worker), 0) + 1
    loads = {
        worker.identity: WorkerLoad(
            worker.zone,
            sorted(worker.labels),
            worker.slots,
            live.get(id(worker), 0),
            worker.in_flight,
            registry.is_usable(worker) or (worker.identity in registry.lent and not worker.leaving),
            worker.borrowed,
        )
        for worker in registry.all()
        if not registry.is_silent(worker)
    }
    return EdgeLoad(
        edge=edge,
        number=number,
        workers=json.dumps(loads),
        waiting=router.waiting(),
        jobs_at_risk=jobs_at_risk,
    )


class LiveLoad:
    """The latest reports of all edges and the live calls over a window.

    Reports older than `failure_timeout_ms` are dropped; `window_ms` gives the window's length.
    """

    __slots__ = (
        "_failure_timeout_ms",
        "_last_loads",
        "_reports",
        "_since_ms",
        "_window",
        "_window_ms",
    )

    def __init__(self, failure_timeout_ms: int, window_ms: Callable[[], int]) -> None:
        self._failure_timeout_ms = failure_timeout_ms
        self._window_ms = window_ms
        self._reports: dict[str, _Report] = {}
        self._window: list[_LoadMeasurement] = []
        self._since_ms = _UNKNOWN_MS
        self._last_loads: dict[str, WorkerLoad] = {}

    def record_report(self, link: str, message: EdgeLoad, now_ms: int) -> None:
        """Take the report of the edge with this link address."""
        rows = json.loads(message.workers)
        workers = {name: WorkerLoad(*row[: len(WorkerLoad._fields)]) for name, row in rows.items()}
        self._reports[link] = _Report(now_ms, message, workers)
        self._last_loads.update(workers)

    def reset(self) -> None:
        """Drop all reports and the window seen so far."""
        self._reports.clear()
        self._window.clear()
        self._since_ms = _UNKNOWN_MS

    def measure(self, now_ms: int) -> None:
        """Add the present load to the window; called each heartbeat."""
        self._reports = {
            link: report
            for link, report in self._reports.items()
            if now_ms - report.received_ms <= self._failure_timeout_ms
        }
        if not self._reports:
            self._since_ms, self._window = _UNKNOWN_MS, []
            return
        self._since_ms = now_ms if self._since_ms < 0 else self._since_ms
        live: dict[str, int] = {}
        for report in self._reports.values():
            for name, load in report.workers.items():
                live[name] = live.get(name, 0) + load.live
        waiting = sum(report.message.waiting for report in self._reports.values())
        self._window.append(_LoadMeasurement(now_ms, live, waiting))
        while self._window[0].at_ms < now_ms - self._window_ms():
            self._window.pop(0)

    # -- what the reports say ------------------------------------------------------------------

    def is_drained(self, worker: str, link: str, number: int) -> bool:
        """Whether an edge reported, under this version of the loans, that nothing runs there."""
        report = self._reports.get(link)
        if report is None or report.message.number < number:
            return False
        load = report.workers.get(worker)
        return load is None or not load.running

    def workers(self) -> dict[str, WorkerLoad]:
        """Return the workers that an edge may use and of which no edge says that it must not."""
        merged: dict[str, WorkerLoad] = {}
        for report in self._reports.values():
            for name, load in report.workers.items():
                known = merged.get(name)
                merged[name] = (
                    load
                    if known is None
                    else load._replace(is_usable=load.is_usable and known.is_usable)
                )
        return {name: load for name, load in merged.items() if load.is_usable}

    def samples_elsewhere(self, own_link: str) -> dict[str, int]:
        """Return by worker how many samples all edges run there, except the edge at `own_link`."""
        counts: dict[str, int] = {}
        for link, report in self._reports.items():
            for name, load in report.workers.items() if link != own_link else ():
                counts[name] = counts.get(name, 0) + load.samples
        return counts

    def peak(self, worker: str) -> int | None:
        """Return the most live calls running at once at a worker; None while unknown."""
        return max((measurement.live.get(worker, 0) for measurement in self._window), default=None)

    def jobs_at_risk(self) -> bool:
        """Return whether an edge reports that a batch job may miss its deadline."""
        return any(report.message.jobs_at_risk for report in self._reports.values())

    # -- what may be lent ----------------------------------------------------------------------

    def _served_by(
        self, worker: str, profiles: ProfileTree, withheld: frozenset[str]
    ) -> list[_ServedProfile]:
        """Return the profiles that a worker serves, with the workers of each."""
        known, last_load = self.workers(), self._last_loads.get(worker)
        if last_load is None:
            return []
        served = []
        for name in profiles.rows:
            profile = profiles.usable(name)
            if profile is not None and profile.allows(worker, frozenset(last_load.labels)):
                allowed = [
                    other
                    for other, load in known.items()
                    if profile.allows(other, frozenset(load.labels))
                ]
                staying = [other for other in allowed if other not in withheld and other != worker]
                served.append(_ServedProfile(name, allowed, staying))
        return served

    def refusal_reason(
        self, worker: str, profiles: ProfileTree, withheld: frozenset[str], now_ms: int
    ) -> str:
        """Return why a worker may not be lent beside those `withheld`; empty if it may."""
        known = self.workers()
        if worker not in known:
            return "no edge knows it, or one may not use it"
        if self._since_ms < 0 or now_ms - self._since_ms < self._window_ms():
            return "the live load has not been watched for long enough"
        if self.jobs_at_risk():
            return _JOBS_AT_RISK
        for profile in self._served_by(worker, profiles, withheld):
            if not any(known[other].zone == known[worker].zone for other in profile.staying):
                return f"it is the last of {profile.name} in its zone"
            peak = max(measurement.calls(profile.workers) for measurement in self._window)
            slots = sum(known[other].slots for other in profile.staying)
            if peak * _PEAK_MARGIN > slots:
                return (
                    f"live calls of {profile.name} needed {peak} places lately, "
                    f"and {slots} would stay"
                )
        return ""

    def recall_reason(self, worker: str, profiles: ProfileTree, withheld: frozenset[str]) -> str:
        """Return why a worker is needed back now; empty if it isn't."""
        if self.jobs_at_risk():
            return _JOBS_AT_RISK
        known = self.workers()
        if not self._window:
            return ""
        for profile in self._served_by(worker, profiles, withheld):
            slots = sum(known[other].slots for other in profile.staying)
            calls = self._window[-1].calls(profile.workers)
            if calls > _RECALL_UTILIZATION * slots:
                return f"live calls of {profile.name} need {calls} of the {slots} places that stay"
        return ""
