"""The days that can be run: planned work, and every fault that can be injected on loopback.

Network partitions between machines and clock steps are tested in the simulator instead. The names
of the steps appear in the history and in reports.
"""

import asyncio
import random
from typing import Any

from platform_testbed.scenario import Day, Step

__all__ = ["PLATFORM_DAYS", "REQUIRED_RULES", "day_of"]

REQUIRED_RULES = (
    "MIXED",
    "UNASKED",
    "TWICE",
    "ORDER",
    "ROUTE",
    "CONFIG in force",
    "CONFIG never back",
    "CONFIG read back",
    "lots LOST",
    "lots TWICE",
    "lots MIXED",
    "lots ORDER",
    "lots QUOTA",
    "FAULT",
)
_ANSWER_FAULTS = (
    ("error", 0.03),
    ("short", 0.05),
    ("garbled", 0.02),
    ("surplus", 0.04),
    ("late", 0.03),
    ("cut", 0.03),
)


async def change_timeout(day: Day) -> None:
    await day.operator.change("timeout")


async def move_route(day: Day) -> None:
    await day.operator.change("move", complete=True)


async def split_route(day: Day) -> None:
    await day.operator.change("split")


async def move_back(day: Day) -> None:
    await day.operator.change("back")


async def add_route(day: Day) -> None:
    await day.operator.change("add")


async def many_routes(day: Day) -> None:
    await day.operator.change("many")


async def hang_up_edges(day: Day) -> None:
    for machine in day.fleet.started_machines("edge"):
        day.fleet.reload_settings(machine)


async def remove_route(day: Day) -> None:
    await day.operator.change("remove")


async def race(day: Day) -> None:
    await day.operator.race()


async def races(day: Day) -> None:
    for _ in range(3):
        await race(day)
        await asyncio.sleep(0.5)


async def bad_settings(day: Day) -> None:
    await day.operator.bad()


async def crash_worker(day: Day) -> None:
    await day.worker_pool.crash_one()


async def dark_worker(day: Day) -> None:
    await day.worker_pool.hang_one()


async def release_one(day: Day) -> None:
    await day.worker_pool.rolling_replace(count=1)


async def release_all(day: Day) -> None:
    await day.worker_pool.rolling_replace()


async def burst(day: Day) -> None:
    day.live.load_factor, day.jobs.load_factor = 4.0, 5.0
    await asyncio.sleep(4.0)
    day.live.load_factor = day.jobs.load_factor = 1.0


async def kill_owner(day: Day) -> None:
    await day.fleet.kill_and_restart(await day.key_owner(), 3.0)


async def kill_holder(day: Day) -> None:
    await day.fleet.kill_and_restart(await day.log_holder(), 3.0)


async def kill_edge(day: Day) -> None:
    await day.fleet.kill_and_restart(day.rng.choice(day.fleet.started_machines("edge")), 1.5)


async def freeze_holder(day: Day) -> None:
    await day.fleet.freeze(await day.log_holder(), 3.2)


async def freeze_owner(day: Day) -> None:
    await day.fleet.freeze(await day.key_owner(), 3.2)


async def freeze_edge(day: Day) -> None:
    await day.fleet.freeze(day.rng.choice(day.fleet.started_machines("edge")), 3.2)


async def wipe_store(day: Day) -> None:
    await day.fleet.kill_and_restart(await day.log_holder(), 2.0, wiped=True)


async def wipe_control(day: Day) -> None:
    await day.fleet.kill_and_restart(await day.key_owner(), 2.0, wiped=True)


async def replace_control(day: Day) -> None:
    await day.fleet.replace(await day.key_owner())


async def replace_store(day: Day) -> None:
    await day.fleet.replace(await day.log_holder())


async def roll_edges(day: Day) -> None:
    for machine in list(day.fleet.started_machines("edge")):
        await day.fleet.restart_gracefully(machine)
        await asyncio.sleep(2.5)


async def term_edge(day: Day) -> None:
    await day.fleet.restart_gracefully(day.rng.choice(day.fleet.started_machines("edge")))


async def roll_core(day: Day) -> None:
    for machine in [*day.fleet.started_machines("core"), *day.fleet.started_machines("storage")]:
        await day.fleet.restart_gracefully(machine)
        await asyncio.sleep(2.5)


async def add_store(day: Day) -> None:
    await day.fleet.join("storage")


async def add_edge(day: Day) -> None:
    await day.fleet.join("edge")


async def retire_holder(day: Day) -> None:
    """Retire a store and remove it; the store added before must hold all data by then."""
    machine = await day.log_holder()
    row = await day.operator.retire(machine.name)
    if row["state"] == "finished":
        day.fleet.remove(machine)
    else:
        raise AssertionError(f"{machine.name} did not finish retiring: {row}")


async def power_off(day: Day, wiped: int = 0) -> None:
    """Kill all processes right after an acknowledged change; restart all, `wiped` of them empty."""
    await day.operator.change("timeout")
    machines = list(day.fleet.current_machines())
    for machine in machines:
        day.fleet.kill(machine, "power")
    for machine in day.rng.sample([machine for machine in machines if machine.data_dir], wiped):
        day.fault("wipe", node=machine.name)
        day.fleet.wipe(machine)
    await asyncio.sleep(1.0)
    day.rng.shuffle(machines)
    for machine in machines:
        day.fleet.restart(machine)
    day.history.add("back", day.clock())
    await asyncio.sleep(day.deployment.timing["recoveryS"] + 3)


async def power_off_and_wipe(day: Day) -> None:
    await power_off(day, day.deployment.shape.get("machines", 1))


