"""Maintenance of the list of members by the serving holder.

It replaces members that are lost or retired by spares that have the log, spreads the members over
the zones, and hands over to another member when it leaves or its disk is full.
"""

from typing import Any

from replicated_log.member_selection import (
    choose_replacement,
    choose_standbys,
    member_in_shared_zone,
    members_to_replace,
)
from replicated_log.membership_change import MembershipChange

__all__ = ["MembershipManager"]


class MembershipManager:
    """Looks after the members; `store` is the serving StoreLog, `fleet` the view of the fleet."""

    __slots__ = ("_change", "_fleet", "_housed_ms", "_roomy_ms", "_store", "_wanted_ms")

    def __init__(self, store: Any, fleet: Any) -> None:
        self._store = store
        self._fleet = fleet
        self._housed_ms = -1 << 40
        self._roomy_ms = -1 << 40
        self._wanted_ms = -1
        self._change: MembershipChange | None = None

    def serves(self) -> None:
        """Start anew, because the store has begun to serve."""
        self._change = None
        self._wanted_ms = -1

    def tick(self) -> None:
        """Look at the members, at most once in `leader_heartbeat_ms`."""
        store = self._store
        now_ms = store.node.env.now()
        if store.leader.epoch != store.value["epoch"]:
            return
        if self._change is not None:
            self.follow_change()
            return
        if store.changing:
            return
        if store.leaving:
            self._hand_to_another()
        elif now_ms - self._housed_ms < store.node.settings.leader_heartbeat_ms:
            return
        self._housed_ms = now_ms
        if store.leaving:
            return
        if store.value["phase"] == "recovering":
            store.change(
                {**store.value, "phase": "serving", "prev": store.value["members"]},
                lambda outcome: None,
            )
        else:
            self._consider_replacement()
            self._consider_room()

    def _retired(self, identity: str) -> bool:
        return identity in self._fleet.retired_stores()

    def _consider_replacement(self) -> None:
        store = self._store
        leader, members, now_ms = store.leader, store.value["members"], store.node.env.now()
        settings, retired, names = store.node.settings, self._fleet.retired_stores(), leader.members
        live = self._fleet.store_rows()
        spares = [
            row for row in live if row["identity"] not in names and row["identity"] not in retired
        ]
        silent_ms = {
            name: now_ms - leader.followers[name].last_heard_ms
            for name in names
            if name in leader.followers
        }
        lost = members_to_replace(members, live, silent_ms, retired, settings.removal_timeout_ms)
        warm = {name for name in leader.followers if name not in names}
        wanted = choose_standbys(members, spares, lost, warm, settings.store_faults)
        leader.set_standbys([(row["identity"], row["address"]) for row in wanted])
        ready = [row for row in wanted if leader.is_caught_up(row["identity"])]
        new = choose_replacement(members, ready, lost)
        calm = now_ms - store.changed_ms > settings.resume_ms
        old = (
            lost[0]
            if lost
            else member_in_shared_zone(members, new)
            if new is not None and calm
            else None
        )
        if new is None or old is None:
            self._wanted_ms = -1
            return
        self._wanted_ms = now_ms if self._wanted_ms < 0 else self._wanted_ms
        if leader.pending_appends and now_ms - self._wanted_ms < settings.request_timeout_ms:
            return
        if old == store.log.identity:
            self._hand_to_another()
            return
        following = [row for row in members if row["identity"] != old] + [new]
        store.node.env.log(
            "store-replaced", "WARNING", old=old, new=new["identity"], epoch=leader.epoch
        )
        self._change = MembershipChange(store, following)
        self.follow_change()

    def follow_change(self) -> None:
        """Take the next step of the change of members under way, if there is one."""
        if self._change is not None and self._change.tick():
            self._change = None

    def _follower(self) -> str | None:
        """Return the successor: the member in touch, not retired, with the most of the log."""
        store = self._store
        names = [name for name in store.leader.members if name != store.log.identity]
        able = [
            name for name in names if store.leader.is_responsive(name) and not self._retired(name)
        ]
        return max(
            able,
            key=lambda name: (store.leader.followers[name].last_seq, -names.index(name)),
            default=None,
        )

    def _consider_room(self) -> None:
        """Hand over to a member with room once this disk was full for `failure_timeout_ms`."""
        store = self._store
        now_ms = store.node.env.now()
        if store.log.disk.roomy(0):
            self._roomy_ms = now_ms
        following = (
            None
            if store.changing or store.leader is None
            else store.leader.member_with_disk_space()
        )
        if (
            following is not None
            and now_ms - max(self._roomy_ms, store.changed_ms)
            > store.node.settings.failure_timeout_ms
        ):
            store.node.env.log("holder-full", "WARNING", following=following)
            store.changed_ms = now_ms
            store.claim(store.value["members"], store.value["members"], following)

    def _hand_to_another(self) -> None:
        store = self._store
        following = self._follower()
        if following is not None:
            store.claim(store.value["members"], store.recovery_members(), following)
