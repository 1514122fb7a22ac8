"""Clients' connections: aiohttp's HTTP server with bounds for clients that don't behave.

A connection keeps the idle timeout and the limits of its heads that were in force when it was
opened; a request's body has the limit in force when its handling begins. What a connection has
taken in of a head or a body that is not complete is drawn from the process's `MemoryBudget`; a
connection for which there is none is closed. A draining server answers each request that it has
read before it closes the connection.
"""

import asyncio
import socket
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.web_protocol import RequestHandler

from data_plane.body_reader import BodyReader, release_memory

__all__ = ["DEFAULT_LIMITS", "BoundedAppRunner", "ConnectionServer", "listen"]

_LISTEN_BACKLOG = 1024
# Connections that are accepted at a time; more of them could use up the descriptors at once.
_ACCEPT_BATCH = 64
# What one read takes from a socket, and what is parsed of a body before its reader has to take it.
_RECEIVE_BYTES = 1 << 14
# Bytes that a client may leave unread before its handler waits for it.
_UNSENT_BYTES = 1 << 14
# Memory of an incomplete head for each of its bytes: names and values stand raw and decoded.
_HEAD_COPIES = 4
# What a socket takes in before it is read; the kernel would let it grow to megabytes.
_SOCKET_BUFFER_BYTES = 1 << 16
# Memory of a connection with an incomplete body: buffers of the socket, the parser and the reader.
_BODY_BUFFER_BYTES = _SOCKET_BUFFER_BYTES + 2 * _RECEIVE_BYTES
_MAX_QUEUED_REQUESTS = 2
# Some clients send an empty line after a body; it is no part of the next head.
_LINE_END = b"\r\n"
# The part of all connections that are closed at a time to make room for new ones.
_EVICTED_SHARE = 1 / 16

DEFAULT_LIMITS = {
    "header_bytes": 1 << 14,
    "body_bytes": 1 << 22,
    "header_wait_ms": 5000,
    "idle_ms": 30_000,
}


