"""Clients' connections for forwarded requests: aiohttp's HTTP server with configurable limits.

The limits come with the configuration. A connection keeps the idle timeout and the limit of its
header lines that were in force when it was opened; a request's body has the limit in force when its
handling begins. A draining server answers each request that it has read before it closes the
connection.
"""

import asyncio
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.web_protocol import RequestHandler

__all__ = ["DEFAULT_LIMITS", "ConnectionServer", "listen"]

_LISTEN_BACKLOG = 1024

DEFAULT_LIMITS = {
    "header_bytes": 1 << 14,
    "body_bytes": 1 << 22,
    "header_wait_ms": 5000,
    "idle_ms": 30_000,
}


class ClientConnection(RequestHandler):
    """A client's connection; `body` is that of the request that was taken off the queue last."""

    __slots__ = ("body",)

    def __init__(self, manager: web.Server, **settings: Any) -> None:
        super().__init__(manager, **settings)
        self.body: StreamReader | None = None

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
    """The HTTP server; `limits` are those in force, by the keys of `DEFAULT_LIMITS`."""

    limits: dict[str, int] = DEFAULT_LIMITS

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection, with the limits in force."""
        limits = self.limits
        # aiohttp accepts None for no access log, although its type annotation excludes it.
        no_access_log: Any = None
        return ClientConnection(
            self,
            loop=self._loop,
            access_log=no_access_log,
            auto_decompress=False,
            keepalive_timeout=limits["idle_ms"] / 1000,
            max_line_size=limits["header_bytes"],
            max_field_size=limits["header_bytes"],
            lingering_time=0.0,
        )

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


async def listen(loop: asyncio.AbstractEventLoop, factory: Any, address: str) -> asyncio.Server:
    """Listen at `address`, IP:PORT; raises OSError if it can't be bound."""
    host, _, port = address.rpartition(":")
    return await loop.create_server(
        factory, host.strip("[]"), int(port), backlog=_LISTEN_BACKLOG, reuse_address=True
    )
