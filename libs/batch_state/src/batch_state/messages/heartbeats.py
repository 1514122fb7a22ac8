"""Heartbeats of edges, and the responses of a store to a request that it can't serve.

A heartbeat reports free capacity and running items. Its response carries items to run, listing
leases and closed jobs. `epoch` and `leader_ms` are the leader's epoch and monotonic clock in
milliseconds; edges copy them into the requests that must not be applied late.
"""

from messaging import Message

__all__ = ["EdgeHeartbeat", "EdgeHeartbeatResponse", "ListingLease", "NotLeader", "StaleRequest"]


class EdgeHeartbeat(Message, wire_name="EdgeBeat"):
    """An edge's heartbeat.

    `capacity` is the number of items that the edge can start now on `paths`; `running` lists the
    items that it runs, as JOB_ID#INDEX.
    """

    edge: str
    address: str
    capacity: int
    paths: list[str]
    running: list[str]


class EdgeHeartbeatResponse(Message, wire_name="HolderBeat"):
    """The response to EdgeHeartbeat.

    `work` has encoded assignments and `listing_leases` encoded ListingLeases. `closed_jobs` are the
    closed jobs of which the edge reported running items. `waiting` is the number of unclaimed
    items, except of rollouts; `paths` are the paths with unclaimed items.
    """

    epoch: int
    leader_ms: int
    work: list[bytes]
    listing_leases: list[bytes]
    closed_jobs: list[str]
    waiting: int
    paths: list[str]


class ListingLease(Message, wire_name="Baton"):
    """Allows an edge to list the results of a job up to a position."""

    job_id: str
    epoch: int
    up_to: int


class NotLeader(Message, wire_name="NotHolder"):
    """The response of a store that isn't the leader, with the leader that it knows."""

    epoch: int
    address: str


class StaleRequest(Message, wire_name="Stale"):
    """The response to a request that is too old or of another epoch.

    The same request with this epoch and clock would not be stale.
    """

    epoch: int
    leader_ms: int
