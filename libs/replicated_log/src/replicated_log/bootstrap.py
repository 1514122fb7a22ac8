"""Bootstrap of the log: selects its first members."""

from messaging import Node

from replicated_log.configuration import MemberRow
from replicated_log.interfaces import FleetView
from replicated_log.local_log import LocalLog
from replicated_log.replica_placement import select_across_zones

__all__ = ["LogBootstrap"]

# The number of heartbeats for which the list of live stores has to stay unchanged.
_STABLE_HEARTBEATS = 2


class LogBootstrap:
    """Tracks the live stores until their list is stable, and selects the first members."""

    __slots__ = ("_candidates", "_fleet", "_log", "_stable_since_ms")

    def __init__(self, log: LocalLog, fleet: FleetView) -> None:
        self._log = log
        self._fleet = fleet
        self._candidates: list[MemberRow] = []
        self._stable_since_ms = 0

    def members(self, node: Node, changed_ms: int) -> list[MemberRow]:
        """Return the first members if this store is to bootstrap the log now, else an empty list.

        A store waits until `store_count` stores are known and their list has been unchanged for two
        heartbeats. Of the selected stores, each waits `request_timeout_ms` longer than the one
        before it. A store whose blank disk was added after the first start of the fleet never
        bootstraps the log; see `LocalLog.may_bootstrap`. `changed_ms` is the time of this store's
        last change of role, in milliseconds of its clock, which has to be a heartbeat ago or more.
        """
        settings, now_ms = node.settings, node.env.now()
        if not self._fleet.knows_fleet() or now_ms - changed_ms < settings.heartbeat_ms:
            return []
        candidates = self._fleet.store_rows()
        if candidates != self._candidates:
            self._candidates, self._stable_since_ms = candidates, now_ms
        members = select_across_zones(candidates, settings.store_count)
        names = [row["identity"] for row in members]
        if (
            len(members) < settings.store_count
            or self._log.identity not in names
            or not self._log.may_bootstrap()
        ):
            return []
        turn_ms = names.index(self._log.identity) * settings.request_timeout_ms
        wait_ms = _STABLE_HEARTBEATS * settings.heartbeat_ms + turn_ms
        return members if now_ms - self._stable_since_ms >= wait_ms else []
