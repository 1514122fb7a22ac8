"""How clients reach an edge: the platform's health checks and its choice of an edge.

The platform asks every edge each second whether it is ready and passes a client's connection to an
edge of its zone by a hash of the client. Nobody else decides where a client goes.
"""

import asyncio
import zlib
from typing import Any

import aiohttp
from simulator.history import History

__all__ = ["Entry"]

_MISSES = 2


class Entry:
    """The edges that the platform's health checks find ready."""

    __slots__ = ("_clock", "_fleet", "_history", "_misses", "_out", "_session", "stopping")

    def __init__(self, fleet: Any, history: History, clock: Any) -> None:
        self._fleet, self._history, self._clock = fleet, history, clock
        self._misses: dict[str, int] = {}
        self._out: set[str] = set()
        self.stopping = False

    async def poll(self) -> None:
        """Check every edge once a second until `stopping`."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=1.0),
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
        ) as self._session:
            while not self.stopping:
                await asyncio.gather(
                    asyncio.sleep(1.0),
                    *[self._ask(machine) for machine in self._fleet.with_role("edge")],
                )

    async def _ask(self, machine: Any) -> None:
        began_ms = self._clock()
        try:
            async with self._session.get(
                f"http://{machine.addresses['readiness']}/vaneledge/ready"
            ) as answer:
                ready = answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            ready = False
        self.heard(machine.name, ready)
        self._history.add("ready", began_ms, node=machine.name, ready=ready)

    def heard(self, name: str, ready: bool) -> None:
        """Take the result of a check: two failures take a node out, one success brings it back."""
        if ready:
            self._misses[name] = 0
            self._out.discard(name)
        else:
            self._misses[name] = self._misses.get(name, _MISSES - 1) + 1
            if self._misses[name] >= _MISSES:
                self._out.add(name)

    def choose(self, zone: str, client: str, attempt: int = 0) -> Any:
        """Return the edge for a client's connection, or None where there is no edge at all.

        Later attempts reach other edges. If under half of a zone's edges are ready, all are used.
        """
        edges = [machine for machine in self._fleet.everyone("edge") if not machine.removed]
        mine = [machine for machine in edges if machine.zone == zone]
        inside = [machine for machine in mine if machine.name not in self._out]
        if not inside:
            inside = [machine for machine in edges if machine.name not in self._out] or edges
        elif 2 * len(inside) < len(mine):
            inside = mine
        if not inside:
            return None
        place = zlib.crc32(client.encode()) + attempt
        return sorted(inside, key=lambda machine: machine.name)[place % len(inside)]
