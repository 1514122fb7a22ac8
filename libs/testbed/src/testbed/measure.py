"""Measurements of the replicated log and of a small fleet.

The log has a real leader, followers and disks, and a message delay as between zones. Appends are
measured that are acknowledged once replicated in memory, once committed and, for comparison, once
synced one by one. The fleet is measured with live calls with and without jobs, the time until jobs
are accepted after the leader was killed, and the time until a change of the profiles is in force.
"""

import asyncio
import os
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from batch_state import entries
from replicated_log import Leader, LocalLog, ReplicaAddress
from replicated_log.follower import Follower
from runtime import Settings, boot_ms, wall_ms
from storage import FolderDisk

from testbed.fleet import SHAPES, Fleet, wait_until
from testbed.fleet_operations import find_leader
from testbed.report import quantiles
from testbed.traffic import TREE, Traffic

__all__ = ["measure_fleet", "measure_log"]

_DELAY_S = 0.0015
"""The delay of a message between stores, in each direction."""


class _SlowDisk(FolderDisk):
    """A disk whose flushes take `sync_ms` longer, to stand for that of a slower machine."""

    sync_ms = 0.0

    def _flush(self, handles: list[int], done: Callable[[bool], None]) -> None:
        time.sleep(self.sync_ms / 1000)
        super()._flush(handles, done)


