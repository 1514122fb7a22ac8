"""Request routing: how an edge sends one request to a worker and judges the answer.

None of it has a socket. The parts, and where a change goes:

- `lifecycle`, `forward_lifecycle`, `steps`: the state machine of a request; `request_refusals`.
- `request_router`: drives the requests in flight; `in_flight`, `attempt`.
- Decisions: `worker_selection` (with `prefix_placement` and `cost_placement`), `admission_control`
  and `admission_queue`, `item_queue`, `retry_budget`, `stall_detection`, `attempt_results`.
- What goes to a worker and comes back: `attempt_requests`, `worker_exchange`, `forward_exchange`
  with their checks of bodies and events, `attempt_outcome`, `header_names`.
- What an edge knows of workers: `worker`, `worker_registry`, `prefix_affinity`, `prefill_tracker`,
  `latency_estimator`.
- `idempotency`: keys of requests that may not be repeated, kept by the log's leader.
- `batch_execution`: batch items at an edge and the leader's client; nothing else here imports it.

It imports `messaging`, `runtime`, `membership` and the messages of `batch_state`. Invariants: a
request that may have run is retried only if it is idempotent and nothing of it was delivered, or
its stream can be continued; no refusal says "not run" of what may have run; a stream is ended
cleanly only if it is complete and of one run.
"""

from runtime.lazy_exports import lazy_exports

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
    "choose",
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
        "batch_execution.leader_client": ("LeaderClient",),
        "lifecycle": ("ItemKey", "RequestLifecycle", "State"),
        "prefill_tracker": ("PrefillTracker",),
        "prefix_placement": ("choose", "prefix_of"),
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
