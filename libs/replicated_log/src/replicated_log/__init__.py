"""Replicated log: the durable log after Salius. One holder for an epoch writes its queue file lazily and
lets peers hold each record in memory; recovery gathers what they hold. docs/design.md tells what
was kept of the source and what was changed.
"""

from colophon.lazy import lazy

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
