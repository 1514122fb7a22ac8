"""A replicated, durable log after the Salius scheme.

In each epoch one leader, the holder, writes its queue file lazily and lets followers keep each
record in memory. Recovery under a new epoch gathers what they hold. docs/design.md says what was
kept of the published scheme and what was changed.
"""

from runtime.lazy_exports import lazy_exports

__all__ = [
    "AppendRequest",
    "AppendResponse",
    "FetchRecords",
    "FetchResponse",
    "Leader",
    "InstallSnapshot",
    "LocalLog",
    "ReplicaMetadata",
    "ArchiveRepair",
    "Outcome",
    "Record",
    "Recovery",
    "StartRecovery",
    "StartRecoveryResponse",
    "LogReplica",
    "StoredEntry",
    "spread",
    "union",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "leader": ("Leader",),
        "local_log": ("LocalLog",),
        "archive_repair": ("ArchiveRepair",),
        "messages": (
            "AppendRequest",
            "AppendResponse",
            "FetchRecords",
            "FetchResponse",
            "InstallSnapshot",
            "ReplicaMetadata",
            "Record",
            "StartRecovery",
            "StartRecoveryResponse",
            "StoredEntry",
        ),
        "replica_placement": ("spread",),
        "recovery": ("Recovery", "union"),
        "log_replica": ("LogReplica",),
        "pending_appends": ("Outcome",),
    },
)
