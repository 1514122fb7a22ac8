"""Which machines were in contact at a moment, by the faults and starts that were recorded.

A rule with a time bound holds only for them. A machine that ends by itself counts as running.
"""

from typing import Any

from simulator.history import History

__all__ = ["Touch", "of_tries"]


class Touch:
    """The times of all faults, from which contact at a moment follows.

    Contact returns `contactMs` of the platform's timing after a fault's end.
    """

    __slots__ = ("_contact_ms", "_core", "_core_nodes", "_rows")

    def __init__(self, history: History) -> None:
        self._contact_ms = history.settings["timing"]["contactMs"]
        self._rows: dict[str, list[tuple[float, float, bool]]] = {}
        self._core: list[tuple[float, float, bool]] = []
        self._core_nodes = {row["node"] for row in history.rows_of("start") if row["of"] == "core"}
        starts = [
            {
                "node": row["node"],
                "of": row["of"],
                "at_ms": row["at_ms"],
                "till_ms": row["at_ms"],
                "planned": False,
            }
            for row in history.rows_of("start")
            if row["life"] == 1
        ]
        for row in [*history.rows_of("trouble"), *starts]:
            span = (row["at_ms"], row["till_ms"], row["planned"])
            self._rows.setdefault(row["node"], []).append(span)
            if row["of"] in ("core", "storage"):
                self._core.append(span)

    def _free(self, spans: list[tuple[float, float, bool]], from_ms: float, till_ms: float) -> bool:
        return not any(
            began <= till_ms and ended + self._contact_ms >= from_ms for began, ended, _ in spans
        )

    def settled(self, from_ms: float, till_ms: float | None = None) -> bool:
        """Return whether no machine of the core or storage was in a fault in this time."""
        return self._free(self._core, from_ms, from_ms if till_ms is None else till_ms)

    def machine(self, node: str, from_ms: float, till_ms: float | None = None) -> bool:
        """Return whether a machine and the core were in contact, at a moment or between two."""
        till_ms = from_ms if till_ms is None else till_ms
        return self._free(self._rows.get(node, []), from_ms, till_ms) and self.settled(
            from_ms, till_ms
        )

    def slack_ms(
        self, node: str, from_ms: float, till_ms: float, stretch_ms: float
    ) -> float | None:
        """Return what an unsettled core adds to a time bound, in milliseconds.

        Nothing while in contact, `stretch_ms` while most of the core ran on, None beyond that.
        """
        if self.machine(node, from_ms, till_ms):
            return 0.0
        away = [
            name
            for name in self._core_nodes
            if not self._free(self._rows.get(name, []), from_ms - stretch_ms, till_ms)
        ]
        mine = self._free(self._rows.get(node, []), from_ms, till_ms)
        return stretch_ms if mine and 2 * len(away) < len(self._core_nodes) else None

    def calm(self, from_ms: float, till_ms: float | None = None) -> bool:
        """Return whether no machine at all was in a fault."""
        till_ms = from_ms if till_ms is None else till_ms
        return all(self._free(spans, from_ms, till_ms) for spans in self._rows.values())

    def unplanned(self, from_ms: float, till_ms: float) -> bool:
        """Return whether any machine was in a fault that was not planned work."""
        return any(
            began <= till_ms and ended + self._contact_ms >= from_ms and not planned
            for spans in self._rows.values()
            for began, ended, planned in spans
        )

    def planned(self, node: str) -> list[float]:
        """Return the times at which a machine was told to stop."""
        return [began for began, _, planned in self._rows.get(node, []) if planned]


def of_tries(history: History) -> list[dict[str, Any]]:
    """Return the rows of all attempts that were sent."""
    return [row for row in history.rows_of("try") if "ended_ms" in row]
