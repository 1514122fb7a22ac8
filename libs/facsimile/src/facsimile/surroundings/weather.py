"""The weather: one file that the fleet's runner rewrites and every machine reads again as it changes. It
says which machine can't speak to which, one way; how slow and how lossy pairs are; and how far each
machine's wall clock is off. Machines are known by name, whichever of their addresses is meant.
"""

import asyncio
import json
import os
from pathlib import Path
from typing import Any

__all__ = ["Weather", "write_weather"]

_POLL_S = 0.02


def write_weather(
    path: Path,
    machines: dict[str, str],
    cuts: list[tuple[str, str]],
    slow: dict[str, int],
    loss: float,
    steps: dict[str, int],
) -> None:
    """`machines` gives the name at an address; `cuts` are pairs of names, from and to."""
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


class Weather:
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
        while True:
            self.read()
            await asyncio.sleep(_POLL_S)

    def _name(self, address: str) -> str:
        return self._machines.get(address, address)

    def lets_out(self, address: str) -> bool:
        return (self.name, self._name(address)) not in self._cuts

    def lets_in(self, address: str) -> bool:
        return (self._name(address), self.name) not in self._cuts

    def wait_ms(self, address: str) -> int:
        return self._slow.get(self.name, 0) + self._slow.get(self._name(address), 0)
