"""The replicated state machine of batch jobs and idempotency keys, and the leader's service for it.

There are three kinds of jobs: ordinary jobs, whose items are completions of vaneledge's own API;
forwarded jobs, whose items are calls that are passed on to workers unchanged; and rollouts, whose
prompts are sampled on capacity shared with training.

`state` applies the entries of the replicated log (`entries`); every replica that applies the same
entries has the same state. `batch_service` handles the requests of edges (`messages`) on the store
that leads the log: it appends entries and responds once they are committed. It admits jobs
(`admission`), dispatches items to edges (`item_dispatch`, `item_selection`, `item_claims`),
records results (`result_reports`, `forward_completion`), grants edges the right to list results
(`listing_leases`) and answers reads (`job_responses`, `forward_reads`).

Invariants:

- An item that isn't safe to repeat is dispatched only after its claim is committed.
- The results of a job are listed only by the edge that has the job's listing lease; the lease's
  epoch is a fencing token.
- A listed result doesn't change.

The package may import `messaging` and `runtime`; it uses the log, archive files, profiles and
forecasts through `interfaces`. To add a kind of entry, extend `entries` and `state`, and
`job_entries` or `idempotency_keys` for snapshots; to add a request, extend `messages` and
`leader_service`. Wire names and the text of `outcomes` must not change.
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
