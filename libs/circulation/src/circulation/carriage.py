"""What is under way at an edge: a transaction with whom it is told to, and one send of it to a worker. Neither
has a socket; whoever has one reports to the send, and is held back when the client does not keep up.
"""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from circulation.calls import Call, ForwardCall
from circulation.chart import Step, Transaction
from circulation.exchange import Exchange
from circulation.forward import ForwardExchange
from circulation.roster import Worker

__all__ = ["Carriage", "Send", "Sender"]


class Sender(Protocol):
    """Has the sockets: begins a send, reports to it, and gives what breaks it off."""

    def __call__(
        self, send: "Send", address: str, target: str, headers: Any, body: Any, method: str = "POST"
    ) -> Callable[[], None]: ...


def _nothing() -> None:
    return None


class Send:
    """One send under way. What is reported after it is over changes nothing."""

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
        carriage: "Carriage",
        worker: Worker,
        exchange: Exchange | ForwardExchange,
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
        return self.carriage.tx.safe

    def connected(self) -> None:
        """From here on it may run. A sender that does not say when counts as connected from the start."""
        self.connecting = False
        self.began_ms = self.heard_ms = self._carrier.node.env.now()

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        if self.over:
            return
        self._carrier.heard(self)
        self.exchange.head(status, headers, length)
        if self.exchange.load is not None:
            self.worker.told_load(*self.exchange.load, self._carrier.node.env.now())
        if self.exchange.good and self.carriage.call.stream:
            self.carriage.tx.begun()

    def data(self, chunk: bytes) -> None:
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
        if not self.over:
            self.abort = _nothing
            self._carrier.ended(self, self.exchange.end())

    def broke(self, reason: str, connected: bool) -> None:
        if not self.over:
            self.abort = _nothing
            self._carrier.ended(self, self.exchange.broke(reason, connected))

    @property
    def full(self) -> bool:
        """The client reads more slowly than the worker writes: whoever has the socket stops reading."""
        return (
            not self.over and self.carriage.untaken_bytes > self._carrier.node.params.untaken_bytes
        )

    def when_room(self, go_on: Callable[[Any], None]) -> None:
        self.carriage.when_room = go_on


class Carriage:
    """One transaction on its way. `sink` is given the events of a stream, `done` the last step; `head` is
    that of a forwarded answer, of its first worker. Who says what was taken holds back what comes too fast.
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
        tx: Transaction,
        call: Call | ForwardCall,
        sink: Callable[[bytes], None] | None,
        done: Callable[[Step], None],
    ) -> None:
        self._carrier, self.tx, self.call, self.sink, self.done = carrier, tx, call, sink, done
        self.send: Send | None = None
        self.head: tuple[int, list[tuple[str, str]], int | None] | None = None
        self.visitor_gone = False
        self.untaken_bytes = 0
        self.when_room: Callable[[Any], None] | None = None

    def deliver(self, event: bytes) -> None:
        self.tx.piece_delivered()
        if self.sink is not None and not self.visitor_gone:
            if not self.call.kept_when_gone and not self.call.lot:
                self.untaken_bytes += len(event)
            self.sink(event)

    def taken(self, size_bytes: int) -> None:
        self.untaken_bytes -= size_bytes
        if (
            self.when_room is not None
            and self.untaken_bytes <= self._carrier.node.params.untaken_bytes // 2
        ):
            go_on, self.when_room = self.when_room, None
            go_on(None)

    def gone(self) -> None:
        """The visitor hung up. What is safe to repeat is stopped; anything else runs to its end."""
        if not self.visitor_gone:
            self.visitor_gone = True
            self._carrier.visitor_gone(self)

    def stop(self) -> None:
        """Dropped by the edge itself: nothing more is told of it."""
        self._carrier.drop(self)
