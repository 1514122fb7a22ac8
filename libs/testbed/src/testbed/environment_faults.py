"""Faults that need processes with fault injection.

They are power losses, network partitions, stepped clocks, and full and lost disks. Killing a
process acts as a power loss here: writes that it had not flushed are lost, except for those that
were drawn to reach the disk early. Each fault takes the fleet, the random generator that draws its
targets, and the traffic of the run.
"""

import asyncio
import random
import shutil
from typing import Any

from testbed.fleet import Fleet, wait_until
from testbed.fleet_operations import find_leader, restart_after, shrink_disks
from testbed.traffic import Traffic

__all__ = [
    "change_from_two_operators",
    "fill_all_disks",
    "isolate_each_role",
    "lose_disk",
    "lose_messages",
    "overload_workers",
    "partition_control",
    "partition_control_from_fleet",
    "partition_most_edges",
    "partition_one_way",
    "power_loss_after_acknowledgement",
    "power_loss_everywhere",
    "retire_leader",
    "step_clocks",
]


async def with_faults(fleet: Fleet, seconds: float, **faults: Any) -> None:
    """Inject faults for a time; `faults` are the arguments of `Fleet.inject`."""
    fleet.inject(**faults)
    await asyncio.sleep(seconds)
    fleet.inject()


async def power_loss_after_acknowledgement(
    fleet: Fleet, rng: random.Random, traffic: Traffic
) -> None:
    """Cut the power of all stores once a submitted job and a keyed call are answered.

    Each starts again 0.5 to 1.3 s later.
    """
    await asyncio.gather(traffic.submit(), traffic.live("moves", False))
    stores = fleet.with_role("store")
    for member in stores:
        member.kill()
    await asyncio.gather(*[restart_after(member, 500 + rng.randrange(800)) for member in stores])


async def power_loss_everywhere(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Cut the power of all nodes once a submitted job and a change are answered.

    Each starts again 0.5 to 2 s later.
    """
    await asyncio.gather(traffic.submit(), traffic.change())
    members = [member for member in fleet.members.values() if member.is_running]
    for member in members:
        member.kill()
    await asyncio.gather(*[restart_after(member, 500 + rng.randrange(1500)) for member in members])


async def partition_control(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Partition two control nodes from the other control nodes for 4 s."""
    control = fleet.with_role("control")
    rng.shuffle(control)
    await with_faults(fleet, 4, cuts=fleet.cuts_between(control[:2], control[2:]))


async def partition_control_from_fleet(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Partition control from edges and stores for 5 s, and kill and restart two edges meanwhile."""
    others = [member for member in fleet.members.values() if member.role != "control"]
    cut = asyncio.ensure_future(
        with_faults(fleet, 5, cuts=fleet.cuts_between(fleet.with_role("control"), others))
    )
    for member in fleet.with_role("edge")[:2]:
        await asyncio.sleep(1)
        member.kill()
        member.start()
    await cut


async def isolate_each_role(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Isolate one node of each role in turn from all other processes, for 3 s each."""
    for role in ("edge", "store", "control"):
        one = rng.choice(fleet.with_role(role))
        await with_faults(
            fleet,
            3,
            cuts=fleet.cuts_between(
                [one], [member for member in fleet.all_processes() if member is not one]
            ),
        )
        await asyncio.sleep(2)


async def partition_one_way(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Cut links in one direction, for 2.5 s each and for each role in turn.

    First no other node receives messages of one node, then another node receives none.
    """
    for role in ("edge", "store", "control"):
        one, other = rng.sample(fleet.with_role(role), 2)
        await with_faults(
            fleet,
            2.5,
            cuts=[
                (one.name, member.name) for member in fleet.members.values() if member is not one
            ],
        )
        await asyncio.sleep(1)
        await with_faults(
            fleet,
            2.5,
            cuts=[
                (member.name, other.name)
                for member in fleet.members.values()
                if member is not other
            ],
        )
        await asyncio.sleep(1.5)


async def partition_most_edges(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Partition all edges but one, with one store, from all other nodes for 8 s.

    That is longer than any time-out.
    """
    side = fleet.with_role("edge")[1:] + fleet.with_role("store")[:1]
    await with_faults(
        fleet,
        8,
        cuts=fleet.cuts_between(
            side, [member for member in fleet.members.values() if member not in side]
        ),
    )


async def step_clocks(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Step all nodes' clocks by up to an hour either way, twice, then cut the stores' power."""
    for _ in range(2):
        fleet.inject(steps={name: rng.randrange(-3_600_000, 3_600_000) for name in fleet.members})
        await asyncio.sleep(2)
    await power_loss_after_acknowledgement(fleet, rng, traffic)


async def lose_messages(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Lose a tenth of all messages for 5 s, and delay those to and from one store by 80 ms."""
    await with_faults(fleet, 5, loss=0.1, slow={rng.choice(fleet.with_role("store")).name: 80})


async def fill_all_disks(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Set the disks of stores and control nodes below what they use, for 4 s."""
    await shrink_disks(fleet, fleet.with_role("store") + fleet.with_role("control"))


async def lose_disk(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Cut the power of a store after an acknowledgement, and start it with an empty disk."""
    await asyncio.gather(traffic.submit(), traffic.live("moves", False))
    member = rng.choice(fleet.with_role("store"))
    member.kill()
    shutil.rmtree(fleet.folder / member.name)
    await restart_after(member, 1000)


async def overload_workers(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Overload all workers for 4 s with live calls, in addition to four jobs.

    A worker is killed after 1.5 s, and another one starts 2 s after that.
    """
    calls = [asyncio.ensure_future(traffic.submit()) for _ in range(4)]
    for turn in range(80):
        calls += [
            asyncio.ensure_future(traffic.live(path, path == "rulings"))
            for path in ("rulings", "flags")
            for _ in range(4)
        ]
        if turn == 30:
            rng.choice([member for member in fleet.workers.values() if member.is_running]).kill()
        if turn == 70:
            fleet.add_worker(f"worker{len(fleet.workers) + 1}").start()
            fleet.inject()
        await asyncio.sleep(0.05)
    await asyncio.gather(*calls)


async def change_from_two_operators(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Send two changes based on the same version at once, six times.

    A control node is killed after the third pair and restarted 1.5 s later.
    """
    for turn in range(6):
        version = traffic.version
        await asyncio.gather(
            traffic.change(base_version=version), traffic.change(base_version=version)
        )
        if turn == 2:
            member = rng.choice(fleet.with_role("control"))
            member.kill()
            await restart_after(member, 1500)


async def retire_leader(fleet: Fleet, rng: random.Random, traffic: Traffic) -> None:
    """Retire the log's leader while jobs run; its replacement starts only 3 s later."""
    member = await wait_until(lambda: find_leader(fleet), 10_000, "there is a leader")
    _, status_body = await fleet.get(member, "/status")
    await fleet.request(
        "POST",
        fleet.with_role("control")[0].http,
        "/retired",
        {"identity": status_body["identity"]},
    )
    await asyncio.sleep(3)
    replacement = fleet.add("store", f"store{len(fleet.members) + 1}")
    fleet.inject()
    replacement.start()

    async def replaced() -> bool:
        status, body = await fleet.get(fleet.with_role("control")[0], "/members")
        return status == 200 and status_body["identity"] not in {
            row["identity"] for row in (body["log"] or {"members": []})["members"]
        }

    await wait_until(replaced, 20_000, "the retired leader is out of the log")
    member.kill()
