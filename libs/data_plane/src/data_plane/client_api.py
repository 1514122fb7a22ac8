"""The clients' side of an edge over HTTP, for completions and batches of our own interface.

Calls are read and checked, passed to the `EdgeService`, and the answers are written out. A stream's
events wait in a queue of their own, so a client that reads slowly holds no worker's slot; the
transaction is told at once of one that hangs up.
"""

import asyncio
import re
from typing import Any

from aiohttp import web
from messaging.node_runner import awaited
from request_routing import Step
from runtime import Refusal, boot_ms, refused

from data_plane.edge_service import EdgeService
from data_plane.http_service import HttpService, http_response, read_json_body, refusal_response
from data_plane.request_bodies import JOB_ID_PATTERN, CompletionBody, SubmitJobBody
from data_plane.responses import ServiceResponse

__all__ = ["ClientApi"]

_KEY = re.compile(r"^[\x21-\x7e]{1,255}$")
_PAGE = 1000
_END = b"data: [DONE]\n\n"


class ClientApi:
    """The HTTP routes of completions and batches; `live_now` counts completions in progress."""

    __slots__ = ("_counter", "_metrics", "_node", "live_now")

    def __init__(self, node: Any, counter: EdgeService, desk: HttpService) -> None:
        self._node, self._counter, self._metrics = node, counter, desk.metrics
        self.live_now = 0
        router = desk.app.router
        router.add_post("/v1/completions", self._live)
        router.add_post("/v1/chat/completions", self._live)
        router.add_put("/lots/{lot_id}", self._hand_in)
        router.add_get("/lots/{lot_id}", self._job)
        router.add_get("/lots/{lot_id}/results", self._results)
        router.add_delete("/lots/{lot_id}", self._end)

    # -- live ----------------------------------------------------------------------------------

    async def _live(self, request: web.Request) -> web.StreamResponse:
        key = request.headers.get("Idempotency-Key", "")
        if (answer := self._counter.unready(bool(key))) is not None:
            return http_response(answer)
        call = await read_json_body(request, self._node.settings.max_body_bytes, CompletionBody)
        if isinstance(call, Refusal):
            return refusal_response(call)
        if fault := _live_fault(call, request):
            return refusal_response(fault)
        body = call.model_dump(exclude_none=True, exclude={"model", "stream"})
        queue: asyncio.Queue = asyncio.Queue()
        began_ms = boot_ms()

        def told(step: Step, answer: ServiceResponse) -> None:
            self._metrics.took(call.model, answer.verdict, (boot_ms() - began_ms) / 1000)
            queue.put_nowait((step, answer))

        carriage = self._counter.complete(
            call.model, key, body, call.stream, queue.put_nowait, told
        )
        if isinstance(carriage, ServiceResponse):
            return http_response(carriage)
        self.live_now += 1
        try:
            return await self._write_live(request, queue, carriage.tx.transaction_id, call.stream)
        except (ConnectionError, asyncio.CancelledError):
            carriage.gone()
            raise
        finally:
            self.live_now -= 1

    async def _write_live(
        self, request: web.Request, queue: asyncio.Queue, transaction_id: str, stream: bool
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        while True:
            item = await queue.get()
            if isinstance(item, tuple):
                return await self._write_last(request, response, *item, transaction_id, stream)
            if response is None:
                response = await _begin_stream(request, transaction_id)
            await response.write(item)

    async def _write_last(
        self,
        request: web.Request,
        response: web.StreamResponse | None,
        step: Step,
        answer: ServiceResponse,
        transaction_id: str,
        stream: bool,
    ) -> web.StreamResponse:
        """Write the end of an answer.

        A stream's end mark is written only now that the answer is known to be complete.
        """
        if answer.refusal is None and stream and answer.status == 200:
            if response is None:
                response = await _begin_stream(request, transaction_id)
            if step.name == "replay":
                await response.write(answer.body.encode())
            await response.write(_END)
            await response.write_eof()
            return response
        if response is None:
            return http_response(answer, transaction_id)
        request["verdict"], request["code"] = answer.verdict, answer.code
        try:
            await response.write(b"event: error\ndata: " + answer.body.encode() + b"\n\n")
        except ConnectionError:
            pass
        if request.transport is not None:
            request.transport.abort()
        return response

    # -- lots ----------------------------------------------------------------------------------

    async def _hand_in(self, request: web.Request) -> web.StreamResponse:
        job_id = _job_id(request)
        if isinstance(job_id, Refusal):
            return refusal_response(job_id)
        if (answer := self._counter.unready(True)) is not None:
            return http_response(answer)
        call = await read_json_body(request, self._node.settings.max_body_bytes, SubmitJobBody)
        if isinstance(call, Refusal):
            return refusal_response(call)
        items = [item.model_dump(exclude_none=True) for item in call.items]
        return http_response(
            await awaited(
                lambda told: self._counter.submit(job_id, call.path, items, call.due_ms, told)
            )
        )

    async def _job(self, request: web.Request) -> web.StreamResponse:
        job_id = _job_id(request)
        if isinstance(job_id, Refusal):
            return refusal_response(job_id)
        return http_response(await awaited(lambda told: self._counter.progress(job_id, told)))

    async def _results(self, request: web.Request) -> web.StreamResponse:
        job_id = _job_id(request)
        if isinstance(job_id, Refusal):
            return refusal_response(job_id)
        numbers: dict[str, int] = {"from": 0, "limit": _PAGE}
        for name, value in request.query.items():
            if name not in numbers or not re.match(r"^\d{1,9}$", value):
                return refusal_response(
                    refused("bad-field", f"{name}: a whole number from 0, or unknown", field=name)
                )
            numbers[name] = int(value)
        return http_response(
            await awaited(
                lambda told: self._counter.results(job_id, numbers["from"], numbers["limit"], told)
            )
        )

    async def _end(self, request: web.Request) -> web.StreamResponse:
        job_id = _job_id(request)
        if isinstance(job_id, Refusal):
            return refusal_response(job_id)
        return http_response(await awaited(lambda told: self._counter.cancel(job_id, told)))


async def _begin_stream(request: web.Request, transaction_id: str) -> web.StreamResponse:
    """Begin a stream with its first piece, so that a refusal before it can still be an error."""
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            "X-Vaneledge-Transaction": transaction_id,
        }
    )
    await response.prepare(request)
    return response


def _job_id(request: web.Request) -> str | Refusal:
    job_id = request.match_info["lot_id"]
    if not re.match(JOB_ID_PATTERN, job_id):
        return refused(
            "bad-field",
            "lot_id: letters, digits, dot, dash, underscore; at most 128",
            field="lot_id",
        )
    return job_id


def _live_fault(call: CompletionBody, request: web.Request) -> Refusal | None:
    chat = request.path.endswith("/chat/completions")
    wanted, other = ("messages", "prompt") if chat else ("prompt", "messages")
    if getattr(call, wanted) is None:
        return refused("bad-field", f"{wanted}: this address needs it", field=wanted)
    if getattr(call, other) is not None:
        return refused("bad-field", f"{other}: does not belong to this address", field=other)
    key = request.headers.get("Idempotency-Key", "")
    if key and not _KEY.match(key):
        return refused(
            "bad-field", "Idempotency-Key: 1 to 255 printable characters", field="Idempotency-Key"
        )
    return None
