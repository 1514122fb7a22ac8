"""Judges one attempt of a forwarded request as the worker's answer comes back.

An answer counts only with the request's id; a success only with the worker's signature, unencoded
and complete by the length or chunks that its framing announced. That a request has not run is known
only from the worker's own answer or a connection never made.
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
_STATUS_OF_UNRUN = (408, 429, 503)
_STATUS_WITHOUT_BODY = (204, 304)
_UNKNOWN_END = -1
_EVENT_STREAM = "text/event-stream"
_UNENCODED = ("", "identity")


class ForwardExchange:
    """The answer to one attempt of a forwarded request.

    `good` says that the head is that of a success for this very request; `streams` that its events
    are delivered as they come, too. An answer without the request's id promises nothing, not even
    as the first on its connection: it may have been written before the request was read.
    `limit_bytes` bounds the body or one event.
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
        "good",
        "streams",
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
        self._expected_bytes: int | None = _UNKNOWN_END
        self.good = self.streams = False

    # -- the head ------------------------------------------------------------------------------

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        """Take the answer's head; `length` is the announced length in bytes, or None."""
        self._headers = list(headers)
        self._values = {}
        for name, value in self._headers:
            self._values.setdefault(name.lower(), []).append(value.strip())
        self._status, self._announced_bytes = status, length
        self._expected_bytes = self._body_bytes()
        self.good = (
            200 <= status < 300
            and self._matches
            and bool(self._single_value(self._header_names.signature))
            and self._unencoded
        )
        content_type = self._single_value("content-type").lower()
        self.streams = self._stream and self.good and content_type.startswith(_EVENT_STREAM)

    def _body_bytes(self) -> int | None:
        """Return the body's length by its framing: None for chunks, -1 if nothing tells the end."""
        if self._method == "HEAD" or self._status in _STATUS_WITHOUT_BODY:
            return 0
        if self._single_value("transfer-encoding").lower() == "chunked":
            return None
        return _UNKNOWN_END if self._announced_bytes is None else self._announced_bytes

    def _single_value(self, name: str) -> str:
        """Return the header's value, empty if it is missing or there are several."""
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
    def trusted(self) -> bool:
        """Whether nothing odd came: the connection may be reused once the answer is complete."""
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
        """The id of the last event that came; None if the stream can't be continued after it."""
        return None if self._check.unnumbered else self._check.last_event_id

    # -- the body ------------------------------------------------------------------------------

    def data(self, chunk: bytes) -> tuple[list[bytes], AttemptOutcome | None]:
        """Return the events that may be delivered now, and the outcome if it is known already."""
        if self.streams:
            events = self._check.feed(chunk)
            fault = self._check.fault
            return events, failed(True, f"stream not whole: {fault}") if fault else None
        self._size_bytes += len(chunk)
        if self._size_bytes > self._limit_bytes:
            return [], failed(True, "too large")
        self._data += chunk
        return [], None

    def end(self) -> AttemptOutcome:
        """Return the outcome of an answer that ended as HTTP has it."""
        if self._expected_bytes == _UNKNOWN_END:
            return self._unsuccessful(failed(True, "an end that nothing announced"))
        if self.streams:
            if fault := self._check.close():
                return failed(True, f"stream not whole: {fault}")
            return AttemptOutcome(OutcomeKind.COMPLETE, self._status, b"")
        if self._expected_bytes is not None and self._expected_bytes != len(self._data):
            return self._unsuccessful(failed(True, "body not whole"))
        if self.good:
            return AttemptOutcome(OutcomeKind.COMPLETE, self._status, bytes(self._data))
        return self._unsuccessful(self._verdict())

    def connection_failed(self, reason: str, connected: bool) -> AttemptOutcome:
        """Return the outcome of a failed connection, which was never made or was lost later."""
        if not connected:
            return failed(False, NO_CONNECTION, WorkerFault.DOWN)
        return self._unsuccessful(failed(True, reason, WorkerFault.DOWN))

    # -- answers without success -------------------------------------------------------------------

    def _unsuccessful(self, otherwise: AttemptOutcome) -> AttemptOutcome:
        """Return what the head alone tells of an answer without success, else `otherwise`.

        A head that says that the request has not run counts whatever becomes of the body after it.
        """
        if not self._matches:
            return self._unmatched(otherwise)
        if self._status == _MISDIRECTED:
            return failed(False, "misdirected", self._misdirection_fault())
        if self._status >= 400 and self._header_names.not_run.lower() in self._values:
            return failed(False, BUSY, WorkerFault.OVERLOADED)
        return otherwise

    def _unmatched(self, otherwise: AttemptOutcome) -> AttemptOutcome:
        """Return the outcome of an answer without the request's id, which promises nothing."""
        if otherwise.fault:
            return otherwise
        reason = "ids do not match" if self._values else otherwise.reason
        return failed(True, reason, WorkerFault.PROTOCOL)

    def _misdirection_fault(self) -> WorkerFault:
        """Return what a misdirected request says of the worker.

        Nothing if the worker at the address is the right one and says that the request is not for
        it.
        """
        names = self._values.get(self._header_names.answered_by.lower(), [])
        if not names:
            return WorkerFault.DOWN
        return WorkerFault.NONE if names == [self._worker] else WorkerFault.MISMATCH

    def _verdict(self) -> AttemptOutcome:
        """Return the outcome of a complete answer that is no success.

        An answer that would promise that nothing ran is not passed on unproven.
        """
        status = self._status
        if 200 <= status < 300:
            reason = "encoded" if not self._unencoded else "no stamp"
            return failed(True, reason, WorkerFault.PROTOCOL)
        if not self._matches:
            return failed(True, "no id", WorkerFault.PROTOCOL)
        if status in _STATUS_OF_UNRUN or status < 200:
            return failed(True, f"status {status}")
        kind = OutcomeKind.WORKER_ERROR if status >= 500 else OutcomeKind.REJECTED
        return AttemptOutcome(kind, status, bytes(self._data), reason=f"status {status}")
