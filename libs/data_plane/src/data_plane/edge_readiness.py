"""Whether an edge may serve: it must be able to know that its profiles are still in force.

An edge serves while it hears of a control majority or, with control down, from most of the nodes it
knows. With the setting `cut_off` at "serve" it only has to begin with the newest profiles it can
know of, and goes on serving by these when it is partitioned.
"""

from typing import Any

from data_plane.control_keys import PROFILES_KEY

__all__ = ["EdgeReadiness"]

_NOT_CAUGHT_UP = "has not caught up with the feed"
_CUT_OFF = "cut off from control and most neighbours"


class EdgeReadiness:
    """Judges by the membership and the configuration feed of `node`, an EdgeNode."""

    __slots__ = ("_caught_up", "_node", "_started_ms", "_was_quorate")

    def __init__(self, node: Any) -> None:
        self._node = node
        self._started_ms = node.env.now()
        self._caught_up = False
        self._was_quorate = False

    def why_profiles_uncertain(self) -> str:
        """Return why the edge's profiles may not be those in force, or an empty string."""
        now_ms = self._node.env.now()
        settings = self._node.settings
        if settings.cut_off == "serve":
            return self._why_not_begun(now_ms)
        if not (self._hears_control(now_ms) or self._hears_most(now_ms)):
            return _CUT_OFF
        if not self._caught_up:
            self._caught_up = self._has_newest_profiles(now_ms - settings.contact_timeout_ms)
        return "" if self._caught_up else _NOT_CAUGHT_UP

    def _why_not_begun(self, now_ms: int) -> str:
        """Return why it can't begin, where an edge that is cut off goes on serving.

        It begins when it has profiles and knows of no newer ones, according to control or, if no
        control node can be heard, to its neighbours; from then on it serves by what it knows. A
        control node that is heard but has no majority is cut off, and so may the neighbours be.
        """
        if not self._caught_up:
            failure_timeout_ms = self._node.settings.failure_timeout_ms
            informed = (
                now_ms - self._node.config_feed.control_quorum_heard_ms <= failure_timeout_ms
                or (
                    now_ms - self._started_ms > failure_timeout_ms
                    and not self._hears_some_control()
                )
            )
            self._caught_up = informed and self._has_newest_profiles(now_ms - failure_timeout_ms)
        return "" if self._caught_up else _NOT_CAUGHT_UP

    def _hears_some_control(self) -> bool:
        """Whether any control node speaks to this one, even if without a majority."""
        heard = self._node.membership.nodes_heard_directly(self._node.settings.failure_timeout_ms)
        return any(card.role == "control" for card in heard)

    def _hears_control(self, now_ms: int) -> bool:
        """Whether a control node with a majority was heard within `contact_timeout_ms`."""
        if (
            now_ms - self._node.config_feed.control_quorum_heard_ms
            <= self._node.settings.contact_timeout_ms
        ):
            self._was_quorate = True
            return True
        return False

    def _hears_most(self, now_ms: int) -> bool:
        """Whether this edge is most likely not on the smaller side of a partition.

        Most of those on the feed's list that spoke to it lately still do, most of the whole list
        are known to live, and either it or an edge that is ready has once heard from control.
        """
        feed, contact_timeout_ms = self._node.config_feed, self._node.settings.contact_timeout_ms
        serving = feed.serving_set()
        contacts_ms = [
            feed.digest_heard_ms[identity]
            for identity, report in feed.reports.items()
            if identity in feed.digest_heard_ms and report.link in serving
        ]
        recent = sum(1 for at_ms in contacts_ms if now_ms - at_ms <= contact_timeout_ms)
        vouched = feed.needs_majority and (
            self._was_quorate or now_ms - feed.current_edge_heard_ms <= contact_timeout_ms
        )
        return (
            vouched
            and recent > 0
            and 2 * recent > len(contacts_ms)
            and 2 * len(serving & self._live_addresses()) > len(serving)
        )

    def _live_addresses(self) -> set[str]:
        """Return the addresses of the edges and stores that are known to live, itself included."""
        node = self._node
        return {node.address} | {
            card.address
            for role in ("edge", "store")
            for card in node.membership.nodes_in_role(role, 2 * node.settings.failure_timeout_ms)
        }

    def _has_newest_profiles(self, floor_ms: int) -> bool:
        """Whether it has profiles, and no key is newer at a node heard since `floor_ms`."""
        feed = self._node.config_feed
        return feed.version(PROFILES_KEY) > 0 and all(
            feed.version(key) >= version
            for report in feed.reports.values()
            if report.received_ms >= floor_ms
            for key, version in report.versions.items()
        )
