"""What a leader knows about its followers' health: who answers, who is caught up, who has space."""

from collections.abc import Callable

from runtime.settings import Settings

from replicated_log.follower_progress import FollowerProgress
from replicated_log.local_log import LocalLog
from replicated_log.quorums import Quorums

__all__ = ["ReplicaHealth"]


class _CommitHistory:
    """What was committed one heartbeat ago, which replicas that are caught up have on disk.

    Under load the committed end is always a little ahead of the reports of slower disks.
    """

    __slots__ = ("_latest_ms", "_latest_seq", "required_seq")

    def __init__(self, committed_seq: int, now_ms: int) -> None:
        self.required_seq = committed_seq
        self._latest_seq = committed_seq
        self._latest_ms = now_ms

    def update(self, committed_seq: int, now_ms: int, interval_ms: int) -> None:
        """Take note of what is committed, once in an interval."""
        if now_ms - self._latest_ms >= interval_ms:
            self.required_seq = self._latest_seq
            self._latest_seq, self._latest_ms = committed_seq, now_ms


class ReplicaHealth:
    """Judges the followers of one leader by their latest responses.

    A follower counts only if it has adopted the leader's epoch. Times are milliseconds of the
    leader's clock.
    """

    __slots__ = ("_followers", "_history", "_log", "_now", "_quorums", "settings")

    def __init__(
        self,
        log: LocalLog,
        followers: dict[str, FollowerProgress],
        quorums: Quorums,
        settings: Settings,
        now: Callable[[], int],
    ) -> None:
        self._log = log
        self._followers = followers
        self._quorums = quorums
        self._now = now
        self._history = _CommitHistory(log.committed_seq, now())
        self.settings = settings

    def tick(self) -> None:
        """Take note of what is committed."""
        self._history.update(
            self._log.committed_seq, self._now(), self.settings.leader_heartbeat_ms
        )

    def is_responsive(self, identity: str) -> bool:
        """Whether a follower has adopted this epoch and was heard within `leader_suspicion_ms`."""
        return self._is_heard(self._followers.get(identity), self.settings.leader_suspicion_ms)

    def is_caught_up(self, identity: str) -> bool:
        """Whether a store was heard, and has on disk what was committed a heartbeat ago."""
        follower = self._followers.get(identity)
        return (
            follower is not None
            and follower.flushed_seq >= self._history.required_seq
            and self._is_heard(follower, self.settings.failure_timeout_ms)
        )

    def _is_heard(self, follower: FollowerProgress | None, within_ms: int) -> bool:
        return (
            follower is not None
            and follower.adopted
            and self._now() - follower.last_heard_ms < within_ms
        )

    def count_caught_up(self) -> int:
        """Return how many members, this store among them, are caught up."""
        own = self._log.flushed_seq >= self._history.required_seq
        return own + sum(self.is_caught_up(name) for name in self._quorums.members)

    def has_quorum(self) -> bool:
        """Whether f members have answered within `leader_suspicion_ms`."""
        floor_ms = self._now() - self.settings.leader_suspicion_ms
        heard = sum(
            follower.last_heard_ms >= floor_ms for follower in self._quorums.voting_followers()
        )
        return bool(heard >= self.settings.store_faults)

    def has_space(self) -> bool:
        """Whether the disks of f members have space."""
        count = sum(not follower.disk_full for follower in self._quorums.voting_followers())
        return bool(count >= self.settings.store_faults)

    def member_with_disk_space(self) -> str | None:
        """Return a member in touch with space on its disk if this store has none, else None."""
        if self._log.disk.has_room(0):
            return None
        floor_ms = self._now() - self.settings.failure_timeout_ms
        return next(
            (
                follower.identity
                for follower in self._quorums.voting_followers()
                if follower.adopted
                and not follower.disk_full
                and follower.last_heard_ms >= floor_ms
            ),
            None,
        )
