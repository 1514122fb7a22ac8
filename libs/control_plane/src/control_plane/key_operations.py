"""Operations on control keys for the HTTP handlers, and responses with their results."""

from aiohttp import web
from control_store import Change, ChangeResult, FindChange, KeyOwner, Outcome, ReadKey
from data_plane.http_service import json_response, refusal_response
from messaging.node_runner import awaited
from runtime import Refusal, doubtful, refused

__all__ = ["change_refusal", "change_response", "read_key", "submit"]

_RETRY_AFTER_MS = 1000


async def submit(owner: KeyOwner, operation: Change | FindChange | ReadKey) -> ChangeResult:
    """Submit an operation on a control key and return its result."""
    result: ChangeResult = await awaited(lambda done: owner.submit(operation, done))
    return result


async def read_key(owner: KeyOwner, key: str) -> ChangeResult | Refusal:
    """Read a key through a quorum; return the result, or a refusal if there is no majority."""
    result = await submit(owner, ReadKey(key=key, hops=0))
    if result.outcome != Outcome.OK:
        reason = result.reason or "no majority of the voters can be heard"
        return refused("no-majority", reason, 503, _RETRY_AFTER_MS)
    return result


def change_response(result: ChangeResult, change_id: str) -> web.Response:
    """Return the response to a change; `change_id` is the identifier that the caller gave it."""
    if result.outcome == Outcome.OK:
        return json_response({"version": result.version, "change_id": change_id})
    return refusal_response(change_refusal(result, change_id))


def change_refusal(result: ChangeResult, change_id: str) -> Refusal:
    """Return the refusal for a change whose outcome is not OK."""
    if result.outcome == Outcome.LOST:
        return refused(
            "version-replaced",
            f"{result.reason}; this change will not take effect",
            409,
            field="version",
        )
    if result.outcome == Outcome.REFUSED:
        return refused("not-founded", result.reason, 503, _RETRY_AFTER_MS)
    if result.outcome == Outcome.FORGOTTEN:
        return doubtful(
            "change-forgotten",
            f"{result.reason}; read the profiles to see what is in place",
            _RETRY_AFTER_MS,
        )
    return doubtful(
        "change-in-doubt",
        f"{result.reason}; send the same with change_id {change_id} to learn what became of it",
        _RETRY_AFTER_MS,
    )
