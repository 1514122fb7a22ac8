"""Batch items at an edge, and the client of the log's leader.

- `job_runner` sends the edge's heartbeats and runs what the leader assigns; `item_reports` reports
  the ends until they are acknowledged.
- `item_executor` computes the capacity for items and runs each as a request; `item_run` runs items
  of forwarded calls.
- `leader_client` finds the log's leader and asks it with retries.

It imports the rest of `request_routing`, the messages of `batch_state` and `messaging`; nothing of
`request_routing` imports it. Invariants: an item is begun under one claim only, and its end is
reported until the leader acknowledges it; without a response from the leader for `claim_timeout_ms`
everything is stopped.
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
