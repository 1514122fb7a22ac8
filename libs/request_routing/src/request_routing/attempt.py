"""An attempt in flight at a worker: handles what the transport receives on its connection."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from request_routing.attempt_outcome import AttemptOutcome
from request_routing.forward_exchange import ForwardExchange
from request_routing.in_flight import InFlightRequest
from request_routing.worker import Worker
from request_routing.worker_exchange import WorkerExchange

__all__ = ["Attempt", "AttemptObserver", "AttemptTransport"]


class AttemptTransport(Protocol):
    """Starts an attempt, and calls its methods as the worker's response arrives."""

    def __call__(
        self,
        attempt: "Attempt",
        address: str,
        target: str,
        headers: Any,
        body: Any,
        method: str = "POST",
    ) -> Callable[[], None]:
        """Send the request of an attempt to a worker.

        Parameters
        ----------
        attempt
            The attempt that handles the response.
        address, target
            The worker's address, and the request target.
        headers
            A dict, or a list of name and value pairs for a forwarded request.
        body
            A JSON object, or the bytes of a forwarded body.
        method
            HTTP method; completions are always POST.

        Returns
        -------
        Callable
            Aborts the attempt.
        """
        ...


class AttemptObserver(Protocol):
    """The owner of attempts: handles responses, events and outcomes."""

    node: Any

    def response_received(self, attempt: "Attempt") -> None:
        """Record that the worker of an attempt has sent a part of a response."""
        ...

    def event_received(self, attempt: "Attempt") -> None:
        """Record that events of a stream came; called before they are delivered."""
        ...

    def attempt_ended(self, attempt: "Attempt", outcome: AttemptOutcome) -> None:
        """Handle the outcome of an attempt."""
        ...


def _no_op() -> None:
    return None


class Attempt:
    """An attempt in flight at a worker.

    Anything received after the end of the attempt is ignored.

    Parameters
    ----------
    observer
        The owner of the attempt, which has the node and handles the outcome.
    request
        The request in flight.
    worker
        The worker that the attempt is sent to.
    exchange
        Checks the worker's response.

    Attributes
    ----------
    abort
        Aborts the attempt at the transport; does nothing once the connection has ended.
    over
        Whether the attempt has ended; set by its owner.
    connecting
        True until a connection is made; set by a transport that calls `connected`.
    started_ms, last_event_ms
        When the attempt started or its connection was made, and when its last event came, in
        milliseconds of the node's clock.
    uncached_tokens
        Number of the prompt's tokens that the worker has probably not cached.
    prefilling
        True for a forwarded stream until the worker's first event.
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
        "uncached_tokens",
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
        self.abort: Callable[[], None] = _no_op
        self.over = self.connecting = self.prefilling = False
        self.uncached_tokens = 0
        self.started_ms: int = observer.node.env.now()
        self.last_event_ms: int = self.started_ms

    @property
    def idempotent(self) -> bool:
        """Whether the request may safely be sent more than once."""
        return self.request.lifecycle.idempotent

    @property
    def started_streaming(self) -> bool:
        """Whether an event has come since the attempt started."""
        return self.last_event_ms > self.started_ms

    def connected(self) -> None:
        """Record that a connection was made; from now on the request may run.

        An attempt whose transport never calls this counts as connected from its start.
        """
        self.connecting = False
        self.started_ms = self.last_event_ms = self._observer.node.env.now()

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        """Handle the response head; `length` is the announced length in bytes, or None."""
        if self.over:
            return
        self._observer.response_received(self)
        self.exchange.head(status, headers, length)
        if (load := self.exchange.load) is not None:
            self.worker.report_load(load, self._observer.node.env.now())
        if self.exchange.is_success and self.request.call.stream:
            self.request.lifecycle.stream_started()

    def data(self, chunk: bytes) -> None:
        """Handle a chunk of the response body: deliver the events that it completes."""
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
        """Handle the end of the response at the HTTP level."""
        if not self.over:
            self.abort = _no_op
            self._observer.attempt_ended(self, self.exchange.end())

    def connection_failed(self, reason: str, connected: bool) -> None:
        """Handle a failure of the connection; `connected` is false if it was never made."""
        if not self.over:
            self.abort = _no_op
            self._observer.attempt_ended(self, self.exchange.connection_failed(reason, connected))

    @property
    def is_backpressured(self) -> bool:
        """Whether the client has more than `response_buffer_bytes` to read.

        The transport then stops reading from the worker.
        """
        limit_bytes: int = self._observer.node.settings.response_buffer_bytes
        return not self.over and self.request.unread_bytes > limit_bytes

    def when_drained(self, resume: Callable[[Any], None]) -> None:
        """Call `resume` once the client has read enough for reading from the worker to resume."""
        self.request.when_drained = resume
