"""Checks the response to one attempt of a forwarded request.

A response is accepted only with the request's id. A success also needs the worker's signature and
has to be unencoded, and complete by its announced length or by its chunks. A request counts as not
run only if the worker's response says so or no connection was made.
"""

from collections.abc import Iterable

from request_routing.attempt_outcome import (
    NO_CONNECTION,
    AttemptOutcome,
    OutcomeKind,
    WorkerFault,
    failed,
)
from request_routing.event_check import EventCheck
from request_routing.header_names import WorkerHeaderNames, end_to_end
from request_routing.lifecycle import BUSY
from request_routing.response_head import ResponseHead, WorkerLoad

__all__ = ["ForwardExchange"]

_MISDIRECTED = 421
# Statuses that tell a client that its request has not run.
_NOT_RUN_STATUS = (408, 429, 503)
_STATUS_WITHOUT_BODY = (204, 304)
_UNKNOWN_LENGTH = -1
_EVENT_STREAM = "text/event-stream"
_UNENCODED = ("", "identity")


class ForwardExchange:
    """The response to one attempt of a forwarded request.

    A response without the request's id proves nothing about the request, even if it is the first
    on its connection: the worker may have written it before it read the request.

    Parameters
    ----------
    header_names
        The header names of the worker.
    worker
        Identity of the worker, which tells whether a misdirected request reached another one.
    request_id
        Id of the request, which the response has to repeat.
    method
        HTTP method of the request.
    stream
        Whether a success may be a stream of server-sent events.
    limit_bytes
        Maximum size of the body, or of an event of a stream.
    last_event_id
        Id of the event after which the stream resumes, or None.

    Attributes
    ----------
    is_success
        Whether the head is that of an acceptable successful response to this request.
    is_event_stream
        Whether it is also an event stream, whose events are delivered as they come.
    """

    __slots__ = (
        "_announced_bytes",
        "_check",
        "_data",
        "_expected_bytes",
        "_header_names",
        "_headers",
        "_limit_bytes",
        "_method",
        "_request_id",
        "_size_bytes",
        "_status",
        "_stream",
        "_values",
        "_worker",
        "is_event_stream",
        "is_success",
    )

    def __init__(
        self,
        header_names: WorkerHeaderNames,
        worker: str,
        request_id: str,
        method: str,
        stream: bool,
        limit_bytes: int,
        last_event_id: int | None = None,
    ) -> None:
        self._header_names = header_names
        self._worker = worker
        self._request_id = request_id
        self._method = method
        self._stream = stream
        self._limit_bytes = limit_bytes
        self._check = EventCheck(last_event_id, limit_bytes)
        self._data = bytearray()
        self._headers: list[tuple[str, str]] = []
        self._values: dict[str, list[str]] = {}
        self._status = 0
        self._size_bytes = 0
        self._announced_bytes: int | None = None
        self._expected_bytes: int | None = _UNKNOWN_LENGTH
        self.is_success = self.is_event_stream = False

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        """Handle the head; `length` is the announced length in bytes, or None."""
        self._headers = list(headers)
        self._values = {}
        for name, value in self._headers:
            self._values.setdefault(name.lower(), []).append(value.strip())
        self._status, self._announced_bytes = status, length
        self._expected_bytes = self._body_bytes()
        self.is_success = (
            200 <= status < 300
            and self._matches
            and bool(self._single_value(self._header_names.signature))
            and self._unencoded
        )
        content_type = self._single_value("content-type").lower()
        self.is_event_stream = (
            self._stream and self.is_success and content_type.startswith(_EVENT_STREAM)
        )

    def _body_bytes(self) -> int | None:
        """Return the body's length: None if it is chunked, -1 if only a close would end it."""
        if self._method == "HEAD" or self._status in _STATUS_WITHOUT_BODY:
            return 0
        if self._single_value("transfer-encoding").lower() == "chunked":
            return None
        return _UNKNOWN_LENGTH if self._announced_bytes is None else self._announced_bytes

    def _single_value(self, name: str) -> str:
        """Return the header's value; empty if the header is missing or repeated."""
        values = self._values.get(name.lower(), [])
        return values[0] if len(values) == 1 else ""

    @property
    def _matches(self) -> bool:
        return self._values.get(self._header_names.request_id.lower()) == [self._request_id]

    @property
    def _unencoded(self) -> bool:
        encodings = self._values.get("content-encoding", [])
        return all(value.lower() in _UNENCODED for value in encodings)

    @property
    def connection_is_reusable(self) -> bool:
        """Whether the head has the request's id, without which the connection is not reused."""
        return self._matches

    @property
    def load(self) -> WorkerLoad | None:
        """The load reported in a header (`running,waiting,slots`); None without a valid one."""
        try:
            running, waiting, slots = (
                int(part) for part in self._single_value(self._header_names.load).split(",")
            )
        except ValueError:
            return None
        if min(running, waiting) < 0 or slots <= 0:
            return None
        return WorkerLoad(running, waiting, slots)

    def response_head(self) -> ResponseHead:
        """Return the head for the client."""
        size = self._announced_bytes if self._method == "HEAD" else self._expected_bytes
        return ResponseHead(
            self._status,
            end_to_end(self._headers),
            size if size is not None and size >= 0 else None,
        )

    @property
    def last_event_id(self) -> int | None:
        """The id of the last event; None if another worker can't continue the stream after it."""
        return None if self._check.unnumbered else self._check.last_event_id

    def data(self, chunk: bytes) -> tuple[list[bytes], AttemptOutcome | None]:
        """Return the events of a chunk to deliver, and the outcome if the response is faulty."""
        if self.is_event_stream:
            events = self._check.feed(chunk)
            fault = self._check.fault
            return events, failed(True, f"stream not whole: {fault}") if fault else None
        self._size_bytes += len(chunk)
        if self._size_bytes > self._limit_bytes:
            return [], failed(True, "too large")
        self._data += chunk
        return [], None

    def end(self) -> AttemptOutcome:
        """Return the outcome of a response that ended at the HTTP level."""
        if self._expected_bytes == _UNKNOWN_LENGTH:
            return self._unsuccessful_outcome(failed(True, "an end that nothing announced"))
        if self.is_event_stream:
            if fault := self._check.close():
                return failed(True, f"stream not whole: {fault}")
            return AttemptOutcome(OutcomeKind.COMPLETE, self._status, b"")
        if self._expected_bytes is not None and self._expected_bytes != len(self._data):
            return self._unsuccessful_outcome(failed(True, "body not whole"))
        if self.is_success:
            return AttemptOutcome(OutcomeKind.COMPLETE, self._status, bytes(self._data))
        return self._unsuccessful_outcome(self._complete_outcome())

    def connection_failed(self, reason: str, connected: bool) -> AttemptOutcome:
        """Return the outcome of a failed connection; `connected` is false if it was never made."""
        if not connected:
            return failed(False, NO_CONNECTION, WorkerFault.DOWN)
        return self._unsuccessful_outcome(failed(True, reason, WorkerFault.DOWN))

    def _unsuccessful_outcome(self, otherwise: AttemptOutcome) -> AttemptOutcome:
        """Return the outcome that the head alone determines, else `otherwise`.

        A head that says that the request has not run is enough, even if the body is incomplete.
        """
        if not self._matches:
            return self._unmatched(otherwise)
        if self._status == _MISDIRECTED:
            return failed(False, "misdirected", self._misdirection_fault())
        if self._status >= 400 and self._header_names.not_run.lower() in self._values:
            return failed(False, BUSY, WorkerFault.OVERLOADED)
        return otherwise

    def _unmatched(self, otherwise: AttemptOutcome) -> AttemptOutcome:
        """Return the failure for a response without the request's id; the request may have run."""
        if otherwise.fault:
            return otherwise
        reason = "ids do not match" if self._values else otherwise.reason
        return failed(True, reason, WorkerFault.PROTOCOL)

    def _misdirection_fault(self) -> WorkerFault:
        """Return the fault that a response with status 421 shows.

        It shows none if the right worker responded, and MISMATCH if another one did. If the
        response does not name the worker, the fault is DOWN.
        """
        names = self._values.get(self._header_names.answered_by.lower(), [])
        if not names:
            return WorkerFault.DOWN
        return WorkerFault.NONE if names == [self._worker] else WorkerFault.MISMATCH

    def _complete_outcome(self) -> AttemptOutcome:
        """Return the outcome of a complete response that is not an acceptable success.

        A status that tells clients that the request has not run fails the attempt here, as the
        worker did not confirm it; the response is not passed to the client.
        """
        status = self._status
        if 200 <= status < 300:
            reason = "encoded" if not self._unencoded else "no stamp"
            return failed(True, reason, WorkerFault.PROTOCOL)
        if not self._matches:
            return failed(True, "no id", WorkerFault.PROTOCOL)
        if status in _NOT_RUN_STATUS or status < 200:
            return failed(True, f"status {status}")
        kind = OutcomeKind.WORKER_ERROR if status >= 500 else OutcomeKind.REJECTED
        return AttemptOutcome(kind, status, bytes(self._data), reason=f"status {status}")
