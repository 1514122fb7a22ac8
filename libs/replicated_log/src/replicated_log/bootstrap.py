"""Bootstrap: which stores become the first members of the log."""

from messaging import Node

from replicated_log.configuration import MemberRow
from replicated_log.interfaces import FleetView
from replicated_log.local_log import LocalLog
from replicated_log.replica_placement import spread

__all__ = ["LogBootstrap"]

# How many heartbeats the list of blank stores has to stay the same.
_STABLE_HEARTBEATS = 2


class LogBootstrap:
    """The blank stores that this store has heard of, and since when they have been the same."""

    __slots__ = ("_candidates", "_fleet", "_log", "_stable_since_ms")

    def __init__(self, log: LocalLog, fleet: FleetView) -> None:
        self._log = log
        self._fleet = fleet
        self._candidates: list[MemberRow] = []
        self._stable_since_ms = 0

    def members(self, node: Node, changed_ms: int) -> list[MemberRow]:
        """Return the first members if this store is to bootstrap the log now, else an empty list.

        It waits until as many blank stores are known as the log needs and no more have appeared for
        two heartbeats. The first of the chosen stores tries first, then the next one,
        `request_timeout_ms` later. A store that starts blank after the fleet never bootstraps the
        log. `changed_ms` is when this store's role last changed, in milliseconds of its clock.
        """
        settings, now_ms = node.settings, node.env.now()
        if not self._fleet.knows_fleet() or now_ms - changed_ms < settings.heartbeat_ms:
            return []
        candidates = self._fleet.store_rows()
        if candidates != self._candidates:
            self._candidates, self._stable_since_ms = candidates, now_ms
        members = spread(candidates, settings.store_count)
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
