"""A replicated, durable log after the Salius scheme.

In each epoch one leader writes its queue file lazily and lets followers keep each record in memory.
Recovery under a new epoch gathers what they have. docs/design.md says what was kept of the
published scheme and what was changed; docs/consistency.md has the invariants.

Three layers, each of which knows only those above it in this list:

- a replica's own copy: `local_log` with `queue_files`, `record_buffer`, `log_flusher`, `snapshots`,
  `snapshot_writer`, `metadata_file`, `flush_watermark`, `archive`, `archive_blocks`;
- the protocol between replicas: `messages`, `follower`; `leader` with `replicator`, `quorums`,
  `replica_health`, `pending_appends`, `pending_reads`; `recovery` with `tail_fetch`;
- the part of a store node: `log_replica` with `election`, `failure_detector`, `takeover`,
  `membership_manager`, `configuration`; `archive_repair` beside it.

The package may import `messaging`, `storage`, `batch_state` and `runtime`; it does no I/O but
through the Disk and the node that it is given. Invariants: a record that is committed or
acknowledged is in every later log; a replica never goes behind a fence that it has answered with.
Fields and formats of messages and files are fixed (tests/test_compatibility.py).
"""

from typing import TYPE_CHECKING

from runtime.lazy_exports import lazy_exports

if TYPE_CHECKING:  # for type checkers; at run time each name is imported on first access
    from replicated_log.archive_repair import ArchiveRepair
    from replicated_log.configuration import ReplicaAddress
    from replicated_log.leader import Leader
    from replicated_log.local_log import LocalLog
    from replicated_log.log_replica import LogReplica
    from replicated_log.messages import (
        AppendRequest,
        AppendResponse,
        FetchRecords,
        FetchResponse,
        InstallSnapshot,
        Record,
        ReplicaMetadata,
        Stamp,
        StartRecovery,
        StartRecoveryResponse,
        StoredEntry,
    )
    from replicated_log.pending_appends import Outcome
    from replicated_log.recovery import (
        Recovery,
        merge_records,
    )
    from replicated_log.replica_placement import spread

__all__ = [
    "AppendRequest",
    "AppendResponse",
    "ArchiveRepair",
    "FetchRecords",
    "FetchResponse",
    "InstallSnapshot",
    "Leader",
    "LocalLog",
    "LogReplica",
    "Outcome",
    "Record",
    "Recovery",
    "ReplicaAddress",
    "ReplicaMetadata",
    "Stamp",
    "StartRecovery",
    "StartRecoveryResponse",
    "StoredEntry",
    "merge_records",
    "spread",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "archive_repair": ("ArchiveRepair",),
        "configuration": ("ReplicaAddress",),
        "leader": ("Leader",),
        "local_log": ("LocalLog",),
        "log_replica": ("LogReplica",),
        "messages": (
            "AppendRequest",
            "AppendResponse",
            "FetchRecords",
            "FetchResponse",
            "InstallSnapshot",
            "Record",
            "ReplicaMetadata",
            "Stamp",
            "StartRecovery",
            "StartRecoveryResponse",
            "StoredEntry",
        ),
        "pending_appends": ("Outcome",),
        "recovery": ("Recovery", "merge_records"),
        "replica_placement": ("spread",),
    },
)
