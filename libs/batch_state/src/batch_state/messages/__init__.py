"""Messages between the edges and the leader of the log: requests and their responses.

A request that might run something late carries the leader's clock, `leader_ms`, as the edge last
heard it; one that took too long is refused as stale, so that an outcome reported as unknown can't
turn into a run long after. Fields that end in `_ms` are milliseconds. `epoch` is the leader's, and
in ListingLease and AdvanceListing that of the listing lease.

The types are in one module per concern. A type that was renamed keeps its first name on the wire;
the order and types of its fields must not change.
"""

from batch_state.messages.forward_jobs import (
    ForwardAssignment,
    ForwardItem,
    ForwardResult,
    GetItem,
    GetItemResponse,
    ItemOutcome,
    ListForwardResults,
    ListForwardResultsResponse,
    ReportItemOutcomes,
    SubmitForwardJob,
)
from batch_state.messages.heartbeats import (
    EdgeHeartbeat,
    EdgeHeartbeatResponse,
    ListingLease,
    NotLeader,
    StaleRequest,
)
from batch_state.messages.idempotency_keys import (
    CloseKey,
    KeyResponse,
    OpenKey,
)
from batch_state.messages.jobs import (
    AdvanceListing,
    CancelJob,
    GetJob,
    ItemAssignment,
    JobResponse,
    ListResults,
    ListResultsResponse,
    ReportResult,
    ReportResultResponse,
    ResultRow,
    SubmitJob,
)
from batch_state.messages.rollouts import (
    RolloutAssignment,
    RolloutHeartbeat,
    RolloutHeartbeatResponse,
    SubmitRollout,
)

__all__ = [
    "AdvanceListing",
    "CancelJob",
    "CloseKey",
    "EdgeHeartbeat",
    "EdgeHeartbeatResponse",
    "ForwardAssignment",
    "ForwardItem",
    "ForwardResult",
    "GetItem",
    "GetItemResponse",
    "GetJob",
    "ItemAssignment",
    "ItemOutcome",
    "JobResponse",
    "KeyResponse",
    "ListForwardResults",
    "ListForwardResultsResponse",
    "ListResults",
    "ListResultsResponse",
    "ListingLease",
    "NotLeader",
    "OpenKey",
    "ReportItemOutcomes",
    "ReportResult",
    "ReportResultResponse",
    "ResultRow",
    "RolloutAssignment",
    "RolloutHeartbeat",
    "RolloutHeartbeatResponse",
    "StaleRequest",
    "SubmitForwardJob",
    "SubmitJob",
    "SubmitRollout",
]
