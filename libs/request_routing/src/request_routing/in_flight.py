"""A request in flight at an edge, with the client that it is answered to.

It has no socket. Whoever has the worker's connection stops reading from it while the client does
not keep up (backpressure).
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from request_routing.calls import Call, ForwardCall
from request_routing.lifecycle import RequestLifecycle
from request_routing.response_head import ResponseHead
from request_routing.steps import Step

if TYPE_CHECKING:
    from request_routing.attempt import Attempt

__all__ = ["InFlightRequest", "RequestDriver"]


class RequestDriver(Protocol):
    """Whoever drives the request: it is told what the client does."""

    node: Any

    def client_disconnected(self, request: "InFlightRequest") -> None:
        """Stop a request whose client has disconnected, if it may be stopped."""
        ...

    def cancel(self, request: "InFlightRequest") -> None:
        """Stop a request without reporting anything of it."""
        ...


class InFlightRequest:
    """One request in flight and the client that it is answered to.

    `on_event` is given the events of a stream, `on_finished` the last step. `head` is the head of a
    forwarded answer, that of its first worker. Live forwarded requests have backpressure:
    `unread_bytes` counts what was delivered and not yet acknowledged by the client's side.
    """

    __slots__ = (
        "_driver",
        "attempt",
        "call",
        "client_disconnected",
        "head",
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
        self.call = call
        self.on_event = on_event
        self.on_finished = on_finished
        self.attempt: Attempt | None = None
        self.head: ResponseHead | None = None
        self.client_disconnected = False
        self.unread_bytes = 0
        self.when_drained: Callable[[Any], None] | None = None

    def deliver(self, event: bytes) -> None:
        """Deliver one event to the client, unless it has disconnected."""
        self.lifecycle.event_delivered()
        if self.on_event is not None and not self.client_disconnected:
            if not self.call.survives_disconnect and not self.call.job:
                self.unread_bytes += len(event)
            self.on_event(event)

    def acknowledge(self, size_bytes: int) -> None:
        """Record that the client took `size_bytes`; reading resumes once half the bound is free."""
        self.unread_bytes -= size_bytes
        resume = self.when_drained
        limit_bytes: int = self._driver.node.settings.response_buffer_bytes
        if resume is not None and self.unread_bytes <= limit_bytes // 2:
            self.when_drained = None
            resume(None)

    def disconnect(self) -> None:
        """Record that the client disconnected.

        A completion that is not idempotent runs to its end; anything else is stopped.
        """
        if not self.client_disconnected:
            self.client_disconnected = True
            self._driver.client_disconnected(self)

    def cancel(self) -> None:
        """Stop the request on the edge's own account; nothing more is reported of it."""
        self._driver.cancel(self)
