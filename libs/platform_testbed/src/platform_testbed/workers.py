"""Simulated model workers on loopback sockets, any number of them in one process.

Each has an engine core. They answer whole or with the engine's faults, send heartbeats to control,
leave in order, crash and fall silent.
"""

import asyncio
import json
import random
from contextlib import suppress
from typing import Any

import aiohttp
from aiohttp import web
from mode import Service
from simulator.history import History

from platform_testbed.engine import Engine
from platform_testbed.engine_messages import (
    DrainStarted,
    EngineProfile,
    EventProduced,
    RequestCancelled,
    RequestRejected,
    RunEnded,
    RunStarted,
)
from platform_testbed.worker_calls import Turn, digest, parse_request

__all__ = ["SimulatedWorker"]

_KEEP_S = 5
_LATE_S = 0.03


class SimulatedWorker(Service):
    """One life of a worker; `control` gives the control addresses known now."""

    def __init__(
        self,
        server_id: str,
        service: str,
        address: str,
        zone: str,
        profile: EngineProfile,
        history: History,
        clock: Any,
        control: Any,
        seed: int,
        name_of: Any = str,
        beat_ms: int = 1200,
        model: str = "m",
        max_connections: int = 120,
    ) -> None:
        super().__init__()
        self.server_id, self.service, self.address, self.zone = server_id, service, address, zone
        self.engine = Engine(profile, server_id, seed)
        self.history, self.now_ms = history, clock
        self.announced, self.dark = "serving", False
        self.acked_ms = 0.0
        self._control, self._name_of = control, name_of
        self._rng = random.Random(f"{seed}/{server_id}")
        self._beat_ms, self._model, self._max_connections = beat_ms, model, max_connections
        self._turns: dict[int, Turn] = {}
        self._keys = self._calls = 0
        self._beat_address = ""
        self._alarm: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()

    async def on_start(self) -> None:
        """Listen, and start the heartbeats."""
        self._server = web.Server(
            self._serve,
            handler_cancellation=True,
            keepalive_timeout=_KEEP_S,
            access_log=None,
            lingering_time=0,
            auto_decompress=False,
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.2)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0))
        self.add_future(self._beats())

    async def on_stop(self) -> None:
        """Abort all connections and stop listening."""
        self.dark = True
        if self._alarm is not None:
            self._alarm.cancel()
        for protocol in list(self._server.connections):
            if protocol.transport is not None:
                protocol.transport.abort()
        await self._runner.cleanup()
        await self._session.close()

    # -- what fails ----------------------------------------------------------------------------

    async def crash(self) -> None:
        """End without notice: connections are reset and nothing listens."""
        self.history.add("worker-gone", self.now_ms(), server=self.server_id, how="crash")
        await self.stop()

    def go_dark(self) -> None:
        """Fall silent: connections stay open, and nothing is sent any more."""
        self.dark = True
        self.history.add("worker-gone", self.now_ms(), server=self.server_id, how="dark")

    async def leave(self, drain_ms: int) -> bool:
        """Announce the leave, serve on for a while, withdraw and end; return if acknowledged."""
        self.announced = "draining"
        self._feed(DrainStarted())
        for _ in range(20):
            if await self._tell("PUT"):
                break
            await asyncio.sleep(0.2)
        acked = bool(self.acked_ms)
        await asyncio.sleep(drain_ms * 1.35 / 1000)
        await self._tell("DELETE")
        while sum(self.engine.load()[:2]):
            await asyncio.sleep(0.05)
        self.history.add(
            "worker-gone", self.now_ms(), server=self.server_id, how="left", acked=acked
        )
        await self.stop()
        return acked

    # -- beats ---------------------------------------------------------------------------------

    async def _beats(self) -> None:
        await asyncio.sleep(self._rng.random() * 0.2)
        while not self.should_stop and not self.dark and self.announced == "serving":
            await self._tell("PUT")
            await asyncio.sleep(self._beat_ms / 1000 * (0.9 + 0.2 * self._rng.random()))

    async def _tell(self, method: str) -> bool:
        self._calls += 1
        body = {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "revision": "v1",
            "capacity": self.engine.profile.capacity,
            "state": self.announced,
            "coldLeftMs": 0,
            "phase": "both",
            "models": [{"name": self._model, "revision": 1, "adapters": []}],
            "callCount": self._calls,
        }
        nodes = self._control()
        self._rng.shuffle(nodes)
        nodes = ([self._beat_address] if self._beat_address else []) + nodes
        for node in nodes[:4]:
            if self.dark or self.should_stop:
                return False
            with suppress(aiohttp.ClientError, OSError, TimeoutError, ValueError):
                url = f"http://{node}/vaneledge/servers/{self.server_id}"
                async with self._session.request(
                    method, url, json=None if method == "DELETE" else body
                ) as answer:
                    data = await answer.content.read(4097)
                    if 200 <= answer.status < 300 and len(data) <= 4096:
                        self._beat_address = (
                            json.loads(data).get("beatAddress") or "" if data else ""
                        )
                        self._acknowledged(method, node)
                        return True
            self._beat_address = ""
        return False

    def _acknowledged(self, method: str, node: str) -> None:
        if self.announced == "draining" and not self.acked_ms:
            self.acked_ms = self.now_ms()
        if self.announced == "draining":
            self.history.add(
                "drain-ack",
                self.now_ms(),
                server=self.server_id,
                node=self._name_of(node),
                what=method,
            )

    # -- the engine ----------------------------------------------------------------------------

    def _feed(self, message: Any) -> None:
        self._pass_on(self.engine.receive(message, self.now_ms()))

    def _wake(self) -> None:
        self._alarm = None
        if not self.dark:
            self._pass_on(self.engine.advance(self.now_ms()))

    def _pass_on(self, messages: list[Any]) -> None:
        for message in messages:
            turn = self._turns.get(message.key)
            if turn is not None:
                self._note(turn, message)
                turn.news.put_nowait(message)
        due_ms = self.engine.next_ms()
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm = None
        if due_ms is not None:
            self._alarm = asyncio.get_running_loop().call_later(
                max(0.0, due_ms - self.now_ms()) / 1000, self._wake
            )

    def _note(self, turn: Turn, message: Any) -> None:
        row, now_ms = turn.row, self.now_ms()
        if isinstance(message, RunStarted):
            turn.tag = f"{self.server_id}.{message.run}"
            row.update(run=turn.tag, began_ms=now_ms, state="running", ill=message.fault)
            self.history.rows.append(row)
            row.update(kind="run", at_ms=round(now_ms, 2))
        elif isinstance(message, EventProduced):
            row["events"].append(message.number)
            row["made_ms"].append(round(now_ms, 2))
        elif isinstance(message, RunEnded):
            row.update(state=message.state, over_ms=now_ms)
        else:
            self.history.add(
                "turned-away",
                now_ms,
                id=row["id"],
                server=self.server_id,
                status=message.status,
                came_ms=row["came_ms"],
            )

    # -- HTTP ----------------------------------------------------------------------------------

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if len(self._server.connections) > self._max_connections and request.transport is not None:
            request.transport.abort()
        if self.dark:
            await asyncio.Event().wait()
        if request.method == "GET" and request.path == "/vaneledge/report":
            return web.json_response(self._report())
        if request.method == "GET" and request.path == "/health":
            return self._health()
        body = await request.read()
        self._keys += 1
        key, turn = self._keys, Turn()
        self._turns[key] = turn
        asked, plan = parse_request(key, request, body, self.engine.profile.first_event)
        turn.row = {
            "id": asked.request_id,
            "server": self.server_id,
            "service": self.service,
            "host": request.headers.get("Host", ""),
            "method": request.method,
            "target": str(request.rel_url.raw_path_qs),
            "digest": digest(body),
            "after": asked.last_event_id,
            "came_ms": round(self.now_ms(), 2),
            "events": [],
            "made_ms": [],
            "over_ms": 0.0,
            "named": asked.target_id,
            "urgency": asked.urgency,
            "body": "",
            "answered": False,
        }
        self.history.add(
            "arrival",
            self.now_ms(),
            id=asked.request_id,
            server=self.server_id,
            named=asked.target_id,
        )
        try:
            self._feed(asked)
            answer = await self._answer(request, turn, plan)
            turn.row["answered"] = True
            return answer
        finally:
            if not self.dark:
                self._feed(RequestCancelled(key=key))
            del self._turns[key]

    async def _answer(
        self, request: web.BaseRequest, turn: Turn, plan: dict[str, Any]
    ) -> web.StreamResponse:
        first = await turn.news.get()
        if isinstance(first, RequestRejected):
            return self._turned_away(request, turn, first.status)
        headers = self._headers(request, turn)
        if plan["stream"] and first.fault not in ("error", "unable", "garbled"):
            return await self._stream(request, turn, plan, headers)
        while not isinstance(message := await turn.news.get(), RunEnded):
            pass
        return await self._whole(request, turn, plan, headers, message)

    async def _stream(
        self, request: web.BaseRequest, turn: Turn, plan: dict[str, Any], headers: dict[str, str]
    ) -> web.StreamResponse:
        answer = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        self._maybe_close(answer, headers)
        await answer.prepare(request)
        while not isinstance(message := await turn.news.get(), RunEnded):
            pad = "." * plan["pad"]
            await answer.write(
                f"id: {message.number}\ndata: {turn.row['id']}/{turn.tag}/"
                f"{message.number}/{pad}\n\n".encode()
            )
        if message.state != "finished":
            return self._break_off(request, answer, turn.row["ill"])
        await answer.write_eof()
        await self._extra(request, message.fault)
        return answer

    async def _whole(
        self,
        request: web.BaseRequest,
        turn: Turn,
        plan: dict[str, Any],
        headers: dict[str, str],
        over: RunEnded,
    ) -> web.StreamResponse:
        status = {"finished": 200, "error": 500, "unable": 422, "late": 504}.get(over.state, 200)
        body = f"{turn.row['id']}/{turn.tag}/{'.' * plan['pad']}".encode()
        turn.row["body"] = digest(body)
        if over.state == "garbled":
            request.transport.write(b"\x16\x03 no answer at all\r\n\r\n" + body)
            return self._break_off(request, web.StreamResponse(), "garbled")
        answer = web.StreamResponse(
            status=status, headers={**headers, "Content-Type": "application/octet-stream"}
        )
        answer.content_length = len(body)
        self._maybe_close(answer, headers)
        if over.state == "broken" and over.fault == "cut":
            return self._break_off(request, answer, "cut")
        await answer.prepare(request)
        if over.state == "broken":
            await answer.write(body[: len(body) // 2])
            return self._break_off(request, answer, "short")
        await answer.write(body)
        await answer.write_eof()
        await self._extra(request, over.fault)
        return answer

    def _break_off(
        self, request: web.BaseRequest, answer: web.StreamResponse, fault: str
    ) -> web.StreamResponse:
        if request.transport is not None:
            request.transport.abort() if fault == "cut" else request.transport.close()
        return answer

    async def _extra(self, request: web.BaseRequest, fault: str) -> None:
        """Send a second answer where the next is expected; it belongs to no request."""
        if fault == "late":
            await asyncio.sleep(_LATE_S)
        if fault in ("surplus", "late") and request.transport is not None:
            request.transport.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: nobody\r\n"
                b"Server-Seal: 0.0\r\nContent-Length: 3\r\n\r\nxyz"
            )

    def _headers(self, request: web.BaseRequest, turn: Turn) -> dict[str, str]:
        headers = {"Request-Id": turn.row["id"], "Server-Seal": f"{turn.tag}.{turn.row['digest']}"}
        turn.row["seal"] = headers["Server-Seal"]
        if self.engine.profile.reports_load:
            headers["Server-Load"] = ",".join(map(str, self.engine.load()))
        return headers

    def _maybe_close(self, answer: web.StreamResponse, headers: dict[str, str]) -> None:
        if self.announced == "draining" or self._rng.random() < 0.02:
            answer.force_close()
        else:
            answer.headers["Keep-Alive"] = f"timeout={_KEEP_S}"

    def _turned_away(self, request: web.BaseRequest, turn: Turn, status: int) -> web.Response:
        named = {"Served-By": self.server_id} if status == 421 else {"Not-Run": "1"}
        headers = {"Request-Id": turn.row["id"], **named}
        if self.engine.profile.reports_load:
            headers["Server-Load"] = ",".join(map(str, self.engine.load()))
        return web.Response(status=status, headers=headers)

    def _health(self) -> web.Response:
        running, _, slots = self.engine.load()
        well = self.announced == "serving" and running < slots
        return web.Response(
            status=200 if well else 503,
            headers={"Served-By": self.server_id} | ({} if well else {"Not-Run": "1"}),
        )

    def _report(self) -> dict[str, Any]:
        seen = self.engine.report(self.now_ms())
        return {
            "phase": "both",
            "models": [{"name": self._model, "revision": 1, "adapters": []}],
            "busy": False,
            "callCount": 0,
            "queued": seen["queued"],
            "active": seen["active"],
            "cacheUsed": seen["cache_used"],
            "cacheSize": self.engine.profile.cache_tokens,
            "handles": 0,
        }
