"""The state machine of the replicated log: what its entries add up to.

It has lots (batches of items), who may run which item, batons, listed results, and transactions
that are not safe to repeat. A baton is the exclusive right of one edge to list the next results of
a lot; its epoch is a fencing token, so an edge that lost it can list nothing.
"""

from runtime.lazy import lazy

__all__ = ["Desk", "Item", "Key", "Ledger", "Lot", "entries", "messages"]

__getattr__ = lazy(
    __name__,
    {
        "desk": ("Desk",),
        "fold": ("Item", "Key", "Ledger", "Lot"),
        "entries": (),
        "messages": (),
    },
)
