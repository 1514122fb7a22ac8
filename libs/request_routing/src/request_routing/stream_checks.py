"""Checks that a worker's answer is complete and all of one run.

A body has to have the announced length and be a JSON object. A stream's events are numbered from 0,
all have one id, and end with the explicit end mark. Anything else is cut off, and a cut-off stream
is never ended cleanly.
"""

import json
from typing import Any

__all__ = ["StreamCheck", "check_body"]

END = "[DONE]"


def check_body(data: bytes, announced_bytes: int | None) -> str:
    """Return what is wrong with a body, or an empty string; `announced_bytes` is its length."""
    if announced_bytes is None or announced_bytes != len(data):
        return "length"
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return "json"
    return "" if isinstance(value, dict) else "json"


class StreamCheck:
    """Splits a stream into server-sent events, and says which may be delivered."""

    __slots__ = ("_buffer", "_next", "_run", "ended", "fault")

    def __init__(self) -> None:
        self._buffer = b""
        self._next = 0
        self._run = ""
        self.ended = False
        self.fault = ""

    def feed(self, data: bytes) -> list[bytes]:
        """Take a chunk and return the events now complete and in order; after a fault, none."""
        self._buffer += data
        good: list[bytes] = []
        while not self.fault and (at := self._buffer.find(b"\n\n")) >= 0:
            event, self._buffer = self._buffer[: at + 2], self._buffer[at + 2 :]
            if self._check(event):
                good.append(event)
        return good

    def _check(self, event: bytes) -> bool:
        fields: dict[str, str] = {}
        for line in event.decode(errors="replace").splitlines():
            name, colon, value = line.partition(":")
            if colon and name:
                fields[name] = value.removeprefix(" ")
        if not fields:
            return False
        if self.ended:
            self.fault = "after the end"
        elif fields.get("data") == END:
            self.ended = True
        elif fields.get("id") != str(self._next):
            self.fault = f"event {fields.get('id')} where {self._next} was due"
        else:
            self._next += 1
            self._same_run(fields.get("data", ""))
        return not self.fault

    def _same_run(self, data: str) -> None:
        try:
            value: Any = json.loads(data)
            run = str(value["id"])
        except (ValueError, KeyError, TypeError):
            self.fault = "an event without an id"
            return
        if self._run and run != self._run:
            self.fault = "another run"
        self._run = run

    def close(self) -> str:
        """Take the end of the worker's side; return what is wrong, or an empty string."""
        if not self.fault and (not self.ended or self._buffer.strip()):
            self.fault = "cut"
        return self.fault
