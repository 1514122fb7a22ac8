"""The read barrier of a control node, which prevents stale reads.

After a start, a pause of the process, or a time without contact with a majority of the voters, the
node's copy of the configuration may be outdated. Before the node serves it as current, it re-reads
each key through the key's owner, which replies after a majority of the voters confirmed its
ownership.
"""

from collections.abc import Callable

from config_feed import ConfigFeed
from config_feed.version_tracker import CONFIRMING_ROLES
from messaging import Component

from control_store.key_owner import KeyOwner
from control_store.messages import ChangeResult, Outcome, ReadKey

__all__ = ["ReadBarrier"]

LONG_AGO_MS = -1 << 40


class ReadBarrier(Component):
    """Tracks whether every key has been re-read since contact with a majority was regained.

    Parameters
    ----------
    hears_majority
        Returns whether the node is in contact with a majority of the voters.
    """

    __slots__ = (
        "_attempt",
        "_config_feed",
        "_hears_majority",
        "_missing",
        "_owner",
        "_passed",
        "_retry_at_ms",
    )

    def __init__(
        self, owner: KeyOwner, config_feed: ConfigFeed, hears_majority: Callable[[], bool]
    ) -> None:
        self._owner = owner
        self._config_feed = config_feed
        self._hears_majority = hears_majority
        self._passed = False
        self._attempt = 0
        self._missing: set[str] = set()
        self._retry_at_ms = LONG_AGO_MS

    def passed(self) -> bool:
        """Whether every key has been read since contact with a majority was last regained."""
        return self._passed

    def tick(self) -> None:
        """Read all keys every request_timeout_ms until each has been read in one attempt.

        Without contact with a majority, the barrier is reset.
        """
        if not self._hears_majority():
            self._reset()
            return
        if not self._passed and self.node.env.now() >= self._retry_at_ms:
            self._read_all()

    def resumed(self, gap_ms: int) -> None:
        """Reset the barrier after the process was paused for `gap_ms`."""
        self._reset()

    def _reset(self) -> None:
        """Require all keys to be read again; replies to earlier attempts are ignored."""
        self._passed = False
        self._attempt += 1
        self._retry_at_ms = LONG_AGO_MS

    def _read_all(self) -> None:
        settings = self.node.settings
        self._attempt += 1
        self._missing = set(CONFIRMING_ROLES)
        self._retry_at_ms = self.node.env.now() + settings.request_timeout_ms
        for key in CONFIRMING_ROLES:
            self._read(key, self._attempt)

    def _read(self, key: str, attempt: int) -> None:
        def replied(result: ChangeResult) -> None:
            if attempt == self._attempt and result.outcome == Outcome.OK:
                self._apply(key, result)

        self._owner.submit(ReadKey(key=key, hops=0), replied)

    def _apply(self, key: str, result: ChangeResult) -> None:
        if result.version:
            self._config_feed.publish(key, result.version, result.body)
        self._missing.discard(key)
        self._passed = not self._missing
