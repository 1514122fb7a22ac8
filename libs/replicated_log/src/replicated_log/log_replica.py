"""A store's part in the replicated log.

It answers a holder as a follower, watches the holder, becomes the holder itself when that fails,
and then maintains the list of members. The roles are peer, claiming, recovering, adopting,
announcing and serving; `become` makes every change of role. With unchanged members a new holder
serves as soon as f others have adopted the recovered log, since any later recovery asks the same
members, and the control key is updated afterwards. With changed members the control key is updated
first.
"""

import json
from collections.abc import Callable
from typing import Any

from messaging import Component, Message, Origin

from replicated_log.bootstrap import LogBootstrap
from replicated_log.failure_detector import LeaderFailureDetector
from replicated_log.follower import Follower
from replicated_log.leader import Leader
from replicated_log.local_log import LocalLog
from replicated_log.membership_manager import MembershipManager
from replicated_log.messages import (
    AppendRequest,
    AppendResponse,
    FetchRecords,
    FetchTail,
    InstallSnapshot,
    LeaderHeartbeat,
    LeaderPoll,
    LeaderPollResponse,
    StartRecovery,
    TransferLeadership,
)
from replicated_log.role import Role
from replicated_log.takeover import LeaderTakeover

__all__ = ["LOG_KEY", "LogReplica"]

LOG_KEY = "log"


_AT_WORK = (Role.RECOVERING, Role.ADOPTING, Role.ANNOUNCING, Role.SERVING)


