"""Idempotency keys of requests that may not be repeated.

A key is opened at the leader of the log before the first attempt and closed there with the outcome.
"""

from collections.abc import Callable
from typing import Any, Protocol

from batch_state import messages
from messaging import Message

from request_routing.calls import ForwardCall
from request_routing.in_flight import InFlightRequest
from request_routing.request_refusals import KeyState
from request_routing.steps import FinalResponse, Step

__all__ = ["LeaderRequests", "close_key", "key_response_step", "open_key"]

_NO_RESPONSE = FinalResponse(0, "")


class LeaderRequests(Protocol):
    """The client of the log's leader."""

    def request(self, message: Message, wait_ms: int, done: Callable[[Any], None]) -> object:
        """Ask the leader for at most `wait_ms`; `done` gets the response, or None."""
        ...


def open_key(
    node: Any,
    edge: str,
    leader: LeaderRequests,
    request: InFlightRequest,
    done: Callable[[Any], None],
) -> None:
    """Open the request's key; `done` gets the leader's response, or None without one.

    Half of the time that the request has left may pass until then. `edge` is this edge's identity.
    """
    lifecycle, call = request.lifecycle, request.call
    if isinstance(call, ForwardCall):
        raise TypeError("a forwarded request has no idempotency key")
    left_ms = max(node.settings.request_timeout_ms, (lifecycle.due_ms - node.env.now()) // 2)
    message = messages.OpenKey(
        key=lifecycle.key,
        digest=call.digest,
        edge=edge,
        request_id=lifecycle.edge_request_id,
        epoch=0,
        leader_ms=0,
    )
    leader.request(message, left_ms, done)


def key_response_step(request: InFlightRequest, response: Any) -> Step:
    """Return the request's next step after the leader's response; None leaves it in doubt."""
    if response is None:
        return request.lifecycle.key_answered(KeyState.UNKNOWN)
    return request.lifecycle.key_answered(response.outcome, response.status, response.body)


def close_key(
    node: Any,
    leader: LeaderRequests,
    request: InFlightRequest,
    step: Step,
    done: Callable[[], None],
) -> None:
    """Close the key as the step says; a close without a response leaves it open, and is logged."""
    lifecycle = request.lifecycle
    recorded = step.response or _NO_RESPONSE

    def on_response(response: Any) -> None:
        if response is None:
            node.env.log(
                "key-left-open",
                "WARNING",
                request=lifecycle.edge_request_id,
                key=lifecycle.key,
                state=str(step.key_outcome),
            )
        done()

    message = messages.CloseKey(
        key=lifecycle.key,
        request_id=lifecycle.edge_request_id,
        state=str(step.key_outcome),
        status=recorded.status,
        body=str(recorded.body),
    )
    leader.request(message, node.settings.request_timeout_ms * 2, on_response)
