"""A request to a simulated worker: what it asks of the engine, and the engine's messages to it."""

import asyncio
import hashlib
import json
from contextlib import suppress
from typing import Any

from aiohttp import web

from platform_testbed.engine_messages import EngineRequest

__all__ = ["Turn", "digest", "parse_request"]


def digest(data: bytes) -> str:
    """Return a digest of 64 bits in hexadecimal."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()


class Turn:
    """One request on one connection, with the engine's messages about it in order."""

    __slots__ = ("news", "row", "tag")

    def __init__(self) -> None:
        self.news: asyncio.Queue = asyncio.Queue()
        self.row: dict[str, Any] = {}
        self.tag = ""


def parse_request(
    key: int, request: web.BaseRequest, body: bytes, first_event: int
) -> tuple[EngineRequest, dict[str, Any]]:
    """Return what a request's headers and body ask of the engine, and the body's plan.

    `first_event` is unused; ValueError if a header that should be a number is none.
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
    asked = EngineRequest(
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
    return asked, plan
