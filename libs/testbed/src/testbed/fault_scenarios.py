"""Days with fault injection around the real programs' processes.

Power cuts, network partitions, stepped clocks, full and lost disks. Here killing a process is a
power cut: what it had not flushed is gone.
"""

import asyncio
import random
import shutil
import signal
from typing import Any

from testbed.fleet import Fleet, Member, until

__all__ = ["WEATHER_DAYS"]


async def _back(member: Member, after_ms: int) -> None:
    await asyncio.sleep(after_ms / 1000)
    member.start()


async def _for(fleet: Fleet, seconds: float, **weather: Any) -> None:
    fleet.weather(**weather)
    await asyncio.sleep(seconds)
    fleet.weather()


async def power_after_receipt(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    """Cut the power of all stores as soon as a batch is accepted and a keyed call answered."""
    await asyncio.gather(traffic.hand_in(), traffic.live("moves", False))
    stores = fleet.with_role("store")
    for member in stores:
        member.kill()
    await asyncio.gather(*[_back(member, 500 + rng.randrange(800)) for member in stores])


async def power_everywhere(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    await asyncio.gather(traffic.hand_in(), traffic.change())
    members = [member for member in fleet.members.values() if member.runs]
    for member in members:
        member.kill()
    await asyncio.gather(*[_back(member, 500 + rng.randrange(1500)) for member in members])


async def control_split(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    control = fleet.with_role("control")
    rng.shuffle(control)
    await _for(fleet, 4, cuts=fleet.apart(control[:2], control[2:]))


async def control_cut_off(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    """Cut control off from all others, and meanwhile restart edges."""
    others = [member for member in fleet.members.values() if member.role != "control"]
    cut = asyncio.ensure_future(
        _for(fleet, 5, cuts=fleet.apart(fleet.with_role("control"), others))
    )
    for member in fleet.with_role("edge")[:2]:
        await asyncio.sleep(1)
        member.kill()
        member.start()
    await cut


async def isolate_each(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    for role in ("edge", "store", "control"):
        one = rng.choice(fleet.with_role(role))
        await _for(
            fleet,
            3,
            cuts=fleet.apart([one], [member for member in fleet.everyone() if member is not one]),
        )
        await asyncio.sleep(2)


async def one_way(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    """Let a machine of each role be heard by nobody, then another hear nobody."""
    for role in ("edge", "store", "control"):
        one, other = rng.sample(fleet.with_role(role), 2)
        await _for(
            fleet,
            2.5,
            cuts=[
                (one.name, member.name) for member in fleet.members.values() if member is not one
            ],
        )
        await asyncio.sleep(1)
        await _for(
            fleet,
            2.5,
            cuts=[
                (member.name, other.name)
                for member in fleet.members.values()
                if member is not other
            ],
        )
        await asyncio.sleep(1.5)


async def most_edges_cut(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    """Cut most edges and a store off from control, for longer than any timeout."""
    side = fleet.with_role("edge")[1:] + fleet.with_role("store")[:1]
    await _for(
        fleet,
        8,
        cuts=fleet.apart(side, [member for member in fleet.members.values() if member not in side]),
    )


async def clocks(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    """Step every wall clock by up to an hour either way, twice, then restart the stores."""
    for _ in range(2):
        fleet.weather(steps={name: rng.randrange(-3_600_000, 3_600_000) for name in fleet.members})
        await asyncio.sleep(2)
    await power_after_receipt(fleet, rng, traffic)


async def lossy(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    await _for(fleet, 5, loss=0.1, slow={rng.choice(fleet.with_role("store")).name: 80})


async def full(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    """Shrink the room of stores and control to almost nothing, by SIGHUP, and restore it."""
    members = fleet.with_role("store") + fleet.with_role("control")
    for room in ("disk_bytes = 65536\n", ""):
        for member in members:
            path = fleet.folder / f"{member.name}.toml"
            rows = [
                row for row in path.read_text().splitlines(True) if not row.startswith("disk_bytes")
            ]
            path.write_text("".join(rows) + room)
            member.signal(signal.SIGHUP)
        await asyncio.sleep(4 if room else 0)


async def disk_lost(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    """Cut a store's power just after an acknowledgement, and start it with an empty disk."""
    await asyncio.gather(traffic.hand_in(), traffic.live("moves", False))
    member = rng.choice(fleet.with_role("store"))
    member.kill()
    shutil.rmtree(fleet.folder / member.name)
    await _back(member, 1000)


async def crowd(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    """Overload all workers for four seconds, with batches beside the calls.

    A worker is lost in the middle, and another one starts two seconds later.
    """
    calls = [asyncio.ensure_future(traffic.hand_in()) for _ in range(4)]
    for turn in range(80):
        calls += [
            asyncio.ensure_future(traffic.live(path, path == "rulings"))
            for path in ("rulings", "flags")
            for _ in range(4)
        ]
        if turn == 30:
            rng.choice([member for member in fleet.workers.values() if member.runs]).kill()
        if turn == 70:
            fleet.add_worker(f"worker{len(fleet.workers) + 1}").start()
            fleet.weather()
        await asyncio.sleep(0.05)
    await asyncio.gather(*calls)


async def two_operators(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    """Send two trees on the same version at once, six times, while the key's owner is lost."""
    for turn in range(6):
        version = traffic.version
        await asyncio.gather(traffic.change(named=version), traffic.change(named=version))
        if turn == 2:
            member = rng.choice(fleet.with_role("control"))
            member.kill()
            await _back(member, 1500)


async def retired(fleet: Fleet, rng: random.Random, traffic: Any) -> None:
    """Retire the holder while batches run and no spare is there; the spare starts later."""
    from testbed.scenarios import find_holder

    member = await until(lambda: find_holder(fleet), 10_000, "there is a holder")
    _, shown = await fleet.get(member, "/status")
    await fleet.ask(
        "POST", fleet.with_role("control")[0].http, "/retired", {"identity": shown["identity"]}
    )
    await asyncio.sleep(3)
    fresh = fleet.add("store", f"store{len(fleet.members) + 1}")
    fleet.weather()
    fresh.start()

    async def replaced() -> bool:
        status, body = await fleet.get(fleet.with_role("control")[0], "/members")
        return status == 200 and shown["identity"] not in {
            row["identity"] for row in (body["log"] or {"members": []})["members"]
        }

    await until(replaced, 20_000, "the retired holder is out of the log")
    member.kill()


WEATHER_DAYS: dict[str, list[tuple[float, Any]]] = {
    "power": [(3, power_after_receipt), (9, power_after_receipt), (16, power_everywhere)],
    "control-split": [(3, control_split), (11, control_split)],
    "control-cut-off": [(3, control_cut_off)],
    "isolated": [(3, isolate_each)],
    "one-way": [(3, one_way)],
    "most-edges-cut": [(3, most_edges_cut)],
    "clocks": [(3, clocks)],
    "lossy": [(3, lossy)],
    "full-everywhere": [(4, full)],
    "disk-lost": [(4, disk_lost), (16, power_after_receipt)],
    "two-operators": [(3, two_operators)],
    "crowd": [(3, crowd)],
    "retired": [(3, retired)],
    "short-power": [(1, power_after_receipt), (5, isolate_each)],
}
