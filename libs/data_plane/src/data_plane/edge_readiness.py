"""Readiness of an edge: whether it can be sure that its profiles are still in force.

An edge serves while it hears from a control node that has a majority or, with the control plane
down, from most nodes of the serving set. With the setting `cut_off` = "serve" it only has to start
with the newest profiles known to the nodes it hears, and goes on serving with these when it is cut
off.
"""

from typing import Any

from data_plane.control_keys import PROFILES_KEY

__all__ = ["EdgeReadiness"]

_NOT_CAUGHT_UP = "has not caught up with the feed"
_CUT_OFF = "cut off from control and most neighbours"


class EdgeReadiness:
    """Decides from the membership and the configuration feed of `node`, an `EdgeNode`."""

    __slots__ = ("_caught_up", "_control_quorum_was_heard", "_node", "_started_ms")

    def __init__(self, node: Any) -> None:
        self._node = node
        self._started_ms = node.env.now()
        self._caught_up = False
        self._control_quorum_was_heard = False

    def why_profiles_uncertain(self) -> str:
        """Return why the edge's profiles may not be those in force, or an empty string."""
        now_ms = self._node.env.now()
        settings = self._node.settings
        if settings.cut_off == "serve":
            return self._why_not_started(now_ms)
        if not (self._hears_control(now_ms) or self._hears_most(now_ms)):
            return _CUT_OFF
        if not self._caught_up:
            self._caught_up = self._has_newest_profiles(now_ms - settings.contact_timeout_ms)
        return "" if self._caught_up else _NOT_CAUGHT_UP

    def _why_not_started(self, now_ms: int) -> str:
        """Return why serving can't start yet, with `cut_off` = "serve", or an empty string.

        Serving starts once the edge has profiles and no node heard within `failure_timeout_ms`
        reports a newer version of any key, provided that a control node with a majority is heard
        or, once that time has passed since the edge's start, no control node at all. From then on
        the edge serves with the profiles it has. A control node that is heard without a majority is
        cut off, and the neighbours may be too, so their profiles may be old.
        """
        if not self._caught_up:
            failure_timeout_ms = self._node.settings.failure_timeout_ms
            has_current_source = (
                now_ms - self._node.config_feed.control_quorum_heard_ms <= failure_timeout_ms
                or (
                    now_ms - self._started_ms > failure_timeout_ms
                    and not self._hears_some_control()
                )
            )
            self._caught_up = has_current_source and self._has_newest_profiles(
                now_ms - failure_timeout_ms
            )
        return "" if self._caught_up else _NOT_CAUGHT_UP

    def _hears_some_control(self) -> bool:
        """Whether any control node is heard directly, with or without a majority."""
        heard = self._node.membership.nodes_heard_directly(self._node.settings.failure_timeout_ms)
        return any(card.role == "control" for card in heard)

    def _hears_control(self, now_ms: int) -> bool:
        """Whether a control node with a majority was heard within `contact_timeout_ms`."""
        if (
            now_ms - self._node.config_feed.control_quorum_heard_ms
            <= self._node.settings.contact_timeout_ms
        ):
            self._control_quorum_was_heard = True
            return True
        return False

    def _hears_most(self, now_ms: int) -> bool:
        """Whether this edge is most likely on the larger side of a partition.

        Of the members of the serving set whose digests it knows, a majority was heard within
        `contact_timeout_ms`. A majority of the whole set is live, and the set is large enough for
        majorities to count. Besides, this edge has heard from a control majority before, or an edge
        that is ready was heard within `contact_timeout_ms`.
        """
        feed, contact_timeout_ms = self._node.config_feed, self._node.settings.contact_timeout_ms
        serving = feed.serving_set()
        contacts_ms = [
            feed.digest_heard_ms[identity]
            for identity, report in feed.reports.items()
            if identity in feed.digest_heard_ms and report.link in serving
        ]
        recent = sum(1 for at_ms in contacts_ms if now_ms - at_ms <= contact_timeout_ms)
        was_current = feed.needs_majority and (
            self._control_quorum_was_heard
            or now_ms - feed.current_edge_heard_ms <= contact_timeout_ms
        )
        return (
            was_current
            and recent > 0
            and 2 * recent > len(contacts_ms)
            and 2 * len(serving & self._live_addresses()) > len(serving)
        )

    def _live_addresses(self) -> set[str]:
        """Return the addresses of the edges and stores that are live, this edge included."""
        node = self._node
        return {node.address} | {
            card.address
            for role in ("edge", "store")
            for card in node.membership.nodes_in_role(role, 2 * node.settings.failure_timeout_ms)
        }

    def _has_newest_profiles(self, floor_ms: int) -> bool:
        """Whether the edge has profiles, and no node heard since `floor_ms` has any key newer."""
        feed = self._node.config_feed
        return feed.version(PROFILES_KEY) > 0 and all(
            feed.version(key) >= version
            for report in feed.reports.values()
            if report.received_ms >= floor_ms
            for key, version in report.versions.items()
        )
