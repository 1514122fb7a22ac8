"""Sends over aiohttp: one task owns the connection of one send and reports to it what comes back. A
refused or never made connection is told apart from one that broke, since only the first is certain."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp

from circulation import Send
from colophon import log

__all__ = ["HttpSender"]

_HEAD_BYTES = 1 << 16


class HttpSender:
    __slots__ = ("_session",)

    def __init__(self, connect_ms: int) -> None:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._session = aiohttp.ClientSession(
            connector=connector, timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_ms / 1000),
            max_line_size=_HEAD_BYTES, auto_decompress=False)

    async def close(self) -> None:
        await self._session.close()

    def __call__(self, send: Send, address: str, kind: str, headers: dict[str, str], body: dict[str, Any]) -> Callable[[], None]:
        return asyncio.get_running_loop().create_task(self._run(send, address, kind, headers, body)).cancel

    async def _run(self, send: Send, address: str, kind: str, headers: dict[str, str], body: dict[str, Any]) -> None:
        try:
            async with self._session.post(f"http://{address}{kind}", json=body, headers=headers,
                                          allow_redirects=False) as answer:
                send.head(answer.status, list(answer.headers.items()), answer.content_length)
                async for chunk in answer.content.iter_any():
                    send.data(chunk)
                send.end()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            send.broke("no connection", False)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            send.broke(type(error).__name__, True)
        except Exception as error:
            log("send-raised", "ERROR", reason=repr(error))
            send.broke(type(error).__name__, True)
