"""Request routing: how an edge sends a request to a worker and checks the response.

The package opens no sockets; the edge's transport does the I/O. The modules by topic:

- Requests: `lifecycle`, `forward_lifecycle` and `steps` are the state machine of a request,
  `request_refusals` its error responses; `request_router` drives the requests `in_flight` and each
  `attempt` at a worker.
- Decisions: `worker_selection` (with `prefix_placement` and `cost_placement`), `admission_control`
  (with `admission_queue`, `slot_forecast` and `client_patience`), `item_queue`, `retry_budget`,
  `stall_detection`, `attempt_results`.
- Exchange with a worker: `attempt_requests` builds the request; `worker_exchange` and
  `forward_exchange` check the response, with `stream_checks` and `event_check`; also
  `attempt_outcome` and `header_names`.
- State of the workers: `worker`, `worker_registry`, `prefix_affinity`, `prefill_tracker`,
  `latency_estimator`, `service_times` (both of `running_mean`).
- `idempotency`: keys of requests that must not run twice, stored by the log's leader.
- `batch_execution`: runs batch items at an edge, and the client of the log's leader; no other
  module of this package imports it.

The package imports `messaging`, `runtime`, `membership` and the messages of `batch_state`.

Invariants: a request that may have run is retried only if it is idempotent and nothing of it was
delivered, or if its stream can be continued. A refusal never says "not run" of a request that may
have run. A client's stream ends normally only if it is complete and all of one run.
"""

from typing import TYPE_CHECKING

from runtime.lazy_exports import lazy_exports

if TYPE_CHECKING:  # for type checkers; at run time each name is imported on first access
    from request_routing.attempt import (
        Attempt,
        AttemptTransport,
    )
    from request_routing.attempt_outcome import (
        AttemptOutcome,
        OutcomeKind,
    )
    from request_routing.batch_execution.item_executor import ItemExecutor
    from request_routing.batch_execution.job_runner import JobRunner
    from request_routing.batch_execution.leader_client import LeaderClient, LeaderRequest
    from request_routing.calls import (
        Call,
        ForwardCall,
    )
    from request_routing.event_check import EventCheck
    from request_routing.forward_exchange import ForwardExchange
    from request_routing.forward_lifecycle import ForwardLifecycle
    from request_routing.header_names import (
        WorkerHeaderNames,
        end_to_end,
    )
    from request_routing.in_flight import InFlightRequest
    from request_routing.lifecycle import (
        ItemKey,
        RequestLifecycle,
        State,
    )
    from request_routing.prefill_tracker import PrefillTracker
    from request_routing.prefix_placement import (
        choose_by_prefix,
        prefix_of,
    )
    from request_routing.request_router import RequestRouter
    from request_routing.response_head import WorkerLoad
    from request_routing.retry_budget import RetryBudget
    from request_routing.steps import (
        Step,
        StepKind,
    )
    from request_routing.stream_checks import (
        StreamCheck,
        check_body,
    )
    from request_routing.worker import (
        Worker,
        WorkerUpdate,
    )
    from request_routing.worker_exchange import WorkerExchange
    from request_routing.worker_registry import WorkerRegistry

__all__ = [
    "Attempt",
    "AttemptOutcome",
    "AttemptTransport",
    "Call",
    "EventCheck",
    "ForwardCall",
    "ForwardExchange",
    "ForwardLifecycle",
    "InFlightRequest",
    "ItemExecutor",
    "ItemKey",
    "JobRunner",
    "LeaderClient",
    "LeaderRequest",
    "OutcomeKind",
    "PrefillTracker",
    "RequestLifecycle",
    "RequestRouter",
    "RetryBudget",
    "State",
    "Step",
    "StepKind",
    "StreamCheck",
    "Worker",
    "WorkerExchange",
    "WorkerHeaderNames",
    "WorkerLoad",
    "WorkerRegistry",
    "WorkerUpdate",
    "check_body",
    "choose_by_prefix",
    "end_to_end",
    "prefix_of",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "attempt": ("Attempt", "AttemptTransport"),
        "attempt_outcome": ("AttemptOutcome", "OutcomeKind"),
        "calls": ("Call", "ForwardCall"),
        "event_check": ("EventCheck",),
        "forward_exchange": ("ForwardExchange",),
        "forward_lifecycle": ("ForwardLifecycle",),
        "header_names": ("WorkerHeaderNames", "end_to_end"),
        "in_flight": ("InFlightRequest",),
        "batch_execution.item_executor": ("ItemExecutor",),
        "batch_execution.job_runner": ("JobRunner",),
        "batch_execution.leader_client": ("LeaderClient", "LeaderRequest"),
        "lifecycle": ("ItemKey", "RequestLifecycle", "State"),
        "prefill_tracker": ("PrefillTracker",),
        "prefix_placement": ("choose_by_prefix", "prefix_of"),
        "request_router": ("RequestRouter",),
        "response_head": ("WorkerLoad",),
        "retry_budget": ("RetryBudget",),
        "steps": ("Step", "StepKind"),
        "stream_checks": ("StreamCheck", "check_body"),
        "worker": ("Worker", "WorkerUpdate"),
        "worker_exchange": ("WorkerExchange",),
        "worker_registry": ("WorkerRegistry",),
    },
)
