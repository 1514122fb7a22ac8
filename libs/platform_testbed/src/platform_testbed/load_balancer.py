"""The platform's load balancer: health checks of the edges, and the choice of an edge for a client.

It asks every edge each second whether it is ready and sends a client's connection to an edge of the
client's zone by a hash of the client. Simulated clients take their edge from here only.
"""

import asyncio
import zlib
from typing import Any

import aiohttp
from simulator.history import History

__all__ = ["LoadBalancer"]

_FAILURES_TO_REMOVE = 2


class LoadBalancer:
    """Checks the edges' readiness, and chooses among those that pass.

    `fleet` provides the edges. `stopping` ends the checks after the round that is under way.
    """

    __slots__ = (
        "_clock",
        "_failed_checks",
        "_fleet",
        "_history",
        "_removed",
        "_session",
        "stopping",
    )

    def __init__(self, fleet: Any, history: History, clock: Any) -> None:
        self._fleet, self._history, self._clock = fleet, history, clock
        self._failed_checks: dict[str, int] = {}
        self._removed: set[str] = set()
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
                    *[self._check(machine) for machine in self._fleet.started_machines("edge")],
                )

    async def _check(self, machine: Any) -> None:
        began_ms = self._clock()
        try:
            async with self._session.get(
                f"http://{machine.addresses['readiness']}/vaneledge/ready"
            ) as answer:
                ready = answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            ready = False
        self.record_check(machine.name, ready)
        self._history.add("ready", began_ms, node=machine.name, ready=ready)

    def record_check(self, name: str, ready: bool) -> None:
        """Record the result of one check of an edge.

        Two failures in a row remove it, or the first one if it was never checked before; one
        success adds it again.
        """
        if ready:
            self._failed_checks[name] = 0
            self._removed.discard(name)
        else:
            self._failed_checks[name] = self._failed_checks.get(name, _FAILURES_TO_REMOVE - 1) + 1
            if self._failed_checks[name] >= _FAILURES_TO_REMOVE:
                self._removed.add(name)

    def choose(self, zone: str, client: str, attempt: int = 0) -> Any:
        """Return the edge for a client's connection, or None if there is no edge at all.

        Consecutive attempts reach different edges if there are several. If fewer than half of the
        zone's edges are ready, all of the zone are used; if none is, the ready ones of other zones,
        or else all.
        """
        edges = [machine for machine in self._fleet.current_machines("edge") if not machine.removed]
        in_zone = [machine for machine in edges if machine.zone == zone]
        candidates = [machine for machine in in_zone if machine.name not in self._removed]
        if not candidates:
            candidates = [
                machine for machine in edges if machine.name not in self._removed
            ] or edges
        elif 2 * len(candidates) < len(in_zone):
            candidates = in_zone
        if not candidates:
            return None
        slot = zlib.crc32(client.encode()) + attempt
        return sorted(candidates, key=lambda machine: machine.name)[slot % len(candidates)]
