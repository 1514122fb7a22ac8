"""Follows one thing through the JSON logs of many processes.

It finds every line with the identifier, in the order of time. Lines that can't be read are counted.
"""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

__all__ = ["KINDS", "trace"]

# Processes of earlier versions log `lot`, `lots` and `transaction`.
_OF_REQUESTS = ("request", "transaction")
_OF_JOBS = ("job", "jobs", "lot", "lots", *_OF_REQUESTS)

KINDS = {
    "transaction": _OF_REQUESTS,
    "key": ("key",),
    "job": _OF_JOBS,
    "lot": _OF_JOBS,
    "change": ("change",),
    "worker": ("worker", "by"),
    "loan": ("worker",),
    "epoch": ("epoch",),
}


_OF_LOANS = ("loan-changed", "loan-overdue", "worker-withheld", "worker-serves-again")


def _names_part(kind: str, field: str, value: str, name: str) -> bool:
    """Whether a value has the name as a part: a worker's incarnation, or an item's request."""
    if kind == "worker":
        return value.startswith(f"{name}/")
    return kind in ("job", "lot") and field in _OF_REQUESTS and f"-{name}-" in value


def _has(row: dict[str, Any], kind: str, name: str) -> bool:
    if kind == "loan" and row.get("event") not in _OF_LOANS:
        return False
    for field in KINDS[kind]:
        value = row.get(field)
        if value is None:
            continue
        if isinstance(value, list):
            if name in value:
                return True
        elif str(value) == name or _names_part(kind, field, str(value), name):
            return True
    return False


def trace(kind: str, name: str, paths: Iterable[Path]) -> tuple[list[dict[str, Any]], int]:
    """Return the rows that have the identifier, by time, and how many lines could not be read.

    `kind` is one of KINDS; each row gets its file's name.
    """
    found, unread = [], 0
    for path in paths:
        for line in path.read_text(errors="replace").splitlines():
            if name not in line and not line.startswith("{"):
                continue
            try:
                row = json.loads(line)
            except ValueError:
                unread += 1
                continue
            if isinstance(row, dict) and _has(row, kind, name):
                found.append({**row, "file": path.name})
    return sorted(found, key=lambda row: row.get("at", "")), unread
