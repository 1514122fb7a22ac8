"""Checks that the event ids of a forwarded stream are consecutive."""

import re

__all__ = ["EventCheck"]

_BLANK_LINE = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?(\d{1,18})[\r\n]")


class EventCheck:
    """Splits a stream of server-sent events, and checks that their ids are consecutive.

    Events without an id pass. If one of them has data, the stream can't be continued at another
    worker.

    Parameters
    ----------
    last_event_id
        Id of the last event of the earlier attempts, which the first id has to follow; None if any
        first id is right.
    limit_bytes
        Maximum size of an incomplete event.

    Attributes
    ----------
    last_event_id
        Id of the last event that passed, or None.
    unnumbered
        Whether an event with data had no id.
    fault
        What is wrong with the stream, or an empty string.
    """

    __slots__ = ("_buffer", "_limit_bytes", "fault", "last_event_id", "unnumbered")

    def __init__(self, last_event_id: int | None, limit_bytes: int) -> None:
        self._buffer = b""
        self._limit_bytes = limit_bytes
        self.last_event_id = last_event_id
        self.unnumbered = False
        self.fault = ""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add a chunk, and return the events that it completes, up to the first fault."""
        buffer = self._buffer + chunk if self._buffer else chunk
        events: list[bytes] = []
        start = 0
        while not self.fault and (blank_line := _BLANK_LINE.search(buffer, start)) is not None:
            event, start = buffer[start : blank_line.end()], blank_line.end()
            if self._check(event):
                events.append(event)
        self._buffer = buffer[start:] if start else buffer
        if len(self._buffer) > self._limit_bytes:
            self.fault = "too large"
        return events

    def _check(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
        if found is None:
            self.unnumbered = self.unnumbered or b"data" in event
            return True
        number = int(found[1])
        if self.last_event_id is not None and number != self.last_event_id + 1:
            self.fault = f"event {number} after {self.last_event_id}"
            return False
        self.last_event_id = number
        return True

    def close(self) -> str:
        """Handle the end of the stream, and return its fault, or an empty string."""
        return self.fault or ("cut in an event" if self._buffer.strip() else "")
