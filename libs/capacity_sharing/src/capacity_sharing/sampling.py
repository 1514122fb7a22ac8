"""One sample of a rollout as a call to a worker.

The call is streamed, so that it shows when its prompt has been read, has the lowest urgency, and
names the weights that the trainer wants. An answer counts only if the worker itself names these
weights; the result says which prompt and sample it is of, and which weights made it.
"""

import json
from collections.abc import Iterable
from typing import Any

from request_routing.attempt import Attempt
from request_routing.attempt_outcome import AttemptOutcome, failed
from request_routing.attempt_requests import WorkerRequest, new_exchange, worker_request
from request_routing.calls import Call
from request_routing.prefix_placement import prefix_of
from request_routing.worker import Worker
from request_routing.worker_exchange import WorkerExchange
from request_routing.worker_registry import WorkerRegistry
from request_routing.worker_selection import choose_worker

__all__ = [
    "OTHER_WEIGHTS",
    "URGENCY_HEADER",
    "WEIGHTS_HEADER",
    "SampleCall",
    "SampleExchange",
    "sample_result",
    "unstarted",
]

WEIGHTS_HEADER = "X-Vaneledge-Weights"
URGENCY_HEADER = "X-Vaneledge-Urgency"
OTHER_WEIGHTS = "other weights"
_LOWEST = "9"


class SampleCall(Call):
    """A call for one sample; `told` are the weights that the worker named in its answer."""

    __slots__ = ("told", "weights")
    rollout = True

    def __init__(self, body: dict[str, Any], weights: str) -> None:
        super().__init__(body, "", prefix_of(body), True, True)
        self.weights, self.told = weights, ""


class SampleExchange(WorkerExchange):
    """An exchange with a worker that fails if the worker has other weights than wanted."""

    __slots__ = ("_call",)

    def __init__(
        self, worker: str, transaction_id: str, limit_bytes: int, call: SampleCall
    ) -> None:
        super().__init__(worker, transaction_id, True, limit_bytes)
        self._call = call

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        """Take the head of the answer and the weights that it names."""
        rows = list(headers)
        super().head(status, rows, length)
        told = [value for name, value in rows if name.lower() == WEIGHTS_HEADER.lower()]
        self._call.told = told[0] if len(told) == 1 else ""

    @property
    def other_weights(self) -> bool:
        """Whether a good answer comes from other weights than the call wants."""
        return self.good and self._call.weights not in ("", self._call.told)

    def data(self, chunk: bytes) -> tuple[list[bytes], AttemptOutcome | None]:
        """Take a chunk of the answer; fails if it comes from other weights."""
        if self.other_weights:
            return [], failed(True, OTHER_WEIGHTS)
        return super().data(chunk)

    def end(self) -> AttemptOutcome:
        """Return the exchange's fate at the end of the answer."""
        return failed(True, OTHER_WEIGHTS) if self.other_weights else super().end()


@new_exchange.register
def _(call: SampleCall, router: Any, lifecycle: Any, worker: Worker) -> SampleExchange:
    limit_bytes = router.node.settings.max_response_bytes
    return SampleExchange(worker.instance_id, lifecycle.edge_request_id, limit_bytes, call)


@worker_request.register
def _(call: SampleCall, router: Any, lifecycle: Any, worker: Worker) -> WorkerRequest:
    request = worker_request.dispatch(Call)(call, router, lifecycle, worker)
    headers = {**request.headers, URGENCY_HEADER: _LOWEST, WEIGHTS_HEADER: call.weights}
    return WorkerRequest(request.target, headers, request.body)


@choose_worker.register
def _(
    call: SampleCall, router: Any, lifecycle: Any, workers: list[Worker], registry: WorkerRegistry
) -> Worker | None:
    chosen: Worker | None = router.slot_lender.choose(lifecycle, call.weights, workers)
    return chosen


def unstarted(send: Attempt, now_ms: int, reading_ms: int) -> bool:
    """Return whether a worker may still be reading the prompt of a call.

    A stream is read until its first data. A plain call shows nothing before its end, so it counts
    for `reading_ms` after its start.
    """
    if send.request.call.stream:
        return send.last_event_ms <= send.started_ms and not send.request.lifecycle.delivered
    return bool(now_ms - send.started_ms < reading_ms)


def sample_result(work: Any, worker: str, weights: str, events: str) -> str:
    """Return the JSON text that is listed for a sample, with the text of its stream's events."""
    text = "".join(
        _text(json.loads(line.removeprefix("data:")))
        for line in events.splitlines()
        if line.startswith("data:")
    )
    return json.dumps(
        {
            "prompt": work.prompt,
            "sample": work.sample,
            "weights": weights,
            "worker": worker,
            "text": text,
        }
    )


def _text(value: dict[str, Any]) -> str:
    choice = (value.get("choices") or [{}])[0]
    return str(choice.get("text") or (choice.get("delta") or {}).get("content") or "")
