"""Measurement of live calls beside rollouts and a loan of a whole worker, with real processes.

Runs have bursts of live calls and an overnight job, and are paired with runs without rollouts. The
figures come from the responses to clients, and from the workers' records of what they ran.
"""

import asyncio
import json
import random
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from testbed.fleet import Fleet, wait_until
from testbed.report import quantiles
from testbed.traffic import TREE

__all__ = ["measure_rollouts"]

_SHAPE = {"edges": 2, "stores": 3, "control": 3, "workers": 4}
_CALLS_PER_S = 22.0
_NIGHT_S = 12.0
_WORKER = ("--slots", "4", "--token-ms", "15", "--tokens", "16")
_SETTINGS = {"load_window_ms": 3000}


def _tree(lends: bool) -> dict[str, Any]:
    rows = {"rollouts": {"parent": "base", "loan_share": 1.0 if lends else 0.0}}
    return {"profiles": {**TREE["profiles"], **rows}}


async def _measure_first_event(
    fleet: Fleet, rng: random.Random, number: int, seen: list[tuple[float, str]]
) -> None:
    edge, began = rng.choice(fleet.with_role("edge")).http, time.perf_counter()
    first_ms, end = 0.0, ""
    try:
        async with fleet.session.post(
            f"http://{edge}/v1/completions",
            json={"model": "rulings", "prompt": f"call {number}", "stream": True},
        ) as answer:
            async for line in answer.content:
                first_ms = first_ms or (time.perf_counter() - began) * 1000
                end = line.decode().strip() or end
        seen.append((first_ms, "whole" if end == "data: [DONE]" else f"{answer.status}"))
    except (TimeoutError, OSError) as error:
        seen.append((first_ms, type(error).__name__))


async def _send_keyed_call(fleet: Fleet, rng: random.Random, key: str, statuses: Counter) -> None:
    """Send a keyed call twice, as a client does after a time-out; count the statuses."""
    for _ in range(2):
        status, _ = await fleet.request(
            "POST",
            rng.choice(fleet.with_role("edge")).http,
            "/v1/completions",
            {"model": "moves", "prompt": f"key {key}"},
            {"Idempotency-Key": key},
        )
        statuses[status] += 1


async def _borrow_worker(fleet: Fleet, until_s: float) -> list[str]:
    """Borrow a worker and return it one second after it is lent; return the steps seen.

    A loan is requested every 0.5 s until `until_s`, a time of `perf_counter`, or until it is
    accepted.
    """
    control, steps = fleet.with_role("control")[0].http, []
    while time.perf_counter() < until_s:
        status, body = await fleet.request(
            "PUT", control, "/loans/worker1", {"borrower": "trainer", "weights": "w1"}
        )
        if status == 200:
            break
        await asyncio.sleep(0.5)
    else:
        return ["no worker was lent"]
    began = time.perf_counter()
    while time.perf_counter() < until_s + 10:
        row = (await fleet.get(fleet.with_role("control")[0], "/loans"))[1]["loans"]["worker1"]
        steps += [row["state"]] if row["state"] not in steps[-1:] else []
        if row["state"] in ("lent", "recalled"):
            took_ms = (time.perf_counter() - began) * 1000
            await asyncio.sleep(1.0)
            status, _ = await fleet.request(
                "POST", control, "/loans/worker1/returned", {"loan": row["loan"], "weights": "w1"}
            )
            return [*steps, f"lent after {took_ms:.0f} ms, handed back: {status}"]
        if row["state"] == "serving":
            return [*steps, "withdrawn"]
        await asyncio.sleep(0.05)
    return steps


