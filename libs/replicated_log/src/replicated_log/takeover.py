"""The takeover of the log by a new leader, from its successful claim until it serves.

The new leader recovers the log from the previous members, has the members adopt it, announces
changed members in the control key, and then serves. A failed takeover is logged with the members
that didn't respond. If there are any, the next attempt is delayed with exponential backoff, so that
a store whose peers are gone doesn't raise the epoch without end.
"""

from typing import TYPE_CHECKING

from replicated_log.configuration import addresses_of
from replicated_log.failure_detector import LeaderFailureDetector
from replicated_log.interfaces import CHANGE_DONE
from replicated_log.leader import Leader
from replicated_log.recovery import Recovery
from replicated_log.role import Role

if TYPE_CHECKING:
    from replicated_log.log_replica import LogReplica

__all__ = ["LeaderTakeover"]

# The longest backoff, as a multiple of `force_ms`.
_MAX_BACKOFF_FACTOR = 4
_MAX_BACKOFF_DOUBLINGS = 10
_LONG_AGO_MS = -1 << 40


class LeaderTakeover:
    """Runs the takeovers of one replica, one at a time."""

    __slots__ = ("_failures", "_not_before_ms", "_recovery", "_replica", "_warned_ms")

    def __init__(self, replica: "LogReplica") -> None:
        self._replica = replica
        self._recovery: Recovery | None = None
        self._failures = 0
        self._not_before_ms = _LONG_AGO_MS
        self._warned_ms = _LONG_AGO_MS

    def may_claim(self) -> bool:
        """Whether the backoff after the last takeover that lacked responses has passed."""
        return self._replica.node.env.now() >= self._not_before_ms

    def stop(self) -> None:
        """Abandon the recovery in progress, if any, because the store steps down."""
        if self._recovery is not None:
            self._recovery.stop()
            self._recovery = None

    def give_up(self) -> None:
        """Abandon a takeover that makes no progress, and step down.

        The replica calls this after 2 `force_ms` in the same role.
        """
        replica, missing = self._replica, []
        if self._recovery is not None:
            missing = self._recovery.unanswered()
        elif replica.leader is not None:
            leader = replica.leader
            missing = [name for name in leader.members if not leader.health.is_responsive(name)]
        self._failed("takeover-stuck", missing, replica.configuration.epoch)
        replica.step_down("stuck", 0)

    def _failed(self, event: str, missing: list[str], epoch: int) -> None:
        """Log a failed takeover, and delay the next one if members didn't respond."""
        node = self._replica.node
        node.env.log(event, "WARNING", lacks=missing, epoch=epoch)
        if missing:
            settings = node.settings
            backoff_ms = min(
                settings.request_timeout_ms << self._failures,
                _MAX_BACKOFF_FACTOR * settings.force_ms,
            )
            self._not_before_ms = node.env.now() + backoff_ms
            self._failures = min(self._failures + 1, _MAX_BACKOFF_DOUBLINGS)

    def warn_if_unserved(self, names: list[str], detector: LeaderFailureDetector) -> None:
        """Log a warning if no leader is heard and too few members respond to elect one.

        The silence has to last `force_ms`; the warning is repeated every `resume_ms`.
        """
        node, settings = self._replica.node, self._replica.node.settings
        now_ms = node.env.now()
        missing = detector.unanswered(names)
        if (
            detector.silent_ms >= settings.force_ms
            and len(missing) > settings.store_faults
            and now_ms - self._warned_ms >= settings.resume_ms
        ):
            self._warned_ms = now_ms
            epoch = self._replica.configuration.epoch
            node.env.log("log-unserved", "WARNING", lacks=missing, epoch=epoch)

    def start(self, epoch: int) -> None:
        """Start to recover the log under an epoch that the control key assigns to this store."""
        replica = self._replica
        replica.become(Role.RECOVERING, epoch)
        replica.send_heartbeat()
        recovery = Recovery(
            replica.log,
            epoch,
            addresses_of(replica.configuration.previous_members),
            replica.node.settings,
            replica.node.request,
            replica.node.env.now,
            lambda ok: self._recovered(recovery, ok),
        )
        self._recovery = recovery
        recovery.start()

    def _recovered(self, recovery: Recovery, ok: bool) -> None:
        replica, epoch = self._replica, recovery.epoch
        if replica.role is not Role.RECOVERING:
            return
        self._recovery = None
        if not ok:
            self._failed("recovery-failed", recovery.unanswered(), epoch)
            replica.become(Role.FOLLOWER, epoch)
            return
        replica.leader = Leader(
            replica.log,
            epoch,
            addresses_of(replica.configuration.members),
            replica.node.settings,
            replica.node.env.now,
            replica.node.env.wall,
            replica.node.send,
            lambda fence: replica.step_down("deposed", fence),
            self._adopted,
        )
        replica.become(Role.ADOPTING, epoch)
        replica.leader.tick()

    def _adopted(self) -> None:
        replica = self._replica
        if replica.role is not Role.ADOPTING or replica.leader is None:
            return
        epoch = replica.leader.epoch
        configuration = replica.configuration
        if configuration.members == configuration.previous_members:
            self._serve(epoch)
            return
        replica.become(Role.ANNOUNCING, epoch)

        def announced(outcome: str) -> None:
            if replica.role is not Role.ANNOUNCING:
                return
            if outcome == CHANGE_DONE and replica.configuration.epoch == epoch:
                self._serve(epoch)
            else:
                replica.step_down(f"announcement-{outcome}", epoch)

        replica.key.change(configuration.serving(), announced)

    def _serve(self, epoch: int) -> None:
        self._failures = 0
        self._replica.serve(epoch)