class ClientConnection(RequestHandler, asyncio.BufferedProtocol):
    """A client's connection; `body` is that of the request that was taken off the queue last."""

    __slots__ = (
        "_arriving",
        "_bodies",
        "_head_bytes",
        "_head_timer",
        "_head_wait_s",
        "_holding",
        "_idle_s",
        "_receive_buffer",
        "_unsent_bytes",
        "_write_timer",
        "body",
    )

    def __init__(
        self, manager: "ConnectionServer", header_wait_ms: int, idle_ms: int, **settings: Any
    ) -> None:
        super().__init__(manager, **settings)
        # A client may send its next requests before the response; no more is read beside two.
        self._max_msg_queue_size = _MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = _MAX_QUEUED_REQUESTS - 1
        self.body: StreamReader | None = None
        self._arriving: StreamReader | None = None
        self._bodies = manager.bodies
        self._holding = manager.bodies.budget.holding()
        self._receive_buffer = manager.receive_buffer
        self._head_bytes = 0
        self._head_wait_s = header_wait_ms / 1000
        self._head_timer: asyncio.TimerHandle | None = None
        self._idle_s = idle_ms / 1000
        self._unsent_bytes = 0
        self._write_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=_UNSENT_BYTES)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection holds."""
        self._stop_head_timer()
        self._stop_write_timer()
        self._holding.release()
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read; all connections of a server share it."""
        return self._receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what the last read has put into the buffer."""
        self.data_received(bytes(self._receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the client, and bound what is held of an incomplete request."""
        if self._close or self._force_close:
            return
        request_count, of_body = self._request_count, self._is_body_arriving()
        super().data_received(data)
        if self.transport is None:
            return
        if self._request_count != request_count:
            self._arriving = self._messages[-1][1]
            self._head_bytes = 0
            self._stop_head_timer()
        elif not of_body and (self._head_bytes or data.strip(_LINE_END)):
            self._head_bytes += len(data)
        self._bound_incomplete_request()

    async def _handle_request(
        self, request: web.BaseRequest, start_time: float | None, request_handler: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Handle a request and write its response; then give back what the request holds.

        The response's body is dropped then, since an idle connection keeps its last response. The
        client of a request that was refused unread reads the response after it has sent all.
        """
        try:
            response, is_reset = await super()._handle_request(request, start_time, request_handler)
        finally:
            release_memory(request)
        if isinstance(response, web.Response):
            response.body = None
        if not is_reset:
            await self._bodies.discard(request, self._head_wait_s)
        if not response.keep_alive:
            self._abort_unless_sent(self.transport)
        return response, is_reset

    def _is_body_arriving(self) -> bool:
        return self._arriving is not None and not self._arriving.is_eof()

    def _bound_incomplete_request(self) -> None:
        held_bytes = (
            _BODY_BUFFER_BYTES if self._is_body_arriving() else self._head_bytes * _HEAD_COPIES
        )
        if held_bytes != self._holding.size_bytes and not self._holding.try_resize(held_bytes):
            self._bodies.budget.refused_count += 1
            self.force_close()
        elif self._head_bytes > self.max_field_size:
            self._refuse_head("431 Request Header Fields Too Large")
        elif self._head_bytes and self._head_timer is None:
            self._head_timer = self._loop.call_later(self._head_wait_s, self._on_late_head)

    def _on_late_head(self) -> None:
        self._refuse_head("408 Request Timeout")

    def _refuse_head(self, status: str) -> None:
        """Answer an incomplete head and close the connection; if others come first, after those."""
        if not self.is_idle:
            self.close()
            return
        assert self.transport is not None
        self.transport.write(
            f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        self.force_close()

    def force_close(self) -> None:
        """Close the connection, also if the client doesn't read the rest in the idle timeout."""
        self._abort_unless_sent(self.transport)
        super().force_close()

    def _abort_unless_sent(self, transport: asyncio.Transport | None) -> None:
        """Abort a connection that is about to be closed, if the rest is not sent in time.

        A transport that is closed waits for its client to read what was written.
        """
        if transport is not None and transport.get_write_buffer_size():
            self._loop.call_later(self._idle_s, transport.abort)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def pause_writing(self) -> None:
        """Make the handler wait, and close the connection if the client reads nothing at all."""
        super().pause_writing()
        assert self.transport is not None
        self._unsent_bytes = self.transport.get_write_buffer_size()
        self._write_timer = self._loop.call_later(self._idle_s, self._check_unsent)

    def resume_writing(self) -> None:
        """Let the handler go on."""
        self._stop_write_timer()
        super().resume_writing()

    def _check_unsent(self) -> None:
        if self.transport is None:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes >= self._unsent_bytes:
            self.transport.abort()
            return
        self._unsent_bytes = unsent_bytes
        self._write_timer = self._loop.call_later(self._idle_s, self._check_unsent)

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for a request, of which it may have a part of the head.

        A request that aiohttp has just taken off its queue is neither queued nor in progress, but
        nothing waits for the next one either.
        """
        waiting = self._waiter is not None and not self._waiter.done()
        return self.transport is not None and waiting and not self._messages

    @property
    def idle_since_s(self) -> float:
        """When the connection was opened or its last response ended, on the event loop's clock."""
        return self._next_keepalive_close_time

    def _is_receiving_body(self) -> bool:
        """Whether the body of a request whose head was read is still arriving."""
        bodies = [body for _, body in self._messages]
        if self.body is not None:
            bodies.append(self.body)
        return any(not body.is_eof() for body in bodies)

    def close_when_idle(self) -> None:
        """Close now if no request has been read, else after the response.

        A request that aiohttp has taken off its queue and not begun to handle is neither queued nor
        in progress; the only sign of it is that nothing waits for the next request. While a body is
        still arriving nothing is done: aiohttp would drop the rest of it, and the response, like
        each one of a draining server, closes the connection.
        """
        if self._is_receiving_body():
            return
        waiting = self._waiter is not None and not self._waiter.done()
        if self._request_in_progress or self._messages or (self._request_count and not waiting):
            self.close()
        elif self.transport is not None:
            self.transport.close()


class ConnectionServer(web.Server):
    """The HTTP server; `limits` are those in force, by the keys of `DEFAULT_LIMITS`.

    Beyond `max_connections` the connections that have been idle for the longest are closed; if none
    is idle, the new one is.

    Parameters
    ----------
    handler
        Handles the requests.
    bodies
        Reads and discards the requests' bodies; its budget also has the memory for what connections
        hold of incomplete requests.
    max_connections
        The number of open connections.
    """

    limits: dict[str, int] = DEFAULT_LIMITS

    def __init__(
        self, handler: Any, bodies: BodyReader, max_connections: int, **settings: Any
    ) -> None:
        super().__init__(handler, **settings)
        self.bodies = bodies
        self.max_connections = max_connections
        self.receive_buffer = memoryview(bytearray(_RECEIVE_BYTES))
        self._closing: set[RequestHandler] = set()

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection, with the limits in force."""
        limits = self.limits
        # aiohttp accepts None for no access log, although its type annotation excludes it.
        no_access_log: Any = None
        return ClientConnection(
            self,
            limits["header_wait_ms"],
            limits["idle_ms"],
            loop=self._loop,
            access_log=no_access_log,
            auto_decompress=False,
            keepalive_timeout=limits["idle_ms"] / 1000,
            max_line_size=limits["header_bytes"],
            max_field_size=limits["header_bytes"],
            read_bufsize=_RECEIVE_BYTES,
            lingering_time=0.0,
        )

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        """Count a connection, and close others if there are too many."""
        super().connection_made(handler, transport)
        if len(self._connections) - len(self._closing) > self.max_connections:
            self._make_room(handler)

    def connection_lost(self, handler: RequestHandler, exc: BaseException | None = None) -> None:
        """Forget a connection."""
        self._closing.discard(handler)
        super().connection_lost(handler, exc)

    def _make_room(self, newest: RequestHandler) -> None:
        """Close those connections that have been idle for the longest, or else the newest."""
        idle = [
            connection
            for connection in self._connections
            if isinstance(connection, ClientConnection)
            and connection.is_idle
            and connection is not newest
            and connection not in self._closing
        ]
        idle.sort(key=lambda connection: connection.idle_since_s)
        count = max(1, int(self.max_connections * _EVICTED_SHARE))
        closed: list[RequestHandler] = list(idle[:count])
        for connection in closed or [newest]:
            self._closing.add(connection)
            connection.force_close()

    def _make_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        protocol.body = payload
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            self._loop,
            client_max_size=self.limits["body_bytes"],
        )

    def close_idle_connections(self) -> None:
        """Close each connection now, or after the response to a request that it has read."""
        for connection in self.connections:
            if isinstance(connection, ClientConnection):
                connection.close_when_idle()


class BoundedAppRunner(web.AppRunner):
    """Runs an application with a `ConnectionServer`; the parameters are those of both."""

    def __init__(
        self, app: web.Application, bodies: BodyReader, max_connections: int, **settings: Any
    ) -> None:
        super().__init__(app, access_log=None, **settings)
        self._bodies = bodies
        self._max_connections = max_connections

    async def _make_server(self) -> web.Server:
        plain = await super()._make_server()
        return ConnectionServer(
            plain.request_handler,
            self._bodies,
            self._max_connections,
            request_factory=plain.request_factory,
            handler_cancellation=plain.handler_cancellation,
        )

    async def listen(self, address: str) -> None:
        """Set up the application and listen at `address`; raises OSError if it can't be bound."""
        await self.setup()
        listener = _bind(address)
        await web.SockSite(self, listener, backlog=_ACCEPT_BATCH).start()
        listener.listen(_LISTEN_BACKLOG)


async def listen(loop: asyncio.AbstractEventLoop, factory: Any, address: str) -> asyncio.Server:
    """Listen at `address`, IP:PORT; raises OSError if it can't be bound."""
    listener = _bind(address)
    server = await loop.create_server(factory, sock=listener, backlog=_ACCEPT_BATCH)
    listener.listen(_LISTEN_BACKLOG)
    return server


def _bind(address: str) -> socket.socket:
    """Return a bound socket, whose connections have its buffer for what they receive.

    The event loop sets the number of connections that wait to the number that it accepts at a time;
    more of them may wait, so the caller sets it again.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host.strip("[]"), int(port)), family=family)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES)
    return listener
