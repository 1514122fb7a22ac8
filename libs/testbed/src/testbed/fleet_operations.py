"""Operations on the processes of a fleet that several faults share."""

import asyncio
import signal
import time

from testbed.fleet import Fleet, FleetProcess

__all__ = ["find_leader", "find_owner", "freeze_for", "restart_after", "shrink_disks"]

_SMALL_DISK = "disk_bytes = 65536\n"
_SMALL_DISK_S = 4


async def restart_after(member: FleetProcess, after_ms: int) -> None:
    """Restart a process that has ended, after `after_ms`."""
    await asyncio.sleep(after_ms / 1000)
    member.start()


async def freeze_for(member: FleetProcess | None, for_ms: int) -> None:
    """Stop a process by SIGSTOP for a time and record the span; does nothing for None."""
    if member is not None:
        began_at = time.time()
        member.signal(signal.SIGSTOP)
        await asyncio.sleep(for_ms / 1000)
        member.signal(signal.SIGCONT)
        member.frozen_spans.append((began_at, time.time()))


async def find_leader(fleet: Fleet) -> FleetProcess | None:
    """Return a store that reports that it leads the log, or None if there is none."""
    for member in fleet.with_role("store"):
        status, body = await fleet.get(member, "/status")
        if status == 200 and body["log_role"] == "serving":
            return member
    return None


async def find_owner(fleet: Fleet) -> FleetProcess | None:
    """Return the control node that owns the key of the profiles, or None if it is not running."""
    _, body = await fleet.get(fleet.with_role("control")[0], "/members")
    owner = body["keys"].get("profiles", {}).get("owner")
    link = next((row["link"] for row in body["members"] if row["identity"] == owner), "")
    return next((member for member in fleet.with_role("control") if member.link == link), None)


async def shrink_disks(fleet: Fleet, members: list[FleetProcess]) -> None:
    """Set the capacity of the nodes' disks below what they use, and restore it after 4 s.

    Nodes read the changed setting `disk_bytes` on SIGHUP.
    """
    for setting in (_SMALL_DISK, ""):
        for member in members:
            path = fleet.folder / f"{member.name}.toml"
            rows = [
                row for row in path.read_text().splitlines(True) if not row.startswith("disk_bytes")
            ]
            path.write_text("".join(rows) + setting)
            member.signal(signal.SIGHUP)
        await asyncio.sleep(_SMALL_DISK_S if setting else 0)
