"""Log lines in JSON, written with loguru to standard error.

Each line is one object with the time, the level, the event's name and the identifiers with which a
request, a batch job or a change can be traced through the logs of a fleet.
"""

import json
import sys
from typing import Any

from loguru import logger

__all__ = ["log", "set_up_logs"]

_NODE_FIELDS: dict[str, Any] = {}


def _write_json(message: Any) -> None:
    """Write a loguru record as one line; its fields override node fields of the same name."""
    record = message.record
    line = {
        "at": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["message"],
    }
    line.update(_NODE_FIELDS)
    line.update(record["extra"])
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(line, default=str) + "\n")


def set_up_logs(level: str = "INFO", **node: Any) -> None:
    """Replace all log sinks by one on standard error.

    `level` is the lowest level that is written; the fields of `node` are added to every line.
    """
    logger.remove()
    _NODE_FIELDS.clear()
    _NODE_FIELDS.update(node)
    logger.add(_write_json, level=level, format="{message}")


def log(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one line for `event` at `level`, with `fields` as further members of its object."""
    logger.bind(**fields).log(level, event)
