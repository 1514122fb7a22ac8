"""Routing of requests to profiles, and the weighted split of a route over services.

A profile is found by host, then by the longest prefix of the path, tried at its slashes.
"""

from bisect import bisect_right
from collections.abc import Iterable
from itertools import accumulate

__all__ = ["RouteIndex", "WeightedSplit"]


class _HostRoutes:
    """The routes of one host: profile names by prefix, and the length of the longest prefix."""

    __slots__ = ("longest_prefix", "names")

    def __init__(self) -> None:
        self.longest_prefix = 0
        self.names: dict[str, str] = {}

    def add(self, prefix: str, name: str) -> None:
        """Add a route."""
        self.longest_prefix = max(self.longest_prefix, len(prefix))
        self.names[prefix] = name

    def find(self, path: str) -> str | None:
        """Return the name for the longest prefix of a path, or None."""
        end = path.rfind("/", 0, self.longest_prefix)
        while end >= 0:
            name = self.names.get(path[: end + 1])
            if name is not None:
                return name
            end = path.rfind("/", 0, end)
        return None


class RouteIndex:
    """Finds the profile of a request among thousands of routes."""

    __slots__ = ("_hosts",)

    def __init__(self, routes: Iterable[tuple[str, str, str]]) -> None:
        """`routes` are a host, a prefix and a profile's name each."""
        self._hosts: dict[str, _HostRoutes] = {}
        for host, prefix, name in routes:
            self._hosts.setdefault(host.lower(), _HostRoutes()).add(prefix, name)

    def find(self, host: str, path: str) -> str | None:
        """Return the name of the profile for a host and path, or None if no route matches.

        Host names compare without regard to case; a port is ignored unless a route names it.
        """
        routes = (
            self._hosts.get(host)
            or self._hosts.get(host.lower())
            or self._hosts.get(host.lower().partition(":")[0])
        )
        return None if routes is None else routes.find(path.partition("?")[0])


class WeightedSplit:
    """A weighted choice among sets of labels.

    `shares` are a weight and the labels of a service each; weights that are not above 0 are left
    out.
    """

    __slots__ = ("_bounds", "_labels")

    def __init__(self, shares: Iterable[tuple[float, frozenset[str]]]) -> None:
        positive = [(share, labels) for share, labels in shares if share > 0]
        total = sum(share for share, _ in positive)
        cumulative = accumulate(share for share, _ in positive)
        self._bounds = [bound / total for bound in cumulative][:-1]
        self._labels = [labels for _, labels in positive]

    def choose(self, number: float) -> frozenset[str]:
        """Return the labels that a number from 0 to 1 falls to, in proportion to the weights."""
        return self._labels[bisect_right(self._bounds, number)]

    @property
    def union(self) -> frozenset[str]:
        """All labels that the split can choose."""
        return frozenset[str]().union(*self._labels)
