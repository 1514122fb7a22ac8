"""Routing of requests to profiles, and the weighted split of a route over services.

A profile is found by host, then by the longest prefix of the path, tried at its slashes.
"""

from bisect import bisect_right
from collections.abc import Iterable
from itertools import accumulate

__all__ = ["RouteIndex", "Split"]


class RouteIndex:
    """Finds the profile of a request among thousands of routes."""

    __slots__ = ("_hosts",)

    def __init__(self, places: Iterable[tuple[str, str, str]]) -> None:
        """`places` are a host, a prefix and a profile's name each."""
        self._hosts: dict[str, tuple[int, dict[str, str]]] = {}
        for host, prefix, name in places:
            longest, prefixes = self._hosts.get(host.lower(), (0, {}))
            prefixes[prefix] = name
            self._hosts[host.lower()] = (max(longest, len(prefix)), prefixes)

    def name(self, host: str, path: str) -> str | None:
        """Return the name of the profile for a host and path, or None if no route matches.

        Host names compare without regard to case; a port is ignored unless a route names it.
        """
        found = (
            self._hosts.get(host)
            or self._hosts.get(host.lower())
            or self._hosts.get(host.lower().partition(":")[0])
        )
        if found is None:
            return None
        longest, prefixes = found
        path = path.partition("?")[0]
        end = path.rfind("/", 0, longest)
        while end >= 0:
            name = prefixes.get(path[: end + 1])
            if name is not None:
                return name
            end = path.rfind("/", 0, end)
        return None


class Split:
    """A weighted choice among sets of labels.

    `shares` are a weight and the labels of a service each; weights that are not above 0 are left
    out.
    """

    __slots__ = ("_bounds", "_labels")

    def __init__(self, shares: Iterable[tuple[float, frozenset[str]]]) -> None:
        kept = [(share, labels) for share, labels in shares if share > 0]
        total = sum(share for share, _ in kept)
        self._bounds = [bound / total for bound in accumulate(share for share, _ in kept)][:-1]
        self._labels = [labels for _, labels in kept]

    def pick(self, number: float) -> frozenset[str]:
        """Return the labels that a number from 0 to 1 falls to, in proportion to the weights."""
        return self._labels[bisect_right(self._bounds, number)]

    @property
    def union(self) -> frozenset[str]:
        """All labels that the split can choose."""
        return frozenset().union(*self._labels)
