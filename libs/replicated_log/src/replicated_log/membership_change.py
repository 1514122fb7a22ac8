"""One change of the list of members by a serving leader, within its epoch.

Nothing is recovered from the members before, since the leader has the whole log. The control key is
changed only once f+1 of the following members have on disk all that was acknowledged without them.
Until the outcome is known, an acknowledged record is on a quorum of both lists.
"""

from typing import TYPE_CHECKING

from replicated_log.configuration import MemberRow
from replicated_log.leader import Leader

if TYPE_CHECKING:
    from replicated_log.log_replica import LogReplica

__all__ = ["MembershipChange"]

_NOT_REQUESTED = -1


class MembershipChange:
    """A change under way by a serving `leader`; `following` are the rows of the new list."""

    __slots__ = ("_began_ms", "_following", "_leader", "_replica", "_requested_version")

    def __init__(self, replica: "LogReplica", leader: Leader, following: list[MemberRow]) -> None:
        self._replica = replica
        self._leader = leader
        self._following = following
        self._requested_version = _NOT_REQUESTED
        self._began_ms = replica.node.env.now()
        leader.begin_change([row["identity"] for row in following])

    def tick(self) -> bool:
        """Take the next step and return whether the change has been made or given up.

        A change whose outcome isn't known is requested again until it is, as it may yet be decided.
        """
        if self._is_made():
            return self._end(True)
        if self._requested_version != _NOT_REQUESTED:
            if self._replica.key.version != self._requested_version:
                return self._end(False)
            self._request()
            return False
        if self._leader.is_change_ready():
            self._requested_version = self._replica.key.version
            self._request()
            return False
        if self._waited_ms() > self._replica.node.settings.force_ms:
            return self._end(False)
        return False

    def _is_made(self) -> bool:
        configuration = self._replica.configuration
        return (
            configuration.members == self._following and configuration.epoch == self._leader.epoch
        )

    def _waited_ms(self) -> int:
        return self._replica.node.env.now() - self._began_ms

    def _request(self) -> None:
        key = self._replica.key
        if not key.changing:
            key.change(key.configuration.with_members(self._following), self._answered)

    def _answered(self, outcome: str) -> None:
        leader = self._replica.leader
        if leader is not None and leader.epoch == self._replica.configuration.epoch:
            self._replica.on_change_answered()

    def _end(self, made: bool) -> bool:
        self._leader.end_change(made)
        self._replica.node.env.log(
            "members-changed" if made else "members-change-given-back",
            "WARNING",
            members=sorted(self._replica.configuration.names),
            epoch=self._leader.epoch,
            took_ms=self._waited_ms(),
        )
        return True
