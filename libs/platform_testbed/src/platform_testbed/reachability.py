"""Reachability of machines over time, derived from the recorded faults and first starts.

Rules with time bounds apply only to machines in contact. A machine whose process ended by itself
still counts as running, so that such an end excuses nothing.
"""

from typing import Any

from simulator.history import History

__all__ = ["Reachability", "sent_attempts"]


class Reachability:
    """Tells from the times of all faults which machines were in contact.

    A machine is out of contact from the start of a fault or planned work until `contactMs` of the
    platform's timing after its end, and for `contactMs` after its first start. All times are
    milliseconds; a method without `till_ms` answers for the moment `from_ms`.
    """

    __slots__ = ("_contact_ms", "_core_nodes", "_core_spans", "_spans_by_node")

    def __init__(self, history: History) -> None:
        self._contact_ms = history.settings["timing"]["contactMs"]
        self._spans_by_node: dict[str, list[tuple[float, float, bool]]] = {}
        self._core_spans: list[tuple[float, float, bool]] = []
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
            self._spans_by_node.setdefault(row["node"], []).append(span)
            if row["of"] in ("core", "storage"):
                self._core_spans.append(span)

    def _fault_free(
        self, spans: list[tuple[float, float, bool]], from_ms: float, till_ms: float
    ) -> bool:
        return not any(
            began <= till_ms and ended + self._contact_ms >= from_ms for began, ended, _ in spans
        )

    def core_in_contact(self, from_ms: float, till_ms: float | None = None) -> bool:
        """Return whether all core and storage machines were in contact throughout."""
        return self._fault_free(self._core_spans, from_ms, from_ms if till_ms is None else till_ms)

    def in_contact(self, node: str, from_ms: float, till_ms: float | None = None) -> bool:
        """Return whether a machine and all core and storage machines were in contact throughout."""
        till_ms = from_ms if till_ms is None else till_ms
        return self._fault_free(
            self._spans_by_node.get(node, []), from_ms, till_ms
        ) and self.core_in_contact(from_ms, till_ms)

    def slack_ms(
        self, node: str, from_ms: float, till_ms: float, stretch_ms: float
    ) -> float | None:
        """Return by how much faults extend a time bound, in milliseconds.

        Zero if the machine, the core and storage were in contact; `stretch_ms` if the machine and
        more than half of the core machines were, the latter already `stretch_ms` before; None if
        the bound doesn't apply at all.
        """
        if self.in_contact(node, from_ms, till_ms):
            return 0.0
        unavailable = [
            name
            for name in self._core_nodes
            if not self._fault_free(
                self._spans_by_node.get(name, []), from_ms - stretch_ms, till_ms
            )
        ]
        node_fault_free = self._fault_free(self._spans_by_node.get(node, []), from_ms, till_ms)
        return (
            stretch_ms if node_fault_free and 2 * len(unavailable) < len(self._core_nodes) else None
        )

    def all_in_contact(self, from_ms: float, till_ms: float | None = None) -> bool:
        """Return whether all machines were in contact throughout."""
        till_ms = from_ms if till_ms is None else till_ms
        return all(
            self._fault_free(spans, from_ms, till_ms) for spans in self._spans_by_node.values()
        )

    def has_unplanned_fault(self, from_ms: float, till_ms: float) -> bool:
        """Return whether any machine was out of contact for anything but planned work."""
        return any(
            began <= till_ms and ended + self._contact_ms >= from_ms and not planned
            for spans in self._spans_by_node.values()
            for began, ended, planned in spans
        )

    def planned_stop_times(self, node: str) -> list[float]:
        """Return the times at which planned work began on a machine."""
        return [began for began, _, planned in self._spans_by_node.get(node, []) if planned]


def sent_attempts(history: History) -> list[dict[str, Any]]:
    """Return the rows of all attempts that have ended; those never sent are left out."""
    return [row for row in history.rows_of("try") if "ended_ms" in row]
