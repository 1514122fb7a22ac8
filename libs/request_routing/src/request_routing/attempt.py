"""One attempt in flight at a worker, as the transport that has its connection reports to it."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from request_routing.attempt_outcome import AttemptOutcome
from request_routing.forward_exchange import ForwardExchange
from request_routing.in_flight import InFlightRequest
from request_routing.worker import Worker
from request_routing.worker_exchange import WorkerExchange

__all__ = ["Attempt", "AttemptObserver", "AttemptTransport"]


class AttemptTransport(Protocol):
    """The transport: begins an attempt, reports to it, and returns what aborts it."""

    def __call__(
        self,
        attempt: "Attempt",
        address: str,
        target: str,
        headers: Any,
        body: Any,
        method: str = "POST",
    ) -> Callable[[], None]:
        """Begin an attempt; `body` is a JSON object, or the bytes of a forwarded body."""
        ...


class AttemptObserver(Protocol):
    """Whoever drives the request: it is told what an attempt's worker does."""

    node: Any

    def response_received(self, attempt: "Attempt") -> None:
        """Record that the worker of an attempt has answered something."""
        ...

    def event_received(self, attempt: "Attempt") -> None:
        """Record an event of a stream."""
        ...

    def attempt_ended(self, attempt: "Attempt", outcome: AttemptOutcome) -> None:
        """Take the outcome of an attempt."""
        ...


def _nothing() -> None:
    return None


class Attempt:
    """One attempt in flight at one worker.

    Reports that arrive after the attempt is over change nothing. `started_ms` and `last_event_ms`
    are times of the node's clock in milliseconds; `unread_tokens` are the prompt's tokens that the
    worker has probably not cached; `prefilling` is true, for a forwarded request, until the
    worker's first event.
    """

    __slots__ = (
        "_observer",
        "abort",
        "connecting",
        "exchange",
        "last_event_ms",
        "over",
        "prefilling",
        "request",
        "started_ms",
        "unread_tokens",
        "worker",
    )

    def __init__(
        self,
        observer: AttemptObserver,
        request: InFlightRequest,
        worker: Worker,
        exchange: WorkerExchange | ForwardExchange,
    ) -> None:
        self._observer = observer
        self.request, self.worker, self.exchange = request, worker, exchange
        self.abort: Callable[[], None] = _nothing
        self.over = self.connecting = self.prefilling = False
        self.unread_tokens = 0
        self.started_ms: int = observer.node.env.now()
        self.last_event_ms: int = self.started_ms

    @property
    def idempotent(self) -> bool:
        """Whether the request may safely be sent more than once."""
        return self.request.lifecycle.idempotent

    @property
    def started_streaming(self) -> bool:
        """Whether an event of the stream has come."""
        return self.last_event_ms > self.started_ms

    def connected(self) -> None:
        """Record that a connection is there: from here on the request may run.

        A transport that does not report this counts as connected from the start.
        """
        self.connecting = False
        self.started_ms = self.last_event_ms = self._observer.node.env.now()

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        """Take the answer's status, headers and announced length in bytes, None for no length."""
        if self.over:
            return
        self._observer.response_received(self)
        self.exchange.head(status, headers, length)
        if (load := self.exchange.load) is not None:
            self.worker.report_load(load, self._observer.node.env.now())
        if self.exchange.good and self.request.call.stream:
            self.request.lifecycle.stream_started()

    def data(self, chunk: bytes) -> None:
        """Take a chunk of the answer's body and deliver the events that it completes."""
        if self.over:
            return
        self._observer.response_received(self)
        events, outcome = self.exchange.data(chunk)
        if events:
            self._observer.event_received(self)
            self._deliver(events)
        if outcome is not None:
            self._observer.attempt_ended(self, outcome)

    def _deliver(self, events: list[bytes]) -> None:
        if self.request.head is None:
            self.request.head = self.exchange.response_head()
        for event in events:
            self.request.deliver(event)
        self.request.lifecycle.last_event_id = self.exchange.last_event_id

    def end(self) -> None:
        """Take the end of the answer as HTTP has it."""
        if not self.over:
            self.abort = _nothing
            self._observer.attempt_ended(self, self.exchange.end())

    def connection_failed(self, reason: str, connected: bool) -> None:
        """Take the failure of the connection; `connected` is false if it was never made."""
        if not self.over:
            self.abort = _nothing
            self._observer.attempt_ended(self, self.exchange.connection_failed(reason, connected))

    @property
    def is_backpressured(self) -> bool:
        """Whether the client reads more slowly than the worker writes, so reading has to pause."""
        limit_bytes: int = self._observer.node.settings.response_buffer_bytes
        return not self.over and self.request.unread_bytes > limit_bytes

    def when_drained(self, resume: Callable[[Any], None]) -> None:
        """Have `resume` called once the client has caught up."""
        self.request.when_drained = resume
