"""The leader's view of the replication progress of a follower."""

__all__ = ["FollowerProgress"]

_LONG_AGO_MS = -1 << 40


class FollowerProgress:
    """The replication progress of one follower, as known to the leader.

    Times are in milliseconds of the leader's clock.

    Attributes
    ----------
    last_seq, flushed_seq
        The last records that the follower has reported to have in memory and on disk. They count
        only once it has `adopted` the leader's epoch.
    next_seq
        The next record to send.
    sent_prev_seq
        `prev_seq` of the latest AppendRequest, or -1.
    probe
        The highest probe that the follower has returned.
    snapshot
        The snapshot that is being sent, empty if there is none; the follower has acknowledged its
        first `snapshot_acknowledged_bytes`.
    """

    __slots__ = (
        "address",
        "adopted",
        "disk_full",
        "flushed_seq",
        "identity",
        "last_heard_ms",
        "last_sent_ms",
        "last_seq",
        "next_seq",
        "probe",
        "sent_prev_seq",
        "snapshot",
        "snapshot_acknowledged_bytes",
        "snapshot_sent_ms",
    )

    def __init__(self, identity: str, address: str, next_seq: int, now_ms: int) -> None:
        self.identity = identity
        self.address = address
        self.last_seq = 0
        self.flushed_seq = 0
        self.next_seq = next_seq
        self.probe = 0
        self.sent_prev_seq = -1
        self.last_sent_ms = 0
        self.last_heard_ms = now_ms
        self.adopted = False
        self.disk_full = False
        self.snapshot = b""
        self.snapshot_sent_ms = _LONG_AGO_MS
        self.snapshot_acknowledged_bytes = 0
