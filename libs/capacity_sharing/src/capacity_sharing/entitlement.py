"""Which of a worker's lendable slots an edge may fill.

Each slot belongs to one of the live edges by rendezvous hashing, so edges that know of each other
never fill more than the share together and need no coordination.
"""

from collections.abc import Iterable

from membership import rendezvous_order

__all__ = ["Entitlements"]

_MAX_CACHE_ENTRIES = 4096


class Entitlements:
    """The slots that each edge may fill, cached until the set of live edges changes."""

    __slots__ = ("_cache", "_edges")

    def __init__(self) -> None:
        self._edges: frozenset[str] = frozenset()
        self._cache: dict[tuple[str, int], int] = {}

    def slots(self, edge: str, edges: Iterable[str], worker: str, lendable: int) -> int:
        """Return how many of a worker's lendable slots `edge` may fill.

        `edges` are the identities of all live edges, `edge` among them.
        """
        edges = frozenset(edges)
        if edges != self._edges or len(self._cache) > _MAX_CACHE_ENTRIES:
            self._edges, self._cache = edges, {}
        key = (worker, lendable)
        if key not in self._cache:
            owners = (rendezvous_order(f"{worker}#{slot}", edges)[0] for slot in range(lendable))
            self._cache[key] = sum(1 for owner in owners if owner == edge)
        return self._cache[key]
