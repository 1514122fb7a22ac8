"""Which version of each key the nodes have in force, as the voters learn it from digests.

A control key's owner acknowledges a version by this. With fan_out a voter also counts what other
voters report of the nodes that send their digests to them.
"""

from collections.abc import Callable
from typing import Any

from messaging import Component

__all__ = ["CONFIRMERS", "LEAST", "ROLL_KEY", "VersionTracker"]

ROLL_KEY = "fleet"
LEAST = 3
CONFIRMERS = {"profiles": ("edge", "store"), "workers": ("edge",)}


class VersionTracker(Component):
    """The part of the feed that records and counts confirmations; a subclass holds the items.

    `votes` returns whether this node is a voter. `confirmed` maps the identity of each node that
    sent a digest to its role, the time of the digest (ms of this node's clock), the number that it
    has of each key, and its link address.
    """

    __slots__ = (
        "_edges_told",
        "_lows",
        "_ranks",
        "_roll",
        "_since_ms",
        "confirmed",
        "votes",
    )

    def __init__(self) -> None:
        self.votes: Callable[[], bool] = lambda: False
        self.confirmed: dict[str, tuple[str, int, dict[str, int], str]] = {}
        self._since_ms = 1 << 60
        self._roll: tuple[int, frozenset[str]] = (0, frozenset())
        self._ranks: dict[str, int] = {}
        self._lows: dict[str, dict[str, int]] = {}
        self._edges_told: dict[str, int] = {}

    def number(self, key: str) -> int:
        """Return the number held of a key, 0 for none."""
        raise NotImplementedError

    def value(self, key: str) -> Any:
        """Return the decoded body held of a key, None for none."""
        raise NotImplementedError

    def _forget_silent(self, now_ms: int) -> list[str]:
        """Drop nodes that sent no digest for removal_timeout_ms, and return their identities."""
        silent = [
            identity
            for identity, row in self.confirmed.items()
            if now_ms - row[1] > self.node.settings.removal_timeout_ms
        ]
        for identity in silent:
            del self.confirmed[identity]
            self._ranks.pop(identity, None)
            self._lows.pop(identity, None)
            self._edges_told.pop(identity, None)
        return silent

    def lows(self) -> dict[str, int]:
        """Return for each confirmed key the lowest number among the nodes that report here."""
        floor_ms = self.node.env.now() - self.node.settings.failure_timeout_ms
        lows: dict[str, int] = {}
        for identity, (role, at_ms, numbers, _) in self.confirmed.items():
            if at_ms >= floor_ms and self._ranks.get(identity):
                for key, roles in CONFIRMERS.items():
                    if role in roles:
                        lows[key] = min(lows.get(key, 1 << 60), numbers.get(key, 0))
        return lows

    def _own_edges(self) -> int:
        floor_ms = self.node.env.now() - self.node.settings.failure_timeout_ms
        return sum(
            1
            for identity, (role, at_ms, _, _) in self.confirmed.items()
            if role == "edge" and at_ms >= floor_ms and self._ranks.get(identity) == 1
        )

    def edge_count(self) -> int:
        """Return how many edges are live.

        A voter adds up the counts of all voters; other nodes take the largest count they were told.
        """
        floor_ms = self.node.env.now() - self.node.settings.failure_timeout_ms
        told = [
            count
            for identity, count in self._edges_told.items()
            if identity in self.confirmed and self.confirmed[identity][1] >= floor_ms
        ]
        return self._own_edges() + sum(told) if self.votes() else max(told, default=0)

    def all_confirm(self, key: str, number: int, roles: tuple[str, ...], within_ms: int) -> bool:
        """Whether every live node of these roles has this number of the key in force.

        A node is live if its digest came within `within_ms`. With fan_out, nodes that report to
        another voter are counted by that voter's digest.
        """
        floor_ms = self.node.env.now() - within_ms
        if any(
            lows.get(key, number) < number
            for identity, lows in self._lows.items()
            if identity in self.confirmed and self.confirmed[identity][1] >= floor_ms
        ):
            return False
        return all(
            numbers.get(key, 0) >= number
            for identity, (role, at_ms, numbers, _) in self.confirmed.items()
            if role in roles
            and at_ms >= floor_ms
            and (self._ranks.get(identity) or not self.node.settings.fan_out)
        )

    def roll(self) -> frozenset[str]:
        """Return the roster: the link addresses of the edges and stores that are counted."""
        number = self.number(ROLL_KEY)
        if number != self._roll[0]:
            self._roll = (number, frozenset(self.value(ROLL_KEY)["links"]))
        return self._roll[1]

    @property
    def binding(self) -> bool:
        """Whether the roster is large enough for its majority to be required."""
        return len(self.roll()) >= LEAST

    def heard_links(self, within_ms: int) -> set[str]:
        """Return the link addresses of edges and stores whose digests came within `within_ms`."""
        floor_ms = self.node.env.now() - within_ms
        return {
            link
            for role, at_ms, _, link in self.confirmed.values()
            if role != "control" and at_ms >= floor_ms
        }

    def most_confirm(self, key: str, number: int, within_ms: int) -> bool:
        """Whether a majority of the roster reported this number of the key within `within_ms`.

        Always true while the roster has fewer than LEAST members: no edge serves without control by
        such a roster.
        """
        floor_ms = self.node.env.now() - within_ms
        have = {
            link
            for _, at_ms, numbers, link in self.confirmed.values()
            if at_ms >= floor_ms and numbers.get(key, 0) >= number
        }
        roll = self.roll()
        return not self.binding or 2 * len(roll & have) > len(roll)

    def listened(self, for_ms: int) -> bool:
        """Whether this node has been running without a pause for `for_ms`."""
        return self.node.env.now() - self._since_ms > for_ms
