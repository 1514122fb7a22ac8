"""Quorums of the log: how far enough replicas have come.

Together with the leader, `faults` (f) other members of a list are a majority of it. While the list
of members is being changed, a quorum of the present and of the following list is needed.
"""

from collections.abc import Callable

from replicated_log.follower_progress import FollowerProgress

__all__ = ["Quorums", "confirmed_probe", "flushed_seq", "replicated_seq"]


class Quorums:
    """The list of members and, during a change of members, the list that follows it.

    During a change a record counts only once it is on enough replicas of both lists. Either may be
    in force, since the change of the control key may have been decided although its answer hasn't
    arrived. `members` and `following` are lists of identities.
    """

    __slots__ = ("_change_seq", "_followers", "following", "members")

    def __init__(self, members: list[str], followers: dict[str, FollowerProgress]) -> None:
        self.members = members
        self.following: list[str] | None = None
        self._followers = followers
        self._change_seq = 0

    def followers_of(self, names: list[str]) -> list[FollowerProgress]:
        """Return the followers in a list of identities; the leader itself is left out."""
        return [self._followers[name] for name in names if name in self._followers]

    def voting_followers(self) -> list[FollowerProgress]:
        """Return the followers that are members."""
        return self.followers_of(self.members)

    def reached(self, faults: int, measure: Callable[[FollowerProgress], int]) -> int:
        """Return the highest value reached by `faults` followers in every list that counts."""
        return min(_reached(self.followers_of(names), faults, measure) for names in self._lists())

    def committed_seq(self, faults: int, own_flushed_seq: int) -> int:
        """Return the last record that is durable on f+1 disks in every list that counts."""
        return min(
            _committed([own_flushed_seq, *map(flushed_seq, self.followers_of(names))], faults)
            for names in self._lists()
        )

    def _lists(self) -> list[list[str]]:
        return [self.members] if self.following is None else [self.members, self.following]

    # -- changing the members ------------------------------------------------------------------

    def begin_change(self, following: list[str], last_seq: int) -> None:
        """Start a change of members; records up to `last_seq` may be on the present list alone."""
        self.following = following
        self._change_seq = last_seq

    def is_change_ready(self, faults: int, own_flushed_seq: int) -> bool:
        """Whether f+1 of the following members, the leader included, have these records on disk."""
        followers = self.followers_of(self.following or [])
        return min(own_flushed_seq, _reached(followers, faults, flushed_seq)) >= self._change_seq

    def end_change(self, made: bool) -> None:
        """End the change: the following list is in force if it was `made`, else the present one."""
        if made and self.following is not None:
            self.members = self.following
        self.following = None


def _committed(flushed_seqs: list[int], faults: int) -> int:
    """Return the highest record that `faults` + 1 of the replicas have on disk."""
    flushed_seqs.sort(reverse=True)
    return flushed_seqs[faults] if len(flushed_seqs) > faults else 0


def _reached(
    followers: list[FollowerProgress], faults: int, measure: Callable[[FollowerProgress], int]
) -> int:
    values = sorted((measure(follower) for follower in followers), reverse=True)
    return values[faults - 1] if len(values) >= faults else 0


def flushed_seq(follower: FollowerProgress) -> int:
    """Return the last record of this epoch's log that a follower has on disk."""
    return follower.flushed_seq if follower.adopted else 0


def replicated_seq(follower: FollowerProgress) -> int:
    """Return the last record of this epoch's log that a follower has in memory."""
    return follower.last_seq if follower.adopted else 0


def confirmed_probe(follower: FollowerProgress) -> int:
    """Return the latest probe of the leader's epoch that a follower has returned."""
    return follower.probe
