"""The faults in force, in a JSON file that the fleet's runner rewrites and every process rereads.

It has the pairs of processes that are cut off from each other, the delay and loss of messages, and
how far each wall clock is off. Processes are named, and the file has the name at each address.
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

    Parameters
    ----------
    machines
        The name of the process at each address.
    cuts
        Pairs of names, sender and receiver, between which nothing passes.
    slow
        The milliseconds by which messages to and from a process are delayed, by name.
    loss
        The share of messages between nodes that is lost, from 0 to 1.
    steps
        The milliseconds by which wall clocks are off, by name.
    """
    temporary = path.with_suffix(".tmp")
    temporary.write_text(
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
    os.replace(temporary, path)


class InjectedFaults:
    """The faults in force for the process called `name`.

    `loss` is the share of messages to lose, and `step_ms` is added to the wall clock.
    """

    __slots__ = ("_cuts", "_machines", "_mtime_ns", "_path", "_slow", "loss", "name", "step_ms")

    def __init__(self, path: str, name: str) -> None:
        self._path, self.name = Path(path), name
        self._mtime_ns = 0
        self._machines: dict[str, str] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._slow: dict[str, int] = {}
        self.loss = 0.0
        self.step_ms = 0
        self.read()

    def read(self) -> None:
        """Read the file if it has changed; if it can't be read, the faults stay as they are."""
        try:
            mtime_ns = self._path.stat().st_mtime_ns
            if mtime_ns == self._mtime_ns:
                return
            content: dict[str, Any] = json.loads(self._path.read_text())
        except (OSError, ValueError):
            return
        self._mtime_ns = mtime_ns
        self._machines = content["machines"]
        self._cuts = {(one, other) for one, other in content["cuts"]}
        self._slow = content["slow"]
        self.loss = content["loss"]
        self.step_ms = content["steps"].get(self.name, 0)

    async def follow(self) -> None:
        """Read the file again every 20 ms, for as long as the process runs."""
        while True:
            self.read()
            await asyncio.sleep(_POLL_S)

    def _name_at(self, address: str) -> str:
        return self._machines.get(address, address)

    def can_send_to(self, address: str) -> bool:
        """Return whether messages to an address leave this process."""
        return (self.name, self._name_at(address)) not in self._cuts

    def can_receive_from(self, address: str) -> bool:
        """Return whether messages from an address reach this process."""
        return (self._name_at(address), self.name) not in self._cuts

    def delay_ms(self, address: str) -> int:
        """Return the added delay of messages to an address: the delays of both ends."""
        return self._slow.get(self.name, 0) + self._slow.get(self._name_at(address), 0)
