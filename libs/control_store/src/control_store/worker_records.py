"""The value of the worker list, and the changes that reports make to it.

Each report of a worker has a sequence number; a report older than the listed one changes nothing,
unless it says that the worker has ended. Identities are never reused, so a worker that has ended
stays removed, however late other reports of it arrive. A worker that was removed as silent may
return, unless another identity has joined at its address since.

The maps `ended` and `silent` number their identities in the order in which they were added;
`silent` also holds the addresses. Because these are maps, a change of the worker list is a small
merge patch, regardless of how many identities are remembered.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypeVar

from control_store.worker_messages import WorkerReport, WorkerState

__all__ = [
    "WORKERS_KEY",
    "SilentWorker",
    "WorkerRecord",
    "WorkerRecords",
    "apply_reports",
]

WORKERS_KEY = "workers"
REMEMBERED_IDENTITIES = 256  # lower bound of the limit, which is twice the workers listed

Remembered = TypeVar("Remembered")


class WorkerRecord:
    """A worker on the list; the fields are those of its last report that changed the list."""

    __slots__ = ("address", "label", "models", "seq", "slots", "state", "zone")

    def __init__(
        self,
        address: str,
        zone: str,
        label: str,
        slots: int,
        state: str,
        seq: int,
        models: list[dict[str, Any]],
    ) -> None:
        self.address = address
        self.zone = zone
        self.label = label
        self.slots = slots
        self.state = state
        self.seq = seq
        self.models = models

    @classmethod
    def from_report(cls, report: WorkerReport) -> "WorkerRecord":
        """Return the record for a report of a worker about itself."""
        return cls(
            address=report.address,
            zone=report.zone,
            label=report.label,
            slots=report.slots,
            state=report.state,
            seq=report.seq,
            models=json.loads(report.models),
        )

    @classmethod
    def from_json(cls, row: dict[str, Any]) -> "WorkerRecord":
        """Return the record for a row of a stored list."""
        return cls(**{name: row[name] for name in cls.__slots__})

    def to_json(self) -> dict[str, Any]:
        """Return the record as a row of a stored list."""
        return {name: getattr(self, name) for name in self.__slots__}

    def is_described_by(self, report: WorkerReport) -> bool:
        """Whether a report agrees with this record in all fields other than `seq`."""
        other = WorkerRecord.from_report(report)
        other.seq = self.seq
        return self.to_json() == other.to_json()

    def silence_report(self, identity: str) -> WorkerReport:
        """Return a report of the owner of the list that this worker is silent."""
        return WorkerReport(
            identity=identity,
            address=self.address,
            zone=self.zone,
            label=self.label,
            slots=self.slots,
            state=WorkerState.SILENT.value,
            seq=self.seq,
            models="[]",
        )


class SilentWorker(NamedTuple):
    """A worker that was removed as silent: its number in order of removal, and its address."""

    number: int
    address: str


class WorkerRecords:
    """The worker list by identity, and the identities that ended or were removed as silent."""

    __slots__ = ("ended", "silent", "workers")

    def __init__(
        self,
        workers: dict[str, WorkerRecord] | None = None,
        ended: dict[str, int] | None = None,
        silent: dict[str, SilentWorker] | None = None,
    ) -> None:
        self.workers = workers or {}
        self.ended = ended or {}
        self.silent = silent or {}

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "WorkerRecords":
        """Return the list for a stored value; earlier versions stored none of `silent`."""
        return cls(
            {name: WorkerRecord.from_json(row) for name, row in value["workers"].items()},
            _ended_from_json(value["ended"]),
            {name: SilentWorker(*row) for name, row in value.get("silent", {}).items()},
        )

    def to_json(self) -> dict[str, Any]:
        """Return the list as a JSON value to store."""
        return {
            "workers": {name: record.to_json() for name, record in self.workers.items()},
            "ended": self.ended,
            "silent": {name: list(worker) for name, worker in self.silent.items()},
        }


def apply_reports(
    records: WorkerRecords, reports: Iterable[WorkerReport]
) -> tuple[WorkerRecords, list[str]]:
    """Return a copy of the list with the reports applied, and the identities that changed."""
    draft = _Draft(records)
    for report in reports:
        draft.apply(report)
    return draft.records(), draft.changed


class _Draft:
    """A copy of the worker list to which reports are applied."""

    __slots__ = ("_ended", "_silent", "_workers", "changed")

    def __init__(self, records: WorkerRecords) -> None:
        self._workers = dict(records.workers)
        self._ended = dict(records.ended)
        self._silent = dict(records.silent)
        self.changed: list[str] = []

    def records(self) -> WorkerRecords:
        """Return the list, with the identities that ended or were silent reduced to the latest.

        The limit is twice the number of workers, but at least REMEMBERED_IDENTITIES, for each map.
        """
        limit = max(REMEMBERED_IDENTITIES, 2 * len(self._workers))
        return WorkerRecords(
            self._workers,
            _latest(self._ended, limit, lambda number: number),
            _latest(self._silent, limit, lambda worker: worker.number),
        )

    def apply(self, report: WorkerReport) -> None:
        """Apply a report, unless it is older than the record or its identity has ended.

        An unlisted worker that reports that it is draining counts as ended.
        """
        identity, record = report.identity, self._workers.get(report.identity)
        if identity in self._ended:
            return
        if report.state == WorkerState.GONE or (
            record is None and report.state == WorkerState.DRAINING
        ):
            self._end(identity)
        elif report.state == WorkerState.SILENT:
            if record is not None and record.seq <= report.seq:
                self._remove_silent(identity, record)
        elif record is None or (report.seq > record.seq and not record.is_described_by(report)):
            self._join(report)

    def _join(self, report: WorkerReport) -> None:
        """Add or update a worker; other identities at its address are recorded as ended."""
        addresses = {
            **{other: worker.address for other, worker in self._silent.items()},
            **{other: record.address for other, record in self._workers.items()},
        }
        for other, address in addresses.items():
            if address == report.address and other != report.identity:
                self._end(other)
        self._silent.pop(report.identity, None)
        self._workers[report.identity] = WorkerRecord.from_report(report)
        self.changed.append(report.identity)

    def _end(self, identity: str) -> None:
        self._workers.pop(identity, None)
        self._silent.pop(identity, None)
        self._ended[identity] = max(self._ended.values(), default=0) + 1
        self.changed.append(identity)

    def _remove_silent(self, identity: str, record: WorkerRecord) -> None:
        """Remove a silent worker; it may return, unless it was draining and so counts as ended."""
        if record.state == WorkerState.DRAINING:
            self._end(identity)
            return
        del self._workers[identity]
        number = max((worker.number for worker in self._silent.values()), default=0) + 1
        self._silent[identity] = SilentWorker(number, record.address)
        self.changed.append(identity)


def _ended_from_json(ended: dict[str, int] | list[str]) -> dict[str, int]:
    """Return ended identities with their numbers; earlier versions stored an ordered list."""
    if isinstance(ended, dict):
        return dict(ended)
    return {identity: number for number, identity in enumerate(ended, 1)}


def _latest(
    remembered: dict[str, Remembered], limit: int, number: Callable[[Remembered], int]
) -> dict[str, Remembered]:
    """Return the entries with the highest numbers, at most `limit`."""
    if len(remembered) <= limit:
        return remembered
    return dict(sorted(remembered.items(), key=lambda item: number(item[1]))[-limit:])
