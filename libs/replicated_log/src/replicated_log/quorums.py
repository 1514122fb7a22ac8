"""Quorums of the log: up to which record enough replicas have the log.

The leader and `faults` (f) other members of a list form a quorum of it. While the list of members
is being changed, a quorum of the present list and one of the new list are needed.
"""

from collections.abc import Callable

from replicated_log.follower_progress import FollowerProgress

__all__ = ["Quorums", "confirmed_probe", "flushed_seq", "replicated_seq"]


class Quorums:
    """The present list of members and, during a change of members, the new list.

    During a change, a record counts only once it is on enough replicas of both lists. Either list
    may be in force, since the change of the control key may have been decided before its response
    arrives. Both lists hold identities; `new_members` is None while no change is in progress.
    """

    __slots__ = ("_change_seq", "_followers", "members", "new_members")

    def __init__(self, members: list[str], followers: dict[str, FollowerProgress]) -> None:
        self.members = members
        self.new_members: list[str] | None = None
        self._followers = followers
        self._change_seq = 0

    def followers_of(self, names: list[str]) -> list[FollowerProgress]:
        """Return the followers with these identities; the leader itself is not a follower."""
        return [self._followers[name] for name in names if name in self._followers]

    def voting_followers(self) -> list[FollowerProgress]:
        """Return the followers that are members of the present list."""
        return self.followers_of(self.members)

    def reached(self, faults: int, measure: Callable[[FollowerProgress], int]) -> int:
        """Return the highest value of `measure` that `faults` followers of every list have reached.

        Followers that aren't in a list don't count for it.
        """
        return min(_reached(self.followers_of(names), faults, measure) for names in self._lists())

    def committed_seq(self, faults: int, own_flushed_seq: int) -> int:
        """Return the last record that is durable on `faults` + 1 disks of every list."""
        return min(
            _committed([own_flushed_seq, *map(flushed_seq, self.followers_of(names))], faults)
            for names in self._lists()
        )

    def _lists(self) -> list[list[str]]:
        return [self.members] if self.new_members is None else [self.members, self.new_members]

    def begin_change(self, new_members: list[str], last_seq: int) -> None:
        """Start a change of members.

        Records up to `last_seq` may have been acknowledged by the present members alone.
        """
        self.new_members = new_members
        self._change_seq = last_seq

    def is_change_ready(self, faults: int, own_flushed_seq: int) -> bool:
        """Whether the new members can form a quorum alone.

        That is so once the leader and `faults` other new members have on disk all records up to the
        `last_seq` given to `begin_change`.
        """
        followers = self.followers_of(self.new_members or [])
        return min(own_flushed_seq, _reached(followers, faults, flushed_seq)) >= self._change_seq

    def end_change(self, applied: bool) -> None:
        """End the change; if it was `applied`, the new list replaces the present one."""
        if applied and self.new_members is not None:
            self.members = self.new_members
        self.new_members = None


def _committed(flushed_seqs: list[int], faults: int) -> int:
    """Return the last record that `faults` + 1 of the replicas have on disk, or 0."""
    flushed_seqs.sort(reverse=True)
    return flushed_seqs[faults] if len(flushed_seqs) > faults else 0


def _reached(
    followers: list[FollowerProgress], faults: int, measure: Callable[[FollowerProgress], int]
) -> int:
    values = sorted((measure(follower) for follower in followers), reverse=True)
    return values[faults - 1] if len(values) >= faults else 0


def flushed_seq(follower: FollowerProgress) -> int:
    """Return the last record of this epoch's log that a follower has on disk, or 0."""
    return follower.flushed_seq if follower.adopted else 0


def replicated_seq(follower: FollowerProgress) -> int:
    """Return the last record of this epoch's log that a follower has in memory, or 0."""
    return follower.last_seq if follower.adopted else 0


def confirmed_probe(follower: FollowerProgress) -> int:
    """Return the latest probe of the leader's epoch that a follower has returned."""
    return follower.probe
