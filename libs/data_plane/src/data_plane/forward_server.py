"""The HTTP server of an edge for forwarded requests.

A request is read as a whole, its route is found, and the worker's response is written as it comes:
complete events, and never the end of what is not complete. A client that reads slowly holds back
the worker (backpressure); one that disconnects releases it. How requests are read is given by a
`RequestReader`.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from aiohttp import HttpVersion11, web
from mode import Service
from request_routing import ForwardCall, InFlightRequest, Step
from request_routing.steps import StepKind
from runtime import Refusal, log, refused

from data_plane.forward_connections import DEFAULT_LIMITS, ConnectionServer, listen

__all__ = ["ForwardServer", "RequestReader", "forward_refusal_response"]

# shares of grace_ms and of the idle time that a kept connection is announced with
_LINGER_SHARE = 0.45
_ANNOUNCED_SHARE = 0.8
_SHUTDOWN_S = 0.05
_NO_JOBS_RETRY_MS = 1000
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

JobRoutes = Callable[[web.BaseRequest, Any], Awaitable[web.StreamResponse]]
EventQueue = asyncio.Queue[bytes | Step]


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


class ForwardServer(Service):
    """Listens for clients, and answers readiness probes on an address of its own.

    `readiness` is that address and the path. `job_routes`, if there is one, is given the requests
    of batch jobs. `live_now` counts the requests in progress, `counts` the refusals by code.
    """

    def __init__(
        self, node: Any, address: str, readiness: tuple[str, str], reader: RequestReader
    ) -> None:
        super().__init__()
        self._node = node
        self._address = address
        self._readiness_address, self._readiness_path = readiness
        self._reader = reader
        self.job_routes: JobRoutes | None = None
        self.live_now = 0
        self.counts: dict[str, int] = {}
        self._draining_since_s: float | None = None
        self._listeners: list[asyncio.Server] = []

    async def on_start(self) -> None:
        """Listen at both addresses; raises OSError if that can't be done."""
        loop = asyncio.get_running_loop()
        self._server = ConnectionServer(self._handle, handler_cancellation=True)
        readiness_server = web.Server(self._handle_readiness, access_log=None)
        self._listeners = [
            await listen(loop, self._server, self._address),
            await listen(loop, readiness_server, self._readiness_address),
        ]

    async def on_stop(self) -> None:
        """Stop listening and close the connections."""
        for listener in self._listeners:
            listener.close()
        await self._server.shutdown(_SHUTDOWN_S)

    # -- draining ------------------------------------------------------------------------------

    def _linger_ms(self) -> float:
        """Return for how long a draining edge takes new clients, in milliseconds."""
        return float(self._node.settings.grace_ms * _LINGER_SHARE)

    def start_draining(self) -> None:
        """Begin to drain; connections are closed after a part of the grace time.

        New clients may come until the platform has noticed; each response closes its connection,
        which sends the client elsewhere.
        """
        loop = asyncio.get_running_loop()
        self._draining_since_s = loop.time()
        loop.call_later(self._linger_ms() / 1000, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._listeners[0].close()
        self._server.close_idle_connections()

    def busy(self) -> bool:
        """Whether a client is being served, or may still come."""
        if self._draining_since_s is None:
            return self.live_now > 0
        drained_ms = (asyncio.get_running_loop().time() - self._draining_since_s) * 1000
        return self.live_now > 0 or drained_ms < self._linger_ms()

    # -- requests ------------------------------------------------------------------------------

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        if request.path != self._readiness_path:
            return web.Response(status=404)
        reason = self._node.why_unready()
        return web.Response(status=503 if reason else 200, text=reason)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.live_now += 1
        try:
            response = await self._respond(request)
        except web.HTTPRequestEntityTooLarge:
            response = forward_refusal_response(
                refused("too-large", "the body is larger than the limit", 413)
            )
            response.force_close()
        finally:
            self.live_now -= 1
        if not response.prepared:
            self._set_keep_alive(response)
        return response

    def _set_keep_alive(self, response: web.StreamResponse) -> None:
        """Announce how long the connection is kept, with a margin; a draining edge keeps none."""
        if self._draining_since_s is not None:
            response.force_close()
        else:
            idle_s = int(self._server.limits["idle_ms"] * _ANNOUNCED_SHARE / 1000)
            if idle_s > 0:
                response.headers["Keep-Alive"] = f"timeout={idle_s}"

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        service = self._node.forward_service
        if _expects_continue(request) and request.transport is not None:
            request.transport.write(_CONTINUE)
        profile = service.route(request.headers.get("Host", ""), request.raw_path)
        is_job = self._reader.is_job(request.path) or getattr(profile, "kind", "") == "lot"
        if is_job and self.job_routes is not None:
            return await self.job_routes(request, profile)
        body = await request.read()
        if isinstance(profile, Refusal):
            return self._refuse(profile)
        self._server.limits = {**DEFAULT_LIMITS, **self._reader.limits(service.about())}
        if is_job:
            return self._refuse(
                refused("no-lots", "lots are not served here", 503, _NO_JOBS_RETRY_MS)
            )
        call = self._reader.call(request, profile, body)
        if isinstance(call, Refusal):
            return self._refuse(call)
        return await self._forward(request, profile, call)

    def _refuse(self, refusal: Refusal) -> web.Response:
        self._count(refusal.code)
        return forward_refusal_response(refusal)

    def _count(self, code: str) -> None:
        self.counts[code] = self.counts.get(code, 0) + 1

    # -- responses of workers ------------------------------------------------------------------

    async def _forward(
        self, request: web.BaseRequest, profile: Any, call: ForwardCall
    ) -> web.StreamResponse:
        queue: EventQueue = asyncio.Queue()
        in_flight = self._node.forward_service.forward(
            profile, call, self._reader.client_ms(request), queue.put_nowait, queue.put_nowait
        )
        try:
            return await self._write(request, queue, in_flight)
        except (ConnectionError, asyncio.CancelledError):
            in_flight.disconnect()
            raise

    async def _write(
        self, request: web.BaseRequest, queue: EventQueue, in_flight: InFlightRequest
    ) -> web.StreamResponse:
        """Write the response as it comes, until the request's last step."""
        response: web.StreamResponse | None = None
        last: Step | None = None
        while last is None:
            chunks, last = _take_queued(await queue.get(), queue)
            if chunks:
                if response is None:
                    response = await self._start_response(request, in_flight)
                data = b"".join(chunks)
                await response.write(data)
                in_flight.acknowledge(len(data))
        if last.kind is StepKind.FINISH:
            return await self._finish(request, response, in_flight, last)
        assert last.refusal is not None, "a last step that is no finish has a refusal"
        if response is None:
            return self._refuse(last.refusal)
        self._cut(request, last.refusal)
        return response

    async def _start_response(
        self, request: web.BaseRequest, in_flight: InFlightRequest
    ) -> web.StreamResponse:
        assert in_flight.head is not None, "a response that has begun has a head"
        status, headers, _ = in_flight.head
        response = web.StreamResponse(status=status, headers=headers)
        self._set_keep_alive(response)
        await response.prepare(request)
        return response

    async def _finish(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse | None,
        in_flight: InFlightRequest,
        last: Step,
    ) -> web.StreamResponse:
        """End a complete response; one that wasn't begun is written as a whole."""
        assert last.response is not None, "a finish has a response"
        status, body = last.response
        if response is not None:
            await response.write_eof()
            return response
        assert in_flight.head is not None, "a finished response has a head"
        _, headers, length = in_flight.head
        if request.method == "HEAD":
            return _head_response(status, headers, length)
        return web.Response(status=status, headers=headers, body=body)

    def _cut(self, request: web.BaseRequest, refusal: Refusal) -> None:
        """Drop the connection of a response that can't be completed, without ending it."""
        self._count("cut")
        log("response-cut", "WARNING", code=refusal.code, reason=refusal.message)
        if request.transport is not None:
            request.transport.abort()


def _head_response(
    status: int, headers: list[tuple[str, str]], length: int | None
) -> web.StreamResponse:
    """Return the response to HEAD: its length, in bytes, is that of a body which isn't sent."""
    response = web.StreamResponse(status=status, headers=headers)
    response.content_length = length
    return response


def _expects_continue(request: web.BaseRequest) -> bool:
    """Whether the client waits before its body; one of HTTP/1.0 knows no interim responses."""
    expects = request.headers.get("Expect", "").lower() == "100-continue"
    return expects and request.version >= HttpVersion11


def _take_queued(first: bytes | Step, queue: EventQueue) -> tuple[list[bytes], Step | None]:
    """Return all that is queued by now, so that it is written at once, and the last step."""
    chunks: list[bytes] = []
    item: bytes | Step = first
    while not isinstance(item, Step):
        chunks.append(item)
        if queue.empty():
            return chunks, None
        item = queue.get_nowait()
    return chunks, item
