"""Nodes and their components: the framework that runs protocol code without I/O.

A node is a set of components, each of which handles its own message types. All components share the
node's clock, its address and its table of open requests. A request is a message with a number that
the reply repeats.

Invariants: the callback of each request is called exactly once, with the reply or, after the
time-out, with None; it never gets a reply to a request that an earlier start of the node sent.
"""

from collections.abc import Callable
from typing import Any

from runtime.settings import Settings

from messaging.environment import Environment
from messaging.message import Message

__all__ = ["Component", "Node", "OpenRequest", "Origin"]

_REQUEST_ID_BITS = 40


class Origin:
    """The sender's address of a message, and its request number, or 0 if it is no request."""

    __slots__ = ("request_id", "sender")

    def __init__(self, sender: str, request_id: int) -> None:
        self.sender = sender
        self.request_id = request_id


class OpenRequest:
    """A request that waits for its reply until the node's clock reads `deadline_ms`."""

    __slots__ = ("deadline_ms", "on_reply")

    def __init__(self, on_reply: Callable[[Any], None], deadline_ms: int) -> None:
        self.on_reply = on_reply
        self.deadline_ms = deadline_ms


class Component:
    """Base class of a node's components.

    HANDLES lists the message types that are passed to `receive`. All methods run on one thread and
    must not block.
    """

    __slots__ = ("node",)
    HANDLES: tuple[type, ...] = ()

    def attach(self, node: "Node") -> None:
        """Bind the component to its node; called once, before all other methods."""
        self.node = node

    def receive(self, message: Message, origin: Origin) -> None:
        """Handle a message of one of the types in HANDLES."""
        raise NotImplementedError(
            f"{type(self).__name__} has no handler for {type(message).__name__} messages"
        )

    def tick(self) -> None:
        """Do periodic work; called every few milliseconds."""
        return

    def connection_closed(self, address: str) -> None:
        """Handle the end of the connection from an address; its process may have ended too."""

    def connection_refused(self, address: str) -> None:
        """Handle a refused connection to an address: the process there has ended."""

    def resumed(self, gap_ms: int) -> None:
        """Drop claims and observations held in memory, after a freeze of the process of `gap_ms`.

        Called before the node does any other work.
        """


class Node:
    """A set of components with one clock, one address and one table of open requests.

    `open_requests` maps request numbers to the requests that wait for a reply. The numbers of each
    start of the node begin after a random 40-bit value, so that a late reply to a request of an
    earlier start matches no open request.
    """

    __slots__ = (
        "_components_by_type",
        "_last_request_id",
        "_last_tick_ms",
        "components",
        "env",
        "open_requests",
        "settings",
    )

    def __init__(self, env: Environment, settings: Settings, components: list[Component]) -> None:
        self.env = env
        self.settings = settings
        self.components = components
        self.open_requests: dict[int, OpenRequest] = {}
        self._last_request_id = env.rng.getrandbits(_REQUEST_ID_BITS) + 1
        self._last_tick_ms = env.now()
        self._components_by_type: dict[type, Component] = {}
        for component in components:
            component.attach(self)
            for message_type in component.HANDLES:
                self._components_by_type[message_type] = component

    @property
    def address(self) -> str:
        """The address of this node, IP:PORT."""
        return self.env.address

    @property
    def last_request_id(self) -> int:
        """The number of the latest request."""
        return self._last_request_id

    def send(self, to: str, message: Message) -> None:
        """Send a message that expects no reply."""
        self.env.send(to, 0, 0, message)

    def request(
        self, to: str, message: Message, timeout_ms: int, on_reply: Callable[[Any], None]
    ) -> None:
        """Send a request; `on_reply` is called with the reply or, after `timeout_ms`, with None."""
        self._last_request_id += 1
        request_id = self._last_request_id
        self.open_requests[request_id] = OpenRequest(on_reply, self.env.now() + timeout_ms)
        self.env.send(to, request_id, 0, message)

    def reply(self, origin: Origin, message: Message) -> None:
        """Reply to a request; does nothing if the message of `origin` was not a request."""
        if origin.request_id:
            self.env.send(origin.sender, 0, origin.request_id, message)

    def receive(self, sender: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Pass a reply to its requester, or a message to the component that handles its type.

        The requester of a reply that arrives after the deadline gets None. Replies to no open
        request and messages of a type that no component handles are dropped.
        """
        self._check_frozen()
        if in_reply_to:
            request = self.open_requests.pop(in_reply_to, None)
            if request is not None:
                is_in_time = self.env.now() <= request.deadline_ms
                request.on_reply(message if is_in_time else None)
            return
        component = self._components_by_type.get(type(message))
        if component is not None:
            component.receive(message, Origin(sender, request_id))

    def tick(self) -> None:
        """Time out overdue requests, then call `tick` of each component."""
        self._check_frozen()
        self._time_out_requests()
        for component in self.components:
            component.tick()

    def _time_out_requests(self) -> None:
        now_ms = self.env.now()
        overdue = [
            request_id
            for request_id, request in self.open_requests.items()
            if request.deadline_ms <= now_ms
        ]
        for request_id in overdue:
            self.open_requests.pop(request_id).on_reply(None)

    def _check_frozen(self) -> None:
        now_ms = self.env.now()
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if gap_ms > self.settings.freeze_threshold_ms:
            self.env.log("frozen", "WARNING", gap_ms=gap_ms)
            for component in self.components:
                component.resumed(gap_ms)
