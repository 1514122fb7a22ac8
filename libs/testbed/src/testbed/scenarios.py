"""Scenarios (days) for a fleet of real processes on this machine.

Traffic runs under a named schedule of faults; after the last of them service is tried, everything
is read again, and the oracle judges the whole. Each fault causes one kind of failure; those that
need fault injection around the processes are in days_weather.
"""

import asyncio
import random
import shutil
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

from simulator.oracle import judge

from testbed.fault_scenarios import WEATHER_DAYS
from testbed.fleet import SHAPES, Fleet, Member, until
from testbed.traffic import TREE, Traffic

__all__ = ["DAYS", "find_holder", "run_day"]

Fault = Callable[[Fleet, random.Random], Awaitable[None]]


async def _back(member: Member, after_ms: int) -> None:
    await asyncio.sleep(after_ms / 1000)
    member.start()


async def find_holder(fleet: Fleet) -> Member | None:
    """Return the store that holds the log, or None if none reports that it does."""
    for member in fleet.with_role("store"):
        status, body = await fleet.get(member, "/status")
        if status == 200 and body["log_role"] == "serving":
            return member
    return None


async def _owner(fleet: Fleet) -> Member | None:
    _, body = await fleet.get(fleet.with_role("control")[0], "/members")
    owner = body["keys"].get("profiles", {}).get("owner")
    link = next((row["link"] for row in body["members"] if row["identity"] == owner), "")
    return next((member for member in fleet.with_role("control") if member.link == link), None)


async def kill_holder(fleet: Fleet, rng: random.Random) -> None:
    if (member := await find_holder(fleet)) is not None:
        member.kill()
        await _back(member, 2500)


async def kill_owner(fleet: Fleet, rng: random.Random) -> None:
    if (member := await _owner(fleet)) is not None:
        member.kill()
        await _back(member, 2500)


async def kill_edge(fleet: Fleet, rng: random.Random) -> None:
    member = rng.choice(fleet.with_role("edge"))
    member.kill()
    await _back(member, 800)


async def drain_edge(fleet: Fleet, rng: random.Random) -> None:
    member = rng.choice(fleet.with_role("edge"))
    member.signal(signal.SIGTERM)
    while member.runs:
        await asyncio.sleep(0.1)
    member.start()


async def _freeze(member: Member | None, for_ms: int) -> None:
    if member is not None:
        began_at = time.time()
        member.signal(signal.SIGSTOP)
        await asyncio.sleep(for_ms / 1000)
        member.signal(signal.SIGCONT)
        member.away.append((began_at, time.time()))


async def freeze_holder(fleet: Fleet, rng: random.Random) -> None:
    await _freeze(await find_holder(fleet), 4000)


async def freeze_owner(fleet: Fleet, rng: random.Random) -> None:
    await _freeze(await _owner(fleet), 3000)


async def freeze_edge(fleet: Fleet, rng: random.Random) -> None:
    await _freeze(rng.choice(fleet.with_role("edge")), 3500)


async def swap_store(fleet: Fleet, rng: random.Random) -> None:
    """Lose a store and its disk; an empty one starts at a new address."""
    rng.choice(fleet.with_role("store")).kill()
    fleet.add("store", f"store{len(fleet.members) + 1}").start()


async def swap_control(fleet: Fleet, rng: random.Random) -> None:
    rng.choice(fleet.with_role("control")[3:]).kill()
    fleet.add("control", f"control{len(fleet.members) + 1}").start()


async def exchange_control(fleet: Fleet, rng: random.Random) -> None:
    """Replace all control nodes, one after another.

    A new one starts, an old one ends, and the next waits until the voters are complete again
    without the old one.
    """
    for old in fleet.with_role("control"):
        fresh = fleet.add("control", f"control{len(fleet.members) + 1}")
        fresh.start()
        _, shown = await fleet.get(old, "/status")
        old.kill()

        async def settled(fresh: Member = fresh, gone: str = shown["identity"]) -> bool:
            status, body = await fleet.get(fresh, "/status")
            return (
                status == 200
                and body["ready"]
                and len(body["voters"]) == 5
                and gone not in body["voters"]
            )

        await until(settled, 30_000, f"{fresh.name} votes in place of {old.name}")


async def slow_worker(fleet: Fleet, rng: random.Random) -> None:
    """Add a worker that is healthy but takes fifty times as long for each token."""
    fleet.add_worker(f"worker{len(fleet.workers) + 1}", "--token-ms", "100").start()


async def fill_disks(fleet: Fleet, rng: random.Random) -> None:
    """Shrink the room of all stores' disks below what is used, by SIGHUP, and restore it."""
    stores = fleet.with_role("store")
    for room in ("disk_bytes = 65536\n", ""):
        for member in stores:
            path = fleet.folder / f"{member.name}.toml"
            rows = [
                row for row in path.read_text().splitlines(True) if not row.startswith("disk_bytes")
            ]
            path.write_text("".join(rows) + room)
            member.signal(signal.SIGHUP)
        await asyncio.sleep(4 if room else 0)


async def retire_store(fleet: Fleet, rng: random.Random) -> None:
    """Add an empty store, then retire one that is in use."""
    fleet.add("store", f"store{len(fleet.members) + 1}").start()
    _, body = await fleet.get(rng.choice(fleet.with_role("store")[:3]), "/status")
    await fleet.ask(
        "POST", fleet.with_role("control")[0].http, "/retired", {"identity": body["identity"]}
    )


