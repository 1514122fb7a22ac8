"""Measurements of many profiles, of placement by prefix or by load alone, and of overload."""

import asyncio
import random
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from request_routing import Worker, WorkerUpdate, choose_by_prefix

from testbed.fleet import SHAPES, Fleet, wait_until
from testbed.report import quantiles
from testbed.traffic import TREE, Traffic

__all__ = ["measure_overload", "measure_prefix", "measure_routes", "wide_tree"]


def wide_tree(count: int) -> dict[str, Any]:
    """Return the tree of the traffic with `count` further profiles.

    Each tenth of them is the parent of the next nine.
    """
    rows = {
        f"route-{index}": {
            "parent": "base" if index % 10 == 0 else f"route-{index - index % 10}",
            "deadline_ms": 1000 + index,
        }
        for index in range(count)
    }
    return {"profiles": {**TREE["profiles"], **rows}}


def _memory_mb(pid: int) -> int:
    line = next(
        line
        for line in Path(f"/proc/{pid}/status").read_text().splitlines()
        if line.startswith("VmRSS")
    )
    return int(line.split()[1]) // 1024


async def _poll_ready(fleet: Fleet, durations_ms: list[float], stopping: asyncio.Event) -> None:
    while not stopping.is_set():
        began = time.perf_counter()
        await fleet.get(fleet.with_role("edge")[0], "/ready")
        durations_ms.append((time.perf_counter() - began) * 1000)
        await asyncio.sleep(0.01)


async def _wait_in_force(fleet: Fleet, version: int) -> None:
    async def everywhere() -> bool:
        reported = [
            (await fleet.get(member, "/status"))[1]["feed"]["profiles"]
            for member in fleet.with_role("edge")
        ]
        return min(reported) >= version

    await wait_until(everywhere, 10_000, f"version {version} is in force", 2)


async def _metric(fleet: Fleet, role: str, name: str) -> int:
    total = 0
    for member in fleet.with_role(role):
        _, text = await fleet.get(member, "/metrics")
        total += sum(
            int(float(line.split()[1]))
            for line in text.splitlines()
            if line.startswith(f"vaneledge_{name} ")
        )
    return total


async def _measure_routes(count: int, folder: str) -> list[str]:
    async with Fleet(folder, SHAPES["thin"], 28300) as fleet:
        await fleet.bootstrap(TREE)
        edge, control = fleet.with_role("edge")[0], fleet.with_role("control")[0].http
        lines = [f"{count} profiles; an edge's memory before {_memory_mb(edge.process.pid)} MB"]
        durations_ms: list[float] = []
        stopping = asyncio.Event()
        polling = asyncio.ensure_future(_poll_ready(fleet, durations_ms, stopping))
        for what, method, body in [("whole tree", "PUT", {"tree": wide_tree(count)})] + [
            (
                "small patch",
                "PATCH",
                {"patch": {"profiles": {f"route-{index}": {"deadline_ms": 77}}}},
            )
            for index in range(5)
        ]:
            _, reported = await fleet.request("GET", control, "/profiles")
            before = await _metric(fleet, "control", "feed_sent_bytes_total")
            began = time.perf_counter()
            status, response = await fleet.request(
                method, control, "/profiles", {"version": reported["version"], **body}
            )
            acked = (time.perf_counter() - began) * 1000
            await _wait_in_force(fleet, reported["version"] + 1)
            seen = (time.perf_counter() - began) * 1000
            sent = await _metric(fleet, "control", "feed_sent_bytes_total") - before
            lines.append(
                f"  {what}: {status}, acknowledged {acked:.0f} ms, seen in force {seen:.0f} ms, "
                f"{sent} bytes of news sent by control"
            )
        stopping.set()
        await polling
        _, text = await fleet.get(edge, "/metrics")
        worst = next(
            line for line in text.splitlines() if line.startswith("vaneledge_worst_tick_ms")
        )
        lines.append(f"  /ready meanwhile: {quantiles(durations_ms)}")
        lines.append(f"  an edge's memory after {_memory_mb(edge.process.pid)} MB; {worst}")
    return lines


def measure_routes(count: int) -> str:
    """Measure changes of a fleet with `count` further profiles; return the report as text."""
    with tempfile.TemporaryDirectory() as folder:
        return "\n".join(asyncio.run(_measure_routes(count, folder)))


