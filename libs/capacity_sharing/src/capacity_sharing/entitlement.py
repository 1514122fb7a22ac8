"""Division of a worker's lendable slots among the edges.

Rendezvous hashing assigns each slot to one of the live edges. Edges with the same view of the live
edges and of the worker's lendable slots together fill no more than these, without coordination.
"""

from collections.abc import Iterable

from membership import rendezvous_order

__all__ = ["Entitlements"]

_MAX_CACHE_ENTRIES = 4096


class Entitlements:
    """Counts the slots assigned to an edge; cached while the set of live edges is the same."""

    __slots__ = ("_cache", "_edges")

    def __init__(self) -> None:
        self._edges: frozenset[str] = frozenset()
        self._cache: dict[tuple[str, int], int] = {}

    def slots(self, edge: str, edges: Iterable[str], worker: str, lendable: int) -> int:
        """Return how many of the `lendable` slots of a worker `edge` may fill.

        `edges` are the identities of all live edges, including `edge`.
        """
        edges = frozenset(edges)
        if edges != self._edges or len(self._cache) > _MAX_CACHE_ENTRIES:
            self._edges, self._cache = edges, {}
        key = (worker, lendable)
        if key not in self._cache:
            owners = (rendezvous_order(f"{worker}#{slot}", edges)[0] for slot in range(lendable))
            self._cache[key] = sum(1 for owner in owners if owner == edge)
        return self._cache[key]
