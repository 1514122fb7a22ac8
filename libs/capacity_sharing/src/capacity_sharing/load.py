"""What live calls need of the workers, from the reports of all edges.

Edges report what they have running at each worker. No loan may go below the peak over a window,
with a margin. Until a whole window has been seen, the need counts as unknown.
"""

import json
from collections.abc import Callable
from typing import Any

from messaging import Message

__all__ = ["EdgeLoad", "LiveLoad", "load_report"]

_MARGIN = 1.25
_RECALL_ABOVE = 0.8


class EdgeLoad(Message):
    """An edge's report of what it has running.

    `number` is the version of the loans in force at the edge. `workers` is a JSON object with, for
    each worker's identity: zone, labels, slots, live calls running, everything running, whether it
    may be used, and samples running. `waiting` is the number of live calls that wait at the edge.
    """

    edge: str
    number: int
    workers: str
    waiting: int
    jobs_at_risk: bool


def load_report(edge: str, number: int, roster: Any, carrier: Any, jobs_at_risk: bool) -> EdgeLoad:
    """Return an edge's report, from its roster and from what its carrier is sending."""
    live: dict[int, int] = {}
    for send in carrier.sends():
        if not send.carriage.call.job:
            live[id(send.worker)] = live.get(id(send.worker), 0) + 1
    rows = {
        worker.identity: [
            worker.zone,
            sorted(worker.labels),
            worker.slots,
            live.get(id(worker), 0),
            worker.sending,
            roster.usable(worker) or worker.identity in roster.lent and not worker.leaving,
            worker.borrowed,
        ]
        for worker in roster.all()
        if not roster.silent(worker)
    }
    return EdgeLoad(
        edge=edge,
        number=number,
        workers=json.dumps(rows),
        waiting=carrier.waiting(),
        jobs_at_risk=jobs_at_risk,
    )


class LiveLoad:
    """The latest reports of all edges and the live calls over a window.

    Reports older than `failure_timeout_ms` are dropped; `window_ms` gives the window's length.
    """

    __slots__ = ("_dead_ms", "_reports", "_rows", "_seen", "_since_ms", "_window_ms")

    def __init__(self, failure_timeout_ms: int, window_ms: Callable[[], int]) -> None:
        self._dead_ms, self._window_ms = failure_timeout_ms, window_ms
        self._reports: dict[str, tuple[int, EdgeLoad, dict[str, list]]] = {}
        self._rows: list[tuple[int, dict[str, int], int]] = []
        self._since_ms = -1
        self._seen: dict[str, list] = {}

    def take(self, link: str, message: EdgeLoad, now_ms: int) -> None:
        """Take the report of the edge with this link address."""
        workers = json.loads(message.workers)
        self._reports[link] = (now_ms, message, workers)
        self._seen.update(workers)

    def forget(self) -> None:
        """Drop all reports and the window seen so far."""
        self._reports.clear()
        self._rows.clear()
        self._since_ms = -1

    def note(self, now_ms: int) -> None:
        """Add the present load to the window; called each heartbeat."""
        self._reports = {
            link: row for link, row in self._reports.items() if now_ms - row[0] <= self._dead_ms
        }
        if not self._reports:
            self._since_ms, self._rows = -1, []
            return
        self._since_ms = now_ms if self._since_ms < 0 else self._since_ms
        live: dict[str, int] = {}
        for _, _, workers in self._reports.values():
            for name, row in workers.items():
                live[name] = live.get(name, 0) + row[3]
        self._rows.append(
            (now_ms, live, sum(message.waiting for _, message, _ in self._reports.values()))
        )
        while self._rows[0][0] < now_ms - self._window_ms():
            self._rows.pop(0)

    # -- what it says --------------------------------------------------------------------------

    def reported(self) -> dict[str, tuple[int, dict[str, list]]]:
        """Return by edge link address the version of the loans that it has, and its workers."""
        return {
            link: (message.number, workers) for link, (_, message, workers) in self._reports.items()
        }

    def workers(self) -> dict[str, list]:
        """Return the workers that an edge may use and of which no edge says that it must not."""
        found: dict[str, list] = {}
        for _, _, workers in self._reports.values():
            for name, row in workers.items():
                found[name] = (
                    row if name not in found else [*row[:5], row[5] and found[name][5], *row[6:]]
                )
        return {name: row for name, row in found.items() if row[5]}

    def samples(self, besides: str) -> dict[str, int]:
        """Return by worker how many samples all edges run there, except the edge `besides`."""
        found: dict[str, int] = {}
        for link, (_, _, workers) in self._reports.items():
            for name, row in workers.items() if link != besides else ():
                found[name] = found.get(name, 0) + row[6]
        return found

    def peak(self, worker: str) -> int | None:
        """Return the most live calls running at once at a worker; None while unknown."""
        return max((live.get(worker, 0) for _, live, _ in self._rows), default=None)

    def jobs_at_risk(self) -> bool:
        """Return whether an edge reports that a lot may miss its deadline."""
        return any(message.jobs_at_risk for _, message, _ in self._reports.values())

    def _peers(
        self, worker: str, tree: Any, out: frozenset[str]
    ) -> list[tuple[str, list[str], list[str]]]:
        """List the profiles that a worker serves: name, all workers, and those that stay."""
        known, seen = self.workers(), self._seen.get(worker)
        if seen is None:
            return []
        rows = []
        for name in tree.rows:
            profile = tree.usable(name)
            if profile is not None and profile.allows(worker, frozenset(seen[1])):
                allowed = [
                    other
                    for other, row in known.items()
                    if profile.allows(other, frozenset(row[1]))
                ]
                rows.append(
                    (
                        name,
                        allowed,
                        [other for other in allowed if other not in out and other != worker],
                    )
                )
        return rows

    def why_not(self, worker: str, tree: Any, out: frozenset[str], now_ms: int) -> str:
        """Return why a worker may not be lent beside those that are `out`; empty if it may."""
        known = self.workers()
        if worker not in known:
            return "no edge knows it, or one may not use it"
        if self._since_ms < 0 or now_ms - self._since_ms < self._window_ms():
            return "the live load has not been watched for long enough"
        if self.jobs_at_risk():
            return "a lot may come late"
        for name, allowed, stay in self._peers(worker, tree, out):
            if not any(known[other][0] == known[worker][0] for other in stay):
                return f"it is the last of {name} in its zone"
            peak = max(
                sum(live.get(other, 0) for other in allowed) + waiting
                for _, live, waiting in self._rows
            )
            slots = sum(known[other][2] for other in stay)
            if peak * _MARGIN > slots:
                return f"live calls of {name} needed {peak} places lately, and {slots} would stay"
        return ""

    def why_recall(self, worker: str, tree: Any, out: frozenset[str]) -> str:
        """Return why a worker is needed back now; empty if it isn't."""
        if self.jobs_at_risk():
            return "a lot may come late"
        known = self.workers()
        if not self._rows:
            return ""
        _, live, waiting = self._rows[-1]
        for name, allowed, stay in self._peers(worker, tree, out):
            slots = sum(known[other][2] for other in stay)
            now = sum(live.get(other, 0) for other in allowed) + waiting
            if now > _RECALL_ABOVE * slots:
                return f"live calls of {name} need {now} of the {slots} places that stay"
        return ""
