"""Clients that submit batch jobs ("lots") and read their results.

A client submits the same job again at another node until the outcome is clear. It reads results
twice a second, sometimes from an earlier position or as a long poll, fetches some of the items'
bodies, and cancels some jobs. At the end, all accepted jobs are read once more from the start.
"""

import asyncio
import base64
import json
import random
from typing import Any

import aiohttp
from simulator.history import History

from platform_testbed.load_balancer import LoadBalancer
from platform_testbed.site import Deployment, Kind
from platform_testbed.worker_calls import digest

__all__ = ["JobClients"]

_READ_EVERY_S = 0.5
_READ_TIMEOUT_S = 1.5
_SKIPPED = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


class JobClients:
    """All clients of batch jobs.

    `load_factor` multiplies the rate at which jobs are submitted.

    Parameters
    ----------
    poisoned
        Share of items that no worker can run.
    ended
        Share of jobs that their client cancels.
    """

    def __init__(
        self,
        deployment: Deployment,
        load_balancer: LoadBalancer,
        history: History,
        clock: Any,
        seed: int,
        poisoned: float = 0.03,
        ended: float = 0.1,
    ) -> None:
        self.deployment, self.load_balancer, self.history, self.clock = (
            deployment,
            load_balancer,
            history,
            clock,
        )
        self.rng = random.Random(f"lots/{seed}")
        self.kind: Kind = deployment.kinds["recap"]
        self.stopping = False
        self.load_factor = 1.0
        self.jobs: list[dict[str, Any]] = []
        self._poisoned, self._ended = poisoned, ended
        self._tasks: set[asyncio.Task] = set()
        self._shared_parts = [f"{self.rng.getrandbits(32):08x}" for _ in range(self.kind.parts[0])]

    async def run(self) -> None:
        """Submit jobs at the rate of the deployment's shape until `stopping`."""
        per_s = self.deployment.shape["lots_per_s"]
        while not self.stopping:
            self.run_in_background(self.run_job())
            await asyncio.sleep(min(2.5, self.rng.expovariate(per_s * self.load_factor)))

    def run_in_background(self, work: Any) -> asyncio.Task:
        """Start a coroutine as a task, for whose end `finish` waits."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def call(
        self,
        row: dict[str, Any],
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        total_s: float,
        attempt: int = 0,
    ) -> bytes:
        """Make one call on a connection of its own and return the answer's body.

        Node, status and times are recorded in the row; status 0 means that no answer came within
        `total_s`. Errors of HTTP and sockets aren't raised.
        """
        machine = self.load_balancer.choose(row["zone"], row["lot"], attempt)
        row.update(
            node=machine.name if machine else "",
            life=machine.incarnation if machine else 0,
            sent_ms=round(self.clock(), 2),
            status=0,
        )
        data = b""
        if machine is not None:
            try:
                async with (
                    aiohttp.ClientSession(
                        connector=aiohttp.TCPConnector(force_close=True)
                    ) as session,
                    session.request(
                        method,
                        f"http://{machine.addresses['publicHttp']}{path}",
                        data=body,
                        headers=headers,
                        skip_auto_headers=_SKIPPED,
                        allow_redirects=False,
                        timeout=aiohttp.ClientTimeout(total=max(0.05, total_s), sock_connect=1.0),
                    ) as answer,
                ):
                    data = await answer.read()
                    row.update(status=answer.status, retry_after=answer.headers.get("Retry-After"))
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
        row["answered_ms"] = round(self.clock(), 2)
        return data

    def _row(self, kind: str, job: dict[str, Any], **fields: Any) -> dict[str, Any]:
        return self.history.add(kind, self.clock(), lot=job["lot"], zone=job["zone"], **fields)

    def draw(self) -> dict[str, Any]:
        """Draw a job and its items at random, and record it."""
        rng, route = self.rng, self.deployment.routes[self.kind.name]
        items = {}
        for _ in range(max(1, round(self.deployment.shape["lot_items"] * (0.5 + rng.random())))):
            events, tokens_in = rng.randint(*self.kind.events), rng.randint(*self.kind.tokens_in)
            shared = tokens_in // 2
            tokens_out = events * self.deployment.engine.stride
            plan = {
                "stream": True,
                "events": events,
                "pad": rng.randrange(10, 60),
                "poisoned": rng.random() < self._poisoned,
            }
            body = json.dumps(plan).encode() + b" " * rng.randrange(200)
            items[f"{rng.getrandbits(64):016x}"] = {
                "path": f"{route['pathStart']}{rng.getrandbits(24):x}",
                "body": body,
                "digest": digest(body),
                "tokens": tokens_in + tokens_out,
                "events": events,
                "poisoned": plan["poisoned"],
                "headers": {
                    "Model": self.deployment.models[0],
                    "Token-Counts": f"{tokens_in},{tokens_out}",
                    "Prompt-Prefix": f"{rng.choice(self._shared_parts)}:{shared},"
                    f"{rng.getrandbits(32):08x}:{tokens_in - shared}",
                },
            }
        job = self.history.add(
            "lot",
            self.clock(),
            lot=f"{rng.getrandbits(64):016x}",
            zone=rng.choice(self.deployment.zones),
            host=route["hostname"],
            items=items,
            tries=self.kind.tries,
            max_wait_ms=self.kind.max_wait_s * 1000,
            cap=self.kind.queue_cap,
            due_ms=self.kind.due_ms,
            target_ms=self.kind.target_ms,
            first_event=self.deployment.first_event,
            position=0,
            total=len(items),
            accepted_ms=0.0,
            end_sent_ms=0.0,
            done_ms=0.0,
            seen={},
        )
        self.jobs.append(job)
        return job

    async def run_job(self) -> dict[str, Any]:
        """Take one job from submission to its last result, or until its client cancels it."""
        job = self.draw()
        if not await self.submit(job):
            return job
        self.run_in_background(self._fetch_bodies(job))
        if self.rng.random() < self._ended:
            self.run_in_background(self._end(job, 0.3 + 1.5 * self.rng.random()))
        await self._follow(job)
        return job

    async def submit(self, job: dict[str, Any]) -> bool:
        """Submit a job until it is accepted; return whether it was.

        It is given up on a permanent error, at the kind's deadline, or after its last attempt.
        """
        route, began_ms = self.deployment.routes[self.kind.name], self.clock()
        body = json.dumps(
            {
                "requests": [
                    {
                        "serverId": name,
                        "path": item["path"],
                        "headers": item["headers"],
                        "body": base64.b64encode(item["body"]).decode(),
                        "tokens": item["tokens"],
                    }
                    for name, item in job["items"].items()
                ]
            }
        ).encode()
        headers = {
            "Host": job["host"],
            "Request-Id": job["lot"],
            "Content-Type": "application/json",
        }
        for attempt in range(self.kind.retries + 2):
            left_ms = began_ms + self.kind.deadline_ms - self.clock()
            if left_ms < 50:
                return False
            headers["Deadline-Ms"] = str(int(left_ms))
            row = self._row("lot-try", job, first_ms=round(began_ms, 2))
            data = await self.call(
                row,
                "POST",
                f"{route['pathStart']}{job['lot'][:6]}",
                headers,
                body,
                left_ms / 1000,
                attempt,
            )
            row["text"] = data.decode(errors="replace")[:200] if row["status"] != 202 else ""
            if row["status"] == 202:
                job["accepted_ms"] = row["answered_ms"]
                return True
            if row["status"] in (400, 401, 404, 413, 422, 431):
                return False
            await asyncio.sleep(self._pause_s(row, left_ms))
        return False

    def _pause_s(self, row: dict[str, Any], left_ms: float) -> float:
        try:
            return min(max(0.05, float(row.get("retry_after") or 0.05)), left_ms / 3000)
        except ValueError:
            return 0.05

    async def _follow(self, job: dict[str, Any]) -> None:
        give_up_ms = job["at_ms"] + job["max_wait_ms"]
        while job["position"] < job["total"] and self.clock() < give_up_ms and not self.stopping:
            earlier = job["position"] and self.rng.random() < 0.15
            await self.read(
                job,
                self.rng.randrange(job["position"]) if earlier else job["position"],
                self.rng.random() < 0.5,
            )
            if job["end_sent_ms"] and self.clock() > job["end_sent_ms"] + 4000:
                break
            await asyncio.sleep(_READ_EVERY_S * (0.7 + 0.6 * self.rng.random()))

    async def read(
        self,
        job: dict[str, Any],
        position: int,
        wait: bool,
        final: bool = False,
        attempt: int | None = None,
    ) -> dict[str, Any]:
        """Read results from a position on, as a long poll of 1 s if `wait`; return the row."""
        row = self._row(
            "lot-read",
            job,
            start=position,
            results=[],
            total=-1,
            next=-1,
            final=final,
            garbled=False,
        )
        headers = {"Host": job["host"]} | ({"Wait-Ms": "1000"} if wait else {})
        attempt = self.rng.randrange(4) if attempt is None else attempt
        data = await self.call(
            row,
            "GET",
            f"/vaneledge/lots/{job['lot']}?pageAfter={position}",
            headers,
            None,
            _READ_TIMEOUT_S + (1.0 if wait else 0.0),
            attempt,
        )
        if row["status"] == 200:
            try:
                page = json.loads(data)
                row.update(
                    total=page["total"],
                    next=page["nextToken"],
                    bytes=len(data),
                    results=[
                        [part["serverId"], part["state"], part.get("message", "")]
                        for part in page["results"]
                    ],
                )
            except (ValueError, KeyError, TypeError):
                row["garbled"] = True
                return row
            for offset, part in enumerate(row["results"]):
                job["seen"].setdefault(
                    part[0], [position + offset, round(self.clock(), 2), part[1], row["sent_ms"]]
                )
            job["position"] = (
                max(job["position"], row["next"]) if row["results"] else job["position"]
            )
            if job["position"] >= job["total"] and not job["done_ms"]:
                job["done_ms"] = row["answered_ms"]
        return row

    async def _end(self, job: dict[str, Any], after_s: float) -> None:
        await asyncio.sleep(after_s)
        job["end_sent_ms"] = round(self.clock(), 2)
        for attempt in range(12):
            row = self._row("lot-end", job)
            await self.call(
                row,
                "DELETE",
                f"/vaneledge/lots/{job['lot']}",
                {"Host": job["host"]},
                None,
                _READ_TIMEOUT_S,
                attempt,
            )
            if row["status"] in (200, 404):
                break
            await asyncio.sleep(0.2)

    async def _fetch_bodies(self, job: dict[str, Any]) -> None:
        for _ in range(2):
            await asyncio.sleep(0.2 + self.rng.random())
            await self.body(job, self.rng.choice(list(job["items"])))

    async def body(
        self, job: dict[str, Any], item: str, final: bool = False, attempt: int = 0
    ) -> dict[str, Any]:
        """Fetch an item's body and compare it with what was submitted; return the row."""
        row = self._row(
            "item-body", job, item=item, listed=item in job["seen"], same=False, final=final
        )
        data = await self.call(
            row,
            "GET",
            f"/vaneledge/items/{job['lot']}?serverId={item}",
            {"Host": job["host"]},
            None,
            _READ_TIMEOUT_S,
            attempt,
        )
        row["same"] = data == job["items"][item]["body"]
        return row

    async def finish(self, finish_s: float) -> None:
        """Wait up to `finish_s` for the open jobs; then read all accepted jobs from the start.

        The bodies of up to three items without a result are fetched too, unless the client had
        cancelled the job. Failed calls are repeated, up to 20 reads and 5 fetches.
        """
        end_ms = self.clock() + finish_s * 1000
        while (
            any(
                job["accepted_ms"] and job["position"] < job["total"] and not job["end_sent_ms"]
                for job in self.jobs
            )
            and self.clock() < end_ms
        ):
            await asyncio.sleep(0.1)
        self.stopping = True
        while self._tasks:
            await asyncio.wait(set(self._tasks))
        await asyncio.gather(*[self._read_to_end(job) for job in self.jobs if job["accepted_ms"]])

    async def _read_to_end(self, job: dict[str, Any]) -> None:
        position, attempt, failures = 0, 0, 0
        while failures < 20:
            row = await self.read(job, position, False, True, attempt)
            if row["status"] == 200 and not row["garbled"]:
                if not row["results"] or row["next"] >= row["total"]:
                    break
                position = row["next"]
            else:
                failures, attempt = failures + 1, attempt + 1
                await asyncio.sleep(0.2)
        unlisted = [item for item in job["items"] if item not in job["seen"]]
        for item in unlisted[:3] if not job["end_sent_ms"] else []:
            for attempt in range(5):
                row = await self.body(job, item, True, attempt)
                if row["status"] == 200:
                    break
                await asyncio.sleep(0.2)
