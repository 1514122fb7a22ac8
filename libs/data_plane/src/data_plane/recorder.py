"""Records an edge's day: one JSON line for each call of a client and what came of it.

Bodies are recorded whole, or by size and a digest of their start. A file has a first line that says
what it is, a checksum in each line, and a last line that counts them, so that a truncated or
altered one is detected. Serving goes on when nothing can be written: that is logged once, and
recording stops.
"""

import hashlib
import json
import zlib
from pathlib import Path
from typing import Any

from aiohttp import web
from runtime import boot_ms, log, wall_ms

__all__ = ["FORMAT", "Recorder", "sealed"]

FORMAT = "vaneledge-recording-1"


def sealed(row: dict[str, Any]) -> str:
    """Return the line of a row: its JSON with the checksum of all else as last field."""
    text = json.dumps(row, sort_keys=True)
    return json.dumps({**row, "sum": zlib.crc32(text.encode())}, sort_keys=True)


def _kind(request: web.Request) -> str:
    if request.path.startswith("/v1/"):
        return "live"
    return (
        {"PUT": "hand-in", "DELETE": "end"}.get(request.method, "read")
        if request.path.startswith("/lots/")
        else ""
    )


def _redacted(text: str) -> dict[str, Any]:
    return {
        "chars": len(text),
        "start": hashlib.blake2b(text[:256].encode(), digest_size=6).hexdigest(),
    }


class Recorder:
    """Writes recordings into `folder`, a new file after each `rows` calls.

    `bodies` says that prompts are recorded whole.
    """

    __slots__ = ("_bodies", "_count", "_edge", "_folder", "_number", "_page", "_rows", "_stopped")

    def __init__(self, folder: str, edge: str, rows: int, bodies: bool) -> None:
        self._folder = Path(folder)
        self._edge, self._rows, self._bodies = edge, rows, bodies
        self._page: Any = None
        self._count = 0
        self._number = 0
        self._stopped = False

    @web.middleware
    async def middleware(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Serve the request, and record it with its answer."""
        kind = _kind(request)
        if not kind:
            return await handler(request)
        began_ms, at_ms = boot_ms(), wall_ms()
        try:
            data = await request.read()
        except web.HTTPException:
            data = b""
        answer = await handler(request)
        self._note(
            {
                "kind": kind,
                "at_ms": at_ms,
                "took_ms": boot_ms() - began_ms,
                **self._asked(request, kind, data),
                **self._came_of(request, answer),
            }
        )
        return answer

    def _asked(self, request: web.Request, kind: str, data: bytes) -> dict[str, Any]:
        row: dict[str, Any] = {
            "lot": request.match_info.get("lot_id", ""),
            "address": request.path,
            "key": request.headers.get("Idempotency-Key", ""),
            "from": request.query.get("from", ""),
        }
        try:
            body = json.loads(data) if data else {}
        except ValueError:
            body = {}
        if not isinstance(body, dict):
            body = {}
        row["path"] = str(body.get("model") or body.get("path") or "")
        if kind == "live":
            row["stream"] = body.get("stream") is True
        items = (
            body.get("items")
            if isinstance(body.get("items"), list)
            else [body]
            if kind == "live"
            else []
        )
        row["prompts"] = [self._prompt(item) for item in items]
        return row

    def _prompt(self, item: Any) -> Any:
        item = item if isinstance(item, dict) else {}
        text = (
            item["prompt"]
            if isinstance(item.get("prompt"), str)
            else json.dumps(item.get("messages", ""))
        )
        shown: dict[str, Any] = {"text": text} if self._bodies else _redacted(text)
        if isinstance(item.get("max_tokens"), int):
            shown["max_tokens"] = item["max_tokens"]
        return shown

    def _came_of(self, request: web.Request, answer: web.StreamResponse) -> dict[str, Any]:
        verdict, code = (
            request.get("verdict", "ran" if answer.status < 400 else ""),
            request.get("code", ""),
        )
        if answer.status >= 400 and isinstance(answer, web.Response):
            try:
                error = json.loads(answer.text or "")["error"]
                verdict, code = error.get("verdict", ""), error.get("code", "")
            except (ValueError, KeyError, TypeError, AttributeError):
                pass
        return {
            "status": answer.status,
            "verdict": verdict,
            "code": code,
            "bytes": answer.body_length,
        }

    # -- the file ------------------------------------------------------------------------------

    def _note(self, row: dict[str, Any]) -> None:
        if self._stopped:
            return
        try:
            if self._page is None:
                self._begin()
            self._page.write(sealed(row) + "\n")
            self._count += 1
            if self._count >= self._rows:
                self.close()
        except OSError as error:
            log("recording-stopped", "ERROR", reason=str(error))
            self._page = None
            self._stopped = True

    def _begin(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._number += 1
        path = self._folder / f"{self._edge}-{wall_ms()}-{self._number:04d}.jsonl"
        self._page = open(path, "w", buffering=1)
        self._count = 0
        self._page.write(
            sealed({"kind": "begin", "format": FORMAT, "edge": self._edge, "at_ms": wall_ms()})
            + "\n"
        )

    def close(self) -> None:
        """End the present file."""
        if self._page is not None:
            self._page.write(
                sealed({"kind": "finis", "rows": self._count, "at_ms": wall_ms()}) + "\n"
            )
            self._page.close()
            self._page = None
