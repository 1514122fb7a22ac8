"""Requests about idempotency keys, which clients give to requests that aren't safe to repeat.

The `outcome` of a response is a `KeyOutcome`, the `state` of CloseKey a `KeyState`.
"""

from messaging import Message

__all__ = ["CloseKey", "KeyResponse", "OpenKey"]


class OpenKey(Message):
    """Open an idempotency key for a request; `digest` is that of the request's content."""

    key: str
    digest: str
    edge: str
    request_id: str
    epoch: int
    leader_ms: int


class CloseKey(Message):
    """Record how a request ended: its state, HTTP status and body."""

    key: str
    request_id: str
    state: str
    status: int
    body: str


class KeyResponse(Message, wire_name="KeyReceipt"):
    """The response to OpenKey and CloseKey, with the final HTTP response if it is recorded."""

    outcome: str
    status: int
    body: str
