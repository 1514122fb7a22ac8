"""The pool of keep-alive connections to workers.

A worker announces for how long it keeps an idle connection, and may be closing one that the pool
still has. So a request that is not idempotent uses only a connection that was idle for a short
time. A connection whose response was invalid, or on which unexpected bytes arrived, is never
reused. Nor does a connection carry two attempts with the same request id in a row, as a late copy
of the first response could be taken for the second.
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

# Shares of the worker's idle timeout during which an idle connection is reused.
_NON_IDEMPOTENT_IDLE_SHARE = 0.5
_IDEMPOTENT_IDLE_SHARE = 0.8
# The idle timeout of a worker that announces none, and the upper bound of an announced one.
_DEFAULT_IDLE_S = 1.0
_MAX_IDLE_S = 30.0


class OutgoingRequest:
    """Parameters of a request that aiohttp does not pass on to connections.

    Parameters
    ----------
    target
        The request target, byte for byte as the client sent it.
    request_id
        The request's id.
    idempotent
        Whether the request may safely be sent more than once.
    on_connected
        Called once there is a connection.
    """

    __slots__ = ("idempotent", "on_connected", "request_id", "target")

    def __init__(
        self, target: str, request_id: str, idempotent: bool, on_connected: Callable[[], None]
    ) -> None:
        self.target = target
        self.request_id = request_id
        self.idempotent = idempotent
        self.on_connected = on_connected

    def forget(self) -> None:
        """Drop the callback, and with it the request and its body.

        A connection's callbacks keep the context in which it was made, so also this object, for as
        long as it is open.
        """
        self.on_connected = _do_nothing


def _do_nothing() -> None:
    return


CURRENT_REQUEST: ContextVar[OutgoingRequest] = ContextVar("current")
"""The request of the current task."""


def _announced_idle_s(headers: Any) -> float:
    """Return the idle timeout of the Keep-Alive header in seconds, bounded, or the default."""
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(_MAX_IDLE_S, float(value))
    return _DEFAULT_IDLE_S


class WorkerProtocol(ResponseHandler):
    """One connection to a worker.

    Bytes that arrive while no response is awaited mark the connection, which is then never reused.
    `idle_s` is the worker's idle timeout in seconds, and `request_id` the id of the last request.
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
        """Receive bytes; unexpected ones mark the connection as not to be reused."""
        if data and not self._awaiting_response:
            self.force_close()
        super().data_received(data)

    def has_surplus(self) -> bool:
        """Whether the parser holds the beginning of another response after the last one.

        The parser is discarded; a new one is made for each request.
        """
        parser, self._parser = self._parser, None
        if parser is None:
            return False
        with suppress(Exception):
            return parser.feed_eof() is not None
        return True


class WorkerResponse(aiohttp.ClientResponse):
    """A response that keeps its connection's protocol, which aiohttp drops at the end."""

    async def start(self, connection: Any) -> "WorkerResponse":
        """Read the response head, and record the idle timeout that it announces."""
        self.protocol = connection.protocol
        await super().start(connection)
        self.protocol.idle_s = _announced_idle_s(self.headers)
        return self

    def close_connection_after(self) -> None:
        """Have the connection closed after this response instead of reused."""
        self.protocol.force_close()


class _VerbatimUrl:
    """A URL whose path and query are sent byte for byte as the client sent them."""

    __slots__ = ("_url", "raw_path_qs")

    def __init__(self, url: URL, target: str) -> None:
        self._url, self.raw_path_qs = url, target

    def __getattr__(self, name: str) -> Any:
        return getattr(self._url, name)


class RawRequest(aiohttp.ClientRequest):
    """A request that is sent with the client's request target unchanged.

    yarl's URL would drop a question mark with no query after it.
    """

    async def send(self, conn: Any) -> Any:
        """Send the request with the target of `CURRENT_REQUEST`, and record its id."""
        target = CURRENT_REQUEST.get().target
        if target != self.url.raw_path_qs:
            verbatim: Any = _VerbatimUrl(self.url, target)
            self.url = verbatim
        conn.protocol.request_started(CURRENT_REQUEST.get().request_id)
        return await super().send(conn)


class WorkerPool(aiohttp.TCPConnector):
    """The connector of forwarded requests; `opened` counts the sockets that it made.

    `user_timeout_ms` is TCP_USER_TIMEOUT: after so many milliseconds the kernel closes a connection
    whose bytes stay unacknowledged.
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
        """Return a pooled or a new connection, after calling the request's `on_connected`."""
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
        """Return the most recently used connection that this request may reuse, or None.

        Connections that no request may reuse any more are closed.
        """
        found = self._take_reusable(self._conns.get(key, []))
        if not self._conns.get(key):
            self._conns.pop(key, None)
        if found is None:
            return None
        self._acquired.add(found)
        return aiohttp.connector.Connection(self, key, found, self._loop)

    def _take_reusable(
        self, idle_connections: MutableSequence[tuple[Any, float]]
    ) -> WorkerProtocol | None:
        outgoing, now = CURRENT_REQUEST.get(), monotonic()
        share = _IDEMPOTENT_IDLE_SHARE if outgoing.idempotent else _NON_IDEMPOTENT_IDLE_SHARE
        skipped: list[tuple[WorkerProtocol, float]] = []
        found = None
        while idle_connections and found is None:
            protocol, idle_since = idle_connections.pop()
            if _is_unusable(protocol, now - idle_since):
                protocol.close()
            elif now - idle_since > protocol.idle_s * share:
                idle_connections.append((protocol, idle_since))
                break
            elif protocol.request_id == outgoing.request_id:
                skipped.append((protocol, idle_since))
            elif protocol.has_surplus():
                protocol.close()
            else:
                found = protocol
        idle_connections.extend(reversed(skipped))
        return found


def _is_unusable(protocol: WorkerProtocol, idle_s: float) -> bool:
    """Whether a connection that was idle for `idle_s` seconds can't serve any request."""
    return (
        not protocol.is_connected()
        or protocol.should_close
        or idle_s > protocol.idle_s * _IDEMPOTENT_IDLE_SHARE
    )


def pooled_session(pool: WorkerPool, connect_ms: int, head_bytes: int) -> aiohttp.ClientSession:
    """Return a session over the pool with aiohttp's automatic behaviour switched off.

    It doesn't resend requests, store cookies, decode bodies or add headers such as User-Agent.
    Redirects can be switched off only for each request.

    Parameters
    ----------
    pool
        The connector.
    connect_ms
        The longest time for connecting, in milliseconds.
    head_bytes
        The largest status line or header of a response, in bytes.
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
