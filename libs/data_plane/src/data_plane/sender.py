"""The transport of requests to workers, over aiohttp.

Each attempt has a task that sends the request and reports the response to it. Failing to connect is
reported separately from a connection that broke, since only in the first case the request has
certainly not run. Each completion of vaneledge's own HTTP API uses a new connection; forwarded
requests use pooled connections.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import aiohttp
from messaging.node_runner import awaited
from request_routing import Attempt, ForwardCall, ForwardExchange
from runtime import log
from yarl import URL

from data_plane.connection_pool import (
    CURRENT_REQUEST,
    OutgoingRequest,
    WorkerPool,
    WorkerResponse,
    pooled_session,
)

__all__ = ["HttpSender"]

_HEAD_BYTES = 1 << 16
_READ_BYTES = 1 << 14
# Multiples of request_timeout_ms: the time to connect for the pool, and its TCP_USER_TIMEOUT.
_CONNECT_SHARE = 0.5
_USER_TIMEOUT_FACTOR = 4
_NO_CONNECTION_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_BROKEN_CONNECTION_ERRORS = (aiohttp.ClientError, OSError, ValueError)


class HttpSender:
    """Sends attempts to workers.

    `pool` is the connection pool of forwarded requests, None before the first of them.

    Parameters
    ----------
    request_timeout_ms
        The longest time for connecting, in milliseconds; forwarded requests get a share of it.
    """

    __slots__ = ("_pooled_session", "_request_timeout_ms", "_session", "pool")

    def __init__(self, request_timeout_ms: int) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=request_timeout_ms / 1000),
            max_line_size=_HEAD_BYTES,
            auto_decompress=False,
        )
        self._request_timeout_ms = request_timeout_ms
        self._pooled_session: aiohttp.ClientSession | None = None
        self.pool: WorkerPool | None = None

    async def close(self) -> None:
        """Close all connections to workers."""
        await self._session.close()
        if self._pooled_session is not None:
            await self._pooled_session.close()

    def __call__(
        self,
        attempt: Attempt,
        address: str,
        target: str,
        headers: Any,
        body: Any,
        method: str = "POST",
    ) -> Callable[[], object]:
        """Start an attempt in a new task, and return the function that cancels it.

        A dict as `body` is sent as JSON on a new connection, bytes on a pooled connection.
        """
        run = (
            self._complete(attempt, address, target, headers, body)
            if isinstance(body, dict)
            else self._forward(attempt, address, target, headers, body, method)
        )
        return asyncio.get_running_loop().create_task(run).cancel

    async def _complete(
        self,
        attempt: Attempt,
        address: str,
        target: str,
        headers: dict[str, str],
        body: dict[str, Any],
    ) -> None:
        try:
            async with self._session.post(
                f"http://{address}{target}", json=body, headers=headers, allow_redirects=False
            ) as response:
                attempt.head(
                    response.status, list(response.headers.items()), response.content_length
                )
                async for chunk in response.content.iter_any():
                    attempt.data(chunk)
                attempt.end()
        except Exception as error:
            _report_failure(attempt, error)

    def _forward_session(self) -> aiohttp.ClientSession:
        if self._pooled_session is None:
            self.pool = WorkerPool(self._request_timeout_ms * _USER_TIMEOUT_FACTOR)
            connect_ms = int(self._request_timeout_ms * _CONNECT_SHARE)
            self._pooled_session = pooled_session(self.pool, connect_ms, _HEAD_BYTES)
        return self._pooled_session

    async def _forward(
        self,
        attempt: Attempt,
        address: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        method: str,
    ) -> None:
        attempt.connecting = True
        request_id = cast(ForwardCall, attempt.request.call).request_id
        outgoing = OutgoingRequest(target, request_id, attempt.idempotent, attempt.connected)
        CURRENT_REQUEST.set(outgoing)
        try:
            async with self._forward_session().request(
                method,
                URL(f"http://{address}{target}", encoded=True),
                data=body or None,
                headers=headers,
                allow_redirects=False,
                read_bufsize=_READ_BYTES,
            ) as response:
                attempt.head(response.status, response.headers.items(), response.content_length)
                if not cast(ForwardExchange, attempt.exchange).connection_is_reusable:
                    cast(WorkerResponse, response).close_connection_after()
                async for chunk in response.content.iter_any():
                    attempt.data(chunk)
                    if attempt.is_backpressured:
                        await awaited(attempt.when_drained)
                attempt.end()
        except Exception as error:
            _report_failure(attempt, error)
        finally:
            outgoing.forget()


def _report_failure(attempt: Attempt, error: Exception) -> None:
    """Report to an attempt that it failed, and whether a connection had been made."""
    if isinstance(error, _NO_CONNECTION_ERRORS):
        attempt.connection_failed("no connection", False)
        return
    if not isinstance(error, _BROKEN_CONNECTION_ERRORS):
        log("attempt-raised", "ERROR", reason=repr(error))
    attempt.connection_failed(type(error).__name__, True)
