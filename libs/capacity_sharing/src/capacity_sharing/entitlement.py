"""Which of a worker's lendable slots an edge may fill.

Each slot belongs to one of the live edges by rendezvous hashing, so edges that know of each other
never fill more than the share together and need no coordination.
"""

from collections.abc import Iterable

from membership import rendezvous_order

__all__ = ["Entitlements"]

_KEPT = 4096


class Entitlements:
    """The slots that each edge may fill, cached until the set of live edges changes."""

    __slots__ = ("_edges", "_known")

    def __init__(self) -> None:
        self._edges: frozenset[str] = frozenset()
        self._known: dict[tuple[str, int], int] = {}

    def slots(self, edge: str, edges: Iterable[str], worker: str, lendable: int) -> int:
        """Return how many of a worker's lendable slots `edge` may fill.

        `edges` are the identities of all live edges, `edge` among them.
        """
        edges = frozenset(edges)
        if edges != self._edges or len(self._known) > _KEPT:
            self._edges, self._known = edges, {}
        key = (worker, lendable)
        if key not in self._known:
            self._known[key] = sum(
                1
                for slot in range(lendable)
                if rendezvous_order(f"{worker}#{slot}", edges)[0] == edge
            )
        return self._known[key]
