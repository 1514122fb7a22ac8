"""Which profile a request's host and path name, among thousands: by host, then by the path's slash
positions from the longest prefix that the host has. And how a route's shares split its requests.
"""

from bisect import bisect_right
from collections.abc import Iterable
from itertools import accumulate

__all__ = ["RouteIndex", "Split"]


class RouteIndex:
    __slots__ = ("_hosts",)

    def __init__(self, places: Iterable[tuple[str, str, str]]) -> None:
        """`places` are a host, a prefix and a profile's name each."""
        self._hosts: dict[str, tuple[int, dict[str, str]]] = {}
        for host, prefix, name in places:
            longest, prefixes = self._hosts.get(host.lower(), (0, {}))
            prefixes[prefix] = name
            self._hosts[host.lower()] = (max(longest, len(prefix)), prefixes)

    def name(self, host: str, path: str) -> str | None:
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
    """The labels that a number from 0 to 1 falls to, by weight."""

    __slots__ = ("_bounds", "_labels")

    def __init__(self, shares: Iterable[tuple[float, frozenset[str]]]) -> None:
        kept = [(share, labels) for share, labels in shares if share > 0]
        total = sum(share for share, _ in kept)
        self._bounds = [bound / total for bound in accumulate(share for share, _ in kept)][:-1]
        self._labels = [labels for _, labels in kept]

    def pick(self, number: float) -> frozenset[str]:
        return self._labels[bisect_right(self._bounds, number)]

    @property
    def union(self) -> frozenset[str]:
        return frozenset().union(*self._labels)
