"""Builds the request to a worker, and the exchange that checks its response, by type of call.

`worker_request` and `new_exchange` dispatch on the type of the call; `capacity_sharing.sampling`
registers the calls of rollout samples.
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
    """The HTTP request of an attempt: the arguments of `AttemptTransport` after the address.

    For a completion `headers` is a dict and `body` a JSON object; for a forwarded request they are
    a list of name and value pairs, and bytes.
    """

    target: str
    headers: Any
    body: Any
    method: str = "POST"


@singledispatch
def new_exchange(call: Any, router: RoutingContext, lifecycle: Any, worker: Worker) -> Any:
    """Return the exchange that checks the response of an attempt.

    Raises NotImplementedError if no function is registered for the type of the call.
    """
    raise NotImplementedError(f"no exchange is registered for {type(call).__name__}")


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
    """Return the `WorkerRequest` of an attempt.

    Raises NotImplementedError if no function is registered for the type of the call.
    """
    raise NotImplementedError(f"no worker request is registered for {type(call).__name__}")


@worker_request.register
def _(call: Call, router: RoutingContext, lifecycle: Any, worker: Worker) -> WorkerRequest:
    """Build a completion request; its `model` is the profile's path."""
    target = _CHAT_PATH if call.body.get("messages") is not None else _COMPLETION_PATH
    headers = {_WORKER_HEADER: worker.instance_id, _REQUEST_HEADER: lifecycle.edge_request_id}
    body = {**call.body, "model": lifecycle.profile.path, "stream": call.stream}
    return WorkerRequest(target, headers, body)


@worker_request.register
def _(call: ForwardCall, router: RoutingContext, lifecycle: Any, worker: Worker) -> WorkerRequest:
    """Forward the client's headers, replaced where the edge sets one of the same name."""
    names = _header_names(router)
    left_ms = max(1, lifecycle.due_ms - router.node.env.now())
    edge_headers = [
        (names.worker, worker.identity),
        (names.urgency, str(call.urgency)),
        (names.deadline_ms, str(left_ms)),
    ]
    resume_after = _resume_after(call, lifecycle)
    if resume_after is not None:
        edge_headers.append((names.last_event_id, str(resume_after)))
    edge_headers = [(name, value) for name, value in edge_headers if name]
    replaced = {name.lower() for name, _ in edge_headers} | {names.request_id.lower(), "host"}
    kept = [(name, value) for name, value in call.headers if name.lower() not in replaced]
    headers = [("Host", call.host), (names.request_id, call.request_id), *kept, *edge_headers]
    return WorkerRequest(call.target, headers, call.body, call.method)


def _resume_after(call: ForwardCall, lifecycle: Any) -> int | None:
    """Return the id of the event after which the worker has to resume the stream, or None."""
    last_event_id: int | None = lifecycle.last_event_id
    return last_event_id if last_event_id is not None else call.last_event_id


def _header_names(router: RoutingContext) -> WorkerHeaderNames:
    if router.header_names is None:
        raise ValueError("no header names are configured for the workers of forwarded requests")
    return router.header_names
