"""The framework in which sans-I/O cores run.

A node is a set of components, each of which handles its own types of messages. All of them share
the node's clock, its address and its table of open requests. A request is a message with a number
that the reply repeats.

Invariants: each open request is answered exactly once, by the reply or by None after its time-out,
and never by a reply to a request of an earlier start of the node.
"""

from collections.abc import Callable
from typing import Any

from runtime.settings import Settings

from messaging.environment import Environment
from messaging.message import Message

__all__ = ["Component", "Node", "OpenRequest", "Origin"]

_REQUEST_ID_BITS = 40


class Origin:
    """Where a message came from: its sender's address, and the number of the request or 0."""

    __slots__ = ("request_id", "sender")

    def __init__(self, sender: str, request_id: int) -> None:
        self.sender = sender
        self.request_id = request_id


class OpenRequest:
    """A request that waits for its reply until `deadline_ms` of the node's clock."""

    __slots__ = ("deadline_ms", "on_reply")

    def __init__(self, on_reply: Callable[[Any], None], deadline_ms: int) -> None:
        self.on_reply = on_reply
        self.deadline_ms = deadline_ms


class Component:
    """One concern of a node.

    HANDLES has the types of messages that `receive` takes. All methods run on one thread and must
    not block.
    """

    __slots__ = ("node",)
    HANDLES: tuple[type, ...] = ()

    def attach(self, node: "Node") -> None:
        """Bind the component to its node; called once, before anything else."""
        self.node = node

    def receive(self, message: Message, origin: Origin) -> None:
        """Handle a message of one of the types in HANDLES."""
        raise NotImplementedError(type(message).__name__)

    def tick(self) -> None:
        """Do periodic work; called every few milliseconds."""
        return

    def connection_closed(self, address: str) -> None:
        """Take note that the connection from an address has ended, perhaps with its process."""

    def connection_refused(self, address: str) -> None:
        """Take note that nothing listens at an address: its process has ended."""

    def resumed(self, gap_ms: int) -> None:
        """Drop claims held in memory, because the process was frozen for `gap_ms`.

        Called before any other work.
        """


class Node:
    """A set of components with one clock, one address and one table of open requests.

    `settings` are those of the process (`runtime.settings.Settings`); `open_requests` are the
    requests that wait for a reply, by request number. Numbers start at a random place, so that a
    late reply to an earlier start of the node meets no open request.
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
        """Send a request; `on_reply` gets the reply, or None after `timeout_ms`."""
        self._last_request_id += 1
        request_id = self._last_request_id
        self.open_requests[request_id] = OpenRequest(on_reply, self.env.now() + timeout_ms)
        self.env.send(to, request_id, 0, message)

    def reply(self, origin: Origin, message: Message) -> None:
        """Reply to a request; a message that was no request gets nothing."""
        if origin.request_id:
            self.env.send(origin.sender, 0, origin.request_id, message)

    def receive(self, sender: str, request_id: int, in_reply_to: int, message: Message) -> None:
        """Pass a reply to its requester, or a message to the component that handles its type."""
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
        """Time out open requests and let each component do its periodic work."""
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
