"""Judges one attempt of a forwarded request as the worker's answer comes back.

An answer counts only with the request's id; a success only with the worker's stamp, unencoded and
complete by the length or chunks that its framing announced. That a request has not run is known
only from the worker's own word or a connection never made.
"""

import re
from collections.abc import Iterable

from request_routing.calls import WorkerHeaderNames, end_to_end
from request_routing.worker_exchange import AttemptOutcome

__all__ = ["NO_CONNECTION", "EventCheck", "ForwardExchange"]

NO_CONNECTION = "no connection"
_MISDIRECTED = 421
_PROMISES = (408, 429, 503)
_BODILESS = (204, 304)
_BLANK = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?(\d{1,18})[\r\n]")


class EventCheck:
    """Splits a stream into complete events, and checks that their ids go up by one.

    The first id has to follow the last one of the attempt before. Events without an id are let
    through, but then the stream can't be continued at another worker.
    """

    __slots__ = ("_buffer", "_limit_bytes", "fault", "last_event_id", "unnumbered")

    def __init__(self, last_event_id: int | None, limit_bytes: int) -> None:
        self._buffer = b""
        self._limit_bytes = limit_bytes
        self.last_event_id = last_event_id
        self.unnumbered = False
        self.fault = ""

    def feed(self, data: bytes) -> list[bytes]:
        """Take a chunk and return the events now complete; after a fault, none."""
        buffer = self._buffer + data if self._buffer else data
        events, start = [], 0
        while not self.fault and (blank := _BLANK.search(buffer, start)) is not None:
            event, start = buffer[start : blank.end()], blank.end()
            if self._check(event):
                events.append(event)
        self._buffer = buffer[start:] if start else buffer
        if len(self._buffer) > self._limit_bytes:
            self.fault = "too large"
        return events

    def _check(self, event: bytes) -> bool:
        found = _ID.search(event)
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
        """Take the end of the stream; return what is wrong, or an empty string."""
        return self.fault or ("cut in an event" if self._buffer.strip() else "")


