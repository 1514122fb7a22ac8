"""The transport of requests to workers, over aiohttp.

One task owns the connection of one attempt and reports to it what comes back. A refused or never
made connection is told apart from one that broke, since only then it is certain that nothing ran.
Our own completions have a connection each; forwarded requests use pooled ones.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from messaging.node_runner import awaited
from request_routing import Attempt
from runtime import log
from yarl import URL

from data_plane.connection_pool import CURRENT_REQUEST, OutgoingRequest, WorkerPool, pooled_session

__all__ = ["HttpSender"]

_HEAD_BYTES = 1 << 16
_READ_BYTES = 1 << 14
_CONNECT_SHARE = 0.5
_SILENT_TIMES = 4
_NOT_MADE = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class HttpSender:
    """Sends attempts; `pool` has the connections of forwarded requests once there was one.

    `request_timeout_ms` is the time for a connection, in milliseconds; forwarded requests have a
    share of it.
    """

    __slots__ = ("_ask_ms", "_kept", "_session", "pool")

    def __init__(self, request_timeout_ms: int) -> None:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=request_timeout_ms / 1000),
            max_line_size=_HEAD_BYTES,
            auto_decompress=False,
        )
        self._ask_ms = request_timeout_ms
        self._kept: aiohttp.ClientSession | None = None
        self.pool: WorkerPool | None = None

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
        if self._kept is not None:
            await self._kept.close()

    def __call__(
        self,
        send: Attempt,
        address: str,
        target: str,
        headers: Any,
        body: Any,
        method: str = "POST",
    ) -> Callable[[], None]:
        """Begin an attempt in a task of its own, and return what cancels it.

        A `body` that is a JSON object goes out on a connection of its own; bytes use a pooled one.
        """
        run = (
            self._run(send, address, target, headers, body)
            if isinstance(body, dict)
            else self._forward(send, address, target, headers, body, method)
        )
        return asyncio.get_running_loop().create_task(run).cancel

    async def _run(
        self, send: Attempt, address: str, kind: str, headers: dict[str, str], body: dict[str, Any]
    ) -> None:
        try:
            async with self._session.post(
                f"http://{address}{kind}", json=body, headers=headers, allow_redirects=False
            ) as answer:
                send.head(answer.status, list(answer.headers.items()), answer.content_length)
                async for chunk in answer.content.iter_any():
                    send.data(chunk)
                send.end()
        except Exception as error:
            _broke(send, error)

    def _pooled(self) -> aiohttp.ClientSession:
        if self._kept is None:
            self.pool = WorkerPool(self._ask_ms * _SILENT_TIMES)
            self._kept = pooled_session(self.pool, int(self._ask_ms * _CONNECT_SHARE), _HEAD_BYTES)
        return self._kept

    async def _forward(
        self,
        send: Attempt,
        address: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        method: str,
    ) -> None:
        send.connecting = True
        request_id = send.carriage.call.request_id
        CURRENT_REQUEST.set(OutgoingRequest(target, request_id, send.repeatable, send.connected))
        try:
            async with self._pooled().request(
                method,
                URL(f"http://{address}{target}", encoded=True),
                data=body or None,
                headers=headers,
                allow_redirects=False,
                read_bufsize=_READ_BYTES,
            ) as answer:
                send.head(answer.status, answer.headers.items(), answer.content_length)
                if not send.exchange.trusted:
                    answer.distrust()
                async for chunk in answer.content.iter_any():
                    send.data(chunk)
                    if send.full:
                        await awaited(send.when_room)
                send.end()
        except Exception as error:
            _broke(send, error)


def _broke(send: Attempt, error: Exception) -> None:
    if isinstance(error, _NOT_MADE):
        send.broke("no connection", False)
        return
    if not isinstance(error, aiohttp.ClientError | OSError | ValueError):
        log("send-raised", "ERROR", reason=repr(error))
    send.broke(type(error).__name__, True)
