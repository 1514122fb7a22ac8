"""Routing of requests to profiles, and the weighted split of a route between services.

A profile is found by the host, and then by the longest prefix of the path that ends in a slash.
"""

from bisect import bisect_right
from collections.abc import Iterable
from itertools import accumulate

__all__ = ["RouteIndex", "WeightedSplit"]


class _HostRoutes:
    """The routes of one host: names of profiles by prefix, and the longest prefix's length."""

    __slots__ = ("longest_prefix", "names")

    def __init__(self) -> None:
        self.longest_prefix = 0
        self.names: dict[str, str] = {}

    def add(self, prefix: str, name: str) -> None:
        """Add a route."""
        self.longest_prefix = max(self.longest_prefix, len(prefix))
        self.names[prefix] = name

    def find(self, path: str) -> str | None:
        """Return the name of the profile with the longest matching prefix, or None."""
        end = path.rfind("/", 0, self.longest_prefix)
        while end >= 0:
            name = self.names.get(path[: end + 1])
            if name is not None:
                return name
            end = path.rfind("/", 0, end)
        return None


class RouteIndex:
    """Finds the profile for a request among thousands of routes.

    Parameters
    ----------
    routes
        The host, the prefix and the name of the profile of each route.
    """

    __slots__ = ("_hosts",)

    def __init__(self, routes: Iterable[tuple[str, str, str]]) -> None:
        self._hosts: dict[str, _HostRoutes] = {}
        for host, prefix, name in routes:
            self._hosts.setdefault(host.lower(), _HostRoutes()).add(prefix, name)

    def find(self, host: str, path: str) -> str | None:
        """Return the name of the profile for a host and path, or None if no route matches.

        Host names are compared without regard to case. A route for the host with the port takes
        precedence; otherwise the port is ignored.
        """
        routes = (
            self._hosts.get(host)
            or self._hosts.get(host.lower())
            or self._hosts.get(host.lower().partition(":")[0])
        )
        return None if routes is None else routes.find(path.partition("?")[0])


class WeightedSplit:
    """A weighted choice between the sets of labels of several services.

    Parameters
    ----------
    shares
        The weight and the labels of each service; a service is left out unless its weight is
        greater than 0.
    """

    __slots__ = ("_bounds", "_labels")

    def __init__(self, shares: Iterable[tuple[float, frozenset[str]]]) -> None:
        positive = [(share, labels) for share, labels in shares if share > 0]
        total = sum(share for share, _ in positive)
        cumulative = accumulate(share for share, _ in positive)
        self._bounds = [bound / total for bound in cumulative][:-1]
        self._labels = [labels for _, labels in positive]

    def choose(self, number: float) -> frozenset[str]:
        """Return the labels chosen by weight for a random number, 0 <= number < 1."""
        return self._labels[bisect_right(self._bounds, number)]

    @property
    def union(self) -> frozenset[str]:
        """The union of the sets of labels that can be chosen."""
        return frozenset[str]().union(*self._labels)
