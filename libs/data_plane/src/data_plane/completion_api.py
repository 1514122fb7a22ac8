"""The HTTP routes of live completions of vaneledge's own HTTP API.

Requests are validated and passed to the `EdgeService`, whose responses are written to the client.
Events of a stream are queued for each client, so that a client that reads slowly does not occupy a
worker's slot. The request holds their bytes of the process's memory until they are written; the
connection of a client for which there is none is aborted. A disconnect is reported to the request
in flight at once.
"""

import asyncio
import contextlib
import re
from collections.abc import Callable
from typing import Any

from aiohttp import web
from request_routing import Step
from runtime import MemoryHolding, Refusal, boot_ms, log, refused

from data_plane.body_reader import holding_of
from data_plane.edge_service import EdgeService
from data_plane.http_service import (
    BODY_READER,
    TRANSACTION_HEADER,
    HttpService,
    http_response,
    read_json_body,
    refusal_response,
)
from data_plane.request_bodies import CompletionBody
from data_plane.responses import ServiceResponse

__all__ = ["CompletionApi"]

_IDEMPOTENCY_KEY = "Idempotency-Key"
_KEY_PATTERN = re.compile(r"^[\x21-\x7e]{1,255}$")
_END_OF_STREAM = b"data: [DONE]\n\n"


class _End:
    """The last step of a completion and its response."""

    __slots__ = ("response", "step")

    def __init__(self, step: Step, response: ServiceResponse[None]) -> None:
        self.step = step
        self.response = response


class _ResponseQueue:
    """The events of a response that are not written yet, and its end.

    `holding` holds their bytes beside what the request needs; without memory for more of them
    `on_overflow` is called, and nothing more is queued. Nor is it once the queue is closed: a
    request that must not run twice goes on without its client.
    """

    __slots__ = ("_closed", "_holding", "_items", "_on_overflow")

    def __init__(self, holding: MemoryHolding, on_overflow: Callable[[], None]) -> None:
        self._holding = holding
        self._on_overflow = on_overflow
        self._closed = False
        self._items: asyncio.Queue[bytes | _End] = asyncio.Queue()

    def put_event(self, data: bytes) -> None:
        """Queue an event of a stream."""
        self._put(data, len(data))

    def put_end(self, end: _End) -> None:
        """Queue the end, which has the body of a response that is no stream."""
        self._put(end, len(end.response.body))

    def _put(self, item: bytes | _End, size_bytes: int) -> None:
        if self._closed:
            return
        if self._holding.try_resize(self._holding.size_bytes + size_bytes):
            self._items.put_nowait(item)
            return
        self._closed = True
        self._on_overflow()

    def close(self) -> None:
        """Queue nothing more, as the request has given back its memory or is about to."""
        self._closed = True

    async def get(self) -> bytes | _End:
        """Return the next event, or the end."""
        return await self._items.get()

    def event_written(self, data: bytes) -> None:
        """Give back the memory of an event."""
        self._holding.try_resize(self._holding.size_bytes - len(data))


