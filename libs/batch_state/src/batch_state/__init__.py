"""The replicated state machine of batch jobs and idempotency keys, and the leader's service for it.

`state` applies the entries of the log (`entries`); every replica that applies the same entries has
the same state. `batch_service` handles the requests of edges (`messages`) on the store that leads
the log: it decides, appends entries, and answers once they are committed. It admits jobs
(`admission`), dispatches items to edges (`item_dispatch`, `item_selection`, `item_claims`),
takes results (`result_reports`, `forward_completion`), grants the right to list them
(`listing_leases`) and answers reads (`job_responses`, `forward_reads`).

Invariants: an item that isn't safe to repeat is dispatched only after its claim is committed; the
results of a job are listed by the one edge that has its listing lease, whose epoch is a fencing
token; what was listed doesn't change.

It may import `messaging` and `runtime`. The log, archive files, profiles and forecasts come through
`interfaces`. A new kind of entry goes into `entries` and `state`, and into `job_entries` or
`idempotency_keys` for snapshots; a new request into `messages` and `leader_service`. Wire names and
the text of `outcomes` must not change.
"""

from typing import TYPE_CHECKING

from runtime.lazy_exports import lazy_exports

if TYPE_CHECKING:  # for type checkers; at run time each name is imported on first access
    from batch_state import entries, messages
    from batch_state.batch_service import BatchService
    from batch_state.state import (
        BatchState,
        IdempotencyKey,
        Item,
        Job,
    )

__all__ = ["BatchService", "BatchState", "IdempotencyKey", "Item", "Job", "entries", "messages"]

__getattr__ = lazy_exports(
    __name__,
    {
        "batch_service": ("BatchService",),
        "state": ("Item", "IdempotencyKey", "BatchState", "Job"),
        "entries": (),
        "messages": (),
    },
)
