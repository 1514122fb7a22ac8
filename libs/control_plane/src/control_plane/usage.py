"""Export of usage from the JSON logs of edges to Parquet or CSV.

Each request and each batch item that finished is exported once. For an item that ran again after a
fault, the first end is exported. Log lines that cannot be parsed are counted. Writing needs
pyarrow, which is an optional extra.

The names of the exported columns are a public interface (docs/operators.md). Log lines of earlier
versions are read as well; `_FIELD_NAMES` has the names of a field in all versions.
"""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Literal, NamedTuple

__all__ = ["FIELDS", "ExportCounts", "Usage", "export_usage", "read_usage"]

FIELDS = (
    ("ended_at", "string"),
    ("edge", "string"),
    ("kind", "string"),
    ("path", "string"),
    ("transaction", "string"),
    ("key", "string"),
    ("lot", "string"),
    ("item", "int32"),
    ("worker", "string"),
    ("sends", "int32"),
    ("took_ms", "int64"),
    ("bytes", "int64"),
)
"""The exported columns and their Arrow types."""

UsageRow = dict[str, Any]

_REQUEST_ENDED_EVENTS = ("request-ended", "transaction-ended")
_FIELD_NAMES = {
    "request": ("request", "transaction"),
    "job": ("job", "lot"),
    "attempts": ("attempts", "sends"),
    "route": ("route", "path"),
}
_FINISHED = "done"


class Usage(NamedTuple):
    """The rows in the order of `ended_at`, and the number of log lines that were unreadable."""

    rows: list[UsageRow]
    unreadable: int


class ExportCounts(NamedTuple):
    """The number of rows written, and the number of log lines that were unreadable."""

    written: int
    unreadable: int


def read_usage(paths: Iterable[Path]) -> Usage:
    """Return the usage recorded in log files, with one row per finished request or item.

    Raises OSError if a log file cannot be read.
    """
    first_rows: dict[Any, UsageRow] = {}
    unreadable = 0
    for line in _lines(paths):
        try:
            row = _row_of(json.loads(line))
        except (ValueError, KeyError, TypeError, AttributeError):
            unreadable += 1
            continue
        if row is None:
            continue
        subject = (row["lot"], row["item"]) if row["lot"] else row["transaction"]
        if subject not in first_rows or row["ended_at"] < first_rows[subject]["ended_at"]:
            first_rows[subject] = row
    rows = sorted(first_rows.values(), key=lambda row: (row["ended_at"], row["transaction"]))
    return Usage(rows, unreadable)


def export_usage(
    paths: Iterable[Path], out: Path, file_format: Literal["parquet", "csv"]
) -> ExportCounts:
    """Read log files and write the usage to the file `out`.

    Raises
    ------
    ModuleNotFoundError
        pyarrow is not installed.
    OSError
        A log file cannot be read, or `out` cannot be written.
    """
    import pyarrow
    from pyarrow import csv, parquet

    usage = read_usage(paths)
    schema = pyarrow.schema([(name, getattr(pyarrow, kind)()) for name, kind in FIELDS])
    table = pyarrow.Table.from_pylist(usage.rows, schema=schema)
    if file_format == "parquet":
        parquet.write_table(table, out)
    else:
        csv.write_csv(table, out)
    return ExportCounts(len(usage.rows), usage.unreadable)


def _lines(paths: Iterable[Path]) -> Iterator[str]:
    for path in paths:
        for line in path.read_text(errors="replace").splitlines():
            if line.strip():
                yield line


def _row_of(logged: dict[str, Any]) -> UsageRow | None:
    """Return the row of a log line; None unless a request finished here and was not replayed."""
    if (
        logged.get("event") not in _REQUEST_ENDED_EVENTS
        or logged["state"] != _FINISHED
        or logged["replayed"]
    ):
        return None
    job = _field(logged, "job", "")
    attempts = _field(logged, "attempts", [])
    return {
        "ended_at": logged["at"],
        "edge": logged["node"],
        "kind": "item" if job else "live",
        "path": _field(logged, "route"),
        "transaction": _field(logged, "request"),
        "key": logged["key"],
        "lot": job,
        "item": logged.get("index", -1),
        "worker": attempts[-1][0] if attempts else "",
        "sends": len(attempts),
        "took_ms": logged["took_ms"],
        "bytes": logged.get("bytes", 0),
    }


def _field(logged: dict[str, Any], field: str, default: Any = None) -> Any:
    """Return a field of a log line by its present or an earlier name, or else `default`.

    Raises KeyError if the field is missing and `default` is None.
    """
    for name in _FIELD_NAMES[field]:
        if name in logged:
            return logged[name]
    if default is None:
        raise KeyError(field)
    return default