class ForwardExchange:
    """The answer to one attempt of a forwarded request.

    `good` says that the head is that of a success for this very request; `streams` that its events
    are delivered as they come, too. An answer without the request's id promises nothing, not even
    as the first on its connection: it may have been written before the request was read.
    """

    __slots__ = (
        "_announced_bytes",
        "_check",
        "_data",
        "_dialect",
        "_headers",
        "_limit_bytes",
        "_method",
        "_request_id",
        "_seen",
        "_size_bytes",
        "_status",
        "_stream",
        "_whole_bytes",
        "_worker",
        "good",
        "streams",
    )

    def __init__(
        self,
        dialect: WorkerHeaderNames,
        worker: str,
        request_id: str,
        method: str,
        stream: bool,
        limit_bytes: int,
        last_event_id: int | None = None,
    ) -> None:
        self._dialect, self._worker, self._request_id, self._method = (
            dialect,
            worker,
            request_id,
            method,
        )
        self._stream, self._limit_bytes = stream, limit_bytes
        self._check = EventCheck(last_event_id, limit_bytes)
        self._data = bytearray()
        self._headers: list[tuple[str, str]] = []
        self._seen: dict[str, list[str]] = {}
        self._status = 0
        self._size_bytes = 0
        self._announced_bytes: int | None = None
        self._whole_bytes: int | None = -1
        self.good = self.streams = False

    # -- the head ------------------------------------------------------------------------------

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        """Take the answer's head; `length` is the announced length in bytes, or None.

        `_whole_bytes` becomes the length announced, None for chunks, and -1 if nothing tells the
        end.
        """
        self._headers = list(headers)
        self._seen = {}
        for name, value in self._headers:
            self._seen.setdefault(name.lower(), []).append(value.strip())
        self._status, self._announced_bytes = status, length
        if self._method == "HEAD" or status in _BODILESS:
            self._whole_bytes = 0
        elif self._one("transfer-encoding").lower() == "chunked":
            self._whole_bytes = None
        else:
            self._whole_bytes = -1 if length is None else length
        self.good = (
            200 <= status < 300
            and self._matches
            and bool(self._one(self._dialect.stamp))
            and self._unencoded
        )
        self.streams = (
            self._stream
            and self.good
            and self._one("content-type").lower().startswith("text/event-stream")
        )

    def _one(self, name: str) -> str:
        values = self._seen.get(name.lower(), [])
        return values[0] if len(values) == 1 else ""

    @property
    def _matches(self) -> bool:
        return self._seen.get(self._dialect.request_id.lower()) == [self._request_id]

    @property
    def _unencoded(self) -> bool:
        return all(
            value.lower() in ("", "identity") for value in self._seen.get("content-encoding", [])
        )

    @property
    def trusted(self) -> bool:
        """Whether nothing odd came: the connection may be reused once the answer is complete."""
        return self._matches

    @property
    def load(self) -> tuple[int, int, int] | None:
        """The load reported in a header: running, waiting, slots; None without a valid one."""
        try:
            running, waiting, slots = (
                int(part) for part in self._one(self._dialect.load).split(",")
            )
        except ValueError:
            return None
        return (running, waiting, slots) if min(running, waiting) >= 0 < slots else None

    def told_head(self) -> tuple[int, list[tuple[str, str]], int | None]:
        """Return the head for the client: status, end-to-end headers, length in bytes.

        The length is None if it is not known.
        """
        size = self._announced_bytes if self._method == "HEAD" else self._whole_bytes
        return (
            self._status,
            end_to_end(self._headers),
            size if size is not None and size >= 0 else None,
        )

    @property
    def last_event_id(self) -> int | None:
        """The id of the last event that came; None if the stream can't be continued after it."""
        return None if self._check.unnumbered else self._check.last_event_id

    # -- the body ------------------------------------------------------------------------------

    def data(self, chunk: bytes) -> tuple[list[bytes], AttemptOutcome | None]:
        """Return the pieces that may be delivered now, and the outcome if it is settled already."""
        if self.streams:
            events = self._check.feed(chunk)
            fault = self._check.fault
            return events, _failed(f"stream not whole: {fault}") if fault else None
        self._size_bytes += len(chunk)
        if self._size_bytes > self._limit_bytes:
            return [], _failed("too large")
        self._data += chunk
        return [], None

    def end(self) -> AttemptOutcome:
        """Return the outcome of an answer that ended as HTTP has it."""
        if self._whole_bytes == -1:
            return self._refused(_failed("an end that nothing announced"))
        if self.streams:
            fault = self._check.close()
            return (
                _failed(f"stream not whole: {fault}")
                if fault
                else AttemptOutcome("whole", self._status, b"")
            )
        if self._whole_bytes is not None and self._whole_bytes != len(self._data):
            return self._refused(_failed("body not whole"))
        if self.good:
            return AttemptOutcome("whole", self._status, bytes(self._data))
        return self._refused(self._verdict())

    def broke(self, reason: str, connected: bool) -> AttemptOutcome:
        """Return the outcome of a failed connection, which was never made or was lost later."""
        if not connected:
            return AttemptOutcome("failed", may_have_run=False, reason=NO_CONNECTION, mark="down")
        return self._refused(_failed(reason, "down"))

    def _refused(self, otherwise: AttemptOutcome) -> AttemptOutcome:
        """Return what the head alone tells of an answer without success, else `otherwise`.

        A head that says that the request has not run counts whatever becomes of the body after it.
        """
        if not self._matches:
            return (
                otherwise
                if otherwise.mark
                else _failed("ids do not match" if self._seen else otherwise.reason, "odd")
            )
        if self._status == _MISDIRECTED:
            return AttemptOutcome(
                "failed", may_have_run=False, reason="misdirected", mark=self._misdirected_by()
            )
        if self._status >= 400 and self._dialect.not_run.lower() in self._seen:
            return AttemptOutcome("failed", may_have_run=False, reason="busy", mark="full")
        return otherwise

    def _misdirected_by(self) -> str:
        """Return the mark of a misdirected request: down, mismatch, or empty.

        It is empty if the worker at the address is the right one and says that the request is not
        for it.
        """
        names = self._seen.get(self._dialect.answered_by.lower(), [])
        return "down" if not names else "" if names == [self._worker] else "mismatch"

    def _verdict(self) -> AttemptOutcome:
        """Return the outcome of a complete answer that is no success.

        An answer that would promise that nothing ran is not passed on unproven.
        """
        status = self._status
        if 200 <= status < 300:
            return _failed("encoded" if not self._unencoded else "no stamp", "odd")
        if not self._matches:
            return _failed("no id", "odd")
        if status in _PROMISES or status < 200:
            return _failed(f"status {status}")
        return AttemptOutcome(
            "ran" if status >= 500 else "rejected",
            status,
            bytes(self._data),
            reason=f"status {status}",
        )


def _failed(reason: str, mark: str = "") -> AttemptOutcome:
    return AttemptOutcome("failed", may_have_run=True, reason=reason, mark=mark)
