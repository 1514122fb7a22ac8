"""Messages between the edges and the leader of the log: requests and their responses.

A request that may cause something to run carries the leader's epoch and monotonic clock, `epoch`
and `leader_ms`, as the edge last received them. The leader refuses it as stale if it arrives too
late, so that nothing runs long after its outcome was reported as unknown. Fields that end in `_ms`
are in milliseconds. In ListingLease and AdvanceListing, `epoch` is that of the listing lease.

Each module has the messages of one concern. A class that was renamed keeps its first name on the
wire (`wire_name`); the order and types of a message's fields must not change.
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
