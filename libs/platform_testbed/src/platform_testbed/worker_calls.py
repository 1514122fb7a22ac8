"""A request to a simulated worker: its translation for the engine, and the engine's messages."""

import asyncio
import hashlib
import json
from contextlib import suppress
from typing import Any

from aiohttp import web

from platform_testbed.engine_messages import EngineRequest

__all__ = ["WorkerCall", "digest", "parse_request"]


def digest(data: bytes) -> str:
    """Return a 64-bit digest in hexadecimal."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()


class WorkerCall:
    """One request on one connection.

    Attributes
    ----------
    messages
        The engine's messages about the request, in order.
    row
        Row of the history for its run; recorded once the run starts.
    tag
        Name of the run, unique among all workers; empty until it starts.
    """

    __slots__ = ("messages", "row", "tag")

    def __init__(self) -> None:
        self.messages: asyncio.Queue = asyncio.Queue()
        self.row: dict[str, Any] = {}
        self.tag = ""


def parse_request(
    key: int, request: web.BaseRequest, body: bytes, first_event: int
) -> tuple[EngineRequest, dict[str, Any]]:
    """Return the engine's form of a request, and the plan that its JSON body gives for the answer.

    `first_event` is unused.

    Raises
    ------
    ValueError
        If a header that has to be a number isn't one.
    """
    headers = request.headers
    plan: dict[str, Any] = {"stream": False, "events": 1, "pad": 20, "poisoned": False}
    with suppress(ValueError):
        plan |= json.loads(body)
    tokens_in, _, tokens_out = headers.get("Token-Counts", "0,14").partition(",")
    parts = tuple(
        (name, int(tokens))
        for name, _, tokens in (
            part.partition(":") for part in headers.get("Prompt-Prefix", "").split(",") if part
        )
    )
    last = headers.get("Last-Event-Id")
    deadline = headers.get("Deadline-Ms")
    engine_request = EngineRequest(
        key=key,
        request_id=headers.get("Request-Id", ""),
        target_id=headers.get("Target-Server", ""),
        urgency=int(headers.get("Work-Urgency", 5)),
        tokens_in=int(tokens_in),
        tokens_out=int(tokens_out),
        parts=parts,
        events=plan["events"],
        last_event_id=None if last is None else int(last),
        deadline_ms=None if deadline is None else float(deadline),
        poisoned=plan["poisoned"],
    )
    return engine_request, plan
