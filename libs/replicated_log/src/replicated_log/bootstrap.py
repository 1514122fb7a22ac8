"""Founding: which stores become the first members of the log."""

from typing import Any

from replicated_log.local_log import LocalLog
from replicated_log.replica_placement import spread

__all__ = ["LogBootstrap"]


class LogBootstrap:
    """The blank stores that this store has heard of, and since when they have been the same."""

    __slots__ = ("_candidates", "_candidates_ms", "_fleet", "_log")

    def __init__(self, log: LocalLog, fleet: Any) -> None:
        self._log = log
        self._fleet = fleet
        self._candidates: list[dict[str, str]] = []
        self._candidates_ms = 0

    def members(self, node: Any, changed_ms: int) -> list[dict[str, str]]:
        """Return the first members if this store is to found the log now, else an empty list.

        Founding waits until as many blank stores are known as the log needs and no more have
        appeared for two heartbeats. The first of the chosen stores tries first, then the next one,
        `request_timeout_ms` later. A store that starts blank after the fleet never founds.
        `changed_ms` is when this store's role last changed, in milliseconds of its clock.
        """
        settings, now_ms = node.settings, node.env.now()
        if not self._fleet.settled_in() or now_ms - changed_ms < settings.heartbeat_ms:
            return []
        blank = self._fleet.store_rows()
        if blank != self._candidates:
            self._candidates, self._candidates_ms = blank, now_ms
        members = spread(blank, settings.store_count)
        names = [row["identity"] for row in members]
        if (
            len(members) < settings.store_count
            or self._log.identity not in names
            or not self._log.may_bootstrap()
        ):
            return []
        rank = names.index(self._log.identity)
        if (
            now_ms - self._candidates_ms
            >= 2 * settings.heartbeat_ms + rank * settings.request_timeout_ms
        ):
            return members
        return []
