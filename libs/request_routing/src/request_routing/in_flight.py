"""What is in flight at an edge: a request with its client, and one attempt at a worker.

Neither has a socket. Whoever has one reports to the `Attempt`, and stops reading from the worker
while the client does not keep up (backpressure).
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from request_routing.calls import Call, ForwardCall
from request_routing.forward_exchange import ForwardExchange
from request_routing.lifecycle import RequestLifecycle, Step
from request_routing.worker_exchange import WorkerExchange
from request_routing.worker_registry import Worker

__all__ = ["InFlightRequest", "Attempt", "AttemptTransport"]


class AttemptTransport(Protocol):
    """The transport: begins an attempt, reports to it, and returns what aborts it."""

    def __call__(
        self,
        send: "Attempt",
        address: str,
        target: str,
        headers: Any,
        body: Any,
        method: str = "POST",
    ) -> Callable[[], None]:
        """Begin an attempt; `body` is a JSON object, or the bytes of a forwarded body."""
        ...


def _nothing() -> None:
    return None


class Attempt:
    """One attempt in flight at one worker.

    Reports that arrive after the attempt is over change nothing. `began_ms` and `heard_ms` are
    times of the node's clock in milliseconds; `unread_tokens` are the prompt's tokens that the
    worker is thought not to have cached; `reads` is true, for a forwarded request, until the
    worker's first event.
    """

    __slots__ = (
        "_carrier",
        "abort",
        "began_ms",
        "carriage",
        "connecting",
        "exchange",
        "heard_ms",
        "over",
        "reads",
        "unread_tokens",
        "worker",
    )

    def __init__(
        self,
        carrier: Any,
        carriage: "InFlightRequest",
        worker: Worker,
        exchange: WorkerExchange | ForwardExchange,
    ) -> None:
        self._carrier, self.carriage, self.worker, self.exchange = (
            carrier,
            carriage,
            worker,
            exchange,
        )
        self.abort: Callable[[], None] = _nothing
        self.over = self.connecting = self.reads = False
        self.unread_tokens = 0
        self.began_ms = self.heard_ms = carrier.node.env.now()

    @property
    def repeatable(self) -> bool:
        """Whether the request may safely be sent more than once."""
        return self.carriage.tx.safe

    def connected(self) -> None:
        """Record that a connection is there: from here on the request may run.

        A transport that does not report this counts as connected from the start.
        """
        self.connecting = False
        self.began_ms = self.heard_ms = self._carrier.node.env.now()

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        """Take the answer's status, headers and announced length in bytes, None for no length."""
        if self.over:
            return
        self._carrier.heard(self)
        self.exchange.head(status, headers, length)
        if self.exchange.load is not None:
            self.worker.told_load(*self.exchange.load, self._carrier.node.env.now())
        if self.exchange.good and self.carriage.call.stream:
            self.carriage.tx.begun()

    def data(self, chunk: bytes) -> None:
        """Take a chunk of the answer's body and deliver the events that it completes."""
        if self.over:
            return
        self._carrier.heard(self)
        events, fate = self.exchange.data(chunk)
        if events:
            self._carrier.eventful(self)
            if self.carriage.head is None:
                self.carriage.head = self.exchange.told_head()
            for event in events:
                self.carriage.deliver(event)
            self.carriage.tx.last_event_id = self.exchange.last_event_id
        if fate is not None:
            self._carrier.ended(self, fate)

    def end(self) -> None:
        """Take the end of the answer as HTTP has it."""
        if not self.over:
            self.abort = _nothing
            self._carrier.ended(self, self.exchange.end())

    def broke(self, reason: str, connected: bool) -> None:
        """Take the failure of the connection; `connected` is false if it was never made."""
        if not self.over:
            self.abort = _nothing
            self._carrier.ended(self, self.exchange.broke(reason, connected))

    @property
    def full(self) -> bool:
        """Whether the client reads more slowly than the worker writes, so reading has to pause."""
        return (
            not self.over
            and self.carriage.untaken_bytes > self._carrier.node.settings.response_buffer_bytes
        )

    def when_room(self, go_on: Callable[[Any], None]) -> None:
        """Have `go_on` called once the client has caught up."""
        self.carriage.when_room = go_on


class InFlightRequest:
    """One transaction in flight and the client that it is answered to.

    `sink` is given the events of a stream, `done` the last step. `head` is the head of a forwarded
    answer, that of its first worker. Live forwarded requests have backpressure: `untaken_bytes`
    counts what was delivered and not yet reported as taken. `visitor_gone` is true once the client
    has hung up.
    """

    __slots__ = (
        "_carrier",
        "call",
        "done",
        "head",
        "send",
        "sink",
        "tx",
        "untaken_bytes",
        "visitor_gone",
        "when_room",
    )

    def __init__(
        self,
        carrier: Any,
        tx: RequestLifecycle,
        call: Call | ForwardCall,
        sink: Callable[[bytes], None] | None,
        done: Callable[[Step], None],
    ) -> None:
        self._carrier, self.tx, self.call, self.sink, self.done = carrier, tx, call, sink, done
        self.send: Attempt | None = None
        self.head: tuple[int, list[tuple[str, str]], int | None] | None = None
        self.visitor_gone = False
        self.untaken_bytes = 0
        self.when_room: Callable[[Any], None] | None = None

    def deliver(self, event: bytes) -> None:
        """Deliver one event to the client, unless it has hung up."""
        self.tx.piece_delivered()
        if self.sink is not None and not self.visitor_gone:
            if not self.call.kept_when_gone and not self.call.job:
                self.untaken_bytes += len(event)
            self.sink(event)

    def taken(self, size_bytes: int) -> None:
        """Record that the client took `size_bytes`; reading resumes once half the bound is free."""
        self.untaken_bytes -= size_bytes
        if (
            self.when_room is not None
            and self.untaken_bytes <= self._carrier.node.settings.response_buffer_bytes // 2
        ):
            go_on, self.when_room = self.when_room, None
            go_on(None)

    def gone(self) -> None:
        """Record that the client hung up.

        A completion that is not safe to repeat runs to its end; anything else is stopped.
        """
        if not self.visitor_gone:
            self.visitor_gone = True
            self._carrier.visitor_gone(self)

    def stop(self) -> None:
        """Drop the transaction on the edge's own account; nothing more is reported of it."""
        self._carrier.drop(self)
