"""One scenario ("day") of the platform, shortened to seconds.

Machines start and accept the first configuration; traffic runs during planned work and faults;
batch jobs ("lots") are finished and read again; the configuration is read back; and the oracle
checks the recorded history.
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
_BOOTSTRAP_LIMIT_S = 30.0
_MAX_ENDS = 3
_STATUS_PORT = 7721


class Day:
    """Everything that takes part in one run: machines, workers, clients, operator and history.

    Parameters
    ----------
    shape, seed
        Shape of the deployment, and the seed for all that is drawn.
    folder
        Directory for the machines' files; its previous contents are removed.
    root
        Checkout whose programs are run.
    faults
        Faults of the workers' answers, each with the share of all runs that has it.
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
        """Record a fault, or a step of the scenario, in the history."""
        self.history.add("fault", self.clock(), what=what, **fields)

    async def _get_status(self, machine: Machine, path: str) -> Any:
        """Return what the product's own status interface gives; empty if it doesn't answer."""
        try:
            async with (
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session,
                session.get(f"http://{machine.ip}:{_STATUS_PORT}{path}") as answer,
            ):
                return await answer.json()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return {}

    def _record_target(self, what: str, machine: Machine, sure: bool) -> Machine:
        self.fault(what, node=machine.name, sure=sure)
        return machine

    async def log_holder(self) -> Machine:
        """Return the store that serves the log; a random one if none reports that it does.

        The choice is recorded as a fault `holder`, `sure` unless random.
        """
        stores = [machine for machine in self.fleet.started_machines("storage") if machine.running]
        for machine in stores:
            if (await self._get_status(machine, "/status")).get("log_role") == "serving":
                return self._record_target("holder", machine, True)
        return self._record_target("holder", self.rng.choice(stores), False)

    async def key_owner(self) -> Machine:
        """Return the control machine that owns the key `profiles`; a random one if unknown.

        The choice is recorded as a fault `owner`, `sure` unless random.
        """
        core = [machine for machine in self.fleet.started_machines("core") if machine.running]
        for machine in core:
            shown = await self._get_status(machine, "/members")
            owner = shown.get("keys", {}).get("profiles", {}).get("owner")
            link = next(
                (row["link"] for row in shown.get("members", ()) if row["identity"] == owner), ""
            )
            for other in core:
                if link and link.rpartition(":")[0] == other.ip:
                    return self._record_target("owner", other, True)
        return self._record_target("owner", self.rng.choice(core), False)

    async def bootstrap(self) -> None:
        """Start all machines, and wait for the first configuration and for all edges to be ready.

        Traffic starts at most 10 s after the configuration was acknowledged, and at least 1.8 s
        after it if the edges are ready sooner.

        Raises
        ------
        AssertionError
            If a process ended by itself three times, or if the configuration isn't acknowledged
            within 30 s.
        """
        self.fleet.start_all()
        await self.worker_pool.start()
        bootstrapping = asyncio.ensure_future(self.operator.bootstrap(_BOOTSTRAP_LIMIT_S))
        while not bootstrapping.done():
            await asyncio.wait([bootstrapping], timeout=0.2)
            ends = [row["node"] for row in self.history.rows_of("own-end")]
            if any(ends.count(node) >= _MAX_ENDS for node in ends):
                bootstrapping.cancel()
                raise AssertionError(
                    f"a process ended by itself {_MAX_ENDS} times during the start; log of "
                    f"{ends[-1]}: {self.fleet.log_tail(ends[-1])}"
                )
        if not bootstrapping.result():
            raise AssertionError(
                f"the first configuration was not acknowledged within {_BOOTSTRAP_LIMIT_S} s"
            )
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
        """Send requests to each edge on routes that were added, were removed or never existed."""
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
                    self.live.run_in_background(
                        self.live.probe(machine, host, f"{path}{self.rng.getrandbits(16):x}")
                    )
            turn += 1

    async def _steps(self, steps: list[Step]) -> None:
        began_ms, tasks = self.clock(), []
        for at_s, step in steps:
            await asyncio.sleep(max(0.0, at_s - (self.clock() - began_ms) / 1000))
            self.fault(step.__name__)
            tasks.append(asyncio.ensure_future(step(self)))
        await asyncio.gather(*tasks)

    async def play(self, steps: list[Step], seconds: float) -> None:
        """Run steps, given as (seconds, step), during `seconds` of traffic; then read all again.

        All processes are killed and all connections closed at the end, also after an error.
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
            await self.bootstrap()
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
    required_rules: tuple[str, ...] = (),
    faults: tuple[tuple[str, float], ...] = (),
    root: Path | None = None,
) -> tuple[Day, dict[str, int], dict[str, list[str]]]:
    """Run a day; return it, how many rows each rule judged, and the breaches by rule.

    `required_rules` must have judged some rows, but only if no machine was starved of processor
    time for 1 s or more by other load on the host. `steps`, `seconds`, `required_rules` and
    `faults` are as `day_of` returns them; `root` defaults to the checkout that holds this file.
    """
    day = Day(shape, seed, folder, root or Path(__file__).resolve().parents[4], faults)
    await day.play(steps, seconds)
    counts, broken = judge_day(
        day.history, required_rules if starved_ms(day.history) < STARVED_MS else ()
    )
    return day, counts, broken
