"""The workers of a day, on loopback addresses of their own, and the faults that they have."""

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
    """Starts workers and lets them crash, fall silent or be replaced.

    `ills` as for Day; `fleet` gives the addresses of control.
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
        self._places = 0

    async def start(self) -> None:
        """Start the workers of all services, spread over the zones."""
        for service, count in zip(
            self.deployment.services, self.deployment.shape["workers"], strict=True
        ):
            for place in range(count):
                await self.add(service, self.deployment.zones[place % len(self.deployment.zones)])

    async def add(self, service: str, zone: str, address: str = "") -> SimulatedWorker:
        """Start a worker, at a new address if none is given, and return it."""
        if not address:
            self._places += 1
            address = f"{self.fleet.net}.{150 + self._places % 100}:{_PORT}"
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
        """Return the workers that take requests, of one service if it is given."""
        return [
            worker
            for worker in self.workers
            if worker.announced == "serving" and not worker.dark and service in ("", worker.service)
        ]

    def _one(self) -> SimulatedWorker:
        return self.rng.choice(self.serving(self.deployment.services[0]))

    async def crash(self, back_s: float = 1.5) -> None:
        """Let one worker crash; a new one starts at the same address after `back_s`."""
        worker = self._one()
        await worker.crash()
        await asyncio.sleep(back_s)
        await self.add(worker.service, worker.zone, worker.address)

    async def dark(self, for_s: float = 3.0) -> None:
        """Let one worker fall silent for `for_s`; then it ends and a new one starts elsewhere."""
        worker = self._one()
        worker.go_dark()
        await asyncio.sleep(for_s)
        await worker.stop()
        await self.add(worker.service, worker.zone)

    async def release(self, gap_s: float = 0.5, count: int = 99) -> None:
        """Replace workers of the first service one after another; the last address is reused.

        A worker of the second service is started at that address.
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
