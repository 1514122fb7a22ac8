"""Faults that need only signals, changed settings files and further processes.

Each takes the fleet, the random generator that draws its targets, and the traffic of the run.
"""

import asyncio
import random
import signal

from testbed.fleet import Fleet, FleetProcess, wait_until
from testbed.fleet_operations import (
    find_leader,
    find_owner,
    freeze_for,
    restart_after,
    shrink_disks,
)
from testbed.traffic import Traffic

__all__ = [
    "add_slow_worker",
    "drain_edge",
    "fill_store_disks",
    "freeze_edge",
    "freeze_leader",
    "freeze_owner",
    "freeze_worker",
    "kill_all_stores",
    "kill_edge",
    "kill_everything",
    "kill_leader",
    "kill_owner",
    "kill_worker",
    "replace_all_control_nodes",
    "replace_all_workers",
    "replace_control_node",
    "replace_store",
    "retire_store",
]


async def kill_leader(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Kill the log's leader and restart it after 2.5 s."""
    if (member := await find_leader(fleet)) is not None:
        member.kill()
        await restart_after(member, 2500)


async def kill_owner(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Kill the owner of the profiles' key and restart it after 2.5 s."""
    if (member := await find_owner(fleet)) is not None:
        member.kill()
        await restart_after(member, 2500)


async def kill_edge(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Kill an edge and restart it after 0.8 s."""
    member = rng.choice(fleet.with_role("edge"))
    member.kill()
    await restart_after(member, 800)


async def drain_edge(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Stop an edge by SIGTERM and start it again once its process has ended."""
    member = rng.choice(fleet.with_role("edge"))
    member.signal(signal.SIGTERM)
    while member.is_running:
        await asyncio.sleep(0.1)
    member.start()


async def freeze_leader(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Stop the process of the log's leader by SIGSTOP for 4 s."""
    await freeze_for(await find_leader(fleet), 4000)


async def freeze_owner(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Stop the process of the owner of the profiles' key by SIGSTOP for 3 s."""
    await freeze_for(await find_owner(fleet), 3000)


async def freeze_edge(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Stop the process of an edge by SIGSTOP for 3.5 s."""
    await freeze_for(rng.choice(fleet.with_role("edge")), 3500)


async def replace_store(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Kill a store for good; an empty one starts at a new address."""
    rng.choice(fleet.with_role("store")).kill()
    fleet.add("store", f"store{len(fleet.members) + 1}").start()


async def replace_control_node(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Kill a control node for good, no seed; an empty one starts at a new address."""
    rng.choice(fleet.with_role("control")[3:]).kill()
    fleet.add("control", f"control{len(fleet.members) + 1}").start()


async def replace_all_control_nodes(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Replace all control nodes, one after another.

    A new node starts and an old one is killed. The next pair waits until five voters are listed
    without the old one.
    """
    for old in fleet.with_role("control"):
        replacement = fleet.add("control", f"control{len(fleet.members) + 1}")
        replacement.start()
        _, status_body = await fleet.get(old, "/status")
        old.kill()

        async def is_replaced(
            replacement: FleetProcess = replacement, gone: str = status_body["identity"]
        ) -> bool:
            status, body = await fleet.get(replacement, "/status")
            return (
                status == 200
                and body["ready"]
                and len(body["voters"]) == 5
                and gone not in body["voters"]
            )

        await wait_until(is_replaced, 30_000, f"{replacement.name} votes in place of {old.name}")


async def add_slow_worker(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Add a worker that is healthy but takes 100 ms for each token, 50 times the usual."""
    fleet.add_worker(f"worker{len(fleet.workers) + 1}", "--token-ms", "100").start()


async def fill_store_disks(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Set the disks of all stores below what they use, for 4 s."""
    await shrink_disks(fleet, fleet.with_role("store"))


async def retire_store(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Add an empty store, then retire one of the first three."""
    fleet.add("store", f"store{len(fleet.members) + 1}").start()
    _, body = await fleet.get(rng.choice(fleet.with_role("store")[:3]), "/status")
    await fleet.request(
        "POST", fleet.with_role("control")[0].http, "/retired", {"identity": body["identity"]}
    )


async def kill_all_stores(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Kill all stores at once and restart them after 1 s."""
    stores = fleet.with_role("store")
    for member in stores:
        member.kill()
    await asyncio.gather(*[restart_after(member, 1000) for member in stores])


async def kill_everything(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Kill all nodes at once and restart them one after another, 50 ms apart, after 0.8 s."""
    members = [member for member in fleet.members.values() if member.is_running]
    for member in members:
        member.kill()
    rng.shuffle(members)
    await asyncio.gather(
        *[restart_after(member, 800 + 50 * index) for index, member in enumerate(members)]
    )


async def kill_worker(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Kill a worker for good; another one starts at a new address."""
    rng.choice([member for member in fleet.workers.values() if member.is_running]).kill()
    fleet.add_worker(f"worker{len(fleet.workers) + 1}").start()


async def freeze_worker(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Stop a worker by SIGSTOP for 5 s: its connections stay open, and it sends nothing."""
    await freeze_for(
        rng.choice([member for member in fleet.workers.values() if member.is_running]), 5000
    )


async def replace_all_workers(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Stop every worker by SIGTERM, 0.7 s apart, and start a new one for each."""
    for member in [member for member in fleet.workers.values() if member.is_running]:
        member.signal(signal.SIGTERM)
        fleet.add_worker(f"worker{len(fleet.workers) + 1}").start()
        await asyncio.sleep(0.7)
