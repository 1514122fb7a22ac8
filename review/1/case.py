"""Fault: each control process that is sent an invalid configuration ends by itself."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import (
    TIMING, Site, Worker, backend, call, now, run_case, stream_route, trouble,
)  # fmt: skip

# the site's dose of bad_config: count = 3, gap_s = 1.0
INVALID_ORDERS, GAP_S = 3, 1.0
ACK_S = TIMING["ackMs"] / 1000
RESTART_DELAY_S = 0.3
ROUTES = [stream_route("r-reason", "/reason/", True, 2, 5000)]


def configuration(revision: int, valid: bool) -> bytes:
    """Return a configuration; the invalid one has a number where the list of models is due."""
    service = backend("reader")
    if not valid:
        service["engine"]["models"] = 1
    limits = {"headerBytes": 16384, "bodyBytes": 4194304, "headerWaitMs": 3000, "idleMs": 15000}
    return json.dumps(
        {"revision": revision, "routes": ROUTES, "backends": [service], "limits": limits}
    ).encode()


async def order(site: Site, base: int, revision: int, valid: bool) -> int:
    """Send an order like the users' operator: to another node after each unclear answer."""
    body, end, pause_s, node = configuration(revision, valid), now() + ACK_S, 0.1, 0
    while now() < end:
        status, _, answer = await call(
            site.control_address(node % 5),
            "PUT", "/vaneledge/settings", {"If-Match": str(base)}, body, 1.0,
        )  # fmt: skip
        kind = "valid" if valid else "invalid"
        site.record(
            f"operator: {kind} configuration {revision} at core-{node % 5}: "
            f"{status or 'no answer'} {answer.decode()}"
        )
        if status in (200, 400, 409, 412, 413, 422):
            return status
        node += 1
        await asyncio.sleep(pause_s)
        pause_s = min(1.0, pause_s * 1.5)
    return 0


async def platform(site: Site, ends: dict[str, int]) -> None:
    """Start each process again that has ended, and count how often that was."""
    while True:
        for machine in site.machines:
            if not machine.running():
                assert machine.process is not None
                ends[machine.name] = ends.get(machine.name, 0) + 1
                site.record(f"{machine.name} ended by itself (exit {machine.process.returncode})")
                await asyncio.sleep(RESTART_DELAY_S)
                machine.start(first_start=False)
        await asyncio.sleep(0.05)


async def case(site: Site) -> bool:
    worker = Worker(site, "i-7f3a91c2", 90)
    await site.start(ROUTES, [worker])
    ends: dict[str, int] = {}
    watching = asyncio.create_task(platform(site, ends))
    statuses = []
    for number in range(INVALID_ORDERS):
        if trouble():
            statuses.append(await order(site, 7, 9 + number, valid=False))
        else:
            statuses.append(400)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(5.0)
    valid = await order(site, 7, 20, valid=True)
    watching.cancel()
    thrice = sorted(name for name, count in ends.items() if count >= 3)
    site.record(f"answers to the invalid configurations: {statuses} (400 is due; 0 is none)")
    site.record(f"answer to a valid one afterwards: {valid}")
    site.record(f"processes that ended by themselves: {ends}; three times or more: {thrice}")
    needed = max(2, len(site.machines) // 10)
    if not trouble() and valid != 200:
        return True
    return len(thrice) >= needed


run_case(Path(__file__).resolve().parent, case, edges=3, net=80)
