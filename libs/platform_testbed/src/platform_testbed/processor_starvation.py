"""Which processes wait for a processor.

On a busy host a process may be kept from running, a fault that nobody injected and that rules with
time bounds allow for. The kernel counts each process's waiting (schedstat); when the runner itself
waits, every machine is held up.
"""

import os
from pathlib import Path
from typing import Any

from simulator.history import History

__all__ = ["Starved", "starved_ms"]

_WINDOW_MS = 500.0
_SHARE = 0.2


def _waited_ms(pid: int) -> float | None:
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e6
    except (OSError, ValueError, IndexError):
        return None


class Starved:
    """Records in the history when machines wait for a processor for over 20% of the time."""

    __slots__ = ("_history", "_last", "_looked_ms", "_open")

    def __init__(self, history: History) -> None:
        self._history = history
        self._last: dict[tuple[str, int], float] = {}
        self._open: dict[str, dict[str, Any]] = {}
        self._looked_ms = 0.0

    def look(self, machines: list[Any], now_ms: float) -> None:
        """Compare, twice a second, what each process has waited since the last time."""
        if now_ms < self._looked_ms + _WINDOW_MS:
            return
        passed_ms, self._looked_ms = now_ms - self._looked_ms, now_ms
        pids = {
            (machine.name, machine.process.pid): machine for machine in machines if machine.runs
        }
        waited = {key: _waited_ms(key[1]) for key in [*pids, ("", os.getpid())]}
        before, self._last = (
            self._last,
            {key: value for key, value in waited.items() if value is not None},
        )
        late = {
            key
            for key, value in self._last.items()
            if key in before and value - before[key] > _SHARE * passed_ms
        }
        everyone = ("", os.getpid()) in late
        for key, machine in pids.items():
            self._note(machine, everyone or key in late, now_ms - passed_ms, now_ms)

    def _note(self, machine: Any, late: bool, from_ms: float, now_ms: float) -> None:
        row = self._open.get(machine.name)
        if late and row is None:
            self._open[machine.name] = self._history.add(
                "trouble",
                from_ms,
                node=machine.name,
                of=machine.machine_class,
                what="starved",
                planned=False,
                till_ms=float("inf"),
            )
        elif not late and row is not None:
            self._open.pop(machine.name)["till_ms"] = round(now_ms, 2)


def starved_ms(history: History) -> float:
    """Return the longest total time for which any one machine was kept from running."""
    end_ms = max((row["at_ms"] for row in history.rows), default=0.0)
    spans: dict[str, float] = {}
    for row in history.rows_of("trouble"):
        if row["what"] == "starved":
            spans[row["node"]] = (
                spans.get(row["node"], 0.0)
                + (end_ms if row["till_ms"] == float("inf") else row["till_ms"])
                - row["at_ms"]
            )
    return max(spans.values(), default=0.0)