async def _measure_run(folder: str, seconds: float, seed: int, lends: bool, port: int) -> str:
    rng, seen, moves, tasks = random.Random(seed), [], Counter(), []
    async with Fleet(folder, {**_SHAPE, "workers": 0}, port, settings=_SETTINGS) as fleet:
        for index in range(_SHAPE["workers"]):
            fleet.add_worker(f"worker{index + 1}", *_WORKER).start()
        await fleet.bootstrap(_tree(lends))
        await fleet.wait_for_workers(_SHAPE["workers"])
        edge = fleet.with_role("edge")[0].http
        if lends:
            call = {
                "path": "rollouts",
                "weights": "w1",
                "samples": 4,
                "prompts": [
                    {"prompt": f"sample {index}", "max_tokens": 60}
                    for index in range(int(6 * seconds))
                ],
            }
            for _ in range(2):
                assert (await fleet.request("PUT", edge, "/rollouts/r1", call))[0] in (200, 201)
        began = time.perf_counter()
        loan = (
            asyncio.ensure_future(_borrow_worker(fleet, began + seconds + _NIGHT_S))
            if lends
            else None
        )
        items = [{"prompt": f"item {index}"} for index in range(60)]
        assert (
            await fleet.request(
                "PUT",
                edge,
                "/lots/overnight",
                {"path": "summaries", "items": items, "due_ms": 10_000},
            )
        )[0] == 201
        job_began, number = time.perf_counter(), 0
        while (now := time.perf_counter() - began) < seconds:
            number += 1
            work = (
                _send_keyed_call(fleet, rng, f"m{seed}-{number}", moves)
                if number % 6 == 0
                else _measure_first_event(fleet, rng, number, seen)
            )
            tasks.append(asyncio.ensure_future(work))
            await asyncio.sleep(rng.expovariate(_CALLS_PER_S * (1.3 if now % 2 < 0.6 else 0.9)))
        job_ms = 0.0
        while not job_ms:
            _, shown = await fleet.request("GET", edge, "/lots/overnight")
            job_ms = (
                (time.perf_counter() - job_began) * 1000 if shown.get("state") == "done" else 0.0
            )
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
        lines = await _check_results(fleet, lends, Path(folder))
        loan_steps = "; ".join(await loan) if loan is not None else ""
    good = sorted(first_ms for first_ms, outcome in seen if outcome == "whole")
    return "\n".join(
        [
            f"{'with' if lends else 'without'} rollouts: {len(seen)} streams, "
            f"{Counter(outcome for _, outcome in seen)}; "
            f"moves {dict(moves)}; lot done by {job_ms:.0f} ms",
            f"  first events ms: {quantiles(good)}; over 300 ms: {sum(one > 300 for one in good)}",
            *lines,
            *([f"  loan: {loan_steps}"] if loan_steps else []),
        ]
    )


def _runs(folder: Path) -> list[dict[str, Any]]:
    return [
        row
        for path in folder.glob("*.runs")
        for row in map(json.loads, path.read_text().splitlines())
        if row["kind"] == "run"
    ]


async def _check_results(fleet: Fleet, lends: bool, folder: Path) -> list[str]:
    keys = Counter(row["prompt"] for row in _runs(folder) if row["prompt"].startswith("key "))
    lines = [
        f"  moves that ran: {len(keys)}, more than once: "
        f"{sum(count > 1 for count in keys.values())}"
    ]
    if not lends:
        return lines
    edge = fleet.with_role("edge")[-1].http

    async def done_rollout() -> Any:
        shown = (await fleet.request("GET", edge, "/rollouts/r1"))[1]
        return shown if shown.get("state") == "done" else None

    shown = await wait_until(done_rollout, 90_000, "the rollout is done", 200)
    rows: list[dict[str, Any]] = []
    while len(rows) < shown["total"]:
        rows += (await fleet.request("GET", edge, f"/rollouts/r1/results?from={len(rows)}"))[1][
            "results"
        ]
    correct = sum(
        row["index"] == index
        and (row["body"]["prompt"], row["body"]["sample"]) == divmod(index, 4)
        and row["body"]["weights"] == "w1"
        and len(row["body"]["text"].split()) == 60
        for index, row in enumerate(rows)
    )
    cancelled = sum(
        line.count('"sample-given-up"')
        for path in folder.glob("edge*.log")
        for line in path.read_text().splitlines()
    )
    return [
        *lines,
        f"  samples: {shown['total']} handed in, {len(rows)} listed, {correct} whole and at their "
        "place; runs begun: "
        f"{sum(row['path'] == 'rollouts' for row in _runs(folder))}, given up: {cancelled}",
    ]


def measure_rollouts(seconds: float, repeats: int) -> str:
    """Measure pairs of runs, whose order alternates; return the report as text.

    Live calls are made for `seconds`, 22 a second times 1.3 in bursts of 0.6 s every 2 s and times
    0.9 in between.
    """
    lines = []
    for pair in range(repeats):
        for lends in (True, False) if pair % 2 else (False, True):
            with tempfile.TemporaryDirectory() as folder:
                lines.append(asyncio.run(_measure_run(folder, seconds, pair, lends, 29_500)))
    return "\n".join(lines)
