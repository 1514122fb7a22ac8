"""The serving set: the edges and stores that are counted for a majority, as a control key's value.

Whether a version is in force, and whether an edge without contact to control nodes may go on
serving, depends on a majority of the serving set. The coordinator changes the set by one address at
a time, and only after a majority of the current set has received the current set. Therefore the two
sides of a network partition never both have a majority, however many machines join and leave
meanwhile. With cut_off = "serve" there is no serving set, and edges and stores are not counted.
"""

import json
from collections.abc import Callable

from config_feed import ConfigFeed
from config_feed.version_tracker import MIN_SERVING_SET, SERVING_SET_KEY
from messaging import Component

from control_store.key_owner import KeyOwner
from control_store.messages import Change, ChangeResult, Outcome, ReadKey
from control_store.operations import ResultCallback

__all__ = ["ServingSet"]

NOT_SCHEDULED_MS = -1


class ServingSet(Component):
    """Adds live edges and stores to the serving set, and removes lost ones.

    Parameters
    ----------
    owner
        Executes operations on control keys.
    config_feed
        Provides the serving set, and the live edges and stores.
    is_coordinator
        Returns whether this node is the coordinator and in contact with a majority of the voters.
    """

    __slots__ = ("_change_in_progress", "_config_feed", "_is_coordinator", "_next_run_ms", "_owner")

    def __init__(
        self, owner: KeyOwner, config_feed: ConfigFeed, is_coordinator: Callable[[], bool]
    ) -> None:
        self._owner = owner
        self._config_feed = config_feed
        self._is_coordinator = is_coordinator
        self._change_in_progress = False
        self._next_run_ms = NOT_SCHEDULED_MS

    def tick(self) -> None:
        """Propose the next serving set, if a change is due and this node is the coordinator.

        The first proposal is made failure_timeout_ms after the start at the earliest.
        """
        settings, now_ms = self.node.settings, self.node.env.now()
        if settings.cut_off == "serve":
            return
        if self._next_run_ms < 0:
            self._next_run_ms = now_ms + settings.failure_timeout_ms
        if now_ms < self._next_run_ms or self._change_in_progress:
            return
        self._next_run_ms = now_ms + settings.heartbeat_ms
        if not self._is_coordinator():
            return
        addresses = self._next_set()
        if addresses is not None:
            self._propose(addresses)

    def _next_set(self) -> list[str] | None:
        """Return the link addresses of the next serving set, or None if no change is due."""
        settings, config_feed = self.node.settings, self._config_feed
        current = config_feed.serving_set()
        live = config_feed.live_links(settings.failure_timeout_ms)
        if not current:
            return sorted(live) or None
        joining = sorted(live - current)[:1]
        lost = self._first_lost(current)
        if not config_feed.needs_majority:
            return self._next_small_set(current, live, joining, lost)
        if not config_feed.majority_has(
            SERVING_SET_KEY, config_feed.version(SERVING_SET_KEY), settings.confirmation_timeout_ms
        ):
            return None
        if joining:
            return sorted({*current, *joining})
        return sorted(current - set(lost)) if lost and len(current) > MIN_SERVING_SET else None

    def _first_lost(self, current: frozenset[str]) -> list[str]:
        """Return the first member that was silent for removal_timeout_ms, or an empty list."""
        timeout_ms = self.node.settings.removal_timeout_ms
        if not self._config_feed.has_run_for(timeout_ms):
            return []
        return sorted(current - self._config_feed.live_links(timeout_ms))[:1]

    def _next_small_set(
        self, current: frozenset[str], live: set[str], joining: list[str], lost: list[str]
    ) -> list[str] | None:
        """Return the next set if the current one has fewer than MIN_SERVING_SET members, or None.

        A lost member is removed without confirmation by a majority; one is added only if a majority
        of the resulting set is live.
        """
        if lost:
            return sorted(current - set(lost))
        larger = {*current, *joining}
        return sorted(larger) if joining and 2 * len(larger & live) > len(larger) else None

    def remove_lost(self, addresses: list[str], done: ResultCallback) -> None:
        """Remove members that an operator declares lost, without confirmation by a majority.

        `done` gets the result of the change or, if the read failed or no address is in the set, the
        result of the read.
        """

        def read(result: ChangeResult) -> None:
            current = set(json.loads(result.body)["links"] if result.body else [])
            if result.outcome != Outcome.OK or not set(addresses) & current:
                done(result)
                return
            self._change(sorted(current - set(addresses)), result.version, done)

        self._owner.submit(ReadKey(key=SERVING_SET_KEY, hops=0), read)

    def _propose(self, addresses: list[str]) -> None:
        def changed(result: ChangeResult) -> None:
            self._change_in_progress = False

        self._change_in_progress = True
        self.node.env.log("serving-set-changing", addresses=addresses)
        self._change(addresses, self._config_feed.version(SERVING_SET_KEY), changed)

    def _change(self, addresses: list[str], version: int, done: ResultCallback) -> None:
        """Propose these addresses as the successor of `version` of the serving set."""
        self._owner.submit(
            Change(
                key=SERVING_SET_KEY,
                version=version,
                change_id=self.node.env.token(),
                hops=0,
                body=json.dumps({"links": addresses}, sort_keys=True),
            ),
            done,
        )
