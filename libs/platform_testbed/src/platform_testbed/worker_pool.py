"""The simulated workers of a day, each on a loopback address of its own, and their faults."""

import asyncio
import random
from typing import Any

from simulator.history import History

from platform_testbed.engine_messages import EngineProfile
from platform_testbed.site import Deployment
from platform_testbed.workers import SimulatedWorker

__all__ = ["SimulatedWorkerPool"]

_PORT = 8080


class SimulatedWorkerPool:
    """Starts workers and makes them crash, hang or be replaced.

    Parameters
    ----------
    fleet
        Provides the network of the addresses and the published control addresses.
    faults
        Answer faults, each with the share of all runs that has it.
    """

    def __init__(
        self,
        deployment: Deployment,
        fleet: Any,
        history: History,
        clock: Any,
        seed: int,
        faults: tuple[tuple[str, float], ...] = (),
    ) -> None:
        self.deployment, self.fleet, self.history, self.clock = deployment, fleet, history, clock
        self.rng = random.Random(f"crew/{seed}")
        self.workers: list[SimulatedWorker] = []
        self._engine = EngineProfile(
            **{name: getattr(deployment.engine, name) for name in EngineProfile.__slots__}
            | {"faults": faults}
        )
        self._addresses_used = 0

    async def start(self) -> None:
        """Start the workers of all services, spread over the zones."""
        for service, count in zip(
            self.deployment.services, self.deployment.shape["workers"], strict=True
        ):
            for index in range(count):
                await self.add(service, self.deployment.zones[index % len(self.deployment.zones)])

    async def add(self, service: str, zone: str, address: str = "") -> SimulatedWorker:
        """Start a worker, at a new address if none is given, and return it."""
        if not address:
            self._addresses_used += 1
            address = f"{self.fleet.net}.{150 + self._addresses_used % 100}:{_PORT}"
        server_id = f"i-{self.rng.getrandbits(32):08x}"
        worker = SimulatedWorker(
            server_id,
            service,
            address,
            zone,
            self._engine,
            self.history,
            self.clock,
            self.fleet.published_control_addresses,
            self.rng.getrandbits(30),
            self.fleet.name_of,
        )
        await worker.start()
        self.workers.append(worker)
        self.history.add(
            "worker", self.clock(), server=server_id, service=service, address=address, zone=zone
        )
        return worker

    def serving(self, service: str = "") -> list[SimulatedWorker]:
        """Return the workers that accept requests, of one service if given."""
        return [
            worker
            for worker in self.workers
            if worker.announced == "serving" and not worker.hung and service in ("", worker.service)
        ]

    def _pick(self) -> SimulatedWorker:
        return self.rng.choice(self.serving(self.deployment.services[0]))

    async def crash_one(self, back_s: float = 1.5) -> None:
        """Crash one worker; a new one starts at the same address `back_s` seconds later."""
        worker = self._pick()
        await worker.crash()
        await asyncio.sleep(back_s)
        await self.add(worker.service, worker.zone, worker.address)

    async def hang_one(self, for_s: float = 3.0) -> None:
        """Hang one worker for `for_s` seconds, then stop it and start one at a new address."""
        worker = self._pick()
        worker.hang()
        await asyncio.sleep(for_s)
        await worker.stop()
        await self.add(worker.service, worker.zone)

    async def rolling_replace(self, gap_s: float = 0.5, count: int = 99) -> None:
        """Replace workers of the first service, up to `count`, one after another.

        Each replacement starts before its predecessor drains, and a pause of `gap_s` seconds
        follows once the predecessor has stopped. At the end, after `reuseAfterS`, a worker of the
        second service starts at the address of the last one that left.
        """
        for worker in self.serving(self.deployment.services[0])[:count]:
            await self.add(worker.service, worker.zone)
            await worker.leave(self.deployment.timing["drainMs"])
            await asyncio.sleep(gap_s)
        await asyncio.sleep(self.deployment.timing["reuseAfterS"])
        await self.add(self.deployment.services[1], worker.zone, worker.address)

    async def close(self) -> None:
        """Stop all workers."""
        for worker in self.workers:
            await worker.stop()