class LogReplica(Component):
    """The log's part of a store node.

    `control` changes the control key of the log by compare-and-set: change(key, version, body,
    done(outcome, version, body)). `fleet` knows the log's key, the live stores and the retired
    ones. `on_role` gets the Holder when this store begins to serve, and None when it stops.
    """

    __slots__ = (
        "changed_ms",
        "changing",
        "_control",
        "_fleet",
        "_founding",
        "_keeper",
        "_level_told",
        "leaving",
        "_on_role",
        "_peer",
        "_pulsed_ms",
        "_takeover",
        "_version",
        "_watch",
        "holder",
        "log",
        "role",
        "value",
    )
    HANDLES = (
        AppendRequest,
        AppendResponse,
        InstallSnapshot,
        StartRecovery,
        FetchRecords,
        FetchTail,
        LeaderHeartbeat,
        LeaderPoll,
        TransferLeadership,
    )

    def __init__(
        self, log: LocalLog, control: Any, fleet: Any, on_role: Callable[[Leader | None], None]
    ) -> None:
        self.log = log
        self._control = control
        self._fleet = fleet
        self._on_role = on_role
        self._peer = Follower(log)
        self._takeover = LeaderTakeover(self)
        self.holder: Leader | None = None
        self.role = Role.PEER
        self.changed_ms = 0
        self.changing = False
        self.leaving = False
        self._pulsed_ms = -1 << 40
        self._version = 0
        self._level_told = 0
        self._founding = LogBootstrap(log, fleet)
        self._keeper = MembershipManager(self, fleet)
        self.value: dict[str, Any] = {}

    def attach(self, node: Any) -> None:
        """Bind the part to its node."""
        super().attach(node)
        self._watch = LeaderFailureDetector(self.log.identity, node.settings, node.env.now)

    # -- as a follower -----------------------------------------------------------------------------

    def receive(self, message: Message, origin: Origin) -> None:
        """Handle a message of another store."""
        if isinstance(message, AppendResponse):
            if self.holder is not None and not self.holder.deposed:
                self.holder.answered(message, origin.sender)
        elif isinstance(message, LeaderHeartbeat):
            if message.sure and message.epoch >= self.value.get("epoch", 0):
                self._watch.heard()
                self._level_told = message.level
        elif isinstance(message, LeaderPoll):
            self._polled(message, origin)
        elif isinstance(message, TransferLeadership):
            self._learn(message.number, message.body)
            self._consider_claim()
        else:
            if message.epoch > self.log.meta.fence and self.role is not Role.PEER:
                self.step_down("fenced", message.epoch)
            self._peer.receive(
                message, lambda receipt: self._receipt(origin, message, receipt), origin.sender
            )

    def _receipt(self, origin: Origin, message: Message, receipt: Message) -> None:
        if isinstance(message, (AppendRequest, InstallSnapshot)):
            self.node.send(origin.sender, receipt)
        else:
            self.node.reply(origin, receipt)

    def _polled(self, message: LeaderPoll, origin: Origin) -> None:
        epoch = self.value.get("epoch", 0)
        if (
            message.identity == self.value.get("holder")
            and message.epoch >= epoch
            and self.role is Role.PEER
        ):
            self._watch.gone()
        self.node.reply(
            origin,
            LeaderPollResponse(
                identity=self.log.identity,
                epoch=max(epoch, self.log.meta.fence),
                holds=self._at_work(),
                hears=self.role is Role.PEER and self._watch.hears,
                leaving=self.leaving,
            ),
        )

    def _at_work(self) -> bool:
        return self.role in _AT_WORK and (self.role is not Role.SERVING or self.holder.sure())

    def connection_closed(self, address: str) -> None:
        """Poll the members at once if the connection that ended is the holder's."""
        if (
            self.role is Role.PEER
            and address == self._holder_address()
            and self.value["holder"] != self.log.identity
        ):
            self._poll(self.value["epoch"])

    def connection_refused(self, address: str) -> None:
        """Record that the holder's process has ended, if the address is the holder's."""
        if self.role is Role.PEER and address == self._holder_address():
            self._watch.gone()

    def _holder_address(self) -> str:
        return next(
            (
                row["address"]
                for row in self.value.get("members", [])
                if row["identity"] == self.value["holder"]
            ),
            "",
        )

    # -- watching and becoming the holder ----------------------------------------------------------

    def tick(self) -> None:
        """Do the periodic work of the present role."""
        self._read_key()
        self._watch.tick()
        self.log.disk.push()
        if self.holder is not None:
            self.holder.tick()
        elif self.log.flush_due():
            self.log.flush(lambda ok: None)
        if self.holder is None:
            self.log.tidy()
        if self.role is Role.PEER:
            self._consider_claim()
            return
        self.pulse()
        if self.role is Role.SERVING:
            self._keeper.tick()
        elif self.node.env.now() - self.changed_ms > 2 * self.node.settings.force_ms:
            self._takeover.stuck()

    def pulse(self) -> None:
        """Send the holder's heartbeat to the other members, once in `pulse_ms`."""
        now_ms = self.node.env.now()
        if self.role is Role.CLAIMING or now_ms - self._pulsed_ms < self.node.settings.pulse_ms:
            return
        self._pulsed_ms = now_ms
        for row in self.value["members"]:
            if row["identity"] != self.log.identity:
                self.node.send(
                    row["address"],
                    LeaderHeartbeat(
                        epoch=self.value["epoch"], sure=self._at_work(), level=self._level()
                    ),
                )

    def _level(self) -> int:
        return self.holder.level_members() if self.holder is not None else 0

    def _read_key(self) -> None:
        self._learn(*self._fleet.log_key())
        held = self.value.get("epoch", 0)
        if self.role is not Role.PEER and self.holder is not None and held > self.holder.epoch:
            self.step_down("superseded", held)

    def _learn(self, version: int, body: str) -> None:
        if version > self._version:
            before = self.value.get("epoch", 0)
            self._version = version
            self.value = json.loads(body)
            if self.value["epoch"] != before:
                self._watch.reset()

    def _consider_claim(self) -> None:
        if self.leaving or self.role is not Role.PEER:
            return
        if not self.value:
            self._found()
            return
        names = [row["identity"] for row in self.value["members"]]
        if self.log.identity not in names:
            return
        holder, epoch = self.value["holder"], self.value["epoch"]
        orphaned = holder == self.log.identity
        if orphaned and self.value["phase"] == "recovering" and self.log.meta.fence < epoch:
            self._takeover.start(epoch)
            return
        if self._watch.should_poll(orphaned):
            self._poll(epoch)
        self._takeover.warn_if_unserved(names, self._watch)
        if self._takeover.may_claim() and self._watch.should_claim(
            names, holder, epoch, self._fleet.retired_stores()
        ):
            self.claim(self.value["members"], self.old_members(), self.log.identity)

    def _poll(self, epoch: int) -> None:
        def polled(answer: Any) -> None:
            if answer is not None and self.role is Role.PEER and epoch == self.value.get("epoch"):
                self._watch.polled(answer, self.value["holder"])
                self._consider_claim()

        for row in self.value["members"]:
            if row["identity"] != self.log.identity:
                self.node.request(
                    row["address"],
                    LeaderPoll(identity=self.log.identity, epoch=epoch),
                    self.node.settings.suspect_ms,
                    polled,
                )

    def _found(self) -> None:
        members = self._founding.members(self.node, self.changed_ms)
        if members:
            self.claim(members, members, self.log.identity)

    @property
    def version(self) -> int:
        """The version of the control key that this store knows."""
        return self._version

    def member_change_answered(self) -> None:
        """Continue a change of members after the control key has answered."""
        if self.role is Role.SERVING:
            self._keeper.follow_change()

    def old_members(self) -> list[dict[str, str]]:
        """Return the members that a recovery has to ask."""
        return self.value["prev"] if self.value["phase"] == "recovering" else self.value["members"]

    def claim(self, members: list, prev: list, holder: str) -> None:
        """Claim the next epoch for `holder`, which may be another store, in the control key.

        `prev` are the members to recover from, `members` those to serve with.
        """
        epoch = max(self.value.get("epoch", 0), self.log.meta.fence) + 1
        body = {
            "epoch": epoch,
            "holder": holder,
            "phase": "recovering",
            "members": members,
            "prev": prev,
        }
        serving = self.role is Role.SERVING
        if not serving:
            self.become(Role.CLAIMING, epoch)

        def claimed(outcome: str) -> None:
            if (
                serving
                and self.role is Role.SERVING
                and self.value.get("epoch", 0) > self.holder.epoch
            ):
                self.step_down("succeeded", epoch)
            if self.role is not (Role.PEER if serving else Role.CLAIMING):
                return
            mine = outcome == "ok" and self.value.get("epoch") == epoch
            if mine and holder == self.log.identity:
                self._takeover.start(epoch)
            elif not serving:
                self.become(Role.PEER, epoch)
            if mine and holder != self.log.identity:
                address = next(row["address"] for row in members if row["identity"] == holder)
                self.node.send(
                    address, TransferLeadership(number=self._version, body=json.dumps(self.value))
                )

        self.change(body, claimed)

    def change(self, body: dict[str, Any], done: Callable[[str], None]) -> None:
        """Change the control key by compare-and-set; one change at a time."""
        self.changing = True

        def changed(outcome: str, version: int, value: str) -> None:
            self.changing = False
            if version:
                self._learn(version, value)
                self._fleet.learned(version, value)
            done(outcome)

        self._control.change(LOG_KEY, self._version, json.dumps(body), changed)

    def serve(self, epoch: int) -> None:
        """Begin to serve as the holder of an epoch."""
        self.become(Role.SERVING, epoch)
        self._keeper.serves()
        self._on_role(self.holder)

    # -- leaving ---------------------------------------------------------------------------

    def hand_over(self) -> None:
        """Prepare to leave: a serving holder hands over to another live member at once."""
        self.leaving = True
        if self.role is Role.SERVING:
            self._keeper.tick()

    def handing_over(self) -> bool:
        """Whether this store, told to stop, is still needed.

        It is needed while it is the holder or on its way there, and while a holder is at work and
        fewer than f+1 members would have all that is settled without this store.
        """
        if not self.leaving or self.role is not Role.PEER:
            return self.leaving
        names = [row["identity"] for row in self.value.get("members", [])]
        needed = self._level_told - 1 < self.node.settings.store_faults + 1
        return self.log.identity in names and needed and self._watch.hears

    # -- changes of role -----------------------------------------------------------------------

    def become(self, role: Role, epoch: int) -> None:
        """Change the role, with a log line if it is a new one."""
        if role is not self.role:
            self.node.env.log("log-role", "INFO", became=str(role), was=str(self.role), epoch=epoch)
        self.role = role
        self.changed_ms = self.node.env.now()

    def step_down(self, reason: str, epoch: int) -> None:
        """Go back to being a follower; waiting callers are told that their outcome is unknown."""
        self._takeover.stop()
        holder, self.holder = self.holder, None
        self.node.env.log("log-stepped-down", "INFO", reason=reason, epoch=epoch)
        self.become(Role.PEER, epoch)
        self._watch.reset()
        self._on_role(None)
        if holder is not None:
            holder.stop()

    def resumed(self, gap_ms: int) -> None:
        """Step down after the process stood still, since its view of the others is old."""
        self._watch.reset()
        if self.role is not Role.PEER:
            self.step_down("frozen", 0)
