"""A request in flight at an edge, and the callbacks that deliver its response to the client.

It has no socket. The transport that owns the worker's connection stops reading from it while too
many delivered bytes are unacknowledged (backpressure).
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from request_routing.calls import Call, ForwardCall
from request_routing.client_patience import client_patience_ms
from request_routing.lifecycle import RequestLifecycle
from request_routing.response_head import ResponseHead
from request_routing.steps import Step

if TYPE_CHECKING:
    from request_routing.attempt import Attempt

__all__ = ["InFlightRequest", "RequestDriver"]


class RequestDriver(Protocol):
    """The owner of a request in flight, which handles the client's disconnect and cancellation."""

    node: Any

    def client_disconnected(self, request: "InFlightRequest") -> None:
        """Stop a request whose client has disconnected, unless it has to run to completion."""
        ...

    def cancel(self, request: "InFlightRequest") -> None:
        """Stop a request without a last step and without a log line."""
        ...


class InFlightRequest:
    """One request in flight.

    `head` is the response head for the client of a forwarded request; for a stream it is the head
    of the first worker that delivered an event. `unread_bytes` counts the bytes that were
    delivered and not yet acknowledged; only live forwarded requests are counted and so have
    backpressure. `last_delivered_ms` is when the client was last sent an event, or when its request
    arrived, in milliseconds of the node's clock. `when_drained`, if set, is called once to resume
    reading from the worker.

    Parameters
    ----------
    driver
        The owner of the request.
    lifecycle
        The request's state machine.
    call
        What the client requested.
    on_event
        Called with each event of a stream, or None.
    on_finished
        Called with the last step.
    """

    __slots__ = (
        "_driver",
        "attempt",
        "call",
        "client_disconnected",
        "head",
        "last_delivered_ms",
        "lifecycle",
        "on_event",
        "on_finished",
        "unread_bytes",
        "when_drained",
    )

    def __init__(
        self,
        driver: RequestDriver,
        lifecycle: RequestLifecycle,
        call: Call | ForwardCall,
        on_event: Callable[[bytes], None] | None,
        on_finished: Callable[[Step], None],
    ) -> None:
        self._driver = driver
        self.lifecycle = lifecycle
        self.last_delivered_ms: int = lifecycle.started_ms
        self.call = call
        self.on_event = on_event
        self.on_finished = on_finished
        self.attempt: Attempt | None = None
        self.head: ResponseHead | None = None
        self.client_disconnected = False
        self.unread_bytes = 0
        self.when_drained: Callable[[Any], None] | None = None

    @property
    def event_due_ms(self) -> int:
        """When the client stops waiting unless it gets the next event, or the response, by then."""
        due_ms = self.lifecycle.due_ms
        if not self.call.stream or self.call.survives_disconnect:
            return due_ms
        return min(due_ms, self.last_delivered_ms + client_patience_ms(self.lifecycle.profile))

    def deliver(self, event: bytes) -> None:
        """Deliver one event to the client, unless it has disconnected."""
        self.lifecycle.event_delivered()
        self.last_delivered_ms = self._driver.node.env.now()
        if self.on_event is not None and not self.client_disconnected:
            if not self.call.survives_disconnect and not self.call.job:
                self.unread_bytes += len(event)
            self.on_event(event)

    def acknowledge(self, size_bytes: int) -> None:
        """Record that the client received `size_bytes` of the response.

        Reading from the worker resumes once the unacknowledged bytes are at most half of
        `response_buffer_bytes`.
        """
        self.unread_bytes -= size_bytes
        resume = self.when_drained
        limit_bytes: int = self._driver.node.settings.response_buffer_bytes
        if resume is not None and self.unread_bytes <= limit_bytes // 2:
            self.when_drained = None
            resume(None)

    def disconnect(self) -> None:
        """Record that the client disconnected.

        A completion that is not idempotent runs to completion; any other request is stopped.
        """
        if not self.client_disconnected:
            self.client_disconnected = True
            self._driver.client_disconnected(self)

    def cancel(self) -> None:
        """Stop the request from the edge's side; `on_finished` is not called."""
        self._driver.cancel(self)