async def wipe_after_ack(day: Day) -> None:
    """Wipe a core machine and later a store, right after a change was acknowledged."""
    await day.operator.change("add")
    await day.fleet.kill_and_restart(await day.key_owner(), 1.0, wiped=True)
    await asyncio.sleep(day.deployment.timing["catchUpS"])
    await day.fleet.kill_and_restart(await day.log_holder(), 1.0, wiped=True)


PLATFORM_DAYS: dict[str, dict[str, Any]] = {
    "calm": {
        "seconds": 7.5,
        "required_rules": ("ACKS", "CONFIG losers"),
        "steps": [
            (0.5, change_timeout),
            (1.0, add_route),
            (1.5, move_route),
            (4.5, race),
            (5.5, bad_settings),
            (6.5, remove_route),
        ],
    },
    "ills": {"seconds": 8.0, "faults": _ANSWER_FAULTS, "steps": [(1.0, split_route)]},
    "workers": {
        "seconds": 9.0,
        "required_rules": ("DRAIN",),
        "steps": [(1.0, crash_worker), (3.0, release_one)],
    },
    "dark-worker": {"seconds": 9.0, "steps": [(1.0, dark_worker)]},
    "release": {"seconds": 12.0, "required_rules": ("DRAIN",), "steps": [(1.0, release_all)]},
    "burst": {"seconds": 8.0, "steps": [(1.0, burst)]},
    "control-killed": {
        "seconds": 10.0,
        "steps": [(1.5, kill_owner), (2.5, add_route), (7.0, add_route)],
    },
    "holder-killed": {"seconds": 10.0, "steps": [(1.5, kill_holder)]},
    "holder-frozen": {"seconds": 11.0, "steps": [(1.5, freeze_holder)]},
    "owner-frozen": {"seconds": 11.0, "steps": [(1.5, freeze_owner), (2.0, add_route)]},
    "edge-killed": {"seconds": 8.0, "steps": [(1.0, kill_edge), (4.0, freeze_edge)]},
    "power-off": {"seconds": 20.0, "required_rules": ("RECOVER",), "steps": [(2.0, power_off)]},
    "power-off-and-wipe": {
        "seconds": 20.0,
        "required_rules": ("RECOVER",),
        "steps": [(2.0, power_off_and_wipe)],
    },
    "wiped-store": {"seconds": 11.0, "steps": [(1.5, wipe_store)]},
    "wiped-control": {"seconds": 11.0, "steps": [(1.5, wipe_control), (6.0, add_route)]},
    "replaced-control": {"seconds": 12.0, "steps": [(1.5, replace_control), (8.0, add_route)]},
    "replaced-store": {"seconds": 12.0, "steps": [(1.5, replace_store)]},
    "retire": {"seconds": 14.0, "steps": [(0.5, add_store), (2.0, retire_holder)]},
    "races": {
        "seconds": 9.0,
        "required_rules": ("CONFIG losers",),
        "steps": [(1.0, races), (4.5, bad_settings)],
    },
    "many-routes": {
        "seconds": 10.0,
        "required_rules": ("CONFIG later routes",),
        "steps": [(0.5, many_routes), (3.0, hang_up_edges)],
    },
    "edges-rolled": {"seconds": 10.0, "required_rules": ("LOST",), "steps": [(1.0, roll_edges)]},
    "core-rolled": {"seconds": 20.0, "steps": [(1.0, roll_core)]},
    "wiped-after-ack": {"seconds": 14.0, "steps": [(1.5, wipe_after_ack)]},
    "drawn": {},
    "faults": {
        "seconds": 11.0,
        "required_rules": ("DRAIN",),
        "faults": _ANSWER_FAULTS,
        "steps": [
            (0.2, release_one),
            (3.4, kill_holder),
            (3.8, crash_worker),
            (7.0, kill_edge),
            (8.5, add_route),
        ],
    },
}


_DATA_FAULTS = (
    kill_owner,
    kill_holder,
    freeze_owner,
    freeze_holder,
    wipe_store,
    wipe_control,
    replace_control,
    replace_store,
)
_OTHER_STEPS = (
    crash_worker,
    dark_worker,
    release_one,
    burst,
    kill_edge,
    freeze_edge,
    term_edge,
    add_edge,
    hang_up_edges,
    change_timeout,
    move_route,
    split_route,
    add_route,
    race,
    bad_settings,
)


def _drawn_day(seed: int) -> dict[str, Any]:
    """Draw a day from a seed: two faults of machines with data, and four other steps.

    The two are about 9.5 s apart, so that the first machine has caught up before the second fault.
    Some days end with a power failure of all machines.
    """
    rng = random.Random(f"drawn/{seed}")
    steps: list[Step] = [
        (1.0 + 0.5 * rng.random() + 9.5 * index, rng.choice(_DATA_FAULTS)) for index in range(2)
    ]
    steps += [(0.5 + 17.0 * rng.random(), rng.choice(_OTHER_STEPS)) for _ in range(4)]
    with_power_failure = rng.random() < 0.4
    if with_power_failure:
        steps.append((20.0, rng.choice((power_off, power_off_and_wipe))))
    return {
        "seconds": 38.0 if with_power_failure else 20.0,
        "steps": sorted(steps, key=lambda step: step[0]),
        "faults": _ANSWER_FAULTS if rng.random() < 0.5 else (),
    }


def day_of(name: str, seed: int = 1) -> dict[str, Any]:
    """Return the steps, duration, required rules and answer faults of a day.

    `seed` matters for the day `drawn` only. KeyError if the name is unknown.
    """
    day = _drawn_day(seed) if name == "drawn" else PLATFORM_DAYS[name]
    return {
        "steps": day["steps"],
        "seconds": day["seconds"],
        "required_rules": REQUIRED_RULES + tuple(day.get("required_rules", ())),
        "faults": day.get("faults", ()),
    }
