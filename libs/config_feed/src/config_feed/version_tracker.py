"""Tracks which version of each key the other nodes hold, according to their digests.

The owner of a control key acknowledges a change once the nodes have confirmed its version in this
way. With `fan_out` a node reports to a few voters only; each voter then sends the other voters its
low watermarks, which are the lowest versions among the nodes that report to it.
"""

from collections.abc import Callable
from typing import Any

from messaging import Component

__all__ = [
    "CONFIRMING_ROLES",
    "MIN_SERVING_SET",
    "NEVER_MS",
    "SERVING_SET_KEY",
    "DigestReport",
    "VersionTracker",
]

SERVING_SET_KEY = "fleet"
MIN_SERVING_SET = 3
"""The number of members from which a majority of the serving set is required."""

CONFIRMING_ROLES = {"profiles": ("edge", "store"), "workers": ("edge",)}
"""The keys whose versions have to be confirmed, with the roles that confirm each."""

NEVER_MS = -1 << 40
_NOT_STARTED_MS = 1 << 60
_NO_LIMIT = 1 << 60
_FIRST_TARGET = 1


class DigestReport:
    """The content of the newest digest of a node.

    `received_ms` is the time of arrival by the receiver's clock, `versions` has the version of each
    key that the node holds, and `link` is its link address.
    """

    __slots__ = ("link", "received_ms", "role", "versions")

    def __init__(self, role: str, received_ms: int, versions: dict[str, int], link: str) -> None:
        self.role = role
        self.received_ms = received_ms
        self.versions = versions
        self.link = link


class VersionTracker(Component):
    """The part of the feed that records digests and counts confirmations.

    Subclasses hold this node's own versions.

    Attributes
    ----------
    is_voter
        Returns whether this node is a voter.
    reports
        The newest digest of each node, by its identity.
    """

    __slots__ = (
        "_edge_counts",
        "_low_watermarks",
        "_ranks",
        "_running_since_ms",
        "_serving_set",
        "_serving_set_version",
        "is_voter",
        "reports",
    )

    def __init__(self) -> None:
        self.is_voter: Callable[[], bool] = lambda: False
        self.reports: dict[str, DigestReport] = {}
        self._running_since_ms = _NOT_STARTED_MS
        self._serving_set_version = 0
        self._serving_set: frozenset[str] = frozenset()
        self._ranks: dict[str, int] = {}
        self._low_watermarks: dict[str, dict[str, int]] = {}
        self._edge_counts: dict[str, int] = {}

    def version(self, key: str) -> int:
        """Return this node's version of a key, or 0 if it holds none."""
        raise NotImplementedError

    def value(self, key: str) -> Any:
        """Return this node's decoded value of a key, or None if it holds none."""
        raise NotImplementedError

    def _drop_silent(self, now_ms: int) -> list[str]:
        """Drop nodes without a digest for `removal_timeout_ms`, and return their identities."""
        silent = [
            identity
            for identity, report in self.reports.items()
            if now_ms - report.received_ms > self.node.settings.removal_timeout_ms
        ]
        for identity in silent:
            del self.reports[identity]
            self._ranks.pop(identity, None)
            self._low_watermarks.pop(identity, None)
            self._edge_counts.pop(identity, None)
        return silent

    def _live_since_ms(self) -> int:
        failure_timeout_ms: int = self.node.settings.failure_timeout_ms
        return self.node.env.now() - failure_timeout_ms

    def low_watermarks(self) -> dict[str, int]:
        """Return the lowest version of each confirmed key among the nodes that report here."""
        since_ms = self._live_since_ms()
        lows: dict[str, int] = {}
        for identity, report in self.reports.items():
            if report.received_ms < since_ms or not self._ranks.get(identity):
                continue
            for key, roles in CONFIRMING_ROLES.items():
                if report.role in roles:
                    lows[key] = min(lows.get(key, _NO_LIMIT), report.versions.get(key, 0))
        return lows

    def _own_edge_count(self) -> int:
        """Return how many live edges have this node as their preferred target."""
        since_ms = self._live_since_ms()
        return sum(
            1
            for identity, report in self.reports.items()
            if report.role == "edge"
            and report.received_ms >= since_ms
            and self._ranks.get(identity) == _FIRST_TARGET
        )

    def edge_count(self) -> int:
        """Return the number of live edges, as far as this node knows.

        A voter adds up the counts of all voters; any other node uses the largest count received.
        """
        since_ms = self._live_since_ms()
        counts = [
            count
            for identity, count in self._edge_counts.items()
            if identity in self.reports and self.reports[identity].received_ms >= since_ms
        ]
        if self.is_voter():
            return self._own_edge_count() + sum(counts)
        return max(counts, default=0)

    def all_have(self, key: str, version: int, roles: tuple[str, ...], within_ms: int) -> bool:
        """Whether every live node of these roles reported this version of the key, or a newer one.

        A node is live if a digest of it came within the last `within_ms`. With `fan_out`, the low
        watermarks of another voter stand for the nodes that report to that voter.
        """
        since_ms = self.node.env.now() - within_ms
        if any(
            lows.get(key, version) < version
            for identity, lows in self._low_watermarks.items()
            if identity in self.reports and self.reports[identity].received_ms >= since_ms
        ):
            return False
        return all(
            report.versions.get(key, 0) >= version
            for identity, report in self.reports.items()
            if report.role in roles
            and report.received_ms >= since_ms
            and (self._ranks.get(identity) or not self.node.settings.fan_out)
        )

    def serving_set(self) -> frozenset[str]:
        """Return the link addresses of the edges and stores in the serving set."""
        version = self.version(SERVING_SET_KEY)
        if version != self._serving_set_version:
            self._serving_set_version = version
            self._serving_set = frozenset(self.value(SERVING_SET_KEY)["links"])
        return self._serving_set

    @property
    def needs_majority(self) -> bool:
        """Whether the serving set is so large that a majority of it is required."""
        return len(self.serving_set()) >= MIN_SERVING_SET

    def live_links(self, within_ms: int) -> set[str]:
        """Return the link addresses of edges and stores that sent a digest within `within_ms`."""
        since_ms = self.node.env.now() - within_ms
        return {
            report.link
            for report in self.reports.values()
            if report.role != "control" and report.received_ms >= since_ms
        }

    def majority_has(self, key: str, version: int, within_ms: int) -> bool:
        """Whether a majority of the serving set reported this version or a newer one in time.

        Only digests of the last `within_ms` are counted. Always True while the serving set has
        fewer than MIN_SERVING_SET members, since no edge then serves without control nodes.
        """
        since_ms = self.node.env.now() - within_ms
        have = {
            report.link
            for report in self.reports.values()
            if report.received_ms >= since_ms and report.versions.get(key, 0) >= version
        }
        serving = self.serving_set()
        return not self.needs_majority or 2 * len(serving & have) > len(serving)

    def has_run_for(self, duration_ms: int) -> bool:
        """Whether this node has been running without a pause for longer than `duration_ms`."""
        return self.node.env.now() - self._running_since_ms > duration_ms
