"""Reads a recording, and reports what is wrong in it by line."""

import json
import zlib
from pathlib import Path
from typing import Any

from data_plane.recorder import FORMAT, CallKind, LineKind

__all__ = ["Recording", "load_recording"]

_REQUIRED_FIELDS: dict[str, tuple[str, ...]] = {
    CallKind.LIVE: ("path", "stream", "prompts", "status"),
    CallKind.SUBMIT: ("path", "lot", "prompts", "status"),
    CallKind.READ: ("lot", "status"),
    CallKind.CANCEL: ("lot", "status"),
}
_KNOWN_KINDS = (*_REQUIRED_FIELDS, LineKind.FIRST, LineKind.LAST)


class Recording:
    """What was read from one file.

    `calls` are the intact calls in the order of their lines. `problems` are texts of the form
    FILE:LINE: PROBLEM, or FILE: PROBLEM if the file can't be read; a complete recording has none.
    """

    __slots__ = ("calls", "problems")

    def __init__(self) -> None:
        self.calls: list[dict[str, Any]] = []
        self.problems: list[str] = []


def _row_problem(row: Any, line_number: int) -> str:
    """Return what is wrong with a line, without regard to other lines; empty if nothing is."""
    if not isinstance(row, dict) or "sum" not in row:
        return "not a JSON object with a checksum"
    rest = {key: value for key, value in row.items() if key != "sum"}
    if zlib.crc32(json.dumps(rest, sort_keys=True).encode()) != row["sum"]:
        return "checksum mismatch"
    kind = str(row.get("kind"))
    if (line_number == 1) != (kind == LineKind.FIRST):
        return "the first line, and no other, must be of kind 'begin'"
    if line_number == 1 and row.get("format") != FORMAT:
        return f"format {row.get('format')!r}, expected {FORMAT!r}"
    missing = [name for name in _REQUIRED_FIELDS.get(kind, ()) if name not in row]
    if missing:
        return f"missing fields: {', '.join(missing)}"
    return "" if kind in _KNOWN_KINDS else f"unknown kind {row['kind']!r}"


def load_recording(path: Path) -> Recording:
    """Read one file; if it can't be opened, that is its only problem."""
    recording = Recording()
    try:
        lines = path.read_text(errors="replace").splitlines()
    except OSError as error:
        recording.problems.append(f"{path}: {error}")
        return recording
    ended = False
    for line_number, line in enumerate(lines, 1):
        place = f"{path}:{line_number}"
        try:
            row = json.loads(line)
        except ValueError:
            recording.problems.append(f"{place}: not JSON")
            continue
        if ended:
            recording.problems.append(f"{place}: follows the last line of the recording")
        elif problem := _row_problem(row, line_number):
            recording.problems.append(f"{place}: {problem}")
        elif row["kind"] == LineKind.LAST:
            ended = True
            if row["rows"] != len(recording.calls):
                recording.problems.append(
                    f"{place}: counts {row['rows']} calls, but the file has {len(recording.calls)}"
                )
        elif row["kind"] != LineKind.FIRST:
            recording.calls.append(row)
    if not ended and not recording.problems:
        recording.problems.append(f"{path}:{len(lines) + 1}: truncated, the last line is missing")
    return recording
