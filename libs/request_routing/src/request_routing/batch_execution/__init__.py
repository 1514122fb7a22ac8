"""Runs batch items at an edge; also the client of the log's leader.

- `job_runner` sends the edge's heartbeats and runs the items that the leader assigns in response;
  `item_reports` reports their outcomes until they are acknowledged.
- `item_executor` computes the edge's capacity for items and runs each item as a request;
  `item_run` runs items of forwarded jobs.
- `leader_client` finds the log's leader and sends it requests, with retries.

The package imports the rest of `request_routing`, the messages of `batch_state` and `messaging`; no
other module of `request_routing` imports it. Invariants: an edge starts an item under one claim
only, and reports its outcome until the leader acknowledges it. All items are stopped once no
heartbeat has been answered for `claim_timeout_ms`.
"""

from runtime.lazy_exports import lazy_exports

__all__ = ["ItemExecutor", "ItemOutcome", "ItemRun", "JobRunner", "LeaderClient", "LeaderRequest"]

__getattr__ = lazy_exports(
    __name__,
    {
        "item_executor": ("ItemExecutor",),
        "item_outcome": ("ItemOutcome",),
        "item_run": ("ItemRun",),
        "job_runner": ("JobRunner",),
        "leader_client": ("LeaderClient", "LeaderRequest"),
    },
)
