"""Export of usage from edges' JSON logs to Parquet or CSV.

Each request and each batch item that finished is exported once; an item that ran again after a
fault is counted by its first end. Lines that cannot be read are counted. Writing needs pyarrow,
which is an optional extra.
"""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

__all__ = ["FIELDS", "export_usage", "usage_rows"]

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


def _row(logged: dict[str, Any]) -> dict[str, Any]:
    # Edges of an earlier version call the field `lot`.
    job = logged.get("job", logged.get("lot", ""))
    item = logged.get("index", -1)
    sends = logged.get("sends", [])
    return {
        "ended_at": logged["at"],
        "edge": logged["node"],
        "kind": "item" if job else "live",
        "path": logged["path"],
        "transaction": logged["transaction"],
        "key": logged["key"],
        "lot": job,
        "item": item,
        "worker": sends[-1][0] if sends else "",
        "sends": len(sends),
        "took_ms": logged["took_ms"],
        "bytes": logged.get("bytes", 0),
    }


def usage_rows(paths: Iterable[Path]) -> tuple[list[dict[str, Any]], int]:
    """Return the rows of all finished requests and items, and how many lines were unreadable.

    Rows are in the order of `ended_at`. Raises OSError if a log cannot be read.
    """
    found: dict[Any, dict[str, Any]] = {}
    unread = 0
    for path in paths:
        for line in path.read_text(errors="replace").splitlines():
            if not line.strip():
                continue
            try:
                logged = json.loads(line)
                if (
                    logged.get("event") != "transaction-ended"
                    or logged["state"] != "done"
                    or logged["replayed"]
                ):
                    continue
                row = _row(logged)
            except (ValueError, KeyError, TypeError, AttributeError):
                unread += 1
                continue
            name = (row["lot"], row["item"]) if row["lot"] else row["transaction"]
            if name not in found or row["ended_at"] < found[name]["ended_at"]:
                found[name] = row
    return sorted(found.values(), key=lambda row: (row["ended_at"], row["transaction"])), unread


def export_usage(paths: Iterable[Path], out: Path, form: str) -> tuple[int, int]:
    """Write the usage to `out` as "parquet" or "csv".

    Returns how many rows were written, and how many lines could not be read.

    Raises
    ------
    ModuleNotFoundError: pyarrow is not installed.
    OSError: a log cannot be read, or the file cannot be written.
    """
    import pyarrow
    from pyarrow import csv, parquet

    rows, unread = usage_rows(paths)
    schema = pyarrow.schema([(name, getattr(pyarrow, kind)()) for name, kind in FIELDS])
    table = pyarrow.Table.from_pylist(rows, schema=schema)
    if form == "parquet":
        parquet.write_table(table, out)
    else:
        csv.write_csv(table, out)
    return len(rows), unread