class CompletionApi:
    """Adds the routes of completions to `server`; `live_now` counts those in progress."""

    __slots__ = ("_metrics", "_node", "_service", "live_now")

    def __init__(self, node: Any, service: EdgeService, server: HttpService) -> None:
        self._node = node
        self._service = service
        self._metrics = server.metrics
        self.live_now = 0
        server.app.router.add_post("/v1/completions", self._complete)
        server.app.router.add_post("/v1/chat/completions", self._complete)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        key = request.headers.get(_IDEMPOTENCY_KEY, "")
        if (response := self._service.unready_response(bool(key))) is not None:
            return http_response(response)
        body = await read_json_body(request, self._node.settings.max_body_bytes, CompletionBody)
        if isinstance(body, Refusal):
            return refusal_response(body)
        if refusal := _body_refusal(body, request):
            return refusal_response(refusal)
        return await self._run(request, key, body)

    async def _run(
        self, request: web.Request, key: str, body: CompletionBody
    ) -> web.StreamResponse:
        """Start the completion, and write its events and its end as they arrive."""
        budget = request.app[BODY_READER].budget

        def abort() -> None:
            budget.refused_count += 1
            log("response-cut", "WARNING", code="memory-full", reason="the client does not read")
            if request.transport is not None:
                request.transport.abort()

        queue = _ResponseQueue(holding_of(request, budget), abort)
        began_ms = boot_ms()

        def on_end(step: Step, response: ServiceResponse[None]) -> None:
            seconds = (boot_ms() - began_ms) / 1000
            self._metrics.observe_completion(body.model, response.verdict, seconds)
            queue.put_end(_End(step, response))

        in_flight = self._service.complete(
            body.model,
            key,
            body.model_dump(exclude_none=True, exclude={"model", "stream"}),
            body.stream,
            queue.put_event,
            on_end,
        )
        if isinstance(in_flight, ServiceResponse):
            return http_response(in_flight)
        self.live_now += 1
        try:
            return await self._write(
                request, queue, in_flight.lifecycle.edge_request_id, body.stream
            )
        except (ConnectionError, asyncio.CancelledError):
            in_flight.disconnect()
            raise
        finally:
            queue.close()
            self.live_now -= 1

    async def _write(
        self,
        request: web.Request,
        queue: _ResponseQueue,
        request_id: str,
        stream: bool,
    ) -> web.StreamResponse:
        started: web.StreamResponse | None = None
        while True:
            item = await queue.get()
            if isinstance(item, _End):
                complete = item.response.refusal is None and item.response.status == 200
                if stream and complete:
                    return await _end_stream(request, started, item, request_id)
                if started is not None:
                    return await _cut_stream(request, started, item.response)
                return http_response(item.response, request_id)
            if started is None:
                started = await _start_stream(request, request_id)
            await started.write(item)
            queue.event_written(item)


async def _start_stream(request: web.Request, request_id: str) -> web.StreamResponse:
    """Write the head of a stream.

    It is called for the first event or the end, so that a failure before has an error status.
    """
    started = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            TRANSACTION_HEADER: request_id,
        }
    )
    await started.prepare(request)
    return started


async def _end_stream(
    request: web.Request, started: web.StreamResponse | None, end: _End, request_id: str
) -> web.StreamResponse:
    """Write the end marker of a stream whose response is complete; first the body of a replay."""
    if started is None:
        started = await _start_stream(request, request_id)
    if end.step.kind == "replay":
        await started.write(end.response.body.encode())
    await started.write(_END_OF_STREAM)
    await started.write_eof()
    return started


async def _cut_stream(
    request: web.Request, started: web.StreamResponse, response: ServiceResponse[None]
) -> web.StreamResponse:
    """Write an error event without the end marker, and abort the connection."""
    request["verdict"], request["code"] = response.verdict, response.code
    with contextlib.suppress(ConnectionError):
        await started.write(b"event: error\ndata: " + response.body.encode() + b"\n\n")
    if request.transport is not None:
        request.transport.abort()
    return started


def _body_refusal(body: CompletionBody, request: web.Request) -> Refusal | None:
    """Return the refusal of a body or key that this path does not accept, or None."""
    chat = request.path.endswith("/chat/completions")
    wanted, other = ("messages", "prompt") if chat else ("prompt", "messages")
    if getattr(body, wanted) is None:
        return refused("bad-field", f"{wanted}: this address needs it", field=wanted)
    if getattr(body, other) is not None:
        return refused("bad-field", f"{other}: does not belong to this address", field=other)
    key = request.headers.get(_IDEMPOTENCY_KEY, "")
    if key and not _KEY_PATTERN.match(key):
        return refused(
            "bad-field",
            f"{_IDEMPOTENCY_KEY}: 1 to 255 printable characters",
            field=_IDEMPOTENCY_KEY,
        )
    return None
