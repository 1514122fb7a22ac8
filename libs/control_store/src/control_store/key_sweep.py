"""Sweeps over all keys, which repair outdated replicas and read missing values.

Before each change of the voter list, every key's newest value is replicated to a majority of the
current list. That way the majorities of two consecutive lists always intersect, and no value is
left only on disks that no longer vote.
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
NOT_FORWARDED_HOPS = 9  # above the forwarder's MAX_HOPS, so that the operation stays at this node
LONG_AGO_MS = -1 << 40


class KeySweep:
    """Repairs and reads the keys that this node owns; replicates all keys before a list change."""

    __slots__ = ("_acceptor", "_config_feed", "_node", "_owner", "_read_ms", "_swept_ms")
    _node: Node

    def __init__(self, acceptor: Acceptor, owner: KeyOwner, config_feed: ConfigFeed) -> None:
        self._acceptor = acceptor
        self._owner = owner
        self._config_feed = config_feed
        self._swept_ms = LONG_AGO_MS
        self._read_ms: dict[str, int] = {}

    def attach(self, node: Node) -> None:
        """Set the node that provides the clock, the settings and messaging."""
        self._node = node

    def read_missing_values(self) -> None:
        """Read the keys that this node owns and has no value for.

        A key is read once this node owns it, and again after removal_timeout_ms if it still has no
        value, or on the next call if the read failed.
        """
        for key in self._well_known_keys():
            if not self._owns(key):
                self._read_ms.pop(key, None)
            elif self._config_feed.version(key) == 0 and self._is_read_due(key):
                self._read(key)

    def _well_known_keys(self) -> tuple[str, ...]:
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

    def repair_owned(self) -> None:
        """Repair outdated replicas of the keys that this node owns, at most every resume_ms / 2."""
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
        """Make sure that a majority of the current voters has every key's newest value.

        Keys without such a majority are proposed again. `done` gets whether all keys succeeded
        while the voter list stayed the same.
        """
        number = self._acceptor.list_number
        self._list_keys(
            lambda keys: self._ensure_replicated(keys, number, done), lambda: done(False)
        )

    def _list_keys(self, listed: Callable[[list[str]], None], failed: Callable[[], None]) -> None:
        """Ask the voters for the names of all keys; any majority knows every decided key."""

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
        """Replicate all keys concurrently: if a voter is lost, each may take a full timeout."""
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
