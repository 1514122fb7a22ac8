"""The HTTP server of an edge for forwarded requests.

A request is read completely before it is forwarded, unless its head is enough to refuse it; the
memory that it needs is drawn before its body is read (`data_plane.body_reader`). The worker's
response is written as it arrives, in complete events; a response that breaks off is never
terminated, so that the client can't take it for complete. A client that reads slowly slows the
worker down (backpressure); a disconnect cancels the request. A `RequestReader` parses the requests
of the platform that the edge serves.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from aiohttp import web
from mode import Service
from request_routing import ForwardCall, InFlightRequest, Step
from request_routing.steps import StepKind
from runtime import MemoryBudget, Refusal, log, refused, request_memory_bytes

from data_plane.body_reader import BodyReader, MemoryNeed
from data_plane.client_connections import DEFAULT_LIMITS, ConnectionServer, listen
from data_plane.drain_schedule import DrainSchedule

__all__ = ["ForwardServer", "RequestReader", "forward_refusal_response"]

# Share of the idle timeout that the Keep-Alive header announces.
_ANNOUNCED_IDLE_SHARE = 0.8
_SHUTDOWN_S = 0.05
_NO_JOBS_RETRY_MS = 1000
# Memory of a forwarded request for each byte of its body: its pieces, the body, the copy that is
# being sent to a worker.
_BYTES_PER_BODY_BYTE = 3

JobRoutes = Callable[[web.BaseRequest, Any], Awaitable[web.StreamResponse]]
EventQueue = asyncio.Queue[bytes | Step]


class RequestReader(Protocol):
    """Parses requests by a platform's names of headers, paths and limits."""

    def call(self, request: web.BaseRequest, profile: Any, body: bytes) -> ForwardCall | Refusal:
        """Return the request to forward, or why it is refused."""
        ...

    def client_ms(self, request: web.BaseRequest) -> int | None:
        """Return the client's deadline in milliseconds from now, or None if it sets none."""
        ...

    def limits(self, about: dict[str, Any]) -> dict[str, int]:
        """Return the limits that the configuration sets, by the keys of `DEFAULT_LIMITS`.

        `about` is the part of the configuration beside the profiles.
        """
        ...

    def is_job(self, path: str) -> bool:
        """Whether the path belongs to the API of batch jobs."""
        ...


