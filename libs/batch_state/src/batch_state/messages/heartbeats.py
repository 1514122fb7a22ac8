"""Heartbeats of edges, and what a store answers to any request that it can't serve.

A heartbeat reports free capacity and the items that run. Its response brings work, listing leases
and the jobs that are over. `epoch` and `leader_ms` are the leader's epoch and monotonic clock in
milliseconds; an edge puts them into the requests that must not be applied late.
"""

from messaging import Message

__all__ = ["EdgeHeartbeat", "EdgeHeartbeatResponse", "ListingLease", "NotLeader", "StaleRequest"]


class EdgeHeartbeat(Message, wire_name="EdgeBeat"):
    """An edge's heartbeat.

    `capacity` is how many items it could start now, on which `paths`; `running` are the items that
    it runs, as JOB_ID#INDEX.
    """

    edge: str
    address: str
    capacity: int
    paths: list[str]
    running: list[str]


class EdgeHeartbeatResponse(Message, wire_name="HolderBeat"):
    """The response to EdgeHeartbeat.

    `work` and `listing_leases` are encoded assignments and ListingLeases, `closed_jobs` the jobs
    that are over. `waiting` counts the items that nobody has claimed, `paths` are those with such
    items.
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
    """The response of a store that isn't the leader: the leader as far as it knows."""

    epoch: int
    address: str


class StaleRequest(Message, wire_name="Stale"):
    """The stamp of a request is too old or of another epoch; this one would do."""

    epoch: int
    leader_ms: int