def measure_prefix(
    prefixes: int = 60, workers: int = 7, cached: int = 12, calls: int = 6000
) -> str:
    """Measure placement alone, by prefix and by load; return the report as text.

    It reports cache hits and how evenly calls are distributed. A worker's cache holds `cached`
    prefixes and evicts the least recently used. Calls end in the order in which they began.
    """
    lines = [
        f"{calls} calls, {prefixes} prefixes, {workers} workers with room for {cached} each, 20 "
        "under way"
    ]
    for by_prefix in (True, False):
        rng = random.Random(1)
        pool = []
        for index in range(workers):
            update = WorkerUpdate(
                identity=f"w{index}",
                incarnation=1,
                address=f"w{index}:1",
                zone="a",
                labels=[],
                beat=1,
                running=0,
                waiting=0,
                slots=8,
                cache_use=0.0,
                leaving=False,
            )
            pool.append(Worker(update, 0))
        caches: dict[str, list[str]] = {worker.identity: [] for worker in pool}
        hits, call_counts, open_calls = 0, Counter(), []
        for _ in range(calls):
            prefix = f"p{min(rng.randrange(prefixes), rng.randrange(prefixes))}"
            if len(open_calls) >= 20:
                open_calls.pop(0).in_flight -= 1
            worker = choose_by_prefix(pool, prefix, False, "a", True, 0.0, by_prefix=by_prefix)
            worker.in_flight += 1
            open_calls.append(worker)
            call_counts[worker.identity] += 1
            cache = caches[worker.identity]
            hits += prefix in cache
            if prefix in cache:
                cache.remove(prefix)
            cache.append(prefix)
            del cache[:-cached]
        mean = calls / workers
        lines.append(
            f"  {'by prefix' if by_prefix else 'by load alone':14} {100 * hits / calls:5.1f}% "
            "hits; busiest worker "
            f"{max(call_counts.values()) / mean:.2f} of the mean, idlest "
            f"{min(call_counts.values()) / mean:.2f}"
        )
    return "\n".join(lines)


async def _measure_overload(folder: str, rates: tuple[int, ...], seconds: float) -> list[str]:
    lines = []
    async with Fleet(folder, SHAPES["thin"], 28600) as fleet:
        await fleet.bootstrap(TREE)
        await fleet.wait_for_workers(2)
        for rate in rates:
            traffic = Traffic(fleet, 1, 1.0)
            traffic.job_name = f"rate{rate}-lot"
            pending: set[asyncio.Task] = set()
            began = time.time()
            count = 0
            for _ in range(4):
                pending.add(asyncio.ensure_future(traffic.submit(1)))
            next_read_s = 0.0
            while time.time() - began < seconds:
                if time.time() - began > next_read_s:
                    next_read_s += 0.2
                    pending.update(
                        asyncio.ensure_future(traffic.read(name, 0))
                        for name, job in traffic.jobs.items()
                        if job["acked"] and not job["done_ms"]
                    )
                while count < (time.time() - began) * rate:
                    count += 1
                    pending.add(asyncio.ensure_future(traffic.live("rulings", True)))
                await asyncio.sleep(0.01)
            listed = [job["seen"] for job in traffic.jobs.values()]
            await asyncio.gather(*pending)
            outcomes = Counter()
            refused = []
            for row in traffic.history.rows_of("call"):
                outcomes[
                    row["verdict"] if not row["code"] else f"{row['verdict']} {row['code']}"
                ] += 1
                if row["verdict"] == "not_run":
                    refused.append(row["answered_ms"] - row["at_ms"])
            lines.append(f"{rate} rulings a second: {dict(outcomes)}")
            lines.append(
                f"  answered: {quantiles(traffic.latency_ms.get('rulings', []))}; refused: "
                f"{quantiles(refused)}"
            )

            async def jobs_done(traffic: Traffic = traffic) -> bool:
                await asyncio.gather(
                    *[
                        traffic.read(name, 0)
                        for name, job in traffic.jobs.items()
                        if job["acked"] and not job["done_ms"]
                    ]
                )
                return all(job["done_ms"] for job in traffic.jobs.values() if job["acked"])

            await wait_until(jobs_done, 30_000, "lots are done")
            lines.append(
                f"  lots handed in at the start: {sum(listed)} of {80 * len(listed)} results "
                "listed by the crowd's "
                f"end; {quantiles(traffic.latency_ms.get('lots of 80', []))}"
            )
    return lines


def measure_overload(rates: tuple[int, ...] = (50, 150, 300, 450), seconds: float = 4.0) -> str:
    """Measure a fleet at each of `rates`, in calls a second; return the report as text."""
    with tempfile.TemporaryDirectory() as folder:
        return "\n".join(asyncio.run(_measure_overload(folder, rates, seconds)))
