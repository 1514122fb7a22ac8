"""Maintenance of the list of members by the serving leader.

The leader replaces lost, silent and retired members by standby replicas that have caught up, and
spreads the members over the zones. It hands over to another member when it shuts down, is to be
replaced itself or has a full disk.
"""

from typing import TYPE_CHECKING

from replicated_log.configuration import MemberRow, Phase, addresses_of
from replicated_log.interfaces import FleetView
from replicated_log.leader import Leader
from replicated_log.member_selection import (
    choose_replacement,
    choose_standbys,
    member_in_shared_zone,
    members_to_replace,
)
from replicated_log.membership_change import MembershipChange

if TYPE_CHECKING:
    from replicated_log.log_replica import LogReplica

__all__ = ["MembershipManager"]

_LONG_AGO_MS = -1 << 40
_NO_REPLACEMENT_WANTED = -1


class MembershipManager:
    """Maintains the members of the log while its replica serves as the leader.

    Times are in milliseconds of the replica's clock.
    """

    __slots__ = (
        "_change",
        "_checked_ms",
        "_fleet",
        "_had_space_ms",
        "_replacement_wanted_since_ms",
        "_replica",
    )

    def __init__(self, replica: "LogReplica", fleet: FleetView) -> None:
        self._replica = replica
        self._fleet = fleet
        self._checked_ms = _LONG_AGO_MS
        self._had_space_ms = _LONG_AGO_MS
        self._replacement_wanted_since_ms = _NO_REPLACEMENT_WANTED
        self._change: MembershipChange | None = None

    def start(self) -> None:
        """Reset the state, because the replica has begun to serve."""
        self._change = None
        self._replacement_wanted_since_ms = _NO_REPLACEMENT_WANTED

    def tick(self) -> None:
        """Continue a change of members, or check the members every `leader_heartbeat_ms`.

        A store that is shutting down hands over instead.
        """
        replica, leader = self._replica, self._replica.leader
        if leader is None or leader.epoch != replica.configuration.epoch:
            return
        if self._change is not None:
            self.follow_change()
            return
        if replica.key.changing:
            return
        now_ms = replica.node.env.now()
        if replica.leaving:
            self._checked_ms = now_ms
            self._hand_over(leader)
        elif now_ms - self._checked_ms >= replica.node.settings.leader_heartbeat_ms:
            self._checked_ms = now_ms
            self._check_members(leader)

    def _check_members(self, leader: Leader) -> None:
        configuration = self._replica.configuration
        if configuration.phase is Phase.RECOVERING:
            self._replica.key.change(configuration.serving(), lambda outcome: None)
            return
        self._consider_replacement(leader)
        self._consider_disk_space()

    def follow_change(self) -> None:
        """Take the next step of the change of members in progress, if there is one."""
        if self._change is not None and self._change.tick():
            self._change = None

    def _consider_replacement(self, leader: Leader) -> None:
        replica = self._replica
        members = replica.configuration.members
        live = self._fleet.store_rows()
        to_replace = self._members_to_replace(leader, live)
        standbys = self._choose_standbys(leader, live, to_replace)
        leader.set_standbys(addresses_of(standbys))
        ready = [row for row in standbys if leader.health.is_caught_up(row["identity"])]
        new = choose_replacement(members, ready, to_replace)
        old = None if new is None else self._choose_outgoing_member(to_replace, new)
        if new is None or old is None:
            self._replacement_wanted_since_ms = _NO_REPLACEMENT_WANTED
        elif self._may_replace_now(leader):
            self._replace(leader, old, new)

    def _members_to_replace(self, leader: Leader, live: list[MemberRow]) -> list[str]:
        now_ms = self._replica.node.env.now()
        silent_ms = {
            name: now_ms - leader.followers[name].last_heard_ms
            for name in leader.members
            if name in leader.followers
        }
        return members_to_replace(
            self._replica.configuration.members,
            live,
            silent_ms,
            self._fleet.retired_stores(),
            self._replica.node.settings.removal_timeout_ms,
        )

    def _choose_standbys(
        self, leader: Leader, live: list[MemberRow], to_replace: list[str]
    ) -> list[MemberRow]:
        names = leader.members
        excluded = {*names, *self._fleet.retired_stores()}
        return choose_standbys(
            self._replica.configuration.members,
            [row for row in live if row["identity"] not in excluded],
            to_replace,
            {name for name in leader.followers if name not in names},
            self._replica.node.settings.store_faults,
        )

    def _choose_outgoing_member(self, to_replace: list[str], new: MemberRow) -> str | None:
        """Return the member that a standby is to replace, or None.

        That is the most urgent member to replace. If there is none, and this store has served for
        `resume_ms`, it is a member whose replacement spreads the members over more zones.
        """
        if to_replace:
            return to_replace[0]
        replica = self._replica
        served_ms = replica.node.env.now() - replica.changed_ms
        if served_ms <= replica.node.settings.resume_ms:
            return None
        return member_in_shared_zone(replica.configuration.members, new)

    def _may_replace_now(self, leader: Leader) -> bool:
        """Whether no append is pending, or the replacement has waited for `request_timeout_ms`."""
        now_ms = self._replica.node.env.now()
        if self._replacement_wanted_since_ms == _NO_REPLACEMENT_WANTED:
            self._replacement_wanted_since_ms = now_ms
        waited_ms = now_ms - self._replacement_wanted_since_ms
        return (
            not leader.has_pending_appends()
            or waited_ms >= self._replica.node.settings.request_timeout_ms
        )

    def _replace(self, leader: Leader, old: str, new: MemberRow) -> None:
        replica = self._replica
        if old == replica.log.identity:
            self._hand_over(leader)
            return
        new_members = [row for row in replica.configuration.members if row["identity"] != old]
        new_members.append(new)
        replica.node.env.log(
            "store-replaced", "WARNING", old=old, new=new["identity"], epoch=leader.epoch
        )
        self._change = MembershipChange(replica, leader, new_members)
        self.follow_change()

    def _consider_disk_space(self) -> None:
        """Hand over to a member with free disk space if this disk stays full.

        It has to be full for longer than `failure_timeout_ms`.
        """
        replica, leader = self._replica, self._replica.leader
        now_ms = replica.node.env.now()
        if replica.log.disk.has_room(0):
            self._had_space_ms = now_ms
        if replica.key.changing or leader is None:
            return
        successor = leader.health.member_with_disk_space()
        full_since_ms = max(self._had_space_ms, replica.changed_ms)
        if (
            successor is not None
            and now_ms - full_since_ms > replica.node.settings.failure_timeout_ms
        ):
            replica.node.env.log("holder-full", "WARNING", following=successor)
            replica.changed_ms = now_ms
            members = replica.configuration.members
            replica.claim(members, members, successor)

    def _hand_over(self, leader: Leader) -> None:
        successor = self._successor(leader)
        if successor is not None:
            configuration = self._replica.configuration
            self._replica.claim(configuration.members, configuration.recovery_members(), successor)

    def _successor(self, leader: Leader) -> str | None:
        """Return the other responsive member with the longest log that isn't retired, or None."""
        retired = self._fleet.retired_stores()
        names = [name for name in leader.members if name != self._replica.log.identity]
        able = [name for name in names if leader.health.is_responsive(name) and name not in retired]
        return max(
            able,
            key=lambda name: (leader.followers[name].last_seq, -names.index(name)),
            default=None,
        )
