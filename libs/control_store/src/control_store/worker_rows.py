"""The list of workers as a value, and how reports of workers change it.

Each report of a worker carries a sequence number, and an older report changes nothing. An identity
is never reused, so one that has ended stays removed, however late its other reports arrive. One
that fell silent may come back, unless another identity has joined at its address since.

`ended` and `silent` map identities to a number that rises with each (`silent` to an address as
well), so that a change of the list is a small merge patch however much is remembered.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any

from messaging import Message

__all__ = ["WORKERS_KEY", "WorkerReport", "apply_reports", "empty_list", "same_row"]

WORKERS_KEY = "workers"
_REMEMBERED = 256
_COMPARED = ("address", "zone", "label", "slots", "state", "models")


class WorkerReport(Message):
    """A report about one worker.

    `state` is "serving", "draining" or "gone" (reported by the worker), or "silent" (reported by
    the key's owner). `slots` is how many requests it runs at once, `seq` the report's sequence
    number, and `models` a JSON list of the models that it has loaded.
    """

    identity: str
    address: str
    zone: str
    label: str
    slots: int
    state: str
    seq: int
    models: str


def empty_list() -> dict[str, Any]:
    """Return the value of the list before any worker has joined."""
    return {"workers": {}, "ended": {}, "silent": {}}


def _row(report: WorkerReport) -> dict[str, Any]:
    return {
        "address": report.address,
        "zone": report.zone,
        "label": report.label,
        "slots": report.slots,
        "state": report.state,
        "seq": report.seq,
        "models": json.loads(report.models),
    }


def same_row(row: dict[str, Any], report: WorkerReport) -> bool:
    """Whether a report describes a worker just as the list already does."""
    fresh = _row(report)
    return all(row.get(key) == fresh[key] for key in _COMPARED)


def apply_reports(
    value: dict[str, Any], reports: Iterable[WorkerReport]
) -> tuple[dict[str, Any], list[str]]:
    """Return the list with these reports applied, and the identities for which it differs."""
    draft = _Draft(value)
    for report in reports:
        draft.take(report)
    return draft.value(), draft.changed


class _Draft:
    """A list of workers while reports are applied to it."""

    __slots__ = ("_ended", "_silent", "_workers", "changed")

    def __init__(self, value: dict[str, Any]) -> None:
        self._workers: dict[str, dict[str, Any]] = dict(value["workers"])
        self._ended: dict[str, int] = _numbered(value["ended"])
        self._silent: dict[str, list[Any]] = dict(value.get("silent", {}))
        self.changed: list[str] = []

    def value(self) -> dict[str, Any]:
        """Return the list; remembered identities are bounded by twice the number of workers."""
        most = max(_REMEMBERED, 2 * len(self._workers))
        return {
            "workers": self._workers,
            "ended": _latest(self._ended, most, lambda number: number),
            "silent": _latest(self._silent, most, lambda row: row[0]),
        }

    def take(self, report: WorkerReport) -> None:
        """Apply one report."""
        name, row = report.identity, self._workers.get(report.identity)
        if name in self._ended:
            return
        if report.state == "gone" or (row is None and report.state == "draining"):
            self._end(name)
        elif report.state == "silent":
            if row is not None and row["seq"] <= report.seq:
                self._take_off(name, row)
        elif row is None or (report.seq > row["seq"] and not same_row(row, report)):
            self._join(report)

    def _join(self, report: WorkerReport) -> None:
        name = report.identity
        addresses = {
            **{other: at for other, (_, at) in self._silent.items()},
            **{other: row["address"] for other, row in self._workers.items()},
        }
        for other, address in addresses.items():
            if address == report.address and other != name:
                self._end(other)
        self._silent.pop(name, None)
        self._workers[name] = _row(report)
        self.changed.append(name)

    def _end(self, name: str) -> None:
        self._workers.pop(name, None)
        self._silent.pop(name, None)
        self._ended[name] = max(self._ended.values(), default=0) + 1
        self.changed.append(name)

    def _take_off(self, name: str, row: dict[str, Any]) -> None:
        """Remove a silent worker; it may come back unless it had begun to drain."""
        if row["state"] == "draining":
            self._end(name)
            return
        del self._workers[name]
        number = max((held for held, _ in self._silent.values()), default=0) + 1
        self._silent[name] = [number, row["address"]]
        self.changed.append(name)


def _numbered(ended: dict[str, int] | list[str]) -> dict[str, int]:
    """Return the ended identities with numbers; lists of an earlier version only ordered them."""
    if isinstance(ended, dict):
        return dict(ended)
    return {name: number for number, name in enumerate(ended, 1)}


def _latest(rows: dict[str, Any], most: int, number: Callable[[Any], int]) -> dict[str, Any]:
    if len(rows) <= most:
        return rows
    return dict(sorted(rows.items(), key=lambda item: number(item[1]))[-most:])
