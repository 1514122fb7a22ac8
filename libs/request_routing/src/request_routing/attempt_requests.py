"""What is written to a worker for an attempt, and how its answer is judged, by the kind of call.

One function each, dispatched by the call's type. `capacity_sharing.sampling` adds samples.
"""

from functools import singledispatch
from typing import Any, NamedTuple

from request_routing.calls import Call, ForwardCall
from request_routing.forward_exchange import ForwardExchange
from request_routing.header_names import WorkerHeaderNames
from request_routing.routing_context import RoutingContext
from request_routing.worker import Worker
from request_routing.worker_exchange import WorkerExchange

__all__ = ["WorkerRequest", "new_exchange", "worker_request"]

_CHAT_PATH = "/v1/chat/completions"
_COMPLETION_PATH = "/v1/completions"
_WORKER_HEADER = "X-Vaneledge-Worker"
_REQUEST_HEADER = "X-Vaneledge-Transaction"


class WorkerRequest(NamedTuple):
    """The transport's arguments after the address.

    `headers` is a dict with a JSON object as `body`, or the list of a forwarded request's headers
    with its bytes.
    """

    target: str
    headers: Any
    body: Any
    method: str = "POST"


@singledispatch
def new_exchange(call: Any, router: RoutingContext, lifecycle: Any, worker: Worker) -> Any:
    """Return what judges the answer to this attempt; raises NotImplementedError for other calls."""
    raise NotImplementedError(type(call).__name__)


@new_exchange.register
def _(call: Call, router: RoutingContext, lifecycle: Any, worker: Worker) -> WorkerExchange:
    return WorkerExchange(
        worker.instance_id,
        lifecycle.edge_request_id,
        call.stream,
        router.node.settings.max_response_bytes,
    )


@new_exchange.register
def _(call: ForwardCall, router: RoutingContext, lifecycle: Any, worker: Worker) -> ForwardExchange:
    return ForwardExchange(
        _header_names(router),
        worker.identity,
        call.request_id,
        call.method,
        call.stream,
        router.node.settings.max_response_bytes,
        _resume_after(call, lifecycle),
    )


@singledispatch
def worker_request(call: Any, router: RoutingContext, lifecycle: Any, worker: Worker) -> Any:
    """Return the `WorkerRequest` of an attempt; raises NotImplementedError for other calls."""
    raise NotImplementedError(type(call).__name__)


@worker_request.register
def _(call: Call, router: RoutingContext, lifecycle: Any, worker: Worker) -> WorkerRequest:
    """Build the completion's path, headers and body."""
    target = _CHAT_PATH if call.body.get("messages") is not None else _COMPLETION_PATH
    headers = {_WORKER_HEADER: worker.instance_id, _REQUEST_HEADER: lifecycle.edge_request_id}
    body = {**call.body, "model": lifecycle.profile.path, "stream": call.stream}
    return WorkerRequest(target, headers, body)


@worker_request.register
def _(call: ForwardCall, router: RoutingContext, lifecycle: Any, worker: Worker) -> WorkerRequest:
    """Keep the request's own headers, with ours in the place of any of the same name."""
    names = _header_names(router)
    left_ms = max(1, lifecycle.due_ms - router.node.env.now())
    ours = [
        (names.worker, worker.identity),
        (names.urgency, str(call.urgency)),
        (names.deadline_ms, str(left_ms)),
    ]
    resume_after = _resume_after(call, lifecycle)
    if resume_after is not None:
        ours.append((names.last_event_id, str(resume_after)))
    ours = [(name, value) for name, value in ours if name]
    replaced = {name.lower() for name, _ in ours} | {names.request_id.lower(), "host"}
    kept = [(name, value) for name, value in call.headers if name.lower() not in replaced]
    headers = [("Host", call.host), (names.request_id, call.request_id), *kept, *ours]
    return WorkerRequest(call.target, headers, call.body, call.method)


def _resume_after(call: ForwardCall, lifecycle: Any) -> int | None:
    """Return the id of the event after which the stream is to be continued, or None."""
    last_event_id: int | None = lifecycle.last_event_id
    return last_event_id if last_event_id is not None else call.last_event_id


def _header_names(router: RoutingContext) -> WorkerHeaderNames:
    if router.header_names is None:
        raise ValueError("this edge has no header names for the workers of forwarded requests")
    return router.header_names
