"""The history of a run: what the outside saw and what the workers did, row by row, and nothing that
only the inside of the system could know, but for the samples of what is in force at each edge.
"""

from typing import Any

__all__ = ["History"]


class History:
    __slots__ = ("rows", "settings")

    def __init__(self, **settings: Any) -> None:
        self.rows: list[dict[str, Any]] = []
        self.settings = settings

    def add(self, kind: str, at_ms: float, **fields: Any) -> dict[str, Any]:
        row = {"kind": kind, "at_ms": round(at_ms, 2), **fields}
        self.rows.append(row)
        return row

    def of(self, kind: str) -> list[dict[str, Any]]:
        return [row for row in self.rows if row["kind"] == kind]