async def stores_at_once(fleet: Fleet, rng: random.Random) -> None:
    stores = fleet.with_role("store")
    for member in stores:
        member.kill()
    await asyncio.gather(*[_back(member, 1000) for member in stores])


async def all_at_once(fleet: Fleet, rng: random.Random) -> None:
    members = [member for member in fleet.members.values() if member.runs]
    for member in members:
        member.kill()
    rng.shuffle(members)
    await asyncio.gather(*[_back(member, 800 + 50 * place) for place, member in enumerate(members)])


async def kill_worker(fleet: Fleet, rng: random.Random) -> None:
    rng.choice([member for member in fleet.workers.values() if member.runs]).kill()
    fleet.add_worker(f"worker{len(fleet.workers) + 1}").start()


async def dark_worker(fleet: Fleet, rng: random.Random) -> None:
    """Let a worker fall silent: its connections stay open and nothing is sent."""
    await _freeze(rng.choice([member for member in fleet.workers.values() if member.runs]), 5000)


async def roll_workers(fleet: Fleet, rng: random.Random) -> None:
    """Replace every worker, one after another."""
    for member in [member for member in fleet.workers.values() if member.runs]:
        member.signal(signal.SIGTERM)
        fleet.add_worker(f"worker{len(fleet.workers) + 1}").start()
        await asyncio.sleep(0.7)


_PLAIN_DAYS: dict[str, list[tuple[float, Fault]]] = {
    "calm": [],
    "owner-and-holder": [(4, kill_holder), (9, kill_owner)],
    "weather": [
        (3, kill_edge),
        (5, kill_worker),
        (7, freeze_edge),
        (12, freeze_holder),
        (18, freeze_owner),
        (22, drain_edge),
        (26, kill_holder),
        (31, stores_at_once),
    ],
    "members": [(3, swap_store), (12, swap_control), (24, retire_store), (32, roll_workers)],
    "full-disks": [(4, fill_disks)],
    "control-exchange": [(3, exchange_control)],
    "slow-worker": [(3, slow_worker)],
    "dark-worker": [(3, dark_worker), (10, dark_worker)],
    "last-fault": [(4, kill_holder), (9, all_at_once)],
}
DAYS: dict[str, list[tuple[float, Any]]] = {
    **{name: [(at_s, fault) for at_s, fault in rows] for name, rows in _PLAIN_DAYS.items()},
    **WEATHER_DAYS,
}


DUE = (
    "unsafe-runs-once",
    "streams-are-whole",
    "bodies-are-whole",
    "keys-one-body",
    "workers-are-allowed",
    "versions-in-force",
    "changes-kept",
    "accepted-is-kept",
    "kept-at-the-end",
    "waiting-room-is-exact",
    "service-resumes",
    "live-in-time",
)
DUE_ON = {"calm": ("lots-in-time",), "members": ("gone-workers-get-nothing",)}


async def _probe(traffic: Traffic, limit_ms: float) -> None:
    """Try each kind of request until it works or the time is up."""
    began_ms = traffic.now_ms()
    tries: dict[str, Callable[[], Awaitable[dict[str, Any]]]] = {
        "live": lambda: traffic.live("rulings", True),
        "move": lambda: traffic.live("moves", False),
        "lot": lambda: traffic.hand_in(1),
        "change": lambda: traffic.change(1),
    }
    good = ("finish", "replay", "admitted", "known", "waiting-room-full", "ok", "lost")

    async def one(what: str) -> None:
        seen = "nothing"
        while traffic.now_ms() - began_ms < limit_ms:
            row = await tries[what]()
            seen = row["outcome"]
            if seen in good:
                break
            await asyncio.sleep(0.2)
        traffic.history.add(
            "probe",
            traffic.now_ms(),
            what=what,
            worked=seen in good,
            seen=seen,
            after_ms=traffic.now_ms() - began_ms,
        )

    await asyncio.gather(*[one(what) for what in tries])


async def run_day(
    shape: str, day: str, seed: int, folder: str, rate: float, last_s: float, base_port: int = 24000
) -> tuple[Traffic, dict[str, list[str]]]:
    """Play a day for at least `last_s`; return its traffic and the breaches by rule.

    `rate` is that of the most frequent live calls, a second. `folder` is emptied first.
    AssertionError if the fleet does not get ready or a batch can't be read at the end.
    """
    shutil.rmtree(folder, ignore_errors=True)
    rng = random.Random(seed)
    faulty = day in WEATHER_DAYS
    async with Fleet(folder, SHAPES[shape], base_port, faulty=faulty) as fleet:
        await fleet.found(TREE)
        await fleet.workers_known(SHAPES[shape]["workers"])
        traffic = Traffic(fleet, seed, rate)
        traffic.start()
        faults = []
        for at_s, fault in DAYS[day]:
            await asyncio.sleep(max(0.0, at_s - traffic.now_ms() / 1000))
            traffic.history.add("fault", traffic.now_ms(), what=fault.__name__)
            faults.append(
                asyncio.ensure_future(fault(fleet, rng, traffic) if faulty else fault(fleet, rng))
            )
        await asyncio.sleep(max(0.0, last_s - traffic.now_ms() / 1000))
        await asyncio.gather(*faults)
        await _probe(traffic, 12_000)
        await traffic.stop()
        await traffic.ask_again(8)
        for job_id, job in traffic.jobs.items():
            if job["acked"]:
                await until(
                    lambda job_id=job_id: traffic.read(job_id, 0, True),
                    20_000,
                    f"{job_id} can be read",
                )
        traffic.take_worker_runs()
    return traffic, judge(traffic.history, DUE + DUE_ON.get(day, ()))
