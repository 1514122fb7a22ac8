"""One change of the list of members by a serving leader, within its epoch.

No recovery from the previous members is needed, since the leader has the whole log. The control key
is changed only once f+1 of the new members have on disk all records acknowledged before the change.
Until the outcome is known, a record is acknowledged only once a quorum of each list has it.
"""

from typing import TYPE_CHECKING

from replicated_log.configuration import MemberRow
from replicated_log.leader import Leader

if TYPE_CHECKING:
    from replicated_log.log_replica import LogReplica

__all__ = ["MembershipChange"]

_NOT_REQUESTED = -1


class MembershipChange:
    """A change of members in progress, from the leader's present list to `new_members`."""

    __slots__ = ("_began_ms", "_leader", "_new_members", "_replica", "_requested_version")

    def __init__(self, replica: "LogReplica", leader: Leader, new_members: list[MemberRow]) -> None:
        self._replica = replica
        self._leader = leader
        self._new_members = new_members
        self._requested_version = _NOT_REQUESTED
        self._began_ms = replica.node.env.now()
        leader.begin_change([row["identity"] for row in new_members])

    def tick(self) -> bool:
        """Take the next step and return whether the change has ended, applied or abandoned.

        A change that isn't ready within `force_ms` is abandoned. Once requested, a change is
        requested again until its outcome is known, since it may still be decided; it is abandoned
        if the control key changes otherwise.
        """
        if self._is_applied():
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

    def _is_applied(self) -> bool:
        configuration = self._replica.configuration
        return (
            configuration.members == self._new_members and configuration.epoch == self._leader.epoch
        )

    def _waited_ms(self) -> int:
        return self._replica.node.env.now() - self._began_ms

    def _request(self) -> None:
        key = self._replica.key
        if not key.changing:
            key.change(key.configuration.with_members(self._new_members), self._answered)

    def _answered(self, outcome: str) -> None:
        leader = self._replica.leader
        if leader is not None and leader.epoch == self._replica.configuration.epoch:
            self._replica.on_change_answered()

    def _end(self, applied: bool) -> bool:
        self._leader.end_change(applied)
        self._replica.node.env.log(
            "members-changed" if applied else "members-change-given-back",
            "WARNING",
            members=sorted(self._replica.configuration.names),
            epoch=self._leader.epoch,
            took_ms=self._waited_ms(),
        )
        return True
