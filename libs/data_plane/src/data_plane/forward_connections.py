"""Clients' connections for forwarded requests: the library's HTTP server with limits of our own.

The limits come with the configuration; each connection keeps those that were in force when it
began. A draining server closes a connection only once what was read from it is answered.
"""

import asyncio
from typing import Any

from aiohttp import web
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
    """One connection of a client."""

    __slots__ = ()

    def close_when_idle(self) -> None:
        """Close now if no request has been read, else with the response.

        A request that was taken off the queue and isn't handled yet shows only in that nothing
        waits for the next one.
        """
        waiting = self._waiter is not None and not self._waiter.done()
        if self._request_in_progress or self._messages or (self._request_count and not waiting):
            self.close()
        elif self.transport is not None:
            self.transport.close()


class ConnectionServer(web.Server):
    """The HTTP server; new connections get the limits that are in force when they come."""

    limits: dict[str, int] = DEFAULT_LIMITS

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        limits = self.limits
        # The library takes None as no access log, though its annotation says otherwise.
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
        """Close each connection now or with the response to what was read from it."""
        for connection in self.connections:
            if isinstance(connection, ClientConnection):
                connection.close_when_idle()


async def listen(loop: asyncio.AbstractEventLoop, factory: Any, address: str) -> asyncio.Server:
    """Listen at IP:PORT; raises OSError if that can't be done."""
    host, _, port = address.rpartition(":")
    return await loop.create_server(
        factory, host.strip("[]"), int(port), backlog=_LISTEN_BACKLOG, reuse_address=True
    )
