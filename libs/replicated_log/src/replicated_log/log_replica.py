"""The replica of the log that runs in a store node.

As a follower, the replica responds to the leader and monitors it. When the leader fails, the
replica may become the leader itself and then maintains the list of members. The roles are follower,
claiming, recovering, adopting, announcing and serving; every change of role goes through `become`.

If the members are unchanged, a new leader serves as soon as f others have adopted the recovered
log, since any later recovery asks the same members; the control key is updated afterwards. If the
members have changed, the control key is updated first.
"""

from collections.abc import Callable
from functools import singledispatchmethod

from messaging import Component, Message, Node, Origin
from runtime.settings import Settings

from replicated_log.configuration import LOG_KEY, LogConfiguration, MemberRow
from replicated_log.configuration_key import ConfigurationKey
from replicated_log.election import LeaderElection
from replicated_log.failure_detector import LeaderFailureDetector
from replicated_log.follower import Follower
from replicated_log.interfaces import FleetView, KeyClient
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
from replicated_log.role import LEADING_ROLES, Role
from replicated_log.takeover import LeaderTakeover

__all__ = ["LOG_KEY", "LogReplica"]

_LONG_AGO_MS = -1 << 40


class LogReplica(Component):
    """The component of a store node that replicates the log.

    `leaving` is set once the store has been asked to shut down. `changed_ms` is the time of the
    last change of role, in milliseconds of the node's clock.

    Parameters
    ----------
    log
        This replica's copy of the log.
    client
        Changes the control key of the log.
    fleet
        Lists the live and the retired stores.
    on_role
        Called with the Leader when this store begins to serve, and with None when it steps down.
    """

    __slots__ = (
        "_caught_up_reported",
        "_election",
        "_follower",
        "_heartbeat_sent_ms",
        "_membership",
        "_on_role",
        "changed_ms",
        "failure_detector",
        "key",
        "leader",
        "leaving",
        "log",
        "role",
        "takeover",
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
        self,
        log: LocalLog,
        client: KeyClient,
        fleet: FleetView,
        on_role: Callable[[Leader | None], None],
    ) -> None:
        self.log = log
        self._on_role = on_role
        self.key = ConfigurationKey(client, fleet, self._epoch_changed)
        self._follower = Follower(log)
        self._election = LeaderElection(self, fleet)
        self._membership = MembershipManager(self, fleet)
        self.takeover = LeaderTakeover(self)
        self.leader: Leader | None = None
        self.role = Role.FOLLOWER
        self.changed_ms = 0
        self.leaving = False
        self._heartbeat_sent_ms = _LONG_AGO_MS
        self._caught_up_reported = 0

    def attach(self, node: Node) -> None:
        """Bind the component to its node, and start failure detection."""
        super().attach(node)
        self.failure_detector = LeaderFailureDetector(
            self.log.identity, node.settings, node.env.now
        )

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed settings."""
        self.log.settings = settings
        if self.leader is not None:
            self.leader.apply_settings(settings)

    @property
    def configuration(self) -> LogConfiguration:
        """The latest configuration of the log that this store has received."""
        return self.key.configuration

    def _epoch_changed(self) -> None:
        self.failure_detector.reset()

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Handle a message from another store."""
        raise TypeError(
            "expected AppendRequest, AppendResponse, InstallSnapshot, StartRecovery, FetchRecords, "
            "FetchTail, LeaderHeartbeat, LeaderPoll or TransferLeadership, "
            f"got {type(message).__name__}"
        )

    @receive.register
    def _(self, message: AppendResponse, origin: Origin) -> None:
        if self.leader is not None and not self.leader.deposed:
            self.leader.handle_response(message, origin.sender)

    @receive.register
    def _(self, message: LeaderHeartbeat, origin: Origin) -> None:
        if message.has_quorum and message.epoch >= self.configuration.epoch:
            self.failure_detector.handle_heartbeat()
            self._caught_up_reported = message.caught_up

    @receive.register
    def _(self, message: LeaderPoll, origin: Origin) -> None:
        epoch = self.configuration.epoch
        if (
            message.identity == self.configuration.leader
            and message.epoch >= epoch
            and self.role is Role.FOLLOWER
        ):
            # The named leader polls the members only while it isn't active.
            self.failure_detector.process_ended()
        self.node.reply(
            origin,
            LeaderPollResponse(
                identity=self.log.identity,
                epoch=max(epoch, self.log.metadata.fence),
                is_leader=self._is_leading(),
                hears_leader=self.role is Role.FOLLOWER and self.failure_detector.hears_leader,
                leaving=self.leaving,
            ),
        )

    @receive.register
    def _(self, message: TransferLeadership, origin: Origin) -> None:
        self.key.update(message.number, message.body)
        self._election.consider()

    @receive.register
    def _(self, message: AppendRequest | InstallSnapshot, origin: Origin) -> None:
        """Handle a leader's message; the responses are separate messages, not replies."""
        self._step_down_if_fenced(message.epoch)
        self._follower.receive(
            message, lambda response: self.node.send(origin.sender, response), origin.sender
        )

    @receive.register
    def _(self, message: StartRecovery | FetchRecords | FetchTail, origin: Origin) -> None:
        """Reply to a store that is recovering the log."""
        self._step_down_if_fenced(message.epoch)
        self._follower.receive(
            message, lambda response: self.node.reply(origin, response), origin.sender
        )

    def _step_down_if_fenced(self, epoch: int) -> None:
        if epoch > self.log.metadata.fence and self.role is not Role.FOLLOWER:
            self.step_down("fenced", epoch)

    def connection_closed(self, address: str) -> None:
        """Poll the other members at once if the closed connection is the leader's."""
        if (
            self.role is Role.FOLLOWER
            and address == self.configuration.leader_address
            and self.configuration.leader != self.log.identity
        ):
            self._election.poll()

    def connection_refused(self, address: str) -> None:
        """Record that the leader's process has ended if the address is the leader's."""
        if self.role is Role.FOLLOWER and address == self.configuration.leader_address:
            self.failure_detector.process_ended()

    def tick(self) -> None:
        """Perform the periodic work of the present role."""
        self.key.refresh()
        if self.role is not Role.FOLLOWER:
            self.step_down_if_superseded("superseded", self.configuration.epoch)
        self.failure_detector.tick()
        self.log.disk.start_writeback()
        if self.leader is not None:
            self.leader.tick()
        elif self.log.is_flush_due():
            self.log.flush(lambda ok: None)
        if self.leader is None:
            self.log.maintain_snapshot()
        if self.role is Role.FOLLOWER:
            self._election.consider()
            return
        self.send_heartbeat()
        if self.role is Role.SERVING:
            self._membership.tick()
        elif self.node.env.now() - self.changed_ms > 2 * self.node.settings.force_ms:
            self.takeover.give_up()

    def send_heartbeat(self) -> None:
        """Send the leader's heartbeat to the other members, at most every `leader_heartbeat_ms`."""
        now_ms = self.node.env.now()
        since_last_ms = now_ms - self._heartbeat_sent_ms
        if self.role is Role.CLAIMING or since_last_ms < self.node.settings.leader_heartbeat_ms:
            return
        self._heartbeat_sent_ms = now_ms
        caught_up = self.leader.health.count_caught_up() if self.leader is not None else 0
        for row in self.configuration.members:
            if row["identity"] != self.log.identity:
                self.node.send(
                    row["address"],
                    LeaderHeartbeat(
                        epoch=self.configuration.epoch,
                        has_quorum=self._is_leading(),
                        caught_up=caught_up,
                    ),
                )

    def _is_leading(self) -> bool:
        """Whether this store serves with a responsive quorum, or is taking over the leadership."""
        if self.role is Role.SERVING:
            return self.leader is not None and self.leader.health.has_quorum()
        return self.role in LEADING_ROLES

    def start_leaving(self) -> None:
        """Prepare to shut down; a serving leader hands over to a responsive member at once."""
        self.leaving = True
        if self.role is Role.SERVING:
            self._membership.tick()

    def must_stay(self) -> bool:
        """Whether this store is to shut down but is still needed.

        It is needed while its role isn't FOLLOWER. A member is also needed while it hears a leader
        and, by the leader's last report, fewer than f+1 members would be caught up without it.
        """
        if not self.leaving or self.role is not Role.FOLLOWER:
            return self.leaving
        needed = self._caught_up_reported - 1 < self.node.settings.store_faults + 1
        is_member = self.log.identity in self.configuration.names
        return is_member and needed and self.failure_detector.hears_leader

    def claim(self, members: list[MemberRow], previous: list[MemberRow], leader: str) -> None:
        """Claim the next epoch for the store `leader`; see LeaderElection.claim."""
        self._election.claim(members, previous, leader)

    def on_change_answered(self) -> None:
        """Continue a change of members after the response to a change of the control key."""
        if self.role is Role.SERVING:
            self._membership.follow_change()

    def become(self, role: Role, epoch: int) -> None:
        """Set the role, and log it if it has changed."""
        if role is not self.role:
            self.node.env.log("log-role", "INFO", became=str(role), was=str(self.role), epoch=epoch)
        self.role = role
        self.changed_ms = self.node.env.now()

    def serve(self, epoch: int) -> None:
        """Begin to serve as the leader of `epoch`."""
        self.become(Role.SERVING, epoch)
        self._membership.start()
        self._on_role(self.leader)

    def step_down_if_superseded(self, reason: str, epoch: int) -> None:
        """Step down if the control key has a later epoch than this store's leader."""
        if self.leader is not None and self.configuration.epoch > self.leader.epoch:
            self.step_down(reason, epoch)

    def step_down(self, reason: str, epoch: int) -> None:
        """Become a follower.

        Pending appends end with the outcome UNKNOWN, and pending reads fail.
        """
        self.takeover.stop()
        leader, self.leader = self.leader, None
        self.node.env.log("log-stepped-down", "INFO", reason=reason, epoch=epoch)
        self.become(Role.FOLLOWER, epoch)
        self.failure_detector.reset()
        self._on_role(None)
        if leader is not None:
            leader.stop()

    def resumed(self, gap_ms: int) -> None:
        """Step down after the process was frozen, since its view of the other stores is stale."""
        self.failure_detector.reset()
        if self.role is not Role.FOLLOWER:
            self.step_down("frozen", 0)
