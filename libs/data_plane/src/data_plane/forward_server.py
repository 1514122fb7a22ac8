"""The clients' side of an edge for forwarded requests, over HTTP.

A request is read whole, its route is found, and the worker's answer is written as it comes: whole
events, and never the end of what is not whole. A client that reads slowly holds back the worker
(backpressure); one that hangs up releases it. How requests are read is given by a `RequestReader`.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from aiohttp import HttpVersion11, web
from aiohttp.web_protocol import RequestHandler
from mode import Service
from request_routing import ForwardCall, InFlightRequest, Step
from runtime import Refusal, log, refused

__all__ = ["ForwardServer", "RequestReader", "forward_refusal_response"]

_LINGER_SHARE = 0.45
_ANNOUNCED_SHARE = 0.8
_LAST_S = 0.05
_LIMITS = {
    "header_bytes": 1 << 14,
    "body_bytes": 1 << 22,
    "header_wait_ms": 5000,
    "idle_ms": 30_000,
}
JobRoutes = Callable[[web.BaseRequest, Any], Awaitable[web.StreamResponse]]


class RequestReader(Protocol):
    """What differs by the platform: the names of headers, of paths and of limits."""

    def call(self, request: web.BaseRequest, profile: Any, body: bytes) -> ForwardCall | Refusal:
        """Return the request to forward, or why it is refused."""
        ...

    def client_ms(self, request: web.BaseRequest) -> int | None:
        """Return how many milliseconds the client waits, None if it doesn't say."""
        ...

    def limits(self, about: dict[str, Any]) -> dict[str, int]:
        """Return the limits for clients that the configuration gives."""
        ...

    def is_job(self, path: str) -> bool:
        """Whether the path belongs to the batch interface."""
        ...


def forward_refusal_response(refusal: Refusal) -> web.Response:
    """Return the response of a refusal; Retry-After is in seconds with three decimals."""
    headers = (
        {"Retry-After": f"{refusal.retry_after_ms / 1000:.3f}"} if refusal.retry_after_ms else None
    )
    return web.Response(
        text=json.dumps(refusal.body()),
        status=refusal.status,
        content_type="application/json",
        headers=headers,
    )


class _Protocol(RequestHandler):
    __slots__ = ()

    def leave(self) -> None:
        """Close now if no request has been read, else with the answer.

        A request that was taken off the queue and isn't handled yet shows only in that nothing
        waits for the next one.
        """
        waiting = self._waiter is not None and not self._waiter.done()
        if self._request_in_progress or self._messages or (self._request_count and not waiting):
            self.close()
        elif self.transport is not None:
            self.transport.close()


