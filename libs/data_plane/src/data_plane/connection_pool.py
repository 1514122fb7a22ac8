"""Connections to workers, kept alive and used again.

A worker says how long it keeps an idle one, and nobody knows whether one that has been idle is
about to be closed; so what is not safe to repeat uses only one that was used a moment ago. One that
saw anything odd, or has unexpected bytes, is never used again. Nor is one used for two attempts
of the same id in a row: a late copy of the first response would pass for the second.
"""

import socket
from collections.abc import Callable, MutableSequence
from contextlib import suppress
from contextvars import ContextVar
from functools import partial
from time import monotonic
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

__all__ = ["CURRENT_REQUEST", "OutgoingRequest", "WorkerPool", "pooled_session"]

# shares of the worker's idle time within which a connection is good for requests that may not run
# twice, and for those that may
_UNSAFE_SHARE = 0.5
_SAFE_SHARE = 0.8
# how long a worker that doesn't say is taken to keep an idle connection, and the most believed
_DEFAULT_IDLE_S = 1.0
_MAX_IDLE_S = 30.0


class OutgoingRequest:
    """What a request's task knows and the HTTP library does not pass on.

    That is the target as it came, the request's id, whether it may run twice, and what to call once
    there is a connection.
    """

    __slots__ = ("idempotent", "on_connected", "request_id", "target")

    def __init__(
        self, target: str, request_id: str, idempotent: bool, on_connected: Callable[[], None]
    ) -> None:
        self.target = target
        self.request_id = request_id
        self.idempotent = idempotent
        self.on_connected = on_connected


CURRENT_REQUEST: ContextVar[OutgoingRequest] = ContextVar("current")


def _announced_idle_s(headers: Any) -> float:
    """Return how many seconds the worker says that it keeps an idle connection."""
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(_MAX_IDLE_S, float(value))
    return _DEFAULT_IDLE_S


class WorkerProtocol(ResponseHandler):
    """One connection to a worker.

    Bytes count as a response only between a request and the end of its response; any others mark
    the connection, which is then never used again. `idle_s` is how many seconds the worker keeps it
    idle.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop=loop)
        self.idle_s = _DEFAULT_IDLE_S
        self.request_id = ""
        self._awaiting_response = False

    def request_started(self, request_id: str) -> None:
        """Record that a request is about to be written."""
        self._awaiting_response, self.request_id = True, request_id

    def response_ended(self) -> None:
        """Record that the response is complete."""
        self._awaiting_response = False

    def data_received(self, data: bytes) -> None:
        """Take bytes; unexpected ones mark the connection as not to be used again."""
        if data and not self._awaiting_response:
            self.force_close()
        super().data_received(data)

    def has_surplus(self) -> bool:
        """Whether the parser has begun on something after the last response.

        It ends the parser, as a new one is made for each request.
        """
        parser, self._parser = self._parser, None
        if parser is None:
            return False
        with suppress(Exception):
            return parser.feed_eof() is not None
        return True


class WorkerResponse(aiohttp.ClientResponse):
    """A response that keeps its connection's protocol, which the library drops at the end."""

    async def start(self, connection: Any) -> "WorkerResponse":
        """Read the head, and take from it how long the worker keeps an idle connection."""
        self.protocol = connection.protocol
        await super().start(connection)
        self.protocol.idle_s = _announced_idle_s(self.headers)
        return self

    def close_connection_after(self) -> None:
        """Have the connection closed after this response: whatever else comes on it is ignored."""
        self.protocol.force_close()


class _VerbatimUrl:
    """A URL in all but its path and query, which are written as they came."""

    __slots__ = ("_url", "raw_path_qs")

    def __init__(self, url: URL, target: str) -> None:
        self._url, self.raw_path_qs = url, target

    def __getattr__(self, name: str) -> Any:
        return getattr(self._url, name)


class RawRequest(aiohttp.ClientRequest):
    """A request whose line has the target as it came.

    A URL alone would lose a question mark at its end.
    """

    async def send(self, conn: Any) -> Any:
        """Write the request, with the target and the id of the task's `OutgoingRequest`."""
        target = CURRENT_REQUEST.get().target
        if target != self.url.raw_path_qs:
            verbatim: Any = _VerbatimUrl(self.url, target)
            self.url = verbatim
        conn.protocol.request_started(CURRENT_REQUEST.get().request_id)
        return await super().send(conn)


class WorkerPool(aiohttp.TCPConnector):
    """The connector of forwarded requests; `opened` counts the connections made.

    `user_timeout_ms` is after how many milliseconds the kernel gives up on unacknowledged bytes.
    """

    def __init__(self, user_timeout_ms: int) -> None:
        super().__init__(
            limit=0,
            keepalive_timeout=_MAX_IDLE_S,
            family=socket.AF_INET,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=self._socket,
        )
        self._user_timeout_ms = user_timeout_ms
        factory: Any = partial(WorkerProtocol, self._loop)
        self._factory = factory
        self.opened = 0

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        """Return a connection, kept or new, and tell the request's task that there is one."""
        connection = await super().connect(req, traces, timeout)
        CURRENT_REQUEST.get().on_connected()
        return connection

    def _socket(self, info: tuple[Any, ...]) -> socket.socket:
        connection = socket.socket(info[0], info[1], info[2])
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._user_timeout_ms)
        self.opened += 1
        return connection

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        protocol.response_ended()
        super()._release(key, protocol, should_close=should_close)

    async def _get(self, key: Any, traces: Any) -> Any:
        """Return the connection used last, if it is good for this request.

        Those that are good for nothing are closed.
        """
        found = self._take_reusable(self._conns.get(key, []))
        if not self._conns.get(key):
            self._conns.pop(key, None)
        if found is None:
            return None
        self._acquired.add(found)
        return aiohttp.connector.Connection(self, key, found, self._loop)

    def _take_reusable(self, rows: MutableSequence[tuple[Any, float]]) -> WorkerProtocol | None:
        outgoing, now = CURRENT_REQUEST.get(), monotonic()
        share = _SAFE_SHARE if outgoing.idempotent else _UNSAFE_SHARE
        skipped: list[tuple[WorkerProtocol, float]] = []
        found = None
        while rows and found is None:
            protocol, idle_since = rows.pop()
            if _is_spent(protocol, now - idle_since):
                protocol.close()
            elif now - idle_since > protocol.idle_s * share:
                rows.append((protocol, idle_since))
                break
            elif protocol.request_id == outgoing.request_id:
                skipped.append((protocol, idle_since))
            elif protocol.has_surplus():
                protocol.close()
            else:
                found = protocol
        rows.extend(reversed(skipped))
        return found


def _is_spent(protocol: WorkerProtocol, idle_s: float) -> bool:
    """Whether a connection is good for no request any more."""
    return (
        not protocol.is_connected()
        or protocol.should_close
        or idle_s > protocol.idle_s * _SAFE_SHARE
    )


def pooled_session(pool: WorkerPool, connect_ms: int, head_bytes: int) -> aiohttp.ClientSession:
    """Return a session over the pool that does nothing on its own account.

    It never sends twice, follows redirects, decodes bodies or adds headers. `connect_ms` bounds the
    time for a connection; `head_bytes` each line of the response's head.
    """
    session = aiohttp.ClientSession(
        connector=pool,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_ms / 1000),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        request_class=RawRequest,
        response_class=WorkerResponse,
        max_line_size=head_bytes,
        max_field_size=head_bytes,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
    )
    session._retry_connection = False
    return session
