"""The two kinds of request that an edge serves.

A `Call` is a completion request of the edge's own HTTP interface; the edge builds the worker's
request from it. A `ForwardCall` is a proxied request: method, target and body reach the worker
unchanged, and the control headers that the edge adds are named by a `WorkerHeaderNames`.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

__all__ = ["Call", "ForwardCall", "PromptPart"]


class PromptPart(NamedTuple):
    """A segment of a prompt that workers cache as a unit: its id and its size in tokens."""

    part_id: str
    tokens: int


class Call:
    """A completion request of the edge's own HTTP interface.

    It keeps running after its client has disconnected, unless it is idempotent.

    Parameters
    ----------
    body
        Request body, from which the worker's request is built.
    digest
        Digest of the request, stored with its idempotency key to detect reuse of the key.
    prefix
        Digest of the start of the prompt, used for placement by prefix.
    job
        True for work of lower priority than live requests: batch items and rollout samples.
    stream
        True if the response is a stream of server-sent events.
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
    """A request that is forwarded to a worker unchanged.

    It is cancelled when its client disconnects.

    Parameters
    ----------
    method, target, host
        Method, request target and `Host` value of the client's request.
    headers
        End-to-end headers of the client's request.
    body
        Body, forwarded byte for byte.
    request_id
        The client's request id; the worker has to repeat it in its response.
    parts
        Ids and sizes in tokens of the prompt's segments, in prompt order.
    tokens_in, tokens_out
        Expected number of tokens of the prompt and of the response.
    stream
        True if the response is a stream of server-sent events.
    resumable
        True if another worker can continue the stream after its last event.
    job
        True for an item of a batch job, which has a lower priority than a live request.
    last_event_id
        Id of the last event that the client already has; the stream resumes after it.
    urgency
        Priority that is passed to the worker in its urgency header.
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
        """The id of the prompt's first segment, or an empty string if there is none."""
        return self.parts[0].part_id if self.parts else ""
