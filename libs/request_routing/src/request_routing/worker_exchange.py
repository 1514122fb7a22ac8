"""Checks the response to one attempt of a completion request.

The transport passes the head, the chunks of the body, and then the end of the response or a failure
of the connection. The head has to repeat the ids of the worker and of the request. An attempt
counts as not run only if no connection was made, if the worker says so with these ids, or if
another worker rejects the request as `wrong-worker`.
"""

import json
from collections.abc import Iterable
from typing import Any, NamedTuple

from request_routing.attempt_outcome import AttemptOutcome, OutcomeKind, WorkerFault, failed
from request_routing.response_head import ResponseHead, WorkerLoad
from request_routing.stream_checks import END_MARK, StreamCheck, check_body

__all__ = ["WorkerExchange"]

WORKER_HEADER = "x-vaneledge-worker"
REQUEST_HEADER = "x-vaneledge-transaction"
_OK, _CONFLICT = 200, 409
_NOT_RUN_STATUS = (_CONFLICT, 429, 503)
_NOT_RUN = "not_run"
_WRONG_WORKER = "wrong-worker"
_END_EVENT = f"data: {END_MARK}\n\n".encode()


class WorkerExchange:
    """The response to one attempt of a completion request.

    Parameters
    ----------
    worker, edge_request_id
        The worker's instance id and the edge's id of the request, which the head has to repeat.
    stream
        Whether a success is a stream of server-sent events.
    limit_bytes
        Maximum size of the response body.
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
    def is_success(self) -> bool:
        """Whether the head is that of a successful response with the right ids."""
        return self._status == _OK and self._matches

    @property
    def is_event_stream(self) -> bool:
        """Whether the response is a stream whose events are delivered as they come."""
        return self.is_success and self._stream

    @property
    def load(self) -> WorkerLoad | None:
        """None, as these workers report their load in heartbeats."""
        return None

    def response_head(self) -> ResponseHead | None:
        """Return None, as the edge writes the response head for the client itself."""
        return None

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        """Handle the head and check its ids; `length` is the announced length in bytes, or None."""
        found: dict[str, list[str]] = {WORKER_HEADER: [], REQUEST_HEADER: []}
        for name, value in headers:
            if name.lower() in found:
                found[name.lower()].append(value)
        self._status, self._announced_bytes = status, length
        self._matches = found[WORKER_HEADER] == [self._worker] and found[REQUEST_HEADER] == [
            self._edge_request_id
        ]

    def data(self, chunk: bytes) -> tuple[list[bytes], AttemptOutcome | None]:
        """Return the events of a chunk to deliver, and the outcome if the response is faulty."""
        self._size_bytes += len(chunk)
        if self._size_bytes > self._limit_bytes:
            return [], failed(True, "too large")
        if not self.is_event_stream:
            self._data += chunk
            return [], None
        events = [event for event in self._check.feed(chunk) if event != _END_EVENT]
        self._events += events
        return events, _stream_failure(self._check.fault)

    def end(self) -> AttemptOutcome:
        """Return the outcome of a response that ended at the HTTP level."""
        if not self.is_success:
            return self._unsuccessful_outcome()
        if self._stream:
            body = b"".join(self._events)
            failure = _stream_failure(self._check.close())
        else:
            body = bytes(self._data)
            fault = check_body(body, self._announced_bytes)
            failure = failed(True, f"body not whole: {fault}") if fault else None
        return failure or AttemptOutcome(OutcomeKind.COMPLETE, _OK, body.decode())

    def connection_failed(self, reason: str, connected: bool) -> AttemptOutcome:
        """Return the outcome of a failed connection; `connected` is false if it was never made."""
        return failed(connected, reason, WorkerFault.DOWN)

    def _unsuccessful_outcome(self) -> AttemptOutcome:
        text = self._data.decode(errors="replace")
        error = _parse_error(text)
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


def _parse_error(text: str) -> _WorkerError:
    """Return the verdict and the code of an error body; empty if it is malformed."""
    try:
        error: Any = json.loads(text)["error"]
        return _WorkerError(str(error.get("verdict", "")), str(error.get("code", "")))
    except (ValueError, KeyError, TypeError, AttributeError):
        return _WorkerError("", "")


def _stream_failure(fault: str) -> AttemptOutcome | None:
    return failed(True, f"stream not whole: {fault}") if fault else None
