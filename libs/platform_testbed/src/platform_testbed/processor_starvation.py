"""Detection of processes that are starved of processor time.

On a busy host a process may be kept from running: a fault that no scenario injected and that rules
with time bounds have to allow for. The kernel counts how long each process was runnable but waited
for a processor (schedstat). When the test runner itself waits, all machines count as starved.
"""

import os
from pathlib import Path
from typing import Any

from simulator.history import History

__all__ = ["StarvationMonitor", "starved_ms"]

_WINDOW_MS = 500.0
_STARVED_SHARE = 0.2


def _read_waited_ms(pid: int) -> float | None:
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e6
    except (OSError, ValueError, IndexError):
        return None


class StarvationMonitor:
    """Records in the history when machines wait for a processor for over 20% of the time."""

    __slots__ = ("_history", "_open_rows", "_sampled_ms", "_waited_before_ms")

    def __init__(self, history: History) -> None:
        self._history = history
        self._waited_before_ms: dict[tuple[str, int], float] = {}
        self._open_rows: dict[str, dict[str, Any]] = {}
        self._sampled_ms = 0.0

    def sample(self, machines: list[Any], now_ms: float) -> None:
        """Compare, at most twice a second, how long each process waited since the last sample.

        A machine's row is opened at the start of the first interval in which it is starved and
        closed at the end of the first interval in which it isn't.
        """
        if now_ms < self._sampled_ms + _WINDOW_MS:
            return
        passed_ms, self._sampled_ms = now_ms - self._sampled_ms, now_ms
        by_process = {
            (machine.name, machine.process.pid): machine for machine in machines if machine.running
        }
        waited = {key: _read_waited_ms(key[1]) for key in [*by_process, ("", os.getpid())]}
        previous, self._waited_before_ms = (
            self._waited_before_ms,
            {key: value for key, value in waited.items() if value is not None},
        )
        starved = {
            key
            for key, value in self._waited_before_ms.items()
            if key in previous and value - previous[key] > _STARVED_SHARE * passed_ms
        }
        all_starved = ("", os.getpid()) in starved
        for key, machine in by_process.items():
            self._record(machine, all_starved or key in starved, now_ms - passed_ms, now_ms)

    def _record(self, machine: Any, starved: bool, from_ms: float, now_ms: float) -> None:
        row = self._open_rows.get(machine.name)
        if starved and row is None:
            self._open_rows[machine.name] = self._history.add(
                "trouble",
                from_ms,
                node=machine.name,
                of=machine.machine_class,
                what="starved",
                planned=False,
                till_ms=float("inf"),
            )
        elif not starved and row is not None:
            self._open_rows.pop(machine.name)["till_ms"] = round(now_ms, 2)


def starved_ms(history: History) -> float:
    """Return the longest total time for which any one machine was starved, in milliseconds."""
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
