"""The faults in force, in one file that the fleet's runner rewrites and every process follows.

It says which machine can't send to which, how slow and how lossy links are, and how far each
machine's wall clock is off. Machines are known by name, whichever of their addresses is meant.
"""

import asyncio
import json
import os
from pathlib import Path
from typing import Any

__all__ = ["InjectedFaults", "write_faults"]

_POLL_S = 0.02


def write_faults(
    path: Path,
    machines: dict[str, str],
    cuts: list[tuple[str, str]],
    slow: dict[str, int],
    loss: float,
    steps: dict[str, int],
) -> None:
    """Write the file atomically.

    `machines` gives the name at each address; `cuts` are pairs of names, from and to. `slow` gives
    added milliseconds by machine, `loss` the part of messages lost, `steps` the milliseconds by
    which wall clocks are off.
    """
    fresh = path.with_suffix(".tmp")
    fresh.write_text(
        json.dumps(
            {
                "machines": machines,
                "cuts": [list(pair) for pair in cuts],
                "slow": slow,
                "loss": loss,
                "steps": steps,
            }
        )
    )
    os.replace(fresh, path)


class InjectedFaults:
    """The faults in force as the machine called `name` sees them.

    `loss` is the part of messages to lose, `step_ms` how far the wall clock is off.
    """

    __slots__ = ("_cuts", "_machines", "_path", "_seen", "_slow", "loss", "name", "step_ms")

    def __init__(self, path: str, name: str) -> None:
        self._path, self.name = Path(path), name
        self._seen = 0
        self._machines: dict[str, str] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._slow: dict[str, int] = {}
        self.loss = 0.0
        self.step_ms = 0
        self.read()

    def read(self) -> None:
        """Read the file if it has changed; an unreadable one leaves the faults as they are."""
        try:
            stamp_ns = self._path.stat().st_mtime_ns
            if stamp_ns == self._seen:
                return
            told: dict[str, Any] = json.loads(self._path.read_text())
        except (OSError, ValueError):
            return
        self._seen = stamp_ns
        self._machines = told["machines"]
        self._cuts = {(one, other) for one, other in told["cuts"]}
        self._slow = told["slow"]
        self.loss = told["loss"]
        self.step_ms = told["steps"].get(self.name, 0)

    async def follow(self) -> None:
        """Read the file again every 20 ms, for as long as the process runs."""
        while True:
            self.read()
            await asyncio.sleep(_POLL_S)

    def _name(self, address: str) -> str:
        return self._machines.get(address, address)

    def lets_out(self, address: str) -> bool:
        """Return whether messages to an address leave this machine."""
        return (self.name, self._name(address)) not in self._cuts

    def lets_in(self, address: str) -> bool:
        """Return whether messages from an address reach this machine."""
        return (self._name(address), self.name) not in self._cuts

    def wait_ms(self, address: str) -> int:
        """Return the added delay of messages to an address, in milliseconds."""
        return self._slow.get(self.name, 0) + self._slow.get(self._name(address), 0)
