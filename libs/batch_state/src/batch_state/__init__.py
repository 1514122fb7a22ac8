"""The state machine of the replicated log: what its entries add up to.

It has jobs (batches of items), who may run which item, listing leases, listed results, and
transactions that are not safe to repeat. A listing lease is the exclusive right of one edge to list
the next results of a job; its epoch is a fencing token, so an edge that lost it can list nothing.
"""

from runtime.lazy_exports import lazy_exports

__all__ = ["BatchService", "Item", "IdempotencyKey", "BatchState", "Job", "entries", "messages"]

__getattr__ = lazy_exports(
    __name__,
    {
        "batch_service": ("BatchService",),
        "state": ("Item", "IdempotencyKey", "BatchState", "Job"),
        "entries": (),
        "messages": (),
    },
)
