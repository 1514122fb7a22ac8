"""Collects the log lines of one request, job, key, change, worker, loan or epoch.

The JSON logs of many processes are merged in the order of time.
"""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

__all__ = ["KINDS", "trace"]

# Processes of earlier versions log `lot`, `lots` and `transaction`.
_REQUEST_FIELDS = ("request", "transaction")
_JOB_FIELDS = ("job", "jobs", "lot", "lots", *_REQUEST_FIELDS)

KINDS = {
    "transaction": _REQUEST_FIELDS,
    "key": ("key",),
    "job": _JOB_FIELDS,
    "lot": _JOB_FIELDS,
    "change": ("change",),
    "worker": ("worker", "by"),
    "loan": ("worker",),
    "epoch": ("epoch",),
}
"""The log fields that may have the identifier of a thing, by kind."""

_LOAN_EVENTS = ("loan-changed", "loan-overdue", "worker-withheld", "worker-serves-again")


def _contains_name(kind: str, field: str, value: str, name: str) -> bool:
    """Whether the name is a part of the value: an incarnation of a worker, a request of a job."""
    if kind == "worker":
        return value.startswith(f"{name}/")
    return kind in ("job", "lot") and field in _REQUEST_FIELDS and f"-{name}-" in value


def _matches(row: dict[str, Any], kind: str, name: str) -> bool:
    if kind == "loan" and row.get("event") not in _LOAN_EVENTS:
        return False
    for field in KINDS[kind]:
        value = row.get(field)
        if value is None:
            continue
        if isinstance(value, list):
            if name in value:
                return True
        elif str(value) == name or _contains_name(kind, field, str(value), name):
            return True
    return False


def trace(kind: str, name: str, paths: Iterable[Path]) -> tuple[list[dict[str, Any]], int]:
    """Return the rows with the identifier in the order of time, and the number of unreadable lines.

    `kind` is one of KINDS. Each row gets the name of its file as `file`. A line counts as
    unreadable if it has the name or begins a JSON object, and is not valid JSON.
    """
    found, unreadable = [], 0
    for path in paths:
        for line in path.read_text(errors="replace").splitlines():
            if name not in line and not line.startswith("{"):
                continue
            try:
                row = json.loads(line)
            except ValueError:
                unreadable += 1
                continue
            if isinstance(row, dict) and _matches(row, kind, name):
                found.append({**row, "file": path.name})
    return sorted(found, key=lambda row: row.get("at", "")), unreadable
