"""How much of the workers' capacity live calls need, from the load reports of all edges.

Edges report how many requests they have running at each worker. A worker may be lent only if the
workers that remain have enough slots for the peak of live calls over a window, with a margin. No
worker is lent until the load has been measured over a whole window. A lent worker is recalled once
the present live calls exceed a share of the remaining slots.
"""

import json
from collections.abc import Callable
from typing import NamedTuple

from control_store import ProfileTree
from messaging import Message
from request_routing import RequestRouter, WorkerRegistry

__all__ = ["EdgeLoad", "LiveLoad", "WorkerLoad", "load_report"]

_PEAK_MARGIN = 1.25
"""Slots that have to remain for each live call of the peak."""

_RECALL_UTILIZATION = 0.8
"""Live calls for each remaining slot above which a lent worker is recalled."""

_UNKNOWN_MS = -1
_JOBS_AT_RISK = "a lot may come late"


class EdgeLoad(Message):
    """An edge's report of its load.

    `loans_version` is the version of the loans that the edge applies. `workers` is a JSON object
    that maps the identity of each worker to the row of its `WorkerLoad`. `waiting` is the number of
    live calls that wait at the edge. `jobs_at_risk` tells that a batch job may miss its deadline.
    """

    edge: str
    loans_version: int
    workers: str
    waiting: int
    jobs_at_risk: bool


class WorkerLoad(NamedTuple):
    """An edge's report on one worker; on the wire, a JSON array in the order of the fields.

    `running` is the number of all requests that the edge has in flight there, of which `live` are
    live calls and `samples` are samples of rollouts. `is_usable` tells that the edge may send
    requests there, or could if the worker were not lent.
    """

    zone: str
    labels: list[str]
    slots: int
    live: int
    running: int
    is_usable: bool
    samples: int


class _Report(NamedTuple):
    """The latest report of an edge, with its decoded rows by worker identity."""

    received_ms: int
    message: EdgeLoad
    workers: dict[str, WorkerLoad]


class _LoadMeasurement(NamedTuple):
    """The load at one time: live calls running by worker, and live calls waiting at all edges."""

    at_ms: int
    live: dict[str, int]
    waiting: int

    def calls(self, workers: list[str]) -> int:
        """Return the number of live calls running at these workers, plus all that wait."""
        return sum(self.live.get(worker, 0) for worker in workers) + self.waiting


class _ServedProfile(NamedTuple):
    """A profile that a worker serves, with all its usable workers.

    `remaining` are those that are neither withheld nor the worker itself.
    """

    name: str
    workers: list[str]
    remaining: list[str]


def load_report(
    edge: str,
    loans_version: int,
    registry: WorkerRegistry,
    router: RequestRouter,
    jobs_at_risk: bool,
) -> EdgeLoad:
    """Return an edge's report, from its worker registry and its router's attempts.

    Workers that the edge has not heard from for `worker_timeout_ms` are left out.
    """
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
        loans_version=loans_version,
        workers=json.dumps(loads),
        waiting=router.waiting(),
        jobs_at_risk=jobs_at_risk,
    )


class LiveLoad:
    """The latest load reports of all edges, and the live load measured over a window.

    Parameters
    ----------
    failure_timeout_ms
        Age from which a report is dropped.
    window_ms
        Returns the length of the window.
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
        """Record the report of the edge with this link address, in place of its previous one."""
        rows = json.loads(message.workers)
        workers = {name: WorkerLoad(*row[: len(WorkerLoad._fields)]) for name, row in rows.items()}
        self._reports[link] = _Report(now_ms, message, workers)
        self._last_loads.update(workers)

    def reset(self) -> None:
        """Drop all reports and measurements; a new window begins with the next measurement."""
        self._reports.clear()
        self._window.clear()
        self._since_ms = _UNKNOWN_MS

    def measure(self, now_ms: int) -> None:
        """Drop old reports and add the present load to the window; called every `heartbeat_ms`.

        If no report is left, the window starts anew.
        """
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

    def is_drained(self, worker: str, link: str, loans_version: int) -> bool:
        """Whether an edge has reported that it has no requests running at a worker.

        The report counts only if the edge made it under this version of the loans or a newer one. A
        worker that the report leaves out counts as having no requests of this edge.
        """
        report = self._reports.get(link)
        if report is None or report.message.loans_version < loans_version:
            return False
        load = report.workers.get(worker)
        return load is None or not load.running

    def workers(self) -> dict[str, WorkerLoad]:
        """Return the workers that are usable according to all edges that report on them."""
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
        """Return by worker how many samples run there, without those of the edge at `own_link`."""
        counts: dict[str, int] = {}
        for link, report in self._reports.items():
            for name, load in report.workers.items() if link != own_link else ():
                counts[name] = counts.get(name, 0) + load.samples
        return counts

    def peak(self, worker: str) -> int | None:
        """Return the most live calls that ran at once at a worker in the window.

        None before the first measurement.
        """
        return max((measurement.live.get(worker, 0) for measurement in self._window), default=None)

    def jobs_at_risk(self) -> bool:
        """Return whether any edge reports that a batch job may miss its deadline."""
        return any(report.message.jobs_at_risk for report in self._reports.values())

    def _served_by(
        self, worker: str, profiles: ProfileTree, withheld: frozenset[str]
    ) -> list[_ServedProfile]:
        """Return the profiles that a worker serves, with the workers of each.

        The worker's labels are those that an edge reported last, even if no edge reports the
        worker any more.
        """
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
                remaining = [
                    other for other in allowed if other not in withheld and other != worker
                ]
                served.append(_ServedProfile(name, allowed, remaining))
        return served

    def refusal_reason(
        self, worker: str, profiles: ProfileTree, withheld: frozenset[str], now_ms: int
    ) -> str:
        """Return why a worker may not be lent in addition to those `withheld`; empty if it may."""
        known = self.workers()
        if worker not in known:
            return "no edge knows it, or one may not use it"
        if self._since_ms < 0 or now_ms - self._since_ms < self._window_ms():
            return "the live load has not been watched for long enough"
        if self.jobs_at_risk():
            return _JOBS_AT_RISK
        for profile in self._served_by(worker, profiles, withheld):
            if not any(known[other].zone == known[worker].zone for other in profile.remaining):
                return f"it is the last of {profile.name} in its zone"
            peak = max(measurement.calls(profile.workers) for measurement in self._window)
            slots = sum(known[other].slots for other in profile.remaining)
            if peak * _PEAK_MARGIN > slots:
                return (
                    f"live calls of {profile.name} needed {peak} places lately, "
                    f"and {slots} would stay"
                )
        return ""

    def recall_reason(self, worker: str, profiles: ProfileTree, withheld: frozenset[str]) -> str:
        """Return why a lent worker has to be recalled now; empty if it need not be."""
        if self.jobs_at_risk():
            return _JOBS_AT_RISK
        known = self.workers()
        if not self._window:
            return ""
        for profile in self._served_by(worker, profiles, withheld):
            slots = sum(known[other].slots for other in profile.remaining)
            calls = self._window[-1].calls(profile.workers)
            if calls > _RECALL_UTILIZATION * slots:
                return f"live calls of {profile.name} need {calls} of the {slots} places that stay"
        return ""
