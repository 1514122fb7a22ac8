"""One scenario (day) of the platform in short.

Machines are started, the first configuration is taken, traffic runs with planned work and faults,
lots (batches of items) are finished and read again, the configuration is read back, and the oracle
judges the whole.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from simulator.history import History

from platform_testbed.batch_clients import JobClients
from platform_testbed.live_clients import LiveClients
from platform_testbed.load_balancer import LoadBalancer
from platform_testbed.machines import Machine, Machines
from platform_testbed.operators import Operator
from platform_testbed.oracle import judge_day
from platform_testbed.processor_starvation import starved_ms
from platform_testbed.site import Deployment
from platform_testbed.worker_pool import SimulatedWorkerPool

__all__ = ["STARVED_MS", "Day", "Step", "run_platform_day"]

Step = tuple[float, Callable[["Day"], Awaitable[Any]]]
STARVED_MS = 1000
_FOUND_S = 30.0
_ENDS = 3
_OWN_PORT = 7721


class Day:
    """Everything that takes part in one run: machines, workers, clients, operator and history.

    `ills` are the faults of the workers' answers, with the part of all runs that has each.
    """

    def __init__(
        self,
        shape: str,
        seed: int,
        folder: str,
        root: Path,
        faults: tuple[tuple[str, float], ...] = (),
    ) -> None:
        self.deployment = Deployment(shape, seed)
        self.rng = random.Random(f"day/{seed}")
        self.history = History(
            seed=seed, timing=self.deployment.timing, first_event=self.deployment.first_event
        )
        self._began_at = asyncio.get_running_loop().time()
        self.fleet = Machines(self.deployment, folder, root, self.history, self.clock)
        self.worker_pool = SimulatedWorkerPool(
            self.deployment, self.fleet, self.history, self.clock, seed, faults
        )
        self.load_balancer = LoadBalancer(self.fleet, self.history, self.clock)
        self.live = LiveClients(self.deployment, self.load_balancer, self.history, self.clock, seed)
        self.jobs = JobClients(self.deployment, self.load_balancer, self.history, self.clock, seed)
        self.operator = Operator(self.deployment, self.fleet, self.history, self.clock, seed)
        self._extra: list[str] = []

    def clock(self) -> float:
        """Return the milliseconds since the day began."""
        return (asyncio.get_running_loop().time() - self._began_at) * 1000

    def fault(self, what: str, **fields: Any) -> None:
        """Record a fault in the history."""
        self.history.add("fault", self.clock(), what=what, **fields)

    # -- who does what inside, by the product's own interface ------------------------------------

    async def _own(self, machine: Machine, path: str) -> Any:
        try:
            async with (
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session,
                session.get(f"http://{machine.ip}:{_OWN_PORT}{path}") as answer,
            ):
                return await answer.json()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return {}

    def _hit(self, what: str, machine: Machine, sure: bool) -> Machine:
        self.fault(what, node=machine.name, sure=sure)
        return machine

    async def holder(self) -> Machine:
        """Return the store that holds the log; a random one if none reports that it does."""
        stores = [machine for machine in self.fleet.started_machines("storage") if machine.running]
        for machine in stores:
            if (await self._own(machine, "/status")).get("log_role") == "serving":
                return self._hit("holder", machine, True)
        return self._hit("holder", self.rng.choice(stores), False)

    async def owner(self) -> Machine:
        """Return the control machine that owns the key `profiles`; a random one if unknown."""
        core = [machine for machine in self.fleet.started_machines("core") if machine.running]
        for machine in core:
            shown = await self._own(machine, "/members")
            owner = shown.get("keys", {}).get("profiles", {}).get("owner")
            link = next(
                (row["link"] for row in shown.get("members", ()) if row["identity"] == owner), ""
            )
            for other in core:
                if link and link.rpartition(":")[0] == other.ip:
                    return self._hit("owner", other, True)
        return self._hit("owner", self.rng.choice(core), False)

    # -- the day -------------------------------------------------------------------------------

    async def found(self) -> None:
        """Start all machines and wait for the first configuration to be taken and edges ready.

        AssertionError if processes keep ending, or if the configuration isn't taken in time.
        """
        self.fleet.start_all()
        await self.worker_pool.start()
        founding = asyncio.ensure_future(self.operator.found(_FOUND_S))
        while not founding.done():
            await asyncio.wait([founding], timeout=0.2)
            ends = [row["node"] for row in self.history.rows_of("own-end")]
            if any(ends.count(node) >= _ENDS for node in ends):
                founding.cancel()
                raise AssertionError(
                    f"processes end as soon as they start: {self.fleet.log_tail(ends[-1])}"
                )
        if not founding.result():
            raise AssertionError(f"the first configuration was not taken within {_FOUND_S} s")
        taken_ms = self.clock()
        while self.clock() < taken_ms + 10_000:
            newest = {row["node"]: row["ready"] for row in self.history.rows_of("ready")}
            if (
                all(newest.get(machine.name) for machine in self.fleet.started_machines("edge"))
                and self.clock() > taken_ms + 1800
            ):
                break
            await asyncio.sleep(0.05)
        self.history.add("traffic", self.clock())

    async def _probe(self) -> None:
        """Send requests to each edge on routes just added, just removed and never there."""
        turn = 0
        while not self.live.stopping:
            await asyncio.sleep(0.7)
            added = [
                row["pathStart"]
                for row in self.operator.settings.get("routes", ())
                if row["name"].startswith("x-")
            ]
            self._extra += [path for path in added if path not in self._extra]
            host = self.deployment.routes["lookup"]["hostname"]
            for machine in self.fleet.started_machines("edge"):
                newest = [*self._extra[-1:], f"/never{self.rng.getrandbits(16):x}/"]
                for path in {newest[turn % len(newest)], self.rng.choice(self._extra or newest)}:
                    self.live.spawn(
                        self.live.probe(machine, host, f"{path}{self.rng.getrandbits(16):x}")
                    )
            turn += 1

    async def _steps(self, steps: list[Step]) -> None:
        began_ms, running = self.clock(), []
        for at_s, step in steps:
            await asyncio.sleep(max(0.0, at_s - (self.clock() - began_ms) / 1000))
            self.fault(step.__name__)
            running.append(asyncio.ensure_future(step(self)))
        await asyncio.gather(*running)

    async def play(self, steps: list[Step], seconds: float) -> None:
        """Run steps, given as (seconds, step), beside traffic for `seconds`, then read all again.

        Whatever happens, all processes are ended and all connections closed.
        """
        background = [
            asyncio.ensure_future(work)
            for work in (
                self.fleet.watch(),
                self.fleet.refresh_control_list(),
                self.load_balancer.poll(),
            )
        ]
        try:
            await self.found()
            traffic = [
                asyncio.ensure_future(work)
                for work in (self.live.run(), self.jobs.run(), self._probe())
            ]
            await asyncio.gather(self._steps(steps), asyncio.sleep(seconds))
            self.live.stopping = True
            await self.jobs.finish(self.deployment.timing["finishS"])
            await asyncio.gather(*traffic)
            await self.operator.read_back(self.deployment.timing["contactMs"])
        finally:
            self.load_balancer.stopping = self.live.stopping = self.jobs.stopping = True
            self.fleet.close()
            for work in background:
                work.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            await self.worker_pool.close()
            await self.operator.close()


async def run_platform_day(
    shape: str,
    steps: list[Step],
    seed: int,
    folder: str,
    seconds: float,
    due: tuple[str, ...] = (),
    faults: tuple[tuple[str, float], ...] = (),
    root: Path | None = None,
) -> tuple[Day, dict[str, int], dict[str, list[str]]]:
    """Play a day; return it, how many rows each rule judged, and the breaches by rule.

    Evidence that is `due` is asked for only where no machine was long kept from running by other
    load on the host.
    """
    day = Day(shape, seed, folder, root or Path(__file__).resolve().parents[4], faults)
    await day.play(steps, seconds)
    counts, broken = judge_day(day.history, due if starved_ms(day.history) < STARVED_MS else ())
    return day, counts, broken
