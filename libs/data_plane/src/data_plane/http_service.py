"""HTTP server of the data plane's and the control plane's processes.

`HttpService` owns the listening socket and serves the four paths that the platform and operators
poll: `/ready`, `/live`, `/status` and `/metrics`. Errors are answered with a JSON body that has a
verdict.
"""

import json
import math
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from aiohttp import web
from mode import Service
from pydantic import BaseModel
from runtime import Refusal, doubtful, log, refused

from data_plane.body_reader import (
    RECORDED_BODY_KEY,
    BodyReader,
    MemoryNeed,
    holding_of,
)
from data_plane.client_connections import BoundedAppRunner
from data_plane.json_size import parsed_json_bytes
from data_plane.metrics import CONTENT_TYPE, Metrics
from data_plane.request_bodies import parse
from data_plane.responses import ServiceResponse

__all__ = [
    "BODY_READER",
    "TRANSACTION_HEADER",
    "HttpService",
    "http_response",
    "json_response",
    "read_json_body",
    "refusal_response",
]

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
BodyT = TypeVar("BodyT", bound=BaseModel)

BODY_READER = web.AppKey("body_reader", BodyReader)
"""The reader of the bodies of an application's requests."""

TRANSACTION_HEADER = "X-Vaneledge-Transaction"
_REPLAYED_HEADER = "X-Vaneledge-Replayed"
_SHUTDOWN_S = 1.0
_DOUBT_RETRY_MS = 1000
_BODY_WAIT_MS = 30_000
# Memory of a request for each byte of its body: its pieces, the body, and the messages to other
# nodes or workers that are made of it.
_BODY_NEED = MemoryNeed(4)
# The parsed JSON stands beside the values that are validated from it.
_PARSED_COPIES = 2


def json_response(
    content: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        text=json.dumps(content), status=status, content_type="application/json", headers=headers
    )


def http_response(response: ServiceResponse[Any], request_id: str = "") -> web.Response:
    """Return a service's response as an HTTP response; a header has the request's id, if any."""
    if response.refusal is not None:
        return refusal_response(response.refusal, request_id)
    headers = {
        TRANSACTION_HEADER: request_id,
        _REPLAYED_HEADER: "true" if response.replayed else "false",
    }
    return web.Response(
        text=response.body,
        status=response.status,
        content_type="application/json",
        headers=headers if request_id else None,
    )


def refusal_response(refusal: Refusal, request_id: str = "") -> web.Response:
    """Return a refusal as an HTTP response; Retry-After is in whole seconds, rounded up."""
    headers = {TRANSACTION_HEADER: request_id} if request_id else {}
    if refusal.retry_after_ms:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_ms / 1000)))
    return json_response(refusal.body(), refusal.status, headers)


async def read_json_body(
    request: web.Request, limit_bytes: int, model: type[BodyT]
) -> BodyT | Refusal:
    """Return the body, parsed and validated by `model`, or a refusal that names the error."""
    bodies = request.app[BODY_READER]
    data = await bodies.read(request, _BODY_NEED, limit_bytes, _BODY_WAIT_MS)
    if isinstance(data, Refusal):
        return data
    holding = holding_of(request, bodies.budget)
    parsed_bytes = _PARSED_COPIES * parsed_json_bytes(data)
    refusal = await bodies.hold(holding, holding.size_bytes + parsed_bytes)
    if refusal is not None:
        return refusal
    request[RECORDED_BODY_KEY] = data
    parsed = parse(model, data)
    return parsed.error if parsed.is_error() else parsed.ok


@web.middleware
async def _errors_as_refusals(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Answer errors with a refusal, which has a JSON body with a verdict.

    An unexpected exception is logged and answered as doubtful, since the request may have taken
    effect. Connection errors and time-outs are raised again.
    """
    try:
        return await handler(request)
    except web.HTTPException as error:
        code = {404: "unknown-address", 405: "unknown-method"}.get(error.status, "bad-request")
        return refusal_response(
            refused(code, f"{request.method} {request.path}: {error.reason}", error.status)
        )
    except (ConnectionError, TimeoutError):
        raise
    except Exception as error:
        log("handler-failed", "ERROR", reason=repr(error), address=request.path)
        return refusal_response(
            doubtful("internal", "the request could not be completed", _DOUBT_RETRY_MS)
        )


class HttpService(Service):
    """The HTTP server of a process; other modules add their routes to `app`.

    Parameters
    ----------
    address
        The address to listen at, IP:PORT.
    limit_bytes
        The largest request body that is accepted.
    why_unready
        Returns why the process is not ready, or an empty string; `/ready` answers with it.
    status
        Returns the body of `/status`.
    metrics
        Returns the process's metrics by name, which `/metrics` shows.
    middlewares
        aiohttp middlewares that wrap the error handling.
    bodies
        Reads the requests' bodies.
    max_connections
        The number of open connections.
    """

    def __init__(
        self,
        address: str,
        limit_bytes: int,
        why_unready: Callable[[], str],
        status: Callable[[], dict[str, Any]],
        metrics: Callable[[], dict[str, float]],
        middlewares: tuple[Any, ...],
        bodies: BodyReader,
        max_connections: int,
    ) -> None:
        super().__init__()
        self._address = address
        self._why_unready, self._status = why_unready, status
        self.metrics = Metrics(metrics)
        self.app = web.Application(
            middlewares=[*middlewares, _errors_as_refusals], client_max_size=limit_bytes
        )
        self.app[BODY_READER] = bodies
        self._max_connections = max_connections
        self.app.router.add_get("/ready", self._ready)
        self.app.router.add_get("/live", self._live)
        self.app.router.add_get("/status", self._show_status)
        self.app.router.add_get("/metrics", self._show_metrics)
        self._runner: BoundedAppRunner | None = None

    async def on_start(self) -> None:
        """Listen at the address; raises OSError if it can't be bound."""
        self._runner = BoundedAppRunner(
            self.app,
            self.app[BODY_READER],
            self._max_connections,
            shutdown_timeout=_SHUTDOWN_S,
            handler_cancellation=True,
        )
        await self._runner.listen(self._address)

    async def on_stop(self) -> None:
        """Stop listening and close the connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _ready(self, request: web.Request) -> web.Response:
        reason = self._why_unready()
        return json_response({"ready": not reason, "reason": reason}, 503 if reason else 200)

    async def _live(self, request: web.Request) -> web.Response:
        return json_response({"live": True})

    async def _show_status(self, request: web.Request) -> web.Response:
        return json_response(self._status())

    async def _show_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.metrics.text().encode(), headers={"Content-Type": CONTENT_TYPE}
        )
