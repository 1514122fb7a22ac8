"""The two kinds of request that an edge serves.

A `Call` is a completion of our own interface. A `ForwardCall` is forwarded whole and unchanged to a
worker whose headers have names of their own, which a `WorkerHeaderNames` gives.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

__all__ = ["Call", "ForwardCall", "PromptPart"]


class PromptPart(NamedTuple):
    """A part of a prompt that workers cache as a whole: its id, and its size in tokens."""

    part_id: str
    tokens: int


class Call:
    """A completion: the worker's body, its digest for the idempotency key, and its prompt's prefix.

    `job` is true for an item of a batch job, `stream` for an answer in server-sent events. It runs
    to its end though its client has disconnected, unless it is idempotent.
    """

    __slots__ = ("body", "digest", "job", "prefix", "stream")
    survives_disconnect = True
    rollout = False
    parts: tuple[PromptPart, ...] = ()

    def __init__(
        self, body: dict[str, Any], digest: str, prefix: str, job: bool, stream: bool
    ) -> None:
        self.body = body
        self.digest = digest
        self.prefix = prefix
        self.job = job
        self.stream = stream


class ForwardCall:
    """A request that is forwarded to a worker as it came.

    `parts` are the prompt's parts in order; `headers` are the end-to-end ones; `tokens_in` and
    `tokens_out` are the expected tokens of prompt and answer. `resumable` says that a stream can be
    continued after its last event, `job` that it is an item of a batch job, which is less urgent
    than a request that a client waits for. `urgency` is passed to the worker in its header.
    """

    __slots__ = (
        "body",
        "headers",
        "host",
        "job",
        "last_event_id",
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
    survives_disconnect = False
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
        self.method = method
        self.target = target
        self.host = host
        self.headers = list(headers)
        self.body = body
        self.request_id = request_id
        self.parts = [PromptPart(*part) for part in parts]
        self.tokens_in, self.tokens_out = tokens_in, tokens_out
        self.stream, self.resumable, self.job = stream, resumable, job
        self.last_event_id, self.urgency = last_event_id, urgency

    @property
    def prefix(self) -> str:
        """The id of the prompt's first part, or an empty string."""
        return self.parts[0].part_id if self.parts else ""
