"""Clients of live requests: resumable or plain streams, and requests safe or unsafe to repeat.

Their attempts, deadlines and pauses before a retry follow the platform's rules for clients. Each
request and each of its attempts is a row of the history.

NOT_RUN_STATUSES are the statuses that promise that the request has not run, so that any client may
retry.
"""

import asyncio
import contextlib
import json
import random
from typing import Any

import aiohttp
from simulator.history import History

from platform_testbed.client_attempt import AttemptSender
from platform_testbed.load_balancer import LoadBalancer
from platform_testbed.site import Deployment, Kind
from platform_testbed.worker_calls import digest

__all__ = ["NOT_RUN_STATUSES", "LiveClients"]

NOT_RUN_STATUSES = (408, 421, 429, 503)
_KEEP_ALIVE_S = 4.0
_PERMANENT_ERRORS = (400, 401, 404, 413, 431)


def _keeps_connection(client: str) -> bool:
    """Return whether the client reuses its connection, as half of the clients do."""
    return int(client.rpartition("/")[2]) % 2 == 0


class LiveClients:
    """All clients of live requests; `load_factor` multiplies the rate of their requests."""

    def __init__(
        self,
        deployment: Deployment,
        load_balancer: LoadBalancer,
        history: History,
        clock: Any,
        seed: int,
    ) -> None:
        self.deployment, self.load_balancer, self.history, self.clock = (
            deployment,
            load_balancer,
            history,
            clock,
        )
        self.rng = random.Random(f"live/{seed}")
        self.stopping = False
        self.load_factor = 1.0
        self._sender = AttemptSender(history, clock)
        self._count = 0
        self._tasks: set[asyncio.Task] = set()
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._edges: dict[str, Any] = {}
        self._last_used_ms: dict[str, float] = {}
        self._shared_parts = {
            kind.name: [
                (f"{self.rng.getrandbits(32):08x}", kind) for _ in range(max(1, kind.parts[0]))
            ]
            for kind in deployment.kinds.values()
        }

    async def run(self) -> None:
        """Send requests at the rate of the deployment's shape until `stopping`.

        Returns once the open requests are done and all connections are closed.
        """
        live = [kind for kind in self.deployment.kinds.values() if kind.share]
        total = sum(kind.share for kind in live)
        await asyncio.gather(
            *[
                self._arrivals(kind, self.deployment.shape["rate"] * kind.share / total)
                for kind in live
            ]
        )
        while self._tasks:
            await asyncio.wait(set(self._tasks))
        for session in self._sessions.values():
            await session.close()

    async def _arrivals(self, kind: Kind, per_s: float) -> None:
        while not self.stopping:
            await asyncio.sleep(min(2.0, self.rng.expovariate(per_s * self.load_factor)))
            self.run_in_background(self.request(kind))

    def run_in_background(self, work: Any) -> asyncio.Task:
        """Start a coroutine as a task, for whose end `run` waits."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def prompt(self, kind: Kind) -> tuple[str, int]:
        """Draw a prompt; return its parts in the header's form, and its length in tokens.

        The first part is shared with other requests, and the second is unique to the request.
        """
        tokens_in = self.rng.randint(*kind.tokens_in)
        shared = max(16, tokens_in // 3)
        name, _ = self.rng.choice(self._shared_parts[kind.name])
        return f"{name}:{shared},{self.rng.getrandbits(32):08x}:{tokens_in - shared}", tokens_in

    async def request(self, kind: Kind, zone: str = "") -> dict[str, Any]:
        """Send one request with all its attempts and return its row."""
        rng = self.rng
        self._count += 1
        zone = zone or rng.choice(self.deployment.zones)
        client = f"{zone}/{rng.randrange(12)}"
        route = self.deployment.routes[kind.name]
        parts, tokens_in = self.prompt(kind)
        events = rng.randint(*kind.events)
        body = json.dumps(
            {"stream": kind.stream, "events": events, "pad": rng.randrange(10, 60)}
        ).encode()
        headers = {
            "Host": route["hostname"],
            "Content-Type": "application/json",
            "Model": self.deployment.models[0],
            "Token-Counts": f"{tokens_in},{events * self.deployment.engine.stride}",
            "Prompt-Prefix": parts,
        }
        request = self.history.add(
            "request",
            self.clock(),
            name=f"q{self._count}",
            of=kind.name,
            zone=zone,
            client=client,
            tries=[],
            events=events,
            deadline_ms=kind.deadline_ms,
            leaves=rng.random() < 0.01,
        )
        await self._send_attempts(
            kind, request, headers, f"{route['pathStart']}{rng.getrandbits(24):x}", body
        )
        return request

    async def _send_attempts(
        self, kind: Kind, request: dict[str, Any], headers: dict[str, str], target: str, body: bytes
    ) -> None:
        after: int | None = None
        for attempt in range(kind.retries + 1):
            left_ms = request["at_ms"] + kind.deadline_ms - self.clock()
            if left_ms < 50:
                return
            machine = self._choose_edge(request, attempt)
            if machine is None:
                await asyncio.sleep(0.1)
                continue
            row = await self._send_attempt(
                kind, request, headers, target, body, attempt, machine, left_ms, after
            )
            if not self._should_retry(kind, row):
                return
            if kind.resumable and row["events"]:
                after = row["events"][-1][0]
            await self._wait_before_retry(row, request["at_ms"] + kind.deadline_ms - self.clock())

    async def _send_attempt(
        self,
        kind: Kind,
        request: dict[str, Any],
        headers: dict[str, str],
        target: str,
        body: bytes,
        attempt: int,
        machine: Any,
        left_ms: float,
        after: int | None,
    ) -> dict[str, Any]:
        name = f"{self.rng.getrandbits(64):016x}"
        row = self.history.add(
            "try",
            self.clock(),
            id=name,
            request=request["name"],
            of=kind.name,
            route_type=kind.route_type,
            repeatable=kind.repeatable,
            resumable=kind.resumable,
            host=headers["Host"],
            method="POST",
            target=target,
            digest=digest(body),
            node=machine.name,
            life=machine.incarnation,
            zone=request["zone"],
            attempt=attempt,
            deadline_ms=round(left_ms, 1),
            aim_ms=kind.target_ms,
            after=after,
            wanted=request["events"],
            probe=False,
            first_event=self.deployment.first_event,
            left=False,
        )
        request["tries"].append(row)
        sent = {**headers, "Request-Id": name, "Deadline-Ms": str(int(left_ms))}
        if after is not None:
            sent["Last-Event-Id"] = str(after)
        silence_s = (
            max(2.0, 4 * kind.target_ms / 1000, 8 * kind.gap_ms / 1000) if kind.stream else None
        )
        keep_connection = attempt == 0 and _keeps_connection(request["client"])
        session = (
            self._session(request["client"])
            if keep_connection
            else aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        )
        work = self._sender.send(
            row,
            session,
            "POST",
            machine.addresses["publicHttp"],
            sent,
            body,
            left_ms / 1000,
            silence_s,
            self.rng.random() < 0.25,
        )
        try:
            if request["leaves"]:
                row["left"] = True
                await asyncio.wait_for(work, 0.05 + 0.2 * self.rng.random())
            else:
                await work
        except TimeoutError:
            row.update(how="left", ended_ms=round(self.clock(), 2))
        finally:
            if not keep_connection:
                await session.close()
        if keep_connection and (row["how"] != "answered" or row["closes"]):
            self._edges.pop(request["client"], None)
        return row

    async def probe(self, machine: Any, host: str, target: str) -> None:
        """Send a request directly to one edge, to see which configuration is in force there."""
        row = self.history.add(
            "try",
            self.clock(),
            id=f"{self.rng.getrandbits(64):016x}",
            request="",
            of="probe",
            route_type="idempotent",
            repeatable=True,
            resumable=False,
            host=host,
            method="POST",
            target=target,
            digest="",
            node=machine.name,
            life=machine.incarnation,
            zone=machine.zone,
            attempt=0,
            deadline_ms=2000.0,
            aim_ms=400,
            after=None,
            wanted=1,
            probe=True,
            first_event=self.deployment.first_event,
            left=False,
        )
        body = json.dumps({"stream": False, "events": 1, "pad": 20}).encode()
        row["digest"] = digest(body)
        headers = {
            "Host": host,
            "Request-Id": row["id"],
            "Deadline-Ms": "2000",
            "Model": self.deployment.models[0],
            "Token-Counts": "40,14",
            "Prompt-Prefix": f"{self.rng.getrandbits(32):08x}:40",
        }
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        ) as session:
            await self._sender.send(
                row, session, "POST", machine.addresses["publicHttp"], headers, body, 2.0
            )

    def _session(self, client: str) -> aiohttp.ClientSession:
        if client not in self._sessions:
            self._sessions[client] = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=_KEEP_ALIVE_S)
            )
        return self._sessions[client]

    def _choose_edge(self, request: dict[str, Any], attempt: int) -> Any:
        """Return the edge for an attempt.

        The first attempt of a client that keeps its connection goes to the connection's edge, until
        the edge is removed or the connection was idle for too long. For every other attempt the
        load balancer chooses, a different edge for each attempt.
        """
        client = request["client"]
        if attempt or not _keeps_connection(client):
            return self.load_balancer.choose(request["zone"], client, attempt)
        idle_ms = self.clock() - self._last_used_ms.get(client, 0.0)
        self._last_used_ms[client] = self.clock()
        if (
            self._edges.get(client) is None
            or self._edges[client].removed
            or idle_ms > 1000 * _KEEP_ALIVE_S
        ):
            self._edges[client] = self.load_balancer.choose(request["zone"], client)
        return self._edges[client]

    def _should_retry(self, kind: Kind, row: dict[str, Any]) -> bool:
        if row["how"] == "unreached":
            return True
        if row["how"] == "answered":
            if row["status"] in NOT_RUN_STATUSES:
                return True
            return (
                kind.repeatable
                and row["status"] not in _PERMANENT_ERRORS
                and not 200 <= row["status"] < 300
            )
        return kind.repeatable and row["how"] != "left"

    async def _wait_before_retry(self, row: dict[str, Any], left_ms: float) -> None:
        wait_ms = 20.0
        if row["how"] == "answered" and row["retry_after"]:
            with contextlib.suppress(ValueError):
                wait_ms = max(wait_ms, min(float(row["retry_after"]) * 1000, left_ms / 3))
        await asyncio.sleep(wait_ms / 1000)