class _Server(web.Server):
    """The HTTP server; new connections get the limits that are in force when they come."""

    limits: dict[str, int] = _LIMITS

    def __call__(self) -> RequestHandler:
        limits = self.limits
        return _Protocol(
            self,
            loop=self._loop,
            access_log=None,
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


class ForwardServer(Service):
    """Listens for clients, and answers readiness probes on an address of its own.

    `readiness` is that address and the path. `job_routes`, if there is one, is given the requests
    of batches. `live_now` counts the requests in progress, `counts` the refusals by code.
    """

    def __init__(
        self, node: Any, address: str, readiness: tuple[str, str], reader: RequestReader
    ) -> None:
        super().__init__()
        self._node, self._address, self._readiness, self._reader = node, address, readiness, reader
        self.job_routes: JobRoutes | None = None
        self.live_now = 0
        self.counts: dict[str, int] = {}
        self._stopping_at: float | None = None
        self._listeners: list[asyncio.Server] = []

    async def on_start(self) -> None:
        """Listen at both addresses; raises OSError if that can't be done."""
        loop = asyncio.get_running_loop()
        self._server = _Server(self._handle, handler_cancellation=True)
        ready = web.Server(self._ready, access_log=None)
        self._listeners = [
            await _listen(loop, self._server, self._address),
            await _listen(loop, ready, self._readiness[0]),
        ]

    async def on_stop(self) -> None:
        """Stop listening and close the connections."""
        for listener in self._listeners:
            listener.close()
        await self._server.shutdown(_LAST_S)

    # -- the end -------------------------------------------------------------------------------

    def start_draining(self) -> None:
        """Begin to drain; connections are closed after a part of the grace time.

        New clients may come until the platform has noticed; each answer closes its connection,
        which sends the client elsewhere.
        """
        loop = asyncio.get_running_loop()
        self._stopping_at = loop.time()
        loop.call_later(self._node.settings.grace_ms * _LINGER_SHARE / 1000, self._close_door)

    def _close_door(self) -> None:
        self._listeners[0].close()
        for protocol in self._server.connections:
            protocol.leave()

    def busy(self) -> bool:
        """Whether a client is being served, or may still come."""
        if self._stopping_at is None:
            return self.live_now > 0
        waited_ms = (asyncio.get_running_loop().time() - self._stopping_at) * 1000
        return self.live_now > 0 or waited_ms < self._node.settings.grace_ms * _LINGER_SHARE

    # -- requests ------------------------------------------------------------------------------

    async def _ready(self, request: web.BaseRequest) -> web.Response:
        if request.path != self._readiness[1]:
            return web.Response(status=404)
        reason = self._node.why_unready()
        return web.Response(status=503 if reason else 200, text=reason)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.live_now += 1
        try:
            response = await self._answer(request)
        except web.HTTPRequestEntityTooLarge:
            response = forward_refusal_response(
                refused("too-large", "the body is larger than the limit", 413)
            )
            response.force_close()
        finally:
            self.live_now -= 1
        if not response.prepared:
            self._prepare(response)
        return response

    def _prepare(self, response: web.StreamResponse) -> None:
        """Announce how long the connection is kept, with a margin; a draining edge keeps none."""
        if self._stopping_at is not None:
            response.force_close()
        else:
            idle_s = int(self._server.limits["idle_ms"] * _ANNOUNCED_SHARE / 1000)
            if idle_s > 0:
                response.headers["Keep-Alive"] = f"timeout={idle_s}"

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        counter = self._node.forward_service
        if _expects_word(request) and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        profile = counter.route(request.headers.get("Host", ""), request.raw_path)
        job = self._reader.is_job(request.path) or getattr(profile, "kind", "") == "lot"
        if job and self.job_routes is not None:
            return await self.job_routes(request, profile)
        body = await request.read()
        if isinstance(profile, Refusal):
            return self._refuse(profile)
        self._server.limits = {**_LIMITS, **self._reader.limits(counter.about())}
        call = (
            refused("no-lots", "lots are not served here", 503, 1000)
            if job
            else self._reader.call(request, profile, body)
        )
        if isinstance(call, Refusal):
            return self._refuse(call)
        queue: asyncio.Queue[bytes | Step] = asyncio.Queue()
        carriage = counter.forward(
            profile, call, self._reader.client_ms(request), queue.put_nowait, queue.put_nowait
        )
        try:
            return await self._write(request, queue, carriage)
        except (ConnectionError, asyncio.CancelledError):
            carriage.gone()
            raise

    def _refuse(self, refusal: Refusal) -> web.Response:
        self.counts[refusal.code] = self.counts.get(refusal.code, 0) + 1
        return forward_refusal_response(refusal)

    async def _write(
        self, request: web.BaseRequest, queue: asyncio.Queue, carriage: InFlightRequest
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        last: Step | None = None
        while last is None:
            pieces, last = _take(await queue.get(), queue)
            if pieces:
                if response is None:
                    response = await self._begin(request, carriage)
                data = b"".join(pieces)
                await response.write(data)
                carriage.taken(len(data))
        if last.name == "finish":
            return await self._finish(request, response, carriage, last)
        if response is None:
            return self._refuse(last.refusal)
        self.counts["cut"] = self.counts.get("cut", 0) + 1
        log("answer-cut", "WARNING", code=last.refusal.code, reason=last.refusal.message)
        if request.transport is not None:
            request.transport.abort()
        return response

    async def _begin(
        self, request: web.BaseRequest, carriage: InFlightRequest
    ) -> web.StreamResponse:
        status, headers, _ = carriage.head
        response = web.StreamResponse(status=status, headers=headers)
        self._prepare(response)
        await response.prepare(request)
        return response

    async def _finish(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse | None,
        carriage: InFlightRequest,
        last: Step,
    ) -> web.StreamResponse:
        status, body = last.value
        if response is None:
            _, headers, length = carriage.head
            if request.method == "HEAD":
                return _head_alone(status, headers, length)
            return web.Response(status=status, headers=headers, body=body)
        await response.write_eof()
        return response


def _head_alone(
    status: int, headers: list[tuple[str, str]], length: int | None
) -> web.StreamResponse:
    """Return the answer to HEAD: its length, in bytes, is that of a body which isn't sent."""
    response = web.StreamResponse(status=status, headers=headers)
    response.content_length = length
    return response


def _expects_word(request: web.BaseRequest) -> bool:
    """Whether the client waits before its body; one of HTTP/1.0 knows no interim answers."""
    expects = request.headers.get("Expect", "").lower() == "100-continue"
    return expects and request.version >= HttpVersion11


def _take(first: bytes | Step, queue: asyncio.Queue) -> tuple[list[bytes], Step | None]:
    """Return all that is queued by now, so that it is written at once, and the last step."""
    pieces: list[bytes] = []
    item: bytes | Step = first
    while not isinstance(item, Step):
        pieces.append(item)
        if queue.empty():
            return pieces, None
        item = queue.get_nowait()
    return pieces, item


async def _listen(loop: asyncio.AbstractEventLoop, factory: Any, address: str) -> asyncio.Server:
    host, _, port = address.rpartition(":")
    return await loop.create_server(
        factory, host.strip("[]"), int(port), backlog=1024, reuse_address=True
    )
