"""Ledger: what the log adds up to. Lots, who may run which item, batons, listed results, and the
transactions that are not safe to repeat.
"""

from colophon.lazy import lazy

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
