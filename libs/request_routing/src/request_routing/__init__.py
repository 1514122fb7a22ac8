"""Request routing: how an edge carries one request to a worker and judges the answer.

It has the state machine of a transaction, the placement of requests on workers, the registry of
workers, the checks of streams, the running of batch items, and the client of the log's leader. None
of it has a socket.
"""

from runtime.lazy_exports import lazy_exports

__all__ = [
    "RetryBudget",
    "Call",
    "InFlightRequest",
    "RequestRouter",
    "WorkerHeaderNames",
    "EventCheck",
    "WorkerExchange",
    "AttemptOutcome",
    "ForwardCall",
    "ForwardExchange",
    "ForwardLifecycle",
    "LeaderClient",
    "ItemExecutor",
    "JobRunner",
    "PrefillTracker",
    "WorkerRegistry",
    "Attempt",
    "State",
    "Step",
    "StreamCheck",
    "RequestLifecycle",
    "Worker",
    "WorkerUpdate",
    "check_whole",
    "choose",
    "end_to_end",
    "prefix_of",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "calls": ("Call", "WorkerHeaderNames", "ForwardCall", "end_to_end"),
        "in_flight": ("InFlightRequest", "Attempt"),
        "request_router": ("RequestRouter",),
        "lifecycle": ("State", "Step", "RequestLifecycle"),
        "worker_exchange": ("WorkerExchange", "AttemptOutcome"),
        "forward_exchange": ("EventCheck", "ForwardExchange"),
        "forward_lifecycle": ("ForwardLifecycle",),
        "leader_client": ("LeaderClient",),
        "item_executor": ("ItemExecutor",),
        "job_runner": ("JobRunner",),
        "placement": ("RetryBudget", "choose", "prefix_of"),
        "prefill_tracker": ("PrefillTracker",),
        "worker_registry": ("WorkerRegistry", "Worker", "WorkerUpdate"),
        "stream_checks": ("StreamCheck", "check_whole"),
    },
)
