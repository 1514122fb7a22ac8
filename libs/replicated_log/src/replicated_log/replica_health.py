"""The leader's view of its followers: which respond, are caught up and have disk space."""

from collections.abc import Callable

from runtime.settings import Settings

from replicated_log.follower_progress import FollowerProgress
from replicated_log.local_log import LocalLog
from replicated_log.quorums import Quorums

__all__ = ["ReplicaHealth"]


class _CommitHistory:
    """The last record that was committed one heartbeat ago, as `required_seq`.

    A replica that has it on disk counts as caught up. The last committed record itself would be too
    strict: under load it is always slightly ahead of what slower disks have reported.
    """

    __slots__ = ("_latest_ms", "_latest_seq", "required_seq")

    def __init__(self, committed_seq: int, now_ms: int) -> None:
        self.required_seq = committed_seq
        self._latest_seq = committed_seq
        self._latest_ms = now_ms

    def update(self, committed_seq: int, now_ms: int, interval_ms: int) -> None:
        """Register the last committed record, at most once per `interval_ms`."""
        if now_ms - self._latest_ms >= interval_ms:
            self.required_seq = self._latest_seq
            self._latest_seq, self._latest_ms = committed_seq, now_ms


class ReplicaHealth:
    """Evaluates the latest responses of the followers of one leader.

    A follower that hasn't responded yet is treated as if it had responded when it was added.

    Parameters
    ----------
    log
        The leader's copy of the log.
    followers
        The followers by identity, both members and standby replicas.
    quorums
        The members of the log.
    settings
        The settings of the process.
    now
        Returns the leader's clock in milliseconds.
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
        """Register the last committed record, once per `leader_heartbeat_ms`."""
        self._history.update(
            self._log.committed_seq, self._now(), self.settings.leader_heartbeat_ms
        )

    def is_responsive(self, identity: str) -> bool:
        """Whether a follower has adopted the epoch and responded within `leader_suspicion_ms`."""
        return self._is_heard(self._followers.get(identity), self.settings.leader_suspicion_ms)

    def is_caught_up(self, identity: str) -> bool:
        """Whether a follower has on disk what was committed one heartbeat ago.

        It must also have adopted the epoch and have responded within `failure_timeout_ms`.
        """
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
        """Return the number of members that are caught up, including the leader."""
        own = self._log.flushed_seq >= self._history.required_seq
        return own + sum(self.is_caught_up(name) for name in self._quorums.members)

    def has_quorum(self) -> bool:
        """Whether at least f followers that are members responded within `leader_suspicion_ms`.

        They need not have adopted the epoch.
        """
        floor_ms = self._now() - self.settings.leader_suspicion_ms
        heard = sum(
            follower.last_heard_ms >= floor_ms for follower in self._quorums.voting_followers()
        )
        return bool(heard >= self.settings.store_faults)

    def has_space(self) -> bool:
        """Whether at least f followers that are members have space on their disks."""
        count = sum(not follower.disk_full for follower in self._quorums.voting_followers())
        return bool(count >= self.settings.store_faults)

    def member_with_disk_space(self) -> str | None:
        """Return a member with disk space if the leader's disk has none left.

        The member must have adopted the epoch and have responded within `failure_timeout_ms`.
        Returns None if there is no such member, or if the leader's disk has space.
        """
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
