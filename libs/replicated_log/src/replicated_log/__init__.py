"""A replicated, durable log after the Salius scheme.

In each epoch one leader, the holder, writes its queue file lazily and lets followers keep each
record in memory. Recovery under a new epoch gathers what they hold. docs/design.md says what was
kept of the published scheme and what was changed.
"""

from runtime.lazy import lazy

__all__ = [
    "Append",
    "Appended",
    "Fetch",
    "Fetched",
    "Holder",
    "Install",
    "LocalLog",
    "LogMeta",
    "Mending",
    "Outcome",
    "Record",
    "Recovery",
    "Start",
    "Started",
    "StoreLog",
    "StoredEntry",
    "spread",
    "union",
]

__getattr__ = lazy(
    __name__,
    {
        "holder": ("Holder",),
        "local": ("LocalLog",),
        "mending": ("Mending",),
        "messages": (
            "Append",
            "Appended",
            "Fetch",
            "Fetched",
            "Install",
            "LogMeta",
            "Record",
            "Start",
            "Started",
            "StoredEntry",
        ),
        "places": ("spread",),
        "recovery": ("Recovery", "union"),
        "store": ("StoreLog",),
        "waiters": ("Outcome",),
    },
)
