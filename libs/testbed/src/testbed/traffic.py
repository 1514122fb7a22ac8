"""Clients and operators of a fleet of real processes, and the history that the oracle judges.

What workers ran is added from the files that they write, so runs of killed workers count too.
"""

import asyncio
import json
import random
import time
from collections import Counter
from typing import Any

import aiohttp
from control_store import check_tree, profiles_digest
from simulator.history import History

from testbed.fleet import Fleet
from testbed.traffic_responses import encode_result, read_response
from testbed.traffic_runs import add_worker_runs
from testbed.traffic_tree import TREE, WAITING_ROOM_JOBS

__all__ = ["TREE", "Traffic"]

_LIVE_CALLS = (
    ("rulings", True, 1.0),
    ("flags", False, 1.0),
    ("narrations", True, 0.5),
    ("reasons", False, 0.5),
    ("moves", False, 0.3),
)
"""Live calls: the path, whether the response is streamed, and the share of the rate."""
_CALL_TIMEOUT_S = 12.0


class Traffic:
    """The traffic of a run, with `rate` calls a second on the most frequent paths.

    `jobs` has what clients know of their jobs, by id. `outcomes` counts requests by path, verdict
    and code or outcome. `latency_ms` has the durations of live calls that ran and of jobs whose
    results were all read, by path.
    """

    def __init__(self, fleet: Fleet, seed: int, rate: float) -> None:
        self.fleet, self.rng, self.rate = fleet, random.Random(seed), rate
        self.history = History(
            seed=seed,
            room=WAITING_ROOM_JOBS,
            allowed=["gpu"],
            limits_ms={
                path: 2000 if path in ("rulings", "flags") else 5000 for path, _, _ in _LIVE_CALLS
            },
        )
        self._change_ids: dict[str, str] = {}
        self._sent: dict[str, tuple[int, dict[str, Any]]] = {}
        self.latency_ms: dict[str, list[float]] = {}
        self.outcomes: Counter = Counter()
        self.jobs: dict[str, dict[str, Any]] = {}
        self.version = 1
        self.job_name = "lot"
        self.stopping = False
        self._started_at = time.time()
        self._count = 0
        self._tasks: set[asyncio.Task] = set()

    def now_ms(self) -> float:
        """Return the milliseconds since the traffic was created."""
        return (time.time() - self._started_at) * 1000

    def _spawn(self, work: Any) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _edge(self, avoid: str = "") -> str:
        edges = [member.http for member in self.fleet.with_role("edge") if member.http != avoid]
        return self.rng.choice(edges) if edges else ""

    def start(self) -> None:
        """Start live calls, requests about jobs, changes of the profiles, and samples of nodes."""
        for path, stream, share in _LIVE_CALLS:
            self._spawn(
                self._every(
                    1.0 / (self.rate * share),
                    lambda path=path, stream=stream: self.live(path, stream),
                )
            )
        self._spawn(self._every(1.2, lambda: self.submit()))
        self._spawn(self._every(0.3, lambda: self.read()))
        self._spawn(self._every(2.5, lambda: self.change()))
        self._spawn(self._every(4.0, lambda: self.cancel()))
        self._spawn(self._every(0.25, self.sample))

    async def _every(self, seconds: float, work: Any) -> None:
        while not self.stopping:
            self._spawn(work())
            await asyncio.sleep(seconds * (0.5 + self.rng.random()))

    async def stop(self) -> None:
        """Start no further requests and wait for those that are open."""
        self.stopping = True
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def live(
        self,
        path: str,
        stream: bool,
        key: str = "",
        avoid: str = "",
        tries: int = 3,
        question: str = "",
    ) -> dict[str, Any]:
        """Make a live call and return its row of the history.

        Calls on `moves` have an idempotency key. One that may have run is sent again with its key
        to another edge than the last, up to `tries` times in all.
        """
        self._count += 1
        number = self._count
        if path == "moves" and not key:
            key = f"key{number}"
            if self.rng.random() < 0.1:
                self._spawn(self._reuse(key))
        question = question or key
        row = self.history.add(
            "call",
            self.now_ms(),
            call=f"call{number}",
            path=path,
            key=key,
            edge=self._edge(avoid),
            question=question,
            outcome="lost",
            verdict="may_have_run",
            events=[],
            transaction="",
            body="",
            code="",
            answered_ms=0.0,
        )
        prompt = (
            f"{path} of {key} {question}" if key else f"{path} table {number % 20}, call{number}"
        )
        call = {"model": path, "prompt": prompt, "stream": stream}
        began_ms = self.now_ms()
        try:
            async with self.fleet.session.post(
                f"http://{row['edge']}/v1/completions",
                json=call,
                headers={"Idempotency-Key": key} if key else None,
                timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
            ) as response:
                await read_response(row, response, stream)
        except (aiohttp.ClientError, OSError, TimeoutError):
            row["outcome"] = "cut" if row["events"] else "lost"
        row["answered_ms"] = self.now_ms()
        if row["verdict"] == "ran":
            self.latency_ms.setdefault(path, []).append(row["answered_ms"] - began_ms)
        self.outcomes[(path, row["verdict"], row["code"] or row["outcome"])] += 1
        if key and row["verdict"] == "may_have_run" and tries > 1:
            await asyncio.sleep(0.2)
            await self.live(path, stream, key, row["edge"], tries - 1, question)
        return row

    async def _reuse(self, key: str) -> None:
        """Use a key again for another prompt, which must never get the response to the first."""
        await asyncio.sleep(0.3 * self.rng.random())
        await self.live("moves", False, key, tries=1, question="another")

    async def submit(self, tries: int = 3, job_id: str = "", avoid: str = "") -> dict[str, Any]:
        """Submit a job of 80 items and return its row of the history.

        A submission that may have been accepted is sent again, up to `tries` times in all.
        """
        if not job_id:
            job_id = f"{self.job_name}{len(self.jobs) + 1}"
            path = self.rng.choice(("summaries", "summaries", "claims"))
            self.jobs[job_id] = {
                "path": path,
                "count": 80,
                "began_ms": self.now_ms(),
                "done_ms": 0.0,
                "seen": 0,
                "acked": False,
            }
        job = self.jobs[job_id]
        row = self.history.add(
            "hand-in",
            self.now_ms(),
            lot=job_id,
            path=job["path"],
            outcome="none",
            verdict="may_have_run",
            count=80,
            answered_ms=0.0,
        )
        edge = self._edge(avoid)
        try:
            status, body = await self.fleet.request(
                "PUT",
                edge,
                f"/lots/{job_id}",
                {
                    "path": job["path"],
                    "items": [
                        {"prompt": f"{job['path']} {job_id} item {place}"} for place in range(80)
                    ],
                },
            )
            if status in (200, 201):
                row.update(outcome="admitted" if status == 201 else "known", verdict="ran")
                job["acked"] = True
            else:
                row.update(outcome=body["error"]["code"], verdict=body["error"]["verdict"])
        except (aiohttp.ClientError, OSError, TimeoutError):
            row["outcome"] = "lost"
        row["answered_ms"] = self.now_ms()
        self.outcomes[("lot " + job["path"], row["verdict"], row["outcome"])] += 1
        if row["verdict"] == "may_have_run" and tries > 1:
            await asyncio.sleep(0.2)
            await self.submit(tries - 1, job_id, edge)
        return row

    async def read(self, job_id: str = "", start: int | None = None, final: bool = False) -> bool:
        """Read results of a job, by default of a random open one; return whether that worked.

        With `final`, the read is recorded as the last one of the run, too.
        """
        open_jobs = [name for name, job in self.jobs.items() if job["acked"] and not job["done_ms"]]
        if not job_id:
            if not open_jobs:
                return False
            job_id = self.rng.choice(open_jobs)
        job = self.jobs[job_id]
        start = start if start is not None else self.rng.choice((0, job["seen"]))
        began_ms = self.now_ms()
        try:
            status, body = await self.fleet.request(
                "GET", self._edge(), f"/lots/{job_id}/results?from={start}"
            )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        if status not in (200, 404):
            return False
        rows = [
            (row["index"], row["verdict"], encode_result(row)) for row in body.get("results", [])
        ]
        outcome = "known" if status == 200 else "missing"
        self.history.add(
            "read",
            self.now_ms(),
            began_ms=began_ms,
            lot=job_id,
            outcome=outcome,
            start=start,
            listed=body.get("listed", 0),
            total=body.get("total", 0),
            ended=body.get("ended", False),
            results=rows,
        )
        if final:
            self.history.add(
                "final", self.now_ms(), lot=job_id, outcome=outcome, listed=body.get("listed", 0)
            )
        if status == 200:
            job["seen"] = max(job["seen"], body["listed"])
            if (body["listed"] >= body["total"] or body["ended"]) and not job["done_ms"]:
                job["done_ms"] = self.now_ms()
                if not body["ended"]:
                    self.history.add(
                        "lot-done", job["done_ms"], lot=job_id, from_ms=job["began_ms"]
                    )
                    self.latency_ms.setdefault("lots of 80", []).append(
                        job["done_ms"] - job["began_ms"]
                    )
        return True

    async def cancel(self) -> None:
        """Cancel a random open job."""
        open_jobs = [name for name, job in self.jobs.items() if job["acked"] and not job["done_ms"]]
        if open_jobs:
            job_id = self.rng.choice(open_jobs)
            try:
                status, _ = await self.fleet.request("DELETE", self._edge(), f"/lots/{job_id}")
            except (aiohttp.ClientError, OSError, TimeoutError):
                return
            if status == 200:
                self.history.add("end", self.now_ms(), lot=job_id)

    def _control(self) -> str:
        """Return the HTTP address of a random control node, a running one if there is any."""
        running = self.fleet.with_role("control") or [
            member for member in self.fleet.members.values() if member.role == "control"
        ]
        return self.rng.choice(running).http

    async def change(
        self, tries: int = 3, change_id: str = "", base_version: int = 0
    ) -> dict[str, Any]:
        """Send a change of the profiles and return its row of the history.

        A change that may have been made is sent again, up to `tries` times in all.
        """
        self._count += 1
        change_id = change_id or f"change{self._count}"
        base_version = base_version or self.version
        row = self.history.add(
            "change",
            self.now_ms(),
            change_id=change_id,
            base_version=base_version,
            outcome="doubt",
            version=0,
            answered_ms=0.0,
        )
        control = self._control()
        tree = {"profiles": {**TREE["profiles"], f"mark-{change_id}": {"abstract": True}}}
        self._change_ids[profiles_digest(json.dumps(check_tree(tree).ok, sort_keys=True))] = (
            change_id
        )
        self._sent[change_id] = (base_version, tree)
        try:
            status, body = await self.fleet.request(
                "PUT",
                control,
                "/profiles",
                {"version": base_version, "change_id": change_id, "tree": tree},
            )
            outcome = {200: "ok", 409: "lost"}.get(status, "doubt")
            row.update(outcome=outcome, version=body.get("version", 0))
            if outcome == "lost":
                _, shown = await self.fleet.request("GET", control, "/profiles")
                self.version = max(self.version, shown.get("version", 0))
            self.version = max(self.version, row["version"])
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        row["answered_ms"] = self.now_ms()
        self.outcomes[
            (
                "change",
                {"ok": "ran", "lost": "not_run"}.get(row["outcome"], "may_have_run"),
                row["outcome"],
            )
        ] += 1
        if row["outcome"] == "doubt" and tries > 1:
            await asyncio.sleep(0.2)
            await self.change(tries - 1, change_id, base_version)
        return row

    async def sample(self) -> None:
        """Record the state of each edge, and how much of the waiting rooms is used at each store.

        The sample of an edge has the time of the request, because its content may be as old.
        """
        for member in self.fleet.with_role("edge"):
            began_ms = self.now_ms()
            try:
                status, body = await self.fleet.request(
                    "GET", member.http, "/status", timeout_ms=800
                )
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            self.history.add(
                "sample",
                began_ms,
                edge=member.name,
                incarnation=body["identity"],
                ready=body["ready"],
                number=body["feed"].get("profiles", 0),
                change_id=self._change_ids.get(body["profiles_digest"], ""),
            )
        for member in self.fleet.with_role("store"):
            try:
                status, body = await self.fleet.request(
                    "GET", member.http, "/status", timeout_ms=800
                )
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            for path, used in body.get("waiting_rooms", {}).items():
                self.history.add(
                    "room",
                    self.now_ms(),
                    store=member.name,
                    path=path,
                    epoch=body["fence"],
                    used=used,
                )

    async def resend_acknowledged(self, count: int) -> None:
        """Send the last `count` acknowledged changes again under their ids; record the answers."""
        acked = [
            row["change_id"] for row in self.history.rows_of("change") if row["outcome"] == "ok"
        ][-count:]
        for change_id in acked:
            base_version, tree = self._sent[change_id]
            status, body = await self.fleet.request(
                "PUT",
                self._control(),
                "/profiles",
                {"version": base_version, "change_id": change_id, "tree": tree},
            )
            if status in (200, 409):
                self.history.add(
                    "final-change",
                    self.now_ms(),
                    change_id=change_id,
                    version=body.get("version", 0),
                    outcome="ok" if status == 200 else "lost",
                )

    def take_worker_runs(self) -> None:
        """Add what the workers recorded, and when nodes were frozen, to the history."""
        add_worker_runs(self.history, self.fleet, self._started_at)
