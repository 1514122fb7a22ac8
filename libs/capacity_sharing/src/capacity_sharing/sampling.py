"""The call to a worker for one sample of a rollout.

The call is streamed, so that its first event shows that the worker has processed the prompt. It has
the lowest urgency, and its headers name the weights that the rollout requires. A response counts
only if its own header names the same weights; a rollout without required weights takes any. The
result names the prompt, the sample, the worker and the weights that generated it.

The call, its exchange and the choice of its worker are registered with the dispatched functions of
`request_routing`.
"""

import json
from collections.abc import Iterable
from typing import Any

from batch_state.messages import RolloutAssignment
from request_routing.attempt import Attempt
from request_routing.attempt_outcome import AttemptOutcome, failed
from request_routing.attempt_requests import WorkerRequest, new_exchange, worker_request
from request_routing.calls import Call
from request_routing.lifecycle import RequestLifecycle
from request_routing.prefix_placement import prefix_of
from request_routing.routing_context import RoutingContext
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
    "may_be_prefilling",
    "sample_result",
]

WEIGHTS_HEADER = "X-Vaneledge-Weights"
URGENCY_HEADER = "X-Vaneledge-Urgency"
OTHER_WEIGHTS = "other weights"
_LOWEST_URGENCY = "9"


class SampleCall(Call):
    """A call for one sample.

    Attributes
    ----------
    weights
        The weights that the rollout requires; empty for any.
    reported_weights
        The weights that the worker named in its response; empty if it named none or several.
    """

    __slots__ = ("reported_weights", "weights")
    rollout = True

    def __init__(self, body: dict[str, Any], weights: str) -> None:
        super().__init__(body, "", prefix_of(body), True, True)
        self.weights, self.reported_weights = weights, ""


class SampleExchange(WorkerExchange):
    """An exchange with a worker that fails if the worker does not have the required weights.

    The outcome is then a failure after which the call may have run at the worker.
    """

    __slots__ = ("_call",)

    def __init__(
        self, worker: str, edge_request_id: str, limit_bytes: int, call: SampleCall
    ) -> None:
        super().__init__(worker, edge_request_id, True, limit_bytes)
        self._call = call

    def head(self, status: int, headers: Iterable[tuple[str, str]], length: int | None) -> None:
        """Process the head of the response, and record the weights that it names."""
        fields = list(headers)
        super().head(status, fields, length)
        values = [value for name, value in fields if name.lower() == WEIGHTS_HEADER.lower()]
        self._call.reported_weights = values[0] if len(values) == 1 else ""

    @property
    def has_other_weights(self) -> bool:
        """Whether a successful response does not name the weights that the call requires."""
        return self.is_success and self._call.weights not in ("", self._call.reported_weights)

    def data(self, chunk: bytes) -> tuple[list[bytes], AttemptOutcome | None]:
        """Process a chunk of the response; fails if the worker has other weights."""
        if self.has_other_weights:
            return [], failed(True, OTHER_WEIGHTS)
        return super().data(chunk)

    def end(self) -> AttemptOutcome:
        """Return the outcome at the end of the response; fails if the worker has other weights."""
        return failed(True, OTHER_WEIGHTS) if self.has_other_weights else super().end()


@new_exchange.register
def _(
    call: SampleCall, router: RoutingContext, lifecycle: RequestLifecycle, worker: Worker
) -> SampleExchange:
    limit_bytes = router.node.settings.max_response_bytes
    return SampleExchange(worker.instance_id, lifecycle.edge_request_id, limit_bytes, call)


@worker_request.register
def _(
    call: SampleCall, router: RoutingContext, lifecycle: RequestLifecycle, worker: Worker
) -> WorkerRequest:
    request = worker_request.dispatch(Call)(call, router, lifecycle, worker)
    headers = {**request.headers, URGENCY_HEADER: _LOWEST_URGENCY, WEIGHTS_HEADER: call.weights}
    return WorkerRequest(request.target, headers, request.body)


@choose_worker.register
def _(
    call: SampleCall,
    router: RoutingContext,
    lifecycle: RequestLifecycle,
    workers: list[Worker],
    registry: WorkerRegistry,
) -> Worker | None:
    if router.slot_lender is None:
        return None
    return router.slot_lender.choose(lifecycle, call.weights, workers)


def may_be_prefilling(attempt: Attempt, now_ms: int, prefill_ms: int) -> bool:
    """Return whether a worker may still be processing the prompt of an attempt (prefill).

    The prompt of a streamed call is processed by its first event. A call that isn't streamed shows
    nothing before its end, so it counts as prefilling for `prefill_ms` after its start.
    """
    if attempt.request.call.stream:
        has_event = attempt.last_event_ms > attempt.started_ms
        return not has_event and not attempt.request.lifecycle.delivered
    return now_ms - attempt.started_ms < prefill_ms


def sample_result(assignment: RolloutAssignment, worker: str, weights: str, events: str) -> str:
    """Return the JSON text that is reported to the log as the result of a sample.

    `events` are the events of the streamed response, whose texts are joined; `weights` those that
    generated them.
    """
    text = "".join(
        _event_text(json.loads(line.removeprefix("data:")))
        for line in events.splitlines()
        if line.startswith("data:")
    )
    return json.dumps(
        {
            "prompt": assignment.prompt,
            "sample": assignment.sample,
            "weights": weights,
            "worker": worker,
            "text": text,
        }
    )


def _event_text(event: dict[str, Any]) -> str:
    choice = (event.get("choices") or [{}])[0]
    return str(choice.get("text") or (choice.get("delta") or {}).get("content") or "")