def forward_refusal_response(refusal: Refusal) -> web.Response:
    """Return the HTTP response of a refusal; Retry-After is in seconds with three decimals."""
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
    """Serves forwarded requests, and readiness probes on a separate address.

    `job_routes` handles the requests of batch jobs; while it is None they are refused. `live_now`
    is the number of requests in progress, and `counts` the number of refusals by code, in which
    "cut" is the number of responses that were broken off.

    Parameters
    ----------
    node
        The edge.
    address
        The clients' address, IP:PORT.
    readiness
        The address of readiness probes, IP:PORT, and their path.
    reader
        Parses the clients' requests.
    budget
        The memory of the process for requests; one of its own if None.
    """

    def __init__(
        self,
        node: Any,
        address: str,
        readiness: tuple[str, str],
        reader: RequestReader,
        budget: MemoryBudget | None = None,
    ) -> None:
        super().__init__()
        self._node = node
        settings = node.settings
        budget = budget or MemoryBudget(request_memory_bytes(settings.memory_bytes))
        self.bodies = BodyReader(budget, settings.request_timeout_ms, sends_continue=True)
        self._address = address
        self._readiness_address, self._readiness_path = readiness
        self._reader = reader
        self.job_routes: JobRoutes | None = None
        self.live_now = 0
        self.counts: dict[str, int] = {}
        self._drain: DrainSchedule | None = None
        self._listeners: list[asyncio.Server] = []

    async def on_start(self) -> None:
        """Listen at both addresses; raises OSError if either can't be bound."""
        loop, settings = asyncio.get_running_loop(), self._node.settings
        self._server = ConnectionServer(
            self._handle, self.bodies, settings.max_client_connections, handler_cancellation=True
        )
        readiness_server = ConnectionServer(
            self._handle_readiness, self.bodies, settings.max_other_connections
        )
        self._listeners = [
            await listen(loop, self._server, self._address),
            await listen(loop, readiness_server, self._readiness_address),
        ]

    async def on_stop(self) -> None:
        """Stop listening, and close the clients' connections."""
        for listener in self._listeners:
            listener.close()
        await self._server.shutdown(_SHUTDOWN_S)

    def start_draining(self, schedule: DrainSchedule) -> None:
        """Begin to drain; at the schedule's `accept_until_ms`, close the listener and connections.

        Until then new clients are served, as the platform sends some until it has noticed that the
        edge is not ready. Each response closes its connection, so that the client's next request
        goes to another edge.
        """
        self._drain = schedule
        loop, now_ms = asyncio.get_running_loop(), self._node.env.now()
        loop.call_later((schedule.accept_until_ms - now_ms) / 1000, self._stop_accepting)
        self.bodies.limit_deadlines(loop.time() + (schedule.answer_by_ms - now_ms) / 1000)

    def _stop_accepting(self) -> None:
        self._listeners[0].close()
        self._server.close_idle_connections()

    def busy(self) -> bool:
        """Whether requests are in progress, or a draining edge still accepts clients."""
        accepts = self._drain is not None and self._node.env.now() < self._drain.accept_until_ms
        return self.live_now > 0 or accepts

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        if request.path != self._readiness_path:
            return web.Response(status=404)
        reason = self._node.why_unready()
        return web.Response(status=503 if reason else 200, text=reason)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.live_now += 1
        try:
            response = await self._respond(request)
        finally:
            self.live_now -= 1
        if not response.prepared:
            self._set_keep_alive(response)
        return response

    def _set_keep_alive(self, response: web.StreamResponse) -> None:
        """Announce a Keep-Alive timeout below the idle timeout; close when draining.

        With the margin a client doesn't reuse a connection that is about to be closed.
        """
        if self._drain is not None:
            response.force_close()
        else:
            idle_s = int(self._server.limits["idle_ms"] * _ANNOUNCED_IDLE_SHARE / 1000)
            if idle_s > 0:
                response.headers["Keep-Alive"] = f"timeout={idle_s}"

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        service = self._node.forward_service
        profile = service.route(request.headers.get("Host", ""), request.raw_path)
        is_job = self._reader.is_job(request.path) or getattr(profile, "kind", "") == "lot"
        if is_job and self.job_routes is not None:
            return await self.job_routes(request, profile)
        if isinstance(profile, Refusal):
            return self._refuse(profile)
        self._server.limits = {**DEFAULT_LIMITS, **self._reader.limits(service.about())}
        if is_job:
            return self._refuse(
                refused("no-lots", "lots are not served here", 503, _NO_JOBS_RETRY_MS)
            )
        call = self._reader.call(request, profile, b"")
        if isinstance(call, Refusal):
            return self._refuse(call)
        client_ms = self._reader.client_ms(request)
        late = service.draining_refusal(profile, client_ms)
        if late is not None:
            return self._refuse(late)
        body = await self.bodies.read(
            request,
            MemoryNeed(_BYTES_PER_BODY_BYTE, self._node.settings.response_buffer_bytes),
            request.client_max_size,
            service.allowed_ms(profile, client_ms),
        )
        if isinstance(body, Refusal):
            return self._refuse(body)
        late = service.draining_refusal(profile, client_ms)
        if late is not None:
            return self._refuse(late)
        call.body = body
        return await self._forward(request, profile, call, client_ms)

    def _refuse(self, refusal: Refusal) -> web.Response:
        self._count(refusal.code)
        return forward_refusal_response(refusal)

    def _count(self, code: str) -> None:
        self.counts[code] = self.counts.get(code, 0) + 1

    async def _forward(
        self, request: web.BaseRequest, profile: Any, call: ForwardCall, client_ms: int | None
    ) -> web.StreamResponse:
        queue: EventQueue = asyncio.Queue()
        in_flight = self._node.forward_service.forward(
            profile, call, client_ms, queue.put_nowait, queue.put_nowait
        )
        try:
            return await self._write(request, queue, in_flight)
        except (ConnectionError, asyncio.CancelledError):
            in_flight.disconnect()
            raise

    async def _write(
        self, request: web.BaseRequest, queue: EventQueue, in_flight: InFlightRequest
    ) -> web.StreamResponse:
        """Write the worker's response as it arrives, until the request's last step."""
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
        assert last.refusal is not None, f"last step {last.kind} without a refusal"
        if response is None:
            return self._refuse(last.refusal)
        self._cut(request, last.refusal)
        return response

    async def _start_response(
        self, request: web.BaseRequest, in_flight: InFlightRequest
    ) -> web.StreamResponse:
        assert in_flight.head is not None, "response data came before the response head"
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
        """End a complete response; if none of it was written yet, return it with its body."""
        assert last.response is not None, "FINISH step without a response"
        status, body = last.response
        if response is not None:
            await response.write_eof()
            return response
        assert in_flight.head is not None, "FINISH step without a response head"
        _, headers, length = in_flight.head
        if request.method == "HEAD":
            return _head_response(status, headers, length)
        return web.Response(status=status, headers=headers, body=body)

    def _cut(self, request: web.BaseRequest, refusal: Refusal) -> None:
        """Abort the connection of a response that can't be completed, without terminating it."""
        self._count("cut")
        log("response-cut", "WARNING", code=refusal.code, reason=refusal.message)
        if request.transport is not None:
            request.transport.abort()


def _head_response(
    status: int, headers: list[tuple[str, str]], length: int | None
) -> web.StreamResponse:
    """Return the response to HEAD, which has no body; `length` is its Content-Length in bytes."""
    response = web.StreamResponse(status=status, headers=headers)
    response.content_length = length
    return response


def _take_queued(first: bytes | Step, queue: EventQueue) -> tuple[list[bytes], Step | None]:
    """Return all chunks queued so far, to be written at once, and the last step or None."""
    chunks: list[bytes] = []
    item: bytes | Step = first
    while not isinstance(item, Step):
        chunks.append(item)
        if queue.empty():
            return chunks, None
        item = queue.get_nowait()
    return chunks, item
