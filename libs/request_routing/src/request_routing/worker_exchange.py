"""Judges one attempt of our own interface as the worker's answer comes back.

The head's ids have to match; then come the body or the events, and the end or the break. It has no
socket; the transport reports what came. An attempt counts as not run only if the connection was
refused or the worker says so under the right ids.
"""

import json
from collections.abc import Iterable
from typing import Any

from request_routing.stream_checks import END, StreamCheck, check_whole

__all__ = ["WorkerExchange", "AttemptOutcome"]

WORKER_HEADER = "x-vaneledge-worker"
TRANSACTION_HEADER = "x-vaneledge-transaction"
_NOT_RUN_STATUS = (409, 429, 503)
_END_EVENT = f"data: {END}\n\n".encode()


class AttemptOutcome:
    """The outcome of an attempt: whole, rejected, ran, or failed.

    Whole is a complete success, rejected the worker's final answer that the request is wrong, ran
    its answer that it failed at the request. `mark` is what a failure tells about the worker: down,
    mismatch, full, odd or nothing.
    """

    __slots__ = ("body", "mark", "may_have_run", "name", "reason", "status")

    def __init__(
        self,
        name: str,
        status: int = 0,
        body: str | bytes = "",
        may_have_run: bool = True,
        reason: str = "",
        mark: str = "",
    ) -> None:
        self.name, self.status, self.body = name, status, body
        self.may_have_run, self.reason, self.mark = may_have_run, reason, mark


def _failed(may_have_run: bool, reason: str, mark: str = "") -> AttemptOutcome:
    return AttemptOutcome("failed", may_have_run=may_have_run, reason=reason, mark=mark)


class WorkerExchange:
    """The answer to one attempt at a worker of our own interface.

    `worker` and `transaction_id` are the ids that the head has to repeat; `limit_bytes` bounds the
    answer.
    """

    last_event_id = None
    __slots__ = (
        "_check",
        "_data",
        "_kept",
        "_length",
        "_limit_bytes",
        "_matches",
        "_size_bytes",
        "_status",
        "_stream",
        "_transaction_id",
        "_worker",
    )

    def __init__(self, worker: str, transaction_id: str, stream: bool, limit_bytes: int) -> None:
        self._worker, self._transaction_id = worker, transaction_id
        self._stream, self._limit_bytes = stream, limit_bytes
        self._check = StreamCheck()
        self._kept: list[bytes] = []
        self._data = bytearray()
        self._length: int | None = None
        self._status = 0
        self._matches = False
        self._size_bytes = 0

    @property
    def good(self) -> bool:
        """Whether the head is that of a success for this very request."""
        return self._status == 200 and self._matches

    @property
    def streams(self) -> bool:
        """Whether events are delivered as they come."""
        return self.good and self._stream

    @property
    def load(self) -> None:
        """None: these workers report their load in heartbeats."""
        return None

    def told_head(self) -> None:
        """Return None: the client of our own interface is not given the worker's head."""
        return None

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        """Take the answer's head and check its ids; `length` is in bytes."""
        found: dict[str, list[str]] = {WORKER_HEADER: [], TRANSACTION_HEADER: []}
        for name, value in headers:
            if name.lower() in found:
                found[name.lower()].append(value)
        self._status, self._length = status, length
        self._matches = found[WORKER_HEADER] == [self._worker] and found[TRANSACTION_HEADER] == [
            self._transaction_id
        ]

    def data(self, chunk: bytes) -> tuple[list[bytes], AttemptOutcome | None]:
        """Return the events that may be delivered now, and the outcome if it is settled already."""
        self._size_bytes += len(chunk)
        if self._size_bytes > self._limit_bytes:
            return [], _failed(True, "too large")
        if not (self.good and self._stream):
            self._data += chunk
            return [], None
        events = [event for event in self._check.feed(chunk) if event != _END_EVENT]
        self._kept += events
        fault = self._check.fault
        return events, _failed(True, f"stream not whole: {fault}") if fault else None

    def end(self) -> AttemptOutcome:
        """Return the outcome of an answer that ended as HTTP has it."""
        if not self.good:
            return self._refused()
        if self._stream:
            fault = self._check.close()
            return (
                _failed(True, f"stream not whole: {fault}")
                if fault
                else AttemptOutcome("whole", 200, b"".join(self._kept).decode())
            )
        data = bytes(self._data)
        fault = check_whole(data, self._length)
        return (
            _failed(True, f"body not whole: {fault}")
            if fault
            else AttemptOutcome("whole", 200, data.decode())
        )

    def broke(self, reason: str, connected: bool) -> AttemptOutcome:
        """Return the outcome of a failed connection, which was never made or was lost later."""
        return _failed(connected, reason, "down")

    def _refused(self) -> AttemptOutcome:
        text = self._data.decode(errors="replace")
        verdict, code = _verdict_of(text)
        if self._status == 409 and code == "wrong-worker" and verdict == "not_run":
            return _failed(False, "another worker answered", "mismatch")
        if not self._matches:
            return _failed(True, "ids do not match")
        if self._status in _NOT_RUN_STATUS and verdict == "not_run":
            return _failed(False, code or str(self._status))
        if 400 <= self._status < 500 and self._length == len(self._data):
            return AttemptOutcome("rejected", self._status, text)
        return _failed(True, f"status {self._status}")


def _verdict_of(text: str) -> tuple[str, str]:
    try:
        error: Any = json.loads(text)["error"]
        return str(error.get("verdict", "")), str(error.get("code", ""))
    except (ValueError, KeyError, TypeError, AttributeError):
        return "", ""
