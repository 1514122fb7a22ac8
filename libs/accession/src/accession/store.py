"""The store's part in the log: it answers a holder as a peer, becomes holder when the duty falls to
it, and replaces a lost member by a spare that has caught up. Roles: spare, peer, claiming,
recovering, adopting, announcing, serving. One function makes every change of role."""

import json
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from accession.holder import Holder
from accession.local import LocalLog
from accession.messages import Append, Appended, Fetch, Install, Start
from accession.peer import PeerSide
from accession.places import spread
from accession.recovery import Recovery
from vellum import Message, Origin, Part

__all__ = ["LOG_KEY", "StoreLog"]

LOG_KEY = "log"


class Role(StrEnum):
    PEER = "peer"
    CLAIMING = "claiming"
    RECOVERING = "recovering"
    ADOPTING = "adopting"
    ANNOUNCING = "announcing"
    SERVING = "serving"


class StoreLog(Part):
    """`control` changes and reads control keys: change(key, version, body, done(outcome, version, body)).
    `fleet` tells what the gazette and standing say: log key, live stores, retired identities."""

    __slots__ = ("_candidates", "_candidates_ms", "_changed_ms", "_control", "_fleet", "_leaving", "_on_role", "_peer", "_recovery", "_roomy_ms",
                 "_succeeding", "_version", "holder", "log", "role", "value")
    HANDLES = (Append, Appended, Install, Start, Fetch)

    def __init__(self, log: LocalLog, control: Any, fleet: Any,
                 on_role: Callable[[Holder | None], None]) -> None:
        self.log = log
        self._control = control
        self._fleet = fleet
        self._on_role = on_role
        self._peer = PeerSide(log)
        self._recovery: Recovery | None = None
        self.holder: Holder | None = None
        self.role = Role.PEER
        self._candidates: list[dict[str, str]] = []
        self._candidates_ms = 0
        self._changed_ms = 0
        self._leaving = False
        self._succeeding = False
        self._roomy_ms = -1 << 40
        self._version = 0
        self.value: dict[str, Any] = {}

    # -- as a peer -----------------------------------------------------------------------------

    def receive(self, message: Message, origin: Origin) -> None:
        if isinstance(message, Appended):
            if self.holder is not None and not self.holder.deposed:
                self.holder.answered(message, origin.sender)
            return
        if message.epoch > self.log.meta.fence and self.role is not Role.PEER:
            self._step_down("fenced", message.epoch)
        self._peer.receive(message, lambda receipt: self._receipt(origin, message, receipt), origin.sender)

    def _receipt(self, origin: Origin, message: Message, receipt: Message) -> None:
        if isinstance(message, (Append, Install)):
            self.node.post(origin.sender, receipt)
        else:
            self.node.reply(origin, receipt)

    # -- the duty ------------------------------------------------------------------------------

    def tick(self) -> None:
        self._read_key()
        if self.holder is not None:
            self.holder.tick()
        elif self.log.flush_due():
            self.log.flush(lambda ok: None)
        if self.holder is None:
            self.log.tidy()
        if self.role is Role.PEER:
            self._consider_claim()
        elif self.role is Role.ADOPTING and self.holder is not None and self.holder.adopted():
            self._announce()
        elif self.role is Role.SERVING and self.holder is not None:
            self._consider_replacement()
            self._consider_room()
        if self.role in (Role.ADOPTING, Role.RECOVERING, Role.CLAIMING, Role.ANNOUNCING):
            if self.node.env.now() - self._changed_ms > 2 * self.node.params.force_ms:
                self._step_down("stuck", 0)

    def _read_key(self) -> None:
        version, body = self._fleet.log_key()
        if version > self._version:
            self._version = version
            self.value = json.loads(body)
        held = self.value.get("epoch", 0)
        if self.role is not Role.PEER and self.holder is not None and held > self.holder.epoch:
            self._step_down("superseded", held)

    def _consider_claim(self) -> None:
        now_ms = self.node.env.now()
        if self._leaving or not self._fleet.settled_in() or now_ms - self._changed_ms < self.node.params.beat_ms:
            return
        if not self.value:
            self._found()
            return
        names = [row["identity"] for row in self.value["members"]]
        able = [name for name in names if not self._retired(name)
                and (name == self.log.identity or self._fleet.live_store(name))]
        if self.log.identity not in names or (self._retired(self.log.identity) and able):
            return
        current = self.value["holder"]
        if current != self.log.identity and current in able:
            return
        if able and able[0] != self.log.identity and current != self.log.identity:
            return
        self._claim(self.value["members"], self._old_members(), self.log.identity)

    def _found(self) -> None:
        """The first members, once as many blank stores as the log needs are heard and no more appear: the first
        of them in order asks, then the next. A store that starts blank later than the fleet never founds."""
        params, now_ms = self.node.params, self.node.env.now()
        blank = self._fleet.store_rows()
        if blank != self._candidates:
            self._candidates, self._candidates_ms = blank, now_ms
        members = spread(blank, params.store_count)
        names = [row["identity"] for row in members]
        if len(members) < params.store_count or self.log.identity not in names or not self.log.may_found():
            return
        rank = names.index(self.log.identity)
        if now_ms - self._candidates_ms >= 2 * params.beat_ms + rank * params.ask_ms:
            self._claim(members, members, self.log.identity)

    def _old_members(self) -> list[dict[str, str]]:
        return self.value["prev"] if self.value["phase"] == "recovering" else self.value["members"]

    def _claim(self, members: list, prev: list, holder: str) -> None:
        epoch = max(self.value.get("epoch", 0), self.log.meta.fence) + 1
        body = {"epoch": epoch, "holder": holder, "phase": "recovering", "members": members, "prev": prev}
        serving = self.role is Role.SERVING
        if serving:
            self._succeeding = True
        else:
            self._become(Role.CLAIMING, epoch)

        def claimed(outcome: str, version: int, value: str) -> None:
            if version > self._version:
                self._version = version
                self.value = json.loads(value)
            self._succeeding = False
            if serving and self.role is Role.SERVING and self.value.get("epoch", 0) > self.holder.epoch:
                self._step_down("succeeded", epoch)
            if self.role is not (Role.PEER if serving else Role.CLAIMING):
                return
            if outcome == "ok" and self.value.get("epoch") == epoch and holder == self.log.identity:
                self._recover(epoch)
            elif not serving:
                self._become(Role.PEER, epoch)

        self._control.change(LOG_KEY, self._version, json.dumps(body), claimed)

    def _recover(self, epoch: int) -> None:
        self._become(Role.RECOVERING, epoch)
        prev = [(row["identity"], row["address"]) for row in self.value["prev"]]

        def recovered(ok: bool) -> None:
            if self.role is not Role.RECOVERING:
                return
            self._recovery = None
            if not ok:
                self._become(Role.PEER, epoch)
                return
            members = [(row["identity"], row["address"]) for row in self.value["members"]]
            self.holder = Holder(self.log, epoch, members, self.node.params, self.node.env.now,
                                 self.node.env.wall, self.node.post,
                                 lambda fence: self._step_down("deposed", fence))
            self._become(Role.ADOPTING, epoch)
            self.holder.tick()

        self._recovery = Recovery(self.log, epoch, prev, self.node.params, self.node.ask, self.node.env.now, recovered)
        self._recovery.start()

    def _announce(self) -> None:
        epoch = self.holder.epoch
        self._become(Role.ANNOUNCING, epoch)
        body = {**self.value, "phase": "serving", "prev": self.value["members"]}

        def announced(outcome: str, version: int, value: str) -> None:
            if version > self._version:
                self._version = version
                self.value = json.loads(value)
            if self.role is not Role.ANNOUNCING:
                return
            if outcome == "ok" and self.value.get("epoch") == epoch:
                self._become(Role.SERVING, epoch)
                self._on_role(self.holder)
            else:
                self._step_down("announcement-" + outcome, epoch)

        self._control.change(LOG_KEY, self._version, json.dumps(body), announced)

    # -- replacing members ---------------------------------------------------------------------

    def _retired(self, identity: str) -> bool:
        return identity in self._fleet.retired_stores()

    def _consider_replacement(self) -> None:
        holder = self.holder
        if self._succeeding:
            return
        names = holder.members
        stores = self._fleet.live_stores()
        for identity, address in stores.items():
            if not self._retired(identity):
                holder.learn(identity, address)
        now_ms = self.node.env.now()
        gone_ms = self.node.params.gone_ms
        lost = [name for name in names if self._retired(name) or
                (name != self.log.identity and now_ms - holder.peers[name].heard_ms > gone_ms)]
        spares = [peer for name, peer in holder.peers.items()
                  if name not in names and name in stores and not self._retired(name) and peer.adopted
                  and peer.flushed_seq >= self.log.settled_seq and now_ms - peer.heard_ms < self.node.params.dead_ms]
        if not lost or not spares or holder.waiters:
            return
        old, new = lost[0], spares[0]
        members = [row for row in self.value["members"] if row["identity"] != old]
        members.append({"identity": new.identity, "address": new.address})
        following = self.log.identity if old != self.log.identity else members[0]["identity"]
        self.node.env.log("store-replaced", "WARNING", old=old, new=new.identity, epoch=holder.epoch)
        self._claim(members, self.value["members"], following)

    def _consider_room(self) -> None:
        """A holder whose disk has been full for a while makes way for a member that still has room."""
        now_ms = self.node.env.now()
        if self.log.disk.roomy(0):
            self._roomy_ms = now_ms
        following = None if self._succeeding or self.holder is None else self.holder.roomier()
        if following is not None and now_ms - max(self._roomy_ms, self._changed_ms) > self.node.params.dead_ms:
            self.node.env.log("holder-full", "WARNING", following=following)
            self._changed_ms = now_ms
            self._claim(self.value["members"], self.value["members"], following)

    def hand_over(self) -> None:
        """Before leaving: the holder's duty goes to another live member at once."""
        self._leaving = True
        if self.role is not Role.SERVING:
            return
        others = [row for row in self.value["members"] if row["identity"] != self.log.identity
                  and self._fleet.live_store(row["identity"]) and not self._retired(row["identity"])]
        if others:
            members = self.value["members"]
            self._claim(members, members, others[0]["identity"])

    def handing_over(self) -> bool:
        return self._leaving and self.role is not Role.PEER

    # -- changes of role -----------------------------------------------------------------------

    def _become(self, role: Role, epoch: int) -> None:
        if role is not self.role:
            self.node.env.log("log-role", "INFO", became=str(role), was=str(self.role), epoch=epoch)
        self.role = role
        self._changed_ms = self.node.env.now()

    def _step_down(self, reason: str, epoch: int) -> None:
        if self._recovery is not None:
            self._recovery.stop()
            self._recovery = None
        holder, self.holder = self.holder, None
        self.node.env.log("log-stepped-down", "INFO", reason=reason, epoch=epoch)
        self._become(Role.PEER, epoch)
        self._on_role(None)
        if holder is not None:
            holder.stop()

    def woke(self, gap_ms: int) -> None:
        if self.role is not Role.PEER:
            self._step_down("frozen", 0)
