"""Runs a scenario on a fleet of real processes and has the oracle judge its history.

Traffic runs under the scenario's faults. After the last fault, each kind of request is tried until
it works again, acknowledged changes are sent again, and all acknowledged jobs are read.
"""

import asyncio
import random
import shutil
from collections.abc import Awaitable, Callable
from typing import Any

from simulator.history import RowKind
from simulator.oracle import judge

from testbed.fleet import SHAPES, Fleet, wait_until
from testbed.scenarios import REQUIRED_RULES, REQUIRED_RULES_BY_SCENARIO, SCENARIOS, Scenario
from testbed.traffic import TREE, Traffic

__all__ = ["run_scenario"]

_PROBE_LIMIT_MS = 12_000
_PROBE_INTERVAL_S = 0.2
_FINAL_READ_MS = 20_000
_RESENT_CHANGES = 8
_GOOD_OUTCOMES = ("finish", "replay", "admitted", "known", "waiting-room-full", "ok", "lost")
"""Outcomes that show that the service works again; some are refusals that it decided on."""


async def _probe(traffic: Traffic, limit_ms: float) -> None:
    """Try each kind of request until it works or `limit_ms` is over, and record the results."""
    began_ms = traffic.now_ms()
    tries: dict[str, Callable[[], Awaitable[dict[str, Any]]]] = {
        "live": lambda: traffic.live("rulings", True),
        "move": lambda: traffic.live("moves", False),
        "lot": lambda: traffic.submit(1),
        "change": lambda: traffic.change(1),
    }

    async def probe(what: str) -> None:
        outcome = "nothing"
        while traffic.now_ms() - began_ms < limit_ms:
            outcome = (await tries[what]())["outcome"]
            if outcome in _GOOD_OUTCOMES:
                break
            await asyncio.sleep(_PROBE_INTERVAL_S)
        traffic.history.add(
            RowKind.PROBE,
            traffic.now_ms(),
            what=what,
            worked=outcome in _GOOD_OUTCOMES,
            seen=outcome,
            after_ms=traffic.now_ms() - began_ms,
        )

    await asyncio.gather(*[probe(what) for what in tries])


async def _play(
    scenario: Scenario, fleet: Fleet, rng: random.Random, traffic: Traffic, last_s: float
) -> None:
    """Begin each fault at its time; return when `last_s` has passed and all faults have ended."""
    faults = []
    for at_s, fault in scenario.faults:
        await asyncio.sleep(max(0.0, at_s - traffic.now_ms() / 1000))
        traffic.history.add(RowKind.FAULT, traffic.now_ms(), what=fault.__name__)
        faults.append(asyncio.ensure_future(fault(fleet, rng, traffic)))
    await asyncio.sleep(max(0.0, last_s - traffic.now_ms() / 1000))
    await asyncio.gather(*faults)


async def _read_all(traffic: Traffic) -> None:
    """Read every acknowledged job; raises AssertionError if one can't be read within 20 s."""
    for job_id, job in traffic.jobs.items():
        if job["acked"]:
            await wait_until(
                lambda job_id=job_id: traffic.read(job_id, 0, True),
                _FINAL_READ_MS,
                f"{job_id} can be read",
            )


async def run_scenario(
    shape: str, day: str, seed: int, folder: str, rate: float, last_s: float, base_port: int = 24000
) -> tuple[Traffic, dict[str, list[str]]]:
    """Run a scenario for at least `last_s`; return its traffic and the breaches by rule.

    `rate` is the number of calls a second on the most frequent paths. `folder` is emptied first.
    Raises AssertionError if the fleet does not get ready or a job can't be read at the end.
    """
    shutil.rmtree(folder, ignore_errors=True)
    rng = random.Random(seed)
    scenario = SCENARIOS[day]
    async with Fleet(folder, SHAPES[shape], base_port, injection=scenario.injection) as fleet:
        await fleet.bootstrap(TREE)
        await fleet.wait_for_workers(SHAPES[shape]["workers"])
        traffic = Traffic(fleet, seed, rate)
        traffic.start()
        await _play(scenario, fleet, rng, traffic, last_s)
        await _probe(traffic, _PROBE_LIMIT_MS)
        await traffic.stop()
        await traffic.resend_acknowledged(_RESENT_CHANGES)
        await _read_all(traffic)
        traffic.take_worker_runs()
    return traffic, judge(traffic.history, REQUIRED_RULES + REQUIRED_RULES_BY_SCENARIO.get(day, ()))
