"""The list of workers as a value, and what one report of a worker makes of it. Reports carry a count that
rises with each: an older one changes nothing. An identity is never used again, so one that has ended stays
out, however late its other reports come.
"""

import json
from collections.abc import Iterable
from typing import Any

from vellum import Long, Message, Text

__all__ = ["WORKERS_KEY", "WorkerReport", "apply_reports", "empty_list", "same_row"]

WORKERS_KEY = "workers"
_REMEMBERED = 256
_COMPARED = ("address", "zone", "label", "slots", "state", "models")


class WorkerReport(Message):
    """`state` is serving, draining, gone (its own word), or silent (the key owner's)."""

    identity: Text
    address: Text
    zone: Text
    label: Text
    slots: Long
    state: Text
    seq: Long
    models: Text


def empty_list() -> dict[str, Any]:
    return {"workers": {}, "ended": []}


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
    fresh = _row(report)
    return all(row.get(key) == fresh[key] for key in _COMPARED)


def apply_reports(
    value: dict[str, Any], reports: Iterable[WorkerReport]
) -> tuple[dict[str, Any], list[str]]:
    """The list with these reports taken in, and the identities for which it differs from before."""
    workers, ended = dict(value["workers"]), list(value["ended"])
    changed: list[str] = []

    def end(identity: str) -> None:
        workers.pop(identity, None)
        ended.append(identity)
        changed.append(identity)

    for report in reports:
        name, row = report.identity, workers.get(report.identity)
        if name in ended:
            continue
        if report.state == "gone" or (row is None and report.state == "draining"):
            end(name)
        elif report.state == "silent":
            if row is not None and row["seq"] <= report.seq:
                _take_off(workers, ended, name)
                changed.append(name)
        elif row is None or (report.seq > row["seq"] and not same_row(row, report)):
            for other in [
                other
                for other, held in workers.items()
                if held["address"] == report.address and other != name
            ]:
                end(other)
            workers[name] = _row(report)
            changed.append(name)
    return {"workers": workers, "ended": ended[-_REMEMBERED:]}, changed


def _take_off(workers: dict[str, Any], ended: list[str], name: str) -> None:
    """Silent ones may come back, unless they had said that they leave."""
    if workers.pop(name)["state"] == "draining":
        ended.append(name)