class _Store:
    def __init__(self, folder: str, name: str, sync_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self.settings = Settings(
            role="store",
            link="127.0.0.1:1",
            http="127.0.0.1:2",
            zone="a",
            seeds=["127.0.0.1:1"],
            data_folder=folder,
        )
        self.disk = _SlowDisk(os.path.join(folder, name), 1 << 30, loop.call_soon_threadsafe)
        self.disk.sync_ms = sync_ms
        self.log = LocalLog(self.disk, self.settings, boot_ms, lambda: name)
        self.follower = Follower(self.log)


async def _appends(
    append: Callable[[Callable[[], None]], None], count: int, at_once: int
) -> list[float]:
    """Make `count` appends, `at_once` of them concurrently; return their durations in ms."""
    loop = asyncio.get_running_loop()
    times_ms: list[float] = []

    async def worker(share: int) -> None:
        for _ in range(share):
            future = loop.create_future()
            began = time.perf_counter()
            append(lambda future=future: future.done() or future.set_result(None))
            await future
            times_ms.append((time.perf_counter() - began) * 1000)

    await asyncio.gather(*[worker(count // at_once) for _ in range(at_once)])
    return times_ms


async def _measure_log(count: int, body_bytes: int, sync_ms: float) -> list[str]:
    lines = []
    with tempfile.TemporaryDirectory() as folder:
        stores = {name: _Store(folder, name, sync_ms) for name in ("a", "b", "c")}
        loop = asyncio.get_running_loop()
        leader: Leader | None = None

        def send(to: str, message: Any) -> None:
            loop.call_later(
                _DELAY_S,
                stores[to].follower.receive,
                message,
                lambda receipt: loop.call_later(_DELAY_S, leader.handle_response, receipt, to),
            )

        own = stores["a"].log
        ready = loop.create_future()
        own.save_metadata(lambda ok: ready.set_result(ok), fence=1, log_epoch=1)
        await ready
        leader = Leader(
            own,
            1,
            [ReplicaAddress(store.log.identity, name) for name, store in stores.items()],
            stores["a"].settings,
            boot_ms,
            wall_ms,
            send,
            lambda fence: None,
        )
        stopping = asyncio.Event()

        async def tick() -> None:
            while not stopping.is_set():
                leader.tick()
                await asyncio.sleep(0.02)

        ticking = asyncio.ensure_future(tick())
        while not leader.adopted():
            await asyncio.sleep(0.01)
        entry = entries.KeyClosed(
            key="k", request_id="t", state="done", status=200, body="x" * body_bytes, at_ms=0
        )
        handle = os.open(os.path.join(folder, "plain"), os.O_RDWR | os.O_CREAT)

        disk = ThreadPoolExecutor(1)

        def sync() -> None:
            time.sleep(sync_ms / 1000)
            os.fsync(handle)

        def synced(done: Callable[[], None]) -> None:
            os.write(handle, b"x" * body_bytes)
            loop.run_in_executor(disk, sync).add_done_callback(lambda _: done())

        methods = {
            "held at f peers": lambda done: leader.append([entry], False, lambda outcome: done()),
            "settled on f+1 disks": lambda done: leader.append(
                [entry], True, lambda outcome: done()
            ),
            "one sync for each, one disk": synced,
        }
        for at_once in (1, 16):
            for name, append in methods.items():
                began = time.perf_counter()
                times_ms = await _appends(append, count, at_once)
                rate = len(times_ms) / (time.perf_counter() - began)
                lines.append(
                    f"  {at_once:2} at once, {name:28} {_quantiles(times_ms)}; {rate:.0f} a second"
                )
        stopping.set()
        await ticking
        os.close(handle)
        for store in stores.values():
            store.disk.close()
    return lines


def _quantiles(values: list[float]) -> str:
    rows = sorted(values)
    return ", ".join(
        f"{name} {rows[min(len(rows) - 1, int(len(rows) * share))]:.1f} ms"
        for name, share in (("50%", 0.5), ("90%", 0.9), ("99%", 0.99))
    )


def measure_log(count: int, body_bytes: int, repeats: int, sync_ms: float) -> str:
    """Measure `count` appends of each kind, `repeats` times; return the report as text.

    `sync_ms` is added to the duration of each sync, for disks slower than this machine's.
    """
    lines = [
        f"{count} appends of {body_bytes} bytes, {_DELAY_S * 1000:.1f} ms each way, {sync_ms:.1f} "
        "ms added to each sync"
    ]
    for repeat in range(repeats):
        lines.append(f"run {repeat + 1}")
        lines += asyncio.run(_measure_log(count, body_bytes, sync_ms))
    return "\n".join(lines)


async def _measure_live(traffic: Traffic, seconds: float, jobs: bool) -> list[str]:
    traffic.latency_ms.clear()
    end_at = time.time() + seconds
    pending: set[asyncio.Task] = set()
    next_job_at = 0.0
    while time.time() < end_at:
        if jobs and time.time() >= next_job_at:
            next_job_at = time.time() + 1.0
            pending.add(asyncio.ensure_future(traffic.submit()))
        pending.add(asyncio.ensure_future(traffic.live("rulings", True)))
        pending.add(asyncio.ensure_future(traffic.live("reasons", False)))
        await asyncio.sleep(0.04)
    await asyncio.gather(*pending)
    return [
        f"  {path:10} {quantiles(values)}" for path, values in sorted(traffic.latency_ms.items())
    ]


async def _measure_recovery(fleet: Fleet, traffic: Traffic) -> float:
    leader = await find_leader(fleet)
    leader.kill()
    began = time.time()

    async def accepted() -> bool:
        row = await traffic.submit(1)
        return row["outcome"] in ("admitted", "known", "waiting-room-full")

    await wait_until(accepted, 15_000, "lots are accepted again", 20)
    took = (time.time() - began) * 1000
    leader.start()
    await wait_until(lambda: fleet.all_ready(("store",)), 20_000, "the store is back")
    return took


async def _measure_change(fleet: Fleet, traffic: Traffic) -> tuple[float, float]:
    began = time.time()
    row = await traffic.change(1)
    acked = (time.time() - began) * 1000

    async def everywhere() -> bool:
        for member in fleet.with_role("edge"):
            _, body = await fleet.get(member, "/status")
            if body["feed"].get("profiles", 0) < row["version"]:
                return False
        return True

    await wait_until(everywhere, 5000, "the version is in force", 2)
    return acked, (time.time() - began) * 1000


async def _measure_fleet(seconds: float, repeats: int, folder: str) -> list[str]:
    lines = []
    async with Fleet(folder, SHAPES["thin"], 28000) as fleet:
        await fleet.bootstrap(TREE)
        await fleet.wait_for_workers(2)
        traffic = Traffic(fleet, 1, 1.0)
        for repeat in range(repeats):
            lines.append(f"run {repeat + 1}, live alone")
            lines += await _measure_live(traffic, seconds, False)
            lines.append(f"run {repeat + 1}, live with a lot of 80 each second")
            lines += await _measure_live(traffic, seconds, True)
        changes = [await _measure_change(fleet, traffic) for _ in range(10)]
        lines.append(f"a version acknowledged: {quantiles([acked for acked, _ in changes])}")
        lines.append(
            f"a version seen in force at every edge: {quantiles([seen for _, seen in changes])}"
        )
        lines.append(
            "lots accepted after the holder is killed: "
            f"{quantiles([await _measure_recovery(fleet, traffic) for _ in range(5)])}"
        )
    return lines


def measure_fleet(seconds: float, repeats: int) -> str:
    """Measure a fleet of real processes; return the report as text.

    Each of the `repeats` runs has live calls for `seconds` alone, and then beside jobs.
    """
    with tempfile.TemporaryDirectory() as folder:
        return "\n".join(asyncio.run(_measure_fleet(seconds, repeats, folder)))
