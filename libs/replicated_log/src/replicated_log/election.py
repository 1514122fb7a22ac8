"""Leader election: polls the members about the leader, and claims the next epoch.

An epoch is claimed by a compare-and-set of the control key, which names the epoch's leader.
"""

from typing import TYPE_CHECKING, Any

from replicated_log.bootstrap import LogBootstrap
from replicated_log.configuration import LogConfiguration, MemberRow, Phase
from replicated_log.interfaces import CHANGE_DONE, FleetView
from replicated_log.messages import LeaderPoll, LeaderPollResponse, TransferLeadership
from replicated_log.role import Role

if TYPE_CHECKING:
    from replicated_log.log_replica import LogReplica

__all__ = ["LeaderElection"]


class LeaderElection:
    """Decides when a replica polls the members or claims an epoch, and does so."""

    __slots__ = ("_bootstrap", "_fleet", "_replica")

    def __init__(self, replica: "LogReplica", fleet: FleetView) -> None:
        self._replica = replica
        self._fleet = fleet
        self._bootstrap = LogBootstrap(replica.log, fleet)

    def consider(self) -> None:
        """Poll the members, claim the next epoch or bootstrap the log, if this replica should.

        Does nothing unless the replica is a follower and isn't shutting down.
        """
        replica = self._replica
        if replica.leaving or replica.role is not Role.FOLLOWER:
            return
        configuration = replica.configuration
        if not configuration.exists:
            self._consider_bootstrap()
        elif replica.log.identity in configuration.names:
            self._consider_claim(configuration)

    def _consider_bootstrap(self) -> None:
        replica = self._replica
        members = self._bootstrap.members(replica.node, replica.changed_ms)
        if members:
            self.claim(members, members, replica.log.identity)

    def _consider_claim(self, configuration: LogConfiguration) -> None:
        replica, detector = self._replica, self._replica.failure_detector
        names, leader, epoch = configuration.names, configuration.leader, configuration.epoch
        is_named = leader == replica.log.identity
        is_recovering = configuration.phase is Phase.RECOVERING
        if is_named and is_recovering and replica.log.metadata.fence < epoch:
            replica.takeover.start(epoch)
            return
        if detector.should_poll(is_named):
            self.poll()
        replica.takeover.warn_if_unserved(names, detector)
        if replica.takeover.may_claim() and detector.should_claim(
            names, leader, epoch, self._fleet.retired_stores()
        ):
            self.claim(
                configuration.members, configuration.recovery_members(), replica.log.identity
            )

    def poll(self) -> None:
        """Ask the other members whether the leader is still active."""
        replica = self._replica
        epoch = replica.configuration.epoch

        def answered(response: Any) -> None:
            if (
                isinstance(response, LeaderPollResponse)
                and replica.role is Role.FOLLOWER
                and epoch == replica.configuration.epoch
            ):
                replica.failure_detector.handle_poll_response(
                    response, replica.configuration.leader
                )
                self.consider()

        for row in replica.configuration.members:
            if row["identity"] != replica.log.identity:
                replica.node.request(
                    row["address"],
                    LeaderPoll(identity=replica.log.identity, epoch=epoch),
                    replica.node.settings.leader_failure_ms,
                    answered,
                )

    def claim(self, members: list[MemberRow], previous: list[MemberRow], leader: str) -> None:
        """Claim the next epoch in the control key for `leader`, which may be another store.

        The epoch is one higher than both the known epoch and this store's fence. `previous` are the
        members to recover from and `members` those to serve with.
        """
        replica = self._replica
        epoch = max(replica.configuration.epoch, replica.log.metadata.fence) + 1
        was_serving = replica.role is Role.SERVING
        if not was_serving:
            replica.become(Role.CLAIMING, epoch)

        def claimed(outcome: str) -> None:
            if was_serving and replica.role is Role.SERVING:
                replica.step_down_if_superseded("succeeded", epoch)
            if replica.role is not (Role.FOLLOWER if was_serving else Role.CLAIMING):
                return
            won = outcome == CHANGE_DONE and replica.configuration.epoch == epoch
            if won and leader == replica.log.identity:
                replica.takeover.start(epoch)
            elif not was_serving:
                replica.become(Role.FOLLOWER, epoch)
            if won and leader != replica.log.identity:
                self._transfer_to(leader, members)

        replica.key.change(
            LogConfiguration(epoch, leader, Phase.RECOVERING, members, previous), claimed
        )

    def _transfer_to(self, leader: str, members: list[MemberRow]) -> None:
        """Send the new control key to the store that it names as the leader."""
        key = self._replica.key
        address = next(row["address"] for row in members if row["identity"] == leader)
        self._replica.node.send(
            address, TransferLeadership(number=key.version, body=key.configuration.to_json())
        )
