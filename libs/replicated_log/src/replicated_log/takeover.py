"""The takeover of the log by a new holder, from its claim to serving.

The log is recovered from the old members, adopted by the new ones, announced in the control key if
the members have changed, and then served. A takeover that fails logs which members were missing,
and the next attempt is delayed with exponential backoff, so that a store whose peers are gone
doesn't raise the epoch without end.
"""

from typing import Any

from replicated_log.failure_detector import LeaderFailureDetector
from replicated_log.leader import Leader
from replicated_log.recovery import Recovery
from replicated_log.role import Role

__all__ = ["LeaderTakeover"]

_LONGEST_WAIT = 4


class LeaderTakeover:
    """The takeover by one store; `store` is its StoreLog."""

    __slots__ = ("_failures", "_not_before_ms", "_recovery", "_store", "_warned_ms")

    def __init__(self, store: Any) -> None:
        self._store = store
        self._recovery: Recovery | None = None
        self._failures = 0
        self._not_before_ms = -1 << 40
        self._warned_ms = -1 << 40

    def may_claim(self) -> bool:
        """Whether the backoff after the last takeover that lacked answers has passed."""
        return self._store.node.env.now() >= self._not_before_ms

    def stop(self) -> None:
        """Abandon a recovery under way, because the store steps down."""
        if self._recovery is not None:
            self._recovery.stop()
            self._recovery = None

    def stuck(self) -> None:
        """Give up a takeover that has made no progress for too long."""
        store, lacks = self._store, []
        if self._recovery is not None:
            lacks = self._recovery.unanswered()
        elif store.leader is not None:
            lacks = [name for name in store.leader.members if not store.leader.is_responsive(name)]
        self._failed("takeover-stuck", lacks, store.value["epoch"])
        store.step_down("stuck", 0)

    def _failed(self, event: str, lacks: list[str], epoch: int) -> None:
        """Log a failed takeover and delay the next one if members were missing."""
        store = self._store
        store.node.env.log(event, "WARNING", lacks=lacks, epoch=epoch)
        if lacks:
            settings = store.node.settings
            wait_ms = min(
                settings.request_timeout_ms << self._failures, _LONGEST_WAIT * settings.force_ms
            )
            self._not_before_ms = store.node.env.now() + wait_ms
            self._failures = min(self._failures + 1, 10)

    def warn_if_unserved(self, names: list[str], watch: LeaderFailureDetector) -> None:
        """Log a warning while no holder is heard and too few members answer to elect one."""
        store, settings, now_ms = self._store, self._store.node.settings, self._store.node.env.now()
        lacks = watch.unanswered(names)
        if (
            watch.silent_ms >= settings.force_ms
            and len(lacks) > settings.store_faults
            and now_ms - self._warned_ms >= settings.resume_ms
        ):
            self._warned_ms = now_ms
            store.node.env.log("log-unserved", "WARNING", lacks=lacks, epoch=store.value["epoch"])

    def start(self, epoch: int) -> None:
        """Recover the log under an epoch that the control key assigns to this store."""
        store = self._store
        store.become(Role.RECOVERING, epoch)
        store.send_heartbeat()
        prev = [(row["identity"], row["address"]) for row in store.value["prev"]]

        def recovered(ok: bool) -> None:
            if store.role is not Role.RECOVERING:
                return
            recovery, self._recovery = self._recovery, None
            if not ok:
                self._failed("recovery-failed", recovery.unanswered(), epoch)
                store.become(Role.PEER, epoch)
                return
            members = [(row["identity"], row["address"]) for row in store.value["members"]]
            store.leader = Leader(
                store.log,
                epoch,
                members,
                store.node.settings,
                store.node.env.now,
                store.node.env.wall,
                store.node.send,
                lambda fence: store.step_down("deposed", fence),
                self._adopted,
            )
            store.become(Role.ADOPTING, epoch)
            store.leader.tick()

        self._recovery = Recovery(
            store.log,
            epoch,
            prev,
            store.node.settings,
            store.node.request,
            store.node.env.now,
            recovered,
        )
        self._recovery.start()

    def _adopted(self) -> None:
        store = self._store
        if store.role is not Role.ADOPTING:
            return
        epoch = store.leader.epoch
        if store.value["members"] == store.value["prev"]:
            self._serve(epoch)
            return
        store.become(Role.ANNOUNCING, epoch)

        def announced(outcome: str) -> None:
            if store.role is not Role.ANNOUNCING:
                return
            if outcome == "ok" and store.value.get("epoch") == epoch:
                self._serve(epoch)
            else:
                store.step_down("announcement-" + outcome, epoch)

        store.change({**store.value, "phase": "serving", "prev": store.value["members"]}, announced)

    def _serve(self, epoch: int) -> None:
        self._failures = 0
        self._store.serve(epoch)
