"""Checks that a completion's response is complete and comes from one run of the request.

A body has to have the announced length and be a JSON object. The events of a stream have the ids 0,
1, 2 and so on; the `id` in their data is that of the run, the same in all; an end mark follows the
last one. An event that breaks these rules is not delivered, and neither is any after it; the
attempt then fails, so that the client's stream never ends as if it were complete.
"""

import json
from typing import Any

__all__ = ["StreamCheck", "check_body"]

END_MARK = "[DONE]"


def check_body(data: bytes, announced_bytes: int | None) -> str:
    """Return the fault of a body, or an empty string; without an announced length it has one."""
    if announced_bytes is None or announced_bytes != len(data):
        return "length"
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return "json"
    return "" if isinstance(value, dict) else "json"


class StreamCheck:
    """Splits a stream into server-sent events, and checks their ids and the end mark.

    Attributes
    ----------
    ended
        Whether the end mark has come.
    fault
        What is wrong with the stream, or an empty string.
    """

    __slots__ = ("_buffer", "_next_event_id", "_run_id", "ended", "fault")

    def __init__(self) -> None:
        self._buffer = b""
        self._next_event_id = 0
        self._run_id = ""
        self.ended = False
        self.fault = ""

    def feed(self, data: bytes) -> list[bytes]:
        """Add a chunk, and return the events that it completes, up to the first fault.

        The event of the end mark is included.
        """
        self._buffer += data
        events: list[bytes] = []
        while not self.fault and (at := self._buffer.find(b"\n\n")) >= 0:
            event, self._buffer = self._buffer[: at + 2], self._buffer[at + 2 :]
            if self._check(event):
                events.append(event)
        return events

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
        elif fields.get("data") == END_MARK:
            self.ended = True
        elif fields.get("id") != str(self._next_event_id):
            self.fault = f"event {fields.get('id')} where {self._next_event_id} was due"
        else:
            self._next_event_id += 1
            self._check_run_id(fields.get("data", ""))
        return not self.fault

    def _check_run_id(self, data: str) -> None:
        try:
            value: Any = json.loads(data)
            run_id = str(value["id"])
        except (ValueError, KeyError, TypeError):
            self.fault = "an event without an id"
            return
        if self._run_id and run_id != self._run_id:
            self.fault = "another run"
        self._run_id = run_id

    def close(self) -> str:
        """Handle the end of the response, and return its fault, or an empty string."""
        if not self.fault and (not self.ended or self._buffer.strip()):
            self.fault = "cut"
        return self.fault
