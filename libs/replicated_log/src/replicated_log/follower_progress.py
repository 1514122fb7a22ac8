"""The leader's view of a follower."""

__all__ = ["FollowerProgress"]

_LONG_AGO_MS = -1 << 40


class FollowerProgress:
    """What the leader knows of one store that it sends the log.

    `last_seq` and `flushed_seq` are how far the store has the log in memory and on disk, as it said
    itself; they count only if it has `adopted` the leader's epoch. `next_seq` is the next record to
    send, `sent_prev_seq` the record that the last request followed, `probe` the last probe
    returned. `snapshot` is being sent to it, `snapshot_taken_bytes` of it have arrived. Times are
    milliseconds of the leader's clock.
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
        "snapshot_sent_ms",
        "snapshot_taken_bytes",
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
        self.snapshot_taken_bytes = 0
