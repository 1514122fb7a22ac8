"""The history of a run: what the outside saw and what the workers did, row by row, and nothing that
only the inside of the system could know, but for the samples of what is in force at each edge.
"""

from typing import Any

__all__ = ["History"]


class History:
    """`asked` has what the oracle's rules don't judge and the linearizability check needs: rows of
    callers that may never be answered.
    """

    __slots__ = ("asked", "rows", "settings")

    def __init__(self, **settings: Any) -> None:
        self.rows: list[dict[str, Any]] = []
        self.asked: list[dict[str, Any]] = []
        self.settings = settings

    def add(self, kind: str, at_ms: float, **fields: Any) -> dict[str, Any]:
        row = {"kind": kind, "at_ms": round(at_ms, 2), **fields}
        self.rows.append(row)
        return row

    def ask(self, kind: str, began_ms: float, **fields: Any) -> dict[str, Any]:
        """Notes a call as it begins; `outcome` is filled in if it is answered."""
        row = {"kind": kind, "began_ms": began_ms, "outcome": "none", **fields}
        self.asked.append(row)
        return row

    def of(self, kind: str) -> list[dict[str, Any]]:
        return [row for row in self.rows if row["kind"] == kind]
