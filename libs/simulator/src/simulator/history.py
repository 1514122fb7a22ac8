"""The history of a run, as rows in the order in which they were recorded.

Rows record what clients saw and what workers did, and nothing that only the inside of the system
could know, except samples of what is in force at each edge.
"""

from typing import Any

__all__ = ["History"]


class History:
    """The rows of one run, and the settings by which the oracle judges them.

    `asked` has what the oracle's rules don't judge and the linearizability check needs: rows of
    callers that may never be answered.
    """

    __slots__ = ("asked", "rows", "settings")

    def __init__(self, **settings: Any) -> None:
        self.rows: list[dict[str, Any]] = []
        self.asked: list[dict[str, Any]] = []
        self.settings = settings

    def add(self, kind: str, at_ms: float, **fields: Any) -> dict[str, Any]:
        """Record a row at a virtual time and return it, for its outcome to be filled in later."""
        row = {"kind": kind, "at_ms": round(at_ms, 2), **fields}
        self.rows.append(row)
        return row

    def ask(self, kind: str, began_ms: float, **fields: Any) -> dict[str, Any]:
        """Note a call as it begins; `outcome` is filled in if it is answered."""
        row = {"kind": kind, "began_ms": began_ms, "outcome": "none", **fields}
        self.asked.append(row)
        return row

    def rows_of(self, kind: str) -> list[dict[str, Any]]:
        """Return the rows of a kind, in order."""
        return [row for row in self.rows if row["kind"] == kind]
