"""A replicated, durable log based on the published Salius scheme.

In each epoch, one leader appends records to its queue files without flushing each of them, and
followers keep copies of the records in memory. Recovery under a new epoch gathers the records of
the replicas. docs/design.md compares the log with the published scheme; docs/consistency.md lists
the invariants.

All modules may use the data types in `messages` and `configuration`. The others form three layers,
each of which uses only itself and the layers before it in this list:

- the local copy of a replica: `local_log` with `queue_files`, `records`, `record_buffer`,
  `log_flusher`, `snapshots`, `snapshot_writer`, `metadata_file`, `flush_watermark`, `archive`,
  `archive_blocks`;
- the protocol between replicas: `follower`; `leader` with `follower_progress`, `replicator`,
  `snapshot_sender`, `quorums`, `replica_health`, `pending_appends`, `pending_reads`; `recovery`
  with `tail_fetch`;
- the components of a store node: `log_replica` with `role`, `interfaces`, `election`, `bootstrap`,
  `replica_placement`, `failure_detector`, `takeover`, `membership_manager`, `member_selection`,
  `membership_change`, `configuration_key`; and `archive_repair`.

The package may import `messaging`, `storage`, `batch_state` and `runtime`. All its I/O goes through
a Disk and a node that its callers pass in. Invariants: a committed or acknowledged record is in
every later log; a replica never returns to a lower fence than one that it has reported. Fields and
formats of messages and files are fixed (tests/test_compatibility.py).
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
    from replicated_log.replica_placement import select_across_zones

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
    "select_across_zones",
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
        "replica_placement": ("select_across_zones",),
    },
)
