"""Acknowledgement of decided changes, delayed until the serving nodes have applied them.

A change that is on the disks of a majority of the voters is acknowledged only once no node still
serves an older version.
"""

from config_feed import ConfigFeed
from config_feed.version_tracker import CONFIRMING_ROLES
from messaging import Node

from control_store.acceptor import Acceptor
from control_store.messages import ChangeResult, Outcome
from control_store.operations import ResultCallback

__all__ = ["ACKNOWLEDGED_KEYS", "PendingAcknowledgements"]

ACKNOWLEDGED_KEYS = ("profiles",)


class _DecidedChange:
    """A change that has been decided but not acknowledged.

    From `due_ms` on, in ms on the node's clock, the acknowledgement no longer waits for every live
    node to confirm the version.
    """

    __slots__ = ("done", "due_ms", "key", "result")

    def __init__(self, key: str, result: ChangeResult, due_ms: int, done: ResultCallback) -> None:
        self.key = key
        self.result = result
        self.due_ms = due_ms
        self.done = done

    @property
    def version(self) -> int:
        """The version that has to be in force before the change is acknowledged."""
        return self.result.version

    def answer_in_doubt(self) -> None:
        """Answer with DOUBT: the change is decided, but it may not be in force everywhere."""
        reason = (
            f"kept as version {self.version}, but not known to be in force at most edges and stores"
        )
        self.done(ChangeResult.without_value(Outcome.DOUBT, reason))


class PendingAcknowledgements:
    """Delays the results of decided changes until their versions are in force."""

    __slots__ = ("_acceptor", "_changes", "_config_feed", "_node")
    _node: Node

    def __init__(self, acceptor: Acceptor, config_feed: ConfigFeed) -> None:
        self._acceptor = acceptor
        self._config_feed = config_feed
        self._changes: list[_DecidedChange] = []

    def attach(self, node: Node) -> None:
        """Set the node that provides the clock and the settings."""
        self._node = node

    def add(self, key: str, result: ChangeResult, published_ms: int, done: ResultCallback) -> None:
        """Call `done` with `result` once its version is in force, or with DOUBT after a timeout.

        `published_ms` is when the owner published the key's newest value, on the node's clock.
        """
        settings = self._node.settings
        due_ms = (
            published_ms + settings.edge_confirmation_timeout_ms
            if settings.cut_off == "serve"
            else self._node.env.now() + settings.confirmation_timeout_ms
        )
        self._changes.append(_DecidedChange(key, result, due_ms, done))
        self.check()

    def check(self) -> None:
        """Acknowledge the versions that are in force, and answer overdue ones with DOUBT.

        A version is in force once a majority of the serving set reports it and, in addition, every
        live node does or the others have had time to become unready. Without a majority of the
        serving set, the other side of a network partition may still serve an older version, so the
        outcome is DOUBT.

        With cut_off = "serve" there is no serving set. Instead, a majority of the voters has to
        publish the version, and nodes that have not received it from them in time are considered
        disconnected. A version that is only on the voters' disks is published after the next
        proposal.
        """
        now_ms, settings = self._node.env.now(), self._node.settings
        changes, self._changes = self._changes, []
        for change in changes:
            if self._is_in_force(change, now_ms):
                change.done(change.result)
            elif now_ms >= change.due_ms + 2 * settings.request_timeout_ms:
                change.answer_in_doubt()
            else:
                self._changes.append(change)

    def _is_in_force(self, change: _DecidedChange, now_ms: int) -> bool:
        settings, config_feed = self._node.settings, self._config_feed
        key, version = change.key, change.version
        if settings.cut_off == "serve":
            majority, within_ms = (
                self._is_published_by_majority(key, version),
                settings.failure_timeout_ms,
            )
        else:
            within_ms = settings.confirmation_timeout_ms
            majority = config_feed.majority_has(key, version, within_ms)
        return majority and (
            now_ms >= change.due_ms
            or config_feed.all_have(key, version, CONFIRMING_ROLES[key], within_ms)
        )

    def _is_published_by_majority(self, key: str, version: int) -> bool:
        """Whether a majority of the voters publishes the version; a voter counts itself."""
        config_feed, voters = self._config_feed, self._acceptor.voters
        oldest_ms = self._node.env.now() - self._node.settings.confirmation_timeout_ms
        publishing = {
            identity
            for identity, report in config_feed.reports.items()
            if report.received_ms >= oldest_ms and report.versions.get(key, 0) >= version
        }
        if config_feed.version(key) >= version:
            publishing.add(self._acceptor.identity)
        return 2 * len(publishing & set(voters)) > len(voters)

    def give_up(self) -> None:
        """Answer all pending changes with DOUBT."""
        changes, self._changes = self._changes, []
        for change in changes:
            change.answer_in_doubt()
