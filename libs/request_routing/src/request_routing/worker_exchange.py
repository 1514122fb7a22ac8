"""Judges one attempt of our own interface as the worker's answer comes back.

The head's ids have to match; then come the body or the events, and the end or the break. It has no
socket; the transport reports what came. An attempt counts as not run only if the connection was
refused or the worker says so under the right ids.
"""

import json
from collections.abc import Iterable
from typing import Any, NamedTuple

from request_routing.attempt_outcome import AttemptOutcome, OutcomeKind, WorkerFault, failed
from request_routing.response_head import ResponseHead, WorkerLoad
from request_routing.stream_checks import END, StreamCheck, check_body

__all__ = ["WorkerExchange"]

WORKER_HEADER = "x-vaneledge-worker"
REQUEST_HEADER = "x-vaneledge-transaction"
_OK, _CONFLICT = 200, 409
_NOT_RUN_STATUS = (_CONFLICT, 429, 503)
_NOT_RUN = "not_run"
_WRONG_WORKER = "wrong-worker"
_END_EVENT = f"data: {END}\n\n".encode()


class WorkerExchange:
    """The answer to one attempt at a worker of our own interface.

    `worker` and `edge_request_id` are the ids that the head has to repeat; `limit_bytes` bounds the
    answer.
    """

    last_event_id: int | None = None
    __slots__ = (
        "_announced_bytes",
        "_check",
        "_data",
        "_edge_request_id",
        "_events",
        "_limit_bytes",
        "_matches",
        "_size_bytes",
        "_status",
        "_stream",
        "_worker",
    )

    def __init__(self, worker: str, edge_request_id: str, stream: bool, limit_bytes: int) -> None:
        self._worker, self._edge_request_id = worker, edge_request_id
        self._stream, self._limit_bytes = stream, limit_bytes
        self._check = StreamCheck()
        self._events: list[bytes] = []
        self._data = bytearray()
        self._announced_bytes: int | None = None
        self._status = 0
        self._matches = False
        self._size_bytes = 0

    @property
    def good(self) -> bool:
        """Whether the head is that of a success for this very request."""
        return self._status == _OK and self._matches

    @property
    def streams(self) -> bool:
        """Whether events are delivered as they come."""
        return self.good and self._stream

    @property
    def load(self) -> WorkerLoad | None:
        """None: these workers report their load in heartbeats."""
        return None

    def response_head(self) -> ResponseHead | None:
        """Return None: the client of our own interface is not given the worker's head."""
        return None

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        """Take the answer's head and check its ids; `length` is in bytes."""
        found: dict[str, list[str]] = {WORKER_HEADER: [], REQUEST_HEADER: []}
        for name, value in headers:
            if name.lower() in found:
                found[name.lower()].append(value)
        self._status, self._announced_bytes = status, length
        self._matches = found[WORKER_HEADER] == [self._worker] and found[REQUEST_HEADER] == [
            self._edge_request_id
        ]

    def data(self, chunk: bytes) -> tuple[list[bytes], AttemptOutcome | None]:
        """Return the events that may be delivered now, and the outcome if it is known already."""
        self._size_bytes += len(chunk)
        if self._size_bytes > self._limit_bytes:
            return [], failed(True, "too large")
        if not self.streams:
            self._data += chunk
            return [], None
        events = [event for event in self._check.feed(chunk) if event != _END_EVENT]
        self._events += events
        return events, _stream_failed(self._check.fault)

    def end(self) -> AttemptOutcome:
        """Return the outcome of an answer that ended as HTTP has it."""
        if not self.good:
            return self._unsuccessful()
        if self._stream:
            body = b"".join(self._events)
            failure = _stream_failed(self._check.close())
        else:
            body = bytes(self._data)
            fault = check_body(body, self._announced_bytes)
            failure = failed(True, f"body not whole: {fault}") if fault else None
        return failure or AttemptOutcome(OutcomeKind.COMPLETE, _OK, body.decode())

    def connection_failed(self, reason: str, connected: bool) -> AttemptOutcome:
        """Return the outcome of a failed connection, which was never made or was lost later."""
        return failed(connected, reason, WorkerFault.DOWN)

    def _unsuccessful(self) -> AttemptOutcome:
        text = self._data.decode(errors="replace")
        error = _error_of(text)
        not_run = error.verdict == _NOT_RUN
        if self._status == _CONFLICT and error.code == _WRONG_WORKER and not_run:
            return failed(False, "another worker answered", WorkerFault.MISMATCH)
        if not self._matches:
            return failed(True, "ids do not match")
        if self._status in _NOT_RUN_STATUS and not_run:
            return failed(False, error.code or str(self._status))
        if 400 <= self._status < 500 and self._announced_bytes == len(self._data):
            return AttemptOutcome(OutcomeKind.REJECTED, self._status, text)
        return failed(True, f"status {self._status}")


class _WorkerError(NamedTuple):
    verdict: str
    code: str


def _error_of(text: str) -> _WorkerError:
    """Return the verdict and the code of an error's body, empty where it has none."""
    try:
        error: Any = json.loads(text)["error"]
        return _WorkerError(str(error.get("verdict", "")), str(error.get("code", "")))
    except (ValueError, KeyError, TypeError, AttributeError):
        return _WorkerError("", "")


def _stream_failed(fault: str) -> AttemptOutcome | None:
    return failed(True, f"stream not whole: {fault}") if fault else None
