"""The two kinds of request that an edge serves.

A `Call` is a completion of our own interface. A `ForwardCall` is forwarded whole and unchanged to a
worker whose headers have names of their own, which a `WorkerHeaderNames` gives.
"""

from collections.abc import Iterable
from typing import Any

__all__ = ["Call", "WorkerHeaderNames", "ForwardCall", "end_to_end"]

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "proxy-connection",
    }
)
_OWN_FRAMING = frozenset({"host", "content-length"})


class Call:
    """A completion: the worker's body, its digest for the idempotency key, and a placement prefix.

    `job` is true for an item of a batch, `stream` for an answer in server-sent events.
    """

    __slots__ = ("body", "digest", "job", "prefix", "stream")
    kept_when_gone = True
    rollout = False
    parts = ()

    def __init__(
        self, body: dict[str, Any], digest: str, prefix: str, job: bool, stream: bool
    ) -> None:
        self.body, self.digest, self.prefix, self.job, self.stream = (
            body,
            digest,
            prefix,
            job,
            stream,
        )


class WorkerHeaderNames:
    """The header names of one kind of worker; an empty name means that it has no such header."""

    __slots__ = (
        "answered_by",
        "deadline_ms",
        "last_event_id",
        "load",
        "not_run",
        "request_id",
        "stamp",
        "urgency",
        "worker",
    )

    def __init__(
        self,
        request_id: str,
        worker: str,
        stamp: str,
        not_run: str,
        load: str,
        deadline_ms: str,
        urgency: str,
        answered_by: str = "",
        last_event_id: str = "Last-Event-Id",
    ) -> None:
        self.request_id, self.worker, self.stamp, self.not_run = request_id, worker, stamp, not_run
        self.answered_by = answered_by
        self.load, self.deadline_ms, self.urgency, self.last_event_id = (
            load,
            deadline_ms,
            urgency,
            last_event_id,
        )


class ForwardCall:
    """A request that is forwarded to a worker as it came.

    `parts` are the prompt's parts in order, each an id and its tokens; `headers` are the end-to-end
    ones; `tokens_in` and `tokens_out` are the expected tokens of prompt and answer. `resumable`
    says that a stream can be continued after its last event, `job` that it is an item of a batch,
    which is less urgent than a request somebody waits for. `urgency` is passed to the worker in its
    header.
    """

    __slots__ = (
        "body",
        "headers",
        "host",
        "last_event_id",
        "job",
        "method",
        "parts",
        "request_id",
        "resumable",
        "stream",
        "target",
        "tokens_in",
        "tokens_out",
        "urgency",
    )
    kept_when_gone = False
    rollout = False

    def __init__(
        self,
        method: str,
        target: str,
        host: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        request_id: str,
        parts: Iterable[tuple[str, int]] = (),
        tokens_in: int = 0,
        tokens_out: int = 0,
        stream: bool = False,
        resumable: bool = False,
        job: bool = False,
        last_event_id: int | None = None,
        urgency: int = 0,
    ) -> None:
        self.method, self.target, self.host, self.body, self.request_id = (
            method,
            target,
            host,
            body,
            request_id,
        )
        self.headers, self.parts = list(headers), list(parts)
        self.tokens_in, self.tokens_out = tokens_in, tokens_out
        self.stream, self.resumable, self.job = stream, resumable, job
        self.last_event_id, self.urgency = last_event_id, urgency

    @property
    def prefix(self) -> str:
        """The id of the prompt's first part, or an empty string."""
        return self.parts[0][0] if self.parts else ""


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers without the hop-by-hop ones and without the framing.

    The framing is left out because each connection makes its own.
    """
    rows = list(headers)
    named = {
        token.strip().lower()
        for name, value in rows
        if name.lower() == "connection"
        for token in value.split(",")
    }
    out = _HOP_BY_HOP | _OWN_FRAMING | named
    return [
        (name, value)
        for name, value in rows
        if (low := name.lower()) not in out and not low.startswith("proxy-")
    ]
