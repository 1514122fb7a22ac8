"""Delayed acknowledgement of changes until the nodes that serve have applied them.

A change that is on a majority of the voters' disks is only acknowledged once no node still serves
under an older version.
"""

from typing import Any

from config_feed import ConfigFeed
from config_feed.version_tracker import CONFIRMERS

from control_store.acceptor import Acceptor
from control_store.key_states import Done
from control_store.messages import ChangeResult, Outcome

__all__ = ["CONFIRMED_KEYS", "PendingAcknowledgements"]

CONFIRMED_KEYS = ("profiles",)


def _in_doubt(version: int) -> ChangeResult:
    return ChangeResult(
        outcome=Outcome.DOUBT,
        version=0,
        body="",
        reason=f"kept as version {version}, but not known to be in force at most edges and stores",
    )


class _Waiting:
    """A change that was decided and is not yet acknowledged."""

    __slots__ = ("done", "due_ms", "key", "receipt")

    def __init__(self, key: str, receipt: ChangeResult, due_ms: int, done: Done) -> None:
        self.key = key
        self.receipt = receipt
        self.due_ms = due_ms
        self.done = done


class PendingAcknowledgements:
    """Holds back the replies to changes until their versions are in force."""

    __slots__ = ("_config_feed", "_node", "_voter", "_waiting")

    def __init__(self, voter: Acceptor, config_feed: ConfigFeed) -> None:
        self._voter = voter
        self._config_feed = config_feed
        self._node: Any = None
        self._waiting: list[_Waiting] = []

    def attach(self, node: Any) -> None:
        """Set the node, which gives the clock and the settings."""
        self._node = node

    def wait(self, key: str, receipt: ChangeResult, changed_ms: int, done: Done) -> None:
        """Call `done` with `receipt` once its version is in force, or with DOUBT after a timeout.

        `changed_ms` is when the owner published the key's newest value, in ms of the node's clock.
        """
        settings = self._node.settings
        due_ms = (
            changed_ms + settings.edge_confirmation_timeout_ms
            if settings.cut_off == "serve"
            else self._node.env.now() + settings.confirmation_timeout_ms
        )
        self._waiting.append(_Waiting(key, receipt, due_ms, done))
        self.check()

    def check(self) -> None:
        """Acknowledge the versions that are in force, and answer overdue ones with DOUBT.

        A version is in force once a majority of the roster of edges and stores reports it and every
        live node does too, or those that do not have had to become unready. Without a majority of
        the roster the other side of a network partition may still serve under an older version, so
        the outcome is DOUBT.

        With cut_off = "serve" there is no roster. A majority of the voters has to publish the
        version, and nodes that have not learned it from them in time count as disconnected. A
        version that is only on the voters' disks is published after the next ballot.
        """
        now_ms, settings, config_feed = self._node.env.now(), self._node.settings, self._config_feed
        waiting, self._waiting = self._waiting, []
        for change in waiting:
            name, version, due_ms = change.key, change.receipt.version, change.due_ms
            serves = settings.cut_off == "serve"
            most = (
                self._handed_out(name, version)
                if serves
                else config_feed.most_confirm(name, version, settings.confirmation_timeout_ms)
            )
            within_ms = settings.failure_timeout_ms if serves else settings.confirmation_timeout_ms
            if most and (
                now_ms >= due_ms
                or config_feed.all_confirm(name, version, CONFIRMERS[name], within_ms)
            ):
                change.done(change.receipt)
            elif now_ms >= due_ms + 2 * settings.request_timeout_ms:
                change.done(_in_doubt(version))
            else:
                self._waiting.append(change)

    def _handed_out(self, key: str, version: int) -> bool:
        """Whether a majority of the voters publishes the version, this node counted if it votes."""
        config_feed, voters = self._config_feed, self._voter.voters
        floor_ms = self._node.env.now() - self._node.settings.confirmation_timeout_ms
        have = {
            identity
            for identity, (_, at_ms, numbers, _) in config_feed.confirmed.items()
            if at_ms >= floor_ms and numbers.get(key, 0) >= version
        }
        if config_feed.number(key) >= version:
            have.add(self._voter.identity)
        return 2 * len(have & set(voters)) > len(voters)

    def give_up(self) -> None:
        """Answer all waiting changes with DOUBT."""
        waiting, self._waiting = self._waiting, []
        for change in waiting:
            change.done(_in_doubt(change.receipt.version))
