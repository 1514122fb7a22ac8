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
        "_bootstrap",
        "_membership",
        "_caught_up_reported",
        "leaving",
        "_on_role",
        "_follower_role",
        "_heartbeat_sent_ms",
        "_takeover",
        "_version",
        "_failure_detector",
        "leader",
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
        self._follower_role = Follower(log)
        self._takeover = LeaderTakeover(self)
        self.leader: Leader | None = None
        self.role = Role.PEER
        self.changed_ms = 0
        self.changing = False
        self.leaving = False
        self._heartbeat_sent_ms = -1 << 40
        self._version = 0
        self._caught_up_reported = 0
        self._bootstrap = LogBootstrap(log, fleet)
        self._membership = MembershipManager(self, fleet)
        self.value: dict[str, Any] = {}

    def attach(self, node: Any) -> None:
        """Bind the part to its node."""
        super().attach(node)
        self._failure_detector = LeaderFailureDetector(
            self.log.identity, node.settings, node.env.now
        )

    # -- as a follower -----------------------------------------------------------------------------

    def receive(self, message: Message, origin: Origin) -> None:
        """Handle a message of another store."""
        if isinstance(message, AppendResponse):
            if self.leader is not None and not self.leader.deposed:
                self.leader.handle_response(message, origin.sender)
        elif isinstance(message, LeaderHeartbeat):
            if message.has_quorum and message.epoch >= self.value.get("epoch", 0):
                self._failure_detector.handle_heartbeat()
                self._caught_up_reported = message.caught_up
        elif isinstance(message, LeaderPoll):
            self._answer_poll(message, origin)
        elif isinstance(message, TransferLeadership):
            self._update_configuration(message.number, message.body)
            self._consider_claim()
        else:
            if message.epoch > self.log.meta.fence and self.role is not Role.PEER:
                self.step_down("fenced", message.epoch)
            self._follower_role.receive(
                message,
                lambda receipt: self._send_response(origin, message, receipt),
                origin.sender,
            )

    def _send_response(self, origin: Origin, message: Message, receipt: Message) -> None:
        if isinstance(message, (AppendRequest, InstallSnapshot)):
            self.node.send(origin.sender, receipt)
        else:
            self.node.reply(origin, receipt)

    def _answer_poll(self, message: LeaderPoll, origin: Origin) -> None:
        epoch = self.value.get("epoch", 0)
        if (
            message.identity == self.value.get("holder")
            and message.epoch >= epoch
            and self.role is Role.PEER
        ):
            self._failure_detector.process_ended()
        self.node.reply(
            origin,
            LeaderPollResponse(
                identity=self.log.identity,
                epoch=max(epoch, self.log.meta.fence),
                is_leader=self._is_leading(),
                hears_leader=self.role is Role.PEER and self._failure_detector.hears_leader,
                leaving=self.leaving,
            ),
        )

    def _is_leading(self) -> bool:
        return self.role in _AT_WORK and (self.role is not Role.SERVING or self.leader.has_quorum())

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
            self._failure_detector.process_ended()

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
        self._failure_detector.tick()
        self.log.disk.push()
        if self.leader is not None:
            self.leader.tick()
        elif self.log.is_flush_due():
            self.log.flush(lambda ok: None)
        if self.leader is None:
            self.log.maintain_snapshot()
        if self.role is Role.PEER:
            self._consider_claim()
            return
        self.send_heartbeat()
        if self.role is Role.SERVING:
            self._membership.tick()
        elif self.node.env.now() - self.changed_ms > 2 * self.node.settings.force_ms:
            self._takeover.stuck()

    def send_heartbeat(self) -> None:
        """Send the holder's heartbeat to the other members, once in `leader_heartbeat_ms`."""
        now_ms = self.node.env.now()
        if (
            self.role is Role.CLAIMING
            or now_ms - self._heartbeat_sent_ms < self.node.settings.leader_heartbeat_ms
        ):
            return
        self._heartbeat_sent_ms = now_ms
        for row in self.value["members"]:
            if row["identity"] != self.log.identity:
                self.node.send(
                    row["address"],
                    LeaderHeartbeat(
                        epoch=self.value["epoch"],
                        has_quorum=self._is_leading(),
                        caught_up=self._count_caught_up(),
                    ),
                )

    def _count_caught_up(self) -> int:
        return self.leader.count_caught_up() if self.leader is not None else 0

    def _read_key(self) -> None:
        self._update_configuration(*self._fleet.log_key())
        held = self.value.get("epoch", 0)
        if self.role is not Role.PEER and self.leader is not None and held > self.leader.epoch:
            self.step_down("superseded", held)

    def _update_configuration(self, version: int, body: str) -> None:
        if version > self._version:
            before = self.value.get("epoch", 0)
            self._version = version
            self.value = json.loads(body)
            if self.value["epoch"] != before:
                self._failure_detector.reset()

    def _consider_claim(self) -> None:
        if self.leaving or self.role is not Role.PEER:
            return
        if not self.value:
            self._consider_bootstrap()
            return
        names = [row["identity"] for row in self.value["members"]]
        if self.log.identity not in names:
            return
        leader, epoch = self.value["holder"], self.value["epoch"]
        orphaned = leader == self.log.identity
        if orphaned and self.value["phase"] == "recovering" and self.log.meta.fence < epoch:
            self._takeover.start(epoch)
            return
        if self._failure_detector.should_poll(orphaned):
            self._poll(epoch)
        self._takeover.warn_if_unserved(names, self._failure_detector)
        if self._takeover.may_claim() and self._failure_detector.should_claim(
            names, leader, epoch, self._fleet.retired_stores()
        ):
            self.claim(self.value["members"], self.recovery_members(), self.log.identity)

    def _poll(self, epoch: int) -> None:
        def polled(answer: Any) -> None:
            if answer is not None and self.role is Role.PEER and epoch == self.value.get("epoch"):
                self._failure_detector.handle_poll_response(answer, self.value["holder"])
                self._consider_claim()

        for row in self.value["members"]:
            if row["identity"] != self.log.identity:
                self.node.request(
                    row["address"],
                    LeaderPoll(identity=self.log.identity, epoch=epoch),
                    self.node.settings.leader_failure_ms,
                    polled,
                )

    def _consider_bootstrap(self) -> None:
        members = self._bootstrap.members(self.node, self.changed_ms)
        if members:
            self.claim(members, members, self.log.identity)

    @property
    def version(self) -> int:
        """The version of the control key that this store knows."""
        return self._version

    def on_change_answered(self) -> None:
        """Continue a change of members after the control key has answered."""
        if self.role is Role.SERVING:
            self._membership.follow_change()

    def recovery_members(self) -> list[dict[str, str]]:
        """Return the members that a recovery has to ask."""
        return self.value["prev"] if self.value["phase"] == "recovering" else self.value["members"]

    def claim(self, members: list, prev: list, leader: str) -> None:
        """Claim the next epoch for `leader`, which may be another store, in the control key.

        `prev` are the members to recover from, `members` those to serve with.
        """
        epoch = max(self.value.get("epoch", 0), self.log.meta.fence) + 1
        body = {
            "epoch": epoch,
            "holder": leader,
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
                and self.value.get("epoch", 0) > self.leader.epoch
            ):
                self.step_down("succeeded", epoch)
            if self.role is not (Role.PEER if serving else Role.CLAIMING):
                return
            mine = outcome == "ok" and self.value.get("epoch") == epoch
            if mine and leader == self.log.identity:
                self._takeover.start(epoch)
            elif not serving:
                self.become(Role.PEER, epoch)
            if mine and leader != self.log.identity:
                address = next(row["address"] for row in members if row["identity"] == leader)
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
                self._update_configuration(version, value)
                self._fleet.learned(version, value)
            done(outcome)

        self._control.change(LOG_KEY, self._version, json.dumps(body), changed)

    def serve(self, epoch: int) -> None:
        """Begin to serve as the holder of an epoch."""
        self.become(Role.SERVING, epoch)
        self._membership.serves()
        self._on_role(self.leader)

    # -- leaving ---------------------------------------------------------------------------

    def start_leaving(self) -> None:
        """Prepare to leave: a serving holder hands over to another live member at once."""
        self.leaving = True
        if self.role is Role.SERVING:
            self._membership.tick()

    def must_stay(self) -> bool:
        """Whether this store, told to stop, is still needed.

        It is needed while it is the holder or on its way there, and while a holder is at work and
        fewer than f+1 members would have all that is settled without this store.
        """
        if not self.leaving or self.role is not Role.PEER:
            return self.leaving
        names = [row["identity"] for row in self.value.get("members", [])]
        needed = self._caught_up_reported - 1 < self.node.settings.store_faults + 1
        return self.log.identity in names and needed and self._failure_detector.hears_leader

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
        leader, self.leader = self.leader, None
        self.node.env.log("log-stepped-down", "INFO", reason=reason, epoch=epoch)
        self.become(Role.PEER, epoch)
        self._failure_detector.reset()
        self._on_role(None)
        if leader is not None:
            leader.stop()

    def resumed(self, gap_ms: int) -> None:
        """Step down after the process stood still, since its view of the others is old."""
        self._failure_detector.reset()
        if self.role is not Role.PEER:
            self.step_down("frozen", 0)
