"""Records the calls that clients make to an edge: one JSON line for each call and its outcome.

Recorded are completions (`/v1/`) and calls about batch jobs (`/lots/`). Prompts are recorded in
full, or by their length and a digest of their start. The first line of a file names its format,
each line has a checksum, and the last line counts the calls, so that a truncated or altered file is
detected. If a file can't be written, that is logged once and recording stops; the edge goes on
serving.
"""

import hashlib
import json
import zlib
from collections.abc import Awaitable, Callable
from enum import StrEnum
from pathlib import Path
from typing import Any, TextIO

from aiohttp import web
from runtime import boot_ms, log, wall_ms

from data_plane.body_reader import RECORDED_BODY_KEY

__all__ = ["FORMAT", "CallKind", "LineKind", "Recorder", "encode_row"]

FORMAT = "vaneledge-recording-1"
_DIGESTED_CHARS = 256
_DIGEST_BYTES = 6


class CallKind(StrEnum):
    """The kinds of recorded calls, with their values in the file."""

    LIVE = "live"
    SUBMIT = "hand-in"
    READ = "read"
    CANCEL = "end"


class LineKind(StrEnum):
    """The kinds of a recording's first and last line, with their values in the file."""

    FIRST = "begin"
    LAST = "finis"


_JOB_CALL_KINDS = {"PUT": CallKind.SUBMIT, "DELETE": CallKind.CANCEL}
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def encode_row(row: dict[str, Any]) -> str:
    """Return a row as a JSON line, with the CRC-32 of its other fields in the field `sum`."""
    text = json.dumps(row, sort_keys=True)
    return json.dumps({**row, "sum": zlib.crc32(text.encode())}, sort_keys=True)


def _call_kind(request: web.Request) -> str:
    """Return the kind of a call, or an empty string if it is not recorded."""
    if request.path.startswith("/v1/"):
        return CallKind.LIVE
    if request.path.startswith("/lots/"):
        return _JOB_CALL_KINDS.get(request.method, CallKind.READ)
    return ""


def _redacted(text: str) -> dict[str, Any]:
    """Return the length of a prompt and the digest of its first characters."""
    start = text[:_DIGESTED_CHARS].encode()
    return {
        "chars": len(text),
        "start": hashlib.blake2b(start, digest_size=_DIGEST_BYTES).hexdigest(),
    }


class Recorder:
    """Writes recordings into a folder.

    Parameters
    ----------
    folder
        The folder of the recordings; it is created if it is missing.
    edge
        The name of the edge, for the files' names and first lines.
    rows
        The number of calls in a file, after which a new one is begun.
    bodies
        Whether prompts are recorded in full.
    """

    __slots__ = (
        "_bodies",
        "_edge",
        "_file",
        "_file_count",
        "_folder",
        "_row_count",
        "_rows_per_file",
        "_stopped",
    )

    def __init__(self, folder: str, edge: str, rows: int, bodies: bool) -> None:
        self._folder = Path(folder)
        self._edge = edge
        self._rows_per_file = rows
        self._bodies = bodies
        self._file: TextIO | None = None
        self._row_count = 0
        self._file_count = 0
        self._stopped = False

    @web.middleware
    async def middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Pass the request to its handler, and record it with its response.

        A request whose handler raises is not recorded; a body that the handler did not read is
        recorded as empty.
        """
        kind = _call_kind(request)
        if not kind:
            return await handler(request)
        began_ms, at_ms = boot_ms(), wall_ms()
        response = await handler(request)
        data: bytes = request.get(RECORDED_BODY_KEY, b"")
        self._record(
            {
                "kind": kind,
                "at_ms": at_ms,
                "took_ms": boot_ms() - began_ms,
                **self._request_fields(request, kind, data),
                **_response_fields(request, response),
            }
        )
        return response

    def _request_fields(self, request: web.Request, kind: str, data: bytes) -> dict[str, Any]:
        body = _json_object(data)
        row: dict[str, Any] = {
            "lot": request.match_info.get("lot_id", ""),
            "address": request.path,
            "key": request.headers.get("Idempotency-Key", ""),
            "from": request.query.get("from", ""),
            "path": str(body.get("model") or body.get("path") or ""),
        }
        if kind == CallKind.LIVE:
            row["stream"] = body.get("stream") is True
        items = body.get("items")
        if not isinstance(items, list):
            items = [body] if kind == CallKind.LIVE else []
        row["prompts"] = [self._prompt_fields(item) for item in items]
        return row

    def _prompt_fields(self, item: Any) -> dict[str, Any]:
        item = item if isinstance(item, dict) else {}
        text = (
            item["prompt"]
            if isinstance(item.get("prompt"), str)
            else json.dumps(item.get("messages", ""))
        )
        row: dict[str, Any] = {"text": text} if self._bodies else _redacted(text)
        if isinstance(item.get("max_tokens"), int):
            row["max_tokens"] = item["max_tokens"]
        return row

    def _record(self, row: dict[str, Any]) -> None:
        if self._stopped:
            return
        try:
            file = self._open_file() if self._file is None else self._file
            file.write(encode_row(row) + "\n")
            self._row_count += 1
            if self._row_count >= self._rows_per_file:
                self.close()
        except OSError as error:
            log("recording-stopped", "ERROR", reason=str(error))
            self._file = None
            self._stopped = True

    def _open_file(self) -> TextIO:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._file_count += 1
        path = self._folder / f"{self._edge}-{wall_ms()}-{self._file_count:04d}.jsonl"
        self._file = open(path, "w", buffering=1)  # noqa: SIM115 -- closed by `close`
        self._row_count = 0
        first = {
            "kind": LineKind.FIRST,
            "format": FORMAT,
            "edge": self._edge,
            "at_ms": wall_ms(),
        }
        self._file.write(encode_row(first) + "\n")
        return self._file

    def close(self) -> None:
        """Write the last line of the open file, if there is one, and close it."""
        if self._file is not None:
            last = {"kind": LineKind.LAST, "rows": self._row_count, "at_ms": wall_ms()}
            self._file.write(encode_row(last) + "\n")
            self._file.close()
            self._file = None


def _json_object(data: bytes) -> dict[str, Any]:
    """Return a body's JSON object, or an empty one if it isn't one."""
    try:
        body = json.loads(data) if data else {}
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}


def _response_fields(request: web.Request, response: web.StreamResponse) -> dict[str, Any]:
    verdict = request.get("verdict", "ran" if response.status < 400 else "")
    code = request.get("code", "")
    if response.status >= 400 and isinstance(response, web.Response):
        try:
            error = json.loads(response.text or "")["error"]
            verdict, code = error.get("verdict", ""), error.get("code", "")
        except (ValueError, KeyError, TypeError, AttributeError):
            pass
    return {
        "status": response.status,
        "verdict": verdict,
        "code": code,
        "bytes": response.body_length,
    }
