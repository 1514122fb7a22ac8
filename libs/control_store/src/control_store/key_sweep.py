"""Sweeps over all keys: outdated replicas are repaired, and unknown values are read.

Before each change of the list of voters every key is decided anew under the present list. So the
majorities of two consecutive lists always intersect, and no value is left only on disks that no
longer vote.
"""

from collections.abc import Callable

from config_feed import ConfigFeed
from config_feed.version_tracker import CONFIRMING_ROLES, SERVING_SET_KEY
from messaging import Node

from control_store.acceptor import CONTROL_KEY, Acceptor
from control_store.key_owner import KeyOwner
from control_store.messages import ChangeResult, ListKeys, ListKeysResponse, Outcome, ReadKey
from control_store.quorum_round import QuorumRound

__all__ = ["RETIRED_KEY", "KeySweep"]

RETIRED_KEY = "retired"
LOG_KEY = "log"
NOT_FORWARDED_HOPS = 9
LONG_AGO_MS = -1 << 40


class KeySweep:
    """Repairs and reads the keys that this node owns, and all keys before a change of voters."""

    __slots__ = ("_acceptor", "_config_feed", "_node", "_owner", "_read_ms", "_swept_ms")
    _node: Node

    def __init__(self, acceptor: Acceptor, owner: KeyOwner, config_feed: ConfigFeed) -> None:
        self._acceptor = acceptor
        self._owner = owner
        self._config_feed = config_feed
        self._swept_ms = LONG_AGO_MS
        self._read_ms: dict[str, int] = {}

    def attach(self, node: Node) -> None:
        """Set the node, which gives the clock, the settings and the messages."""
        self._node = node

    # -- unknown values ------------------------------------------------------------------------

    def read_unknown(self) -> None:
        """Read the keys of this node of which no value is known.

        That is done as soon as it owns them, and then every removal_timeout_ms.
        """
        for key in self._known_keys():
            if not self._owns(key):
                self._read_ms.pop(key, None)
            elif self._config_feed.version(key) == 0 and self._is_read_due(key):
                self._read(key)

    def _known_keys(self) -> tuple[str, ...]:
        serving_set = () if self._node.settings.cut_off == "serve" else (SERVING_SET_KEY,)
        return (CONTROL_KEY, *CONFIRMING_ROLES, RETIRED_KEY, LOG_KEY, *serving_set)

    def _is_read_due(self, key: str) -> bool:
        since_ms = self._node.env.now() - self._read_ms.get(key, LONG_AGO_MS)
        return bool(since_ms > self._node.settings.removal_timeout_ms)

    def _read(self, key: str) -> None:
        def replied(result: ChangeResult) -> None:
            if result.outcome != Outcome.OK:
                self._read_ms.pop(key, None)

        self._read_ms[key] = self._node.env.now()
        self._owner.submit(ReadKey(key=key, hops=NOT_FORWARDED_HOPS), replied)

    def _owns(self, key: str) -> bool:
        return self._owner.owner_of(key) == self._acceptor.identity

    # -- replicas ------------------------------------------------------------------------------

    def repair_owned(self) -> None:
        """Find and repair outdated replicas of the keys that this node owns, now and then."""
        now_ms, settings = self._node.env.now(), self._node.settings
        if now_ms - self._swept_ms < settings.resume_ms // 2:
            return
        self._swept_ms = now_ms
        self._list_keys(self._repair_owned, lambda: None)

    def _repair_owned(self, keys: list[str]) -> None:
        for key in keys:
            if self._owns(key):
                self._owner.repair(key)

    def ensure_all_replicated(self, done: Callable[[bool], None]) -> None:
        """Make sure every key is on a majority of the present list, or decide it anew under it."""
        number = self._acceptor.list_number
        self._list_keys(
            lambda keys: self._ensure_replicated(keys, number, done), lambda: done(False)
        )

    def _list_keys(self, listed: Callable[[list[str]], None], failed: Callable[[], None]) -> None:
        """Ask the voters for the names of all keys; a majority has every key that was decided."""

        def ended(round_: "QuorumRound[ListKeysResponse]", ok: bool) -> None:
            if ok:
                listed(sorted({key for reply in round_.agreed.values() for key in reply.keys}))
            else:
                failed()

        QuorumRound(
            self._node,
            self._acceptor.voters,
            ListKeys(list_number=self._acceptor.list_number),
            self._node.settings.request_timeout_ms,
            ended,
        )

    def _ensure_replicated(
        self, keys: list[str], number: int, done: Callable[[bool], None]
    ) -> None:
        """Work on all keys at once: with a voter lost, each may take a whole round's timeout."""
        outstanding = set(keys)

        def replicated(key: str, ok: bool) -> None:
            if key not in outstanding:
                return
            if not ok or number != self._acceptor.list_number:
                outstanding.clear()
                done(False)
                return
            outstanding.discard(key)
            if not outstanding:
                done(True)

        unchanged = number == self._acceptor.list_number
        if not unchanged or not outstanding:
            done(unchanged)
            return
        for key in keys:
            self._owner.ensure_replicated(key, _with_key(key, replicated))


def _with_key(key: str, done: Callable[[str, bool], None]) -> Callable[[bool], None]:
    return lambda ok: done(key, ok)
