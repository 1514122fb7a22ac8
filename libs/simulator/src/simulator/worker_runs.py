"""A run of a request at a simulated worker, and the response that it writes."""

import json
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from simulator.history import RowKind

if TYPE_CHECKING:
    from simulator.workers import SimWorker

__all__ = ["UNSAFE_PATHS", "Reply", "ReplyPart", "WorkerRun", "prompt_fields"]

UNSAFE_PATHS = ("moves", "claims")
"""The paths whose requests are not safe to repeat."""

_UNRESPONSIVE_POLL_MS = 50.0
_WORD = "w "

Reply = Callable[..., None]
"""Called as `reply(part, *arguments)` for each part of a response."""


class ReplyPart(StrEnum):
    """A part of a response on the connection to the edge, or a failure of the connection."""

    HEAD = "head"
    """The status, the headers and the length of the body (None for a stream)."""
    DATA = "data"
    """A part of the body, as bytes."""
    END = "end"
    """The body is complete."""
    NO_CONNECTION = "no connection"
    """Nothing listens at the address."""
    CONNECTION_LOST = "connection lost"
    """The connection was lost after it had been established."""


class WorkerRun:
    """A request at a worker, which is refused or runs and writes `event_count` events.

    `is_open` returns whether the edge still holds the connection open. A run is ended once its
    worker notices that the edge has closed it.
    """

    __slots__ = ("_reply", "_worker", "body", "event_count", "is_open", "path", "transaction")

    def __init__(
        self,
        worker: "SimWorker",
        headers: dict[str, str],
        body: dict[str, Any],
        reply: Reply,
        is_open: Callable[[], bool],
        event_count: int,
    ) -> None:
        self._worker, self._reply, self.body, self.is_open = worker, reply, body, is_open
        self.transaction, self.path = headers["X-Vaneledge-Transaction"], body["model"]
        self.event_count = event_count

    def _write_head(self, status: int, length: int | None) -> None:
        headers = [
            ("X-Vaneledge-Worker", self._worker.instance_id),
            ("X-Vaneledge-Transaction", self.transaction),
            *self._worker.extra_headers(),
        ]
        self._reply(ReplyPart.HEAD, status, headers, length)

    def _write_body(self, data: bytes) -> None:
        self._write_head(200, len(data))
        self._reply(ReplyPart.DATA, data)

    def refuse(self, status: int, code: str) -> None:
        """Respond with a refusal; the request does not run."""
        data = json.dumps({"error": {"verdict": "not_run", "code": code}}).encode()
        self._write_head(status, len(data))
        self._reply(ReplyPart.DATA, data)
        self._reply(ReplyPart.END)

    def write_event(self, index: int) -> None:
        """Write the event at `index` and schedule the next; after the last one, end the run.

        If the worker has crashed or the caller has disconnected, the connection is lost instead.
        """
        worker = self._worker
        if not worker.is_running(self):
            return
        if worker.crashed or worker.is_abandoned(self, index):
            worker.finish(self)
            self._reply(ReplyPart.CONNECTION_LOST)
            return
        if worker.unresponsive:
            worker.time.after(_UNRESPONSIVE_POLL_MS, lambda: self.write_event(index))
            return
        stream = self.body["stream"]
        if stream and index == 0:
            self._write_head(200, None)
        if index >= self.event_count:
            self._end(stream)
            return
        if stream:
            data = json.dumps(self._completion(_WORD))
            self._reply(ReplyPart.DATA, f"id: {index}\ndata: {data}\n\n".encode())
        worker.time.after(
            worker.event_ms * (0.5 + worker.time.rng.random()), lambda: self.write_event(index + 1)
        )

    def _completion(self, text: str) -> dict[str, Any]:
        return {"id": self.transaction, "choices": [{"index": 0, "text": text}]}

    def _end(self, stream: bool) -> None:
        worker = self._worker
        worker.finish(self)
        worker.history.add(
            RowKind.RUN_ENDED,
            worker.time.now_ms,
            worker=worker.instance_id,
            transaction=self.transaction,
            event_count=self.event_count,
        )
        if stream:
            self._reply(ReplyPart.DATA, b"data: [DONE]\n\n")
        else:
            self._write_body(json.dumps(self._completion(_WORD * self.event_count)).encode())
        self._reply(ReplyPart.END)


def prompt_fields(body: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a run's row that identify its request, from the body's prompt.

    Clients write prompts as a sequence of `name value` pairs for this purpose.
    """
    words = body["prompt"].split()
    fields = dict(zip(words[::2], words[1::2], strict=True))
    return {
        "call": fields.get("call", ""),
        "key": fields.get("key", ""),
        "question": fields.get("asked", ""),
        "lot": fields.get("lot", ""),
        "index": int(fields.get("item", -1)),
        "safe": body["model"] not in UNSAFE_PATHS,
    }
