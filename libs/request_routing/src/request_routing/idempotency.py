"""Idempotency keys of requests that must not run twice.

A key is opened at the log's leader before the first attempt, and closed there with the outcome of
the request.
"""

from collections.abc import Callable
from typing import Any, Protocol

from batch_state import messages
from messaging import Message

from request_routing.calls import ForwardCall
from request_routing.in_flight import InFlightRequest
from request_routing.request_refusals import OpenKeyOutcome
from request_routing.steps import FinalResponse, Step

__all__ = ["LeaderRequests", "close_key", "key_response_step", "open_key"]

_NO_RESPONSE = FinalResponse(0, "")


class LeaderRequests(Protocol):
    """Sends requests to the log's leader."""

    def request(self, message: Message, wait_ms: int, done: Callable[[Any], None]) -> object:
        """Send a message to the leader, with retries for up to `wait_ms` milliseconds.

        `done` is called with the response, or with None if there was none in time.
        """
        ...


def open_key(
    node: Any,
    edge: str,
    leader: LeaderRequests,
    request: InFlightRequest,
    wait_ms: int,
    done: Callable[[Any], None],
) -> None:
    """Open the idempotency key of a request at the log's leader.

    Raises TypeError for a forwarded request, which has no key.

    Parameters
    ----------
    node
        This edge's node.
    edge
        This edge's identity.
    leader
        Client of the log's leader.
    request
        The request, which has to be a completion with a key.
    wait_ms
        How long the opening may take in milliseconds; it has at least `request_timeout_ms`.
    done
        Called with the leader's response, or with None if there was none in time.
    """
    lifecycle, call = request.lifecycle, request.call
    if isinstance(call, ForwardCall):
        raise TypeError("expected a Call, got a ForwardCall, which has no idempotency key")
    message = messages.OpenKey(
        key=lifecycle.key,
        digest=call.digest,
        edge=edge,
        request_id=lifecycle.edge_request_id,
        epoch=0,
        leader_ms=0,
    )
    leader.request(message, max(node.settings.request_timeout_ms, wait_ms), done)


def key_response_step(request: InFlightRequest, response: Any) -> Step:
    """Return the request's next step after the leader's response to the opening of its key.

    None means that no response came, so an earlier request with the key may have run.
    """
    if response is None:
        return request.lifecycle.key_answered(OpenKeyOutcome.UNKNOWN)
    return request.lifecycle.key_answered(response.outcome, response.status, response.body)


def close_key(
    node: Any,
    leader: LeaderRequests,
    request: InFlightRequest,
    step: Step,
    done: Callable[[], None],
) -> None:
    """Close a request's key with the state and the response of a CLOSE_KEY step.

    `done` is called in any case. If the leader does not respond within twice `request_timeout_ms`,
    the key may be left open, which is logged.
    """
    lifecycle = request.lifecycle
    recorded = step.response or _NO_RESPONSE

    def on_response(response: Any) -> None:
        if response is None:
            node.env.log(
                "key-left-open",
                "WARNING",
                request=lifecycle.edge_request_id,
                key=lifecycle.key,
                state=str(step.key_state),
            )
        done()

    message = messages.CloseKey(
        key=lifecycle.key,
        request_id=lifecycle.edge_request_id,
        state=str(step.key_state),
        status=recorded.status,
        body=str(recorded.body),
    )
    leader.request(message, node.settings.request_timeout_ms * 2, on_response)
