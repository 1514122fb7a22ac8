"""Log lines in JSON, written with loguru to standard error.

Each line is one object with the time, the level, the event's name and the identifiers by which a
transaction, a batch or a change can be followed through the logs of a fleet.
"""

import json
import sys
from typing import Any

from loguru import logger

__all__ = ["log", "set_up_logs"]

_NODE: dict[str, Any] = {}


def _sink(message: Any) -> None:
    record = message.record
    row = {
        "at": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["message"],
    }
    row.update(_NODE)
    row.update(record["extra"])
    if record["exception"] is not None:
        row["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(row, default=str) + "\n")


def set_up_logs(level: str = "INFO", **node: Any) -> None:
    """Replace all log sinks by one on standard error.

    `level` is the lowest level that is written; the fields of `node` go into every line.
    """
    logger.remove()
    _NODE.clear()
    _NODE.update(node)
    logger.add(_sink, level=level, format="{message}")


def log(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one line for `event` at `level`, with `fields` as further members of the object."""
    logger.bind(**fields).log(level, event)
