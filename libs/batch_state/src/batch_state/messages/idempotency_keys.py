"""Requests about idempotency keys, under which a client sends what isn't safe to repeat.

`outcome` of a response is a `KeyOutcome`, `state` of CloseKey a `KeyState`.
"""

from messaging import Message

__all__ = ["CloseKey", "KeyResponse", "OpenKey"]


class OpenKey(Message):
    """Open a request that isn't safe to repeat, under a client's key."""

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
    """The response to OpenKey and CloseKey, with the final answer if it is recorded."""

    outcome: str
    status: int
    body: str
