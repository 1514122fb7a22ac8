"""Simulated model workers on loopback sockets, any number of them in one process.

Each contains a simulated engine. It answers requests completely or with the faults that the engine
draws, sends heartbeats to the control nodes, and can drain and leave, crash, or hang.
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
from platform_testbed.worker_calls import WorkerCall, digest, parse_request

__all__ = ["SimulatedWorker"]

_KEEP_ALIVE_S = 5
_LATE_ANSWER_DELAY_S = 0.03


class SimulatedWorker(Service):
    """A worker process from its start to its end.

    Parameters
    ----------
    history, clock
        Where runs and events are recorded, and the clock in milliseconds for them.
    control_addresses
        Function that returns the control addresses known at present, as a new list.
    name_of
        Function that maps a control address to the name of its machine.
    max_connections
        Number of connections above which requests are aborted.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        address: str,
        zone: str,
        profile: EngineProfile,
        history: History,
        clock: Any,
        control_addresses: Any,
        seed: int,
        name_of: Any = str,
        heartbeat_ms: int = 1200,
        model: str = "m",
        max_connections: int = 120,
    ) -> None:
        super().__init__()
        self.server_id, self.service, self.address, self.zone = server_id, service, address, zone
        self.engine = Engine(profile, server_id, seed)
        self.history, self.now_ms = history, clock
        self.announced, self.hung = "serving", False
        self.acked_ms = 0.0
        self._control_addresses, self._name_of = control_addresses, name_of
        self._rng = random.Random(f"{seed}/{server_id}")
        self._heartbeat_ms, self._model, self._max_connections = (
            heartbeat_ms,
            model,
            max_connections,
        )
        self._pending: dict[int, WorkerCall] = {}
        self._call_count = self._heartbeat_count = 0
        self._heartbeat_address = ""
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()

    async def on_start(self) -> None:
        """Listen, and start the heartbeats."""
        self._server = web.Server(
            self._serve,
            handler_cancellation=True,
            keepalive_timeout=_KEEP_ALIVE_S,
            access_log=None,
            lingering_time=0,
            auto_decompress=False,
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.2)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0))
        self.add_future(self._send_heartbeats())

    async def on_stop(self) -> None:
        """Abort all connections and stop listening."""
        self.hung = True
        if self._timer is not None:
            self._timer.cancel()
        for protocol in list(self._server.connections):
            if protocol.transport is not None:
                protocol.transport.abort()
        await self._runner.cleanup()
        await self._session.close()

    async def crash(self) -> None:
        """End without notice: connections are reset and the port is closed."""
        self.history.add("worker-gone", self.now_ms(), server=self.server_id, how="crash")
        await self.stop()

    def hang(self) -> None:
        """Stop responding: connections stay open, and nothing more is sent on them."""
        self.hung = True
        self.history.add("worker-gone", self.now_ms(), server=self.server_id, how="dark")

    async def leave(self, drain_ms: int) -> bool:
        """Announce draining, serve on, deregister and stop; return whether it was acknowledged.

        The worker deregisters 1.35 times `drain_ms` after the announcement, and stops when its
        engine is empty.
        """
        self.announced = "draining"
        self._feed(DrainStarted())
        for _ in range(20):
            if await self._send_heartbeat("PUT"):
                break
            await asyncio.sleep(0.2)
        acked = bool(self.acked_ms)
        await asyncio.sleep(drain_ms * 1.35 / 1000)
        await self._send_heartbeat("DELETE")
        while sum(self.engine.load()[:2]):
            await asyncio.sleep(0.05)
        self.history.add(
            "worker-gone", self.now_ms(), server=self.server_id, how="left", acked=acked
        )
        await self.stop()
        return acked

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self._rng.random() * 0.2)
        while not self.should_stop and not self.hung and self.announced == "serving":
            await self._send_heartbeat("PUT")
            await asyncio.sleep(self._heartbeat_ms / 1000 * (0.9 + 0.2 * self._rng.random()))

    async def _send_heartbeat(self, method: str) -> bool:
        self._heartbeat_count += 1
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
            "callCount": self._heartbeat_count,
        }
        addresses = self._control_addresses()
        self._rng.shuffle(addresses)
        addresses = ([self._heartbeat_address] if self._heartbeat_address else []) + addresses
        for address in addresses[:4]:
            if self.hung or self.should_stop:
                return False
            with suppress(aiohttp.ClientError, OSError, TimeoutError, ValueError):
                url = f"http://{address}/vaneledge/servers/{self.server_id}"
                async with self._session.request(
                    method, url, json=None if method == "DELETE" else body
                ) as answer:
                    data = await answer.content.read(4097)
                    if 200 <= answer.status < 300 and len(data) <= 4096:
                        self._heartbeat_address = (
                            json.loads(data).get("beatAddress") or "" if data else ""
                        )
                        self._acknowledged(method, address)
                        return True
            self._heartbeat_address = ""
        return False

    def _acknowledged(self, method: str, address: str) -> None:
        if self.announced == "draining" and not self.acked_ms:
            self.acked_ms = self.now_ms()
        if self.announced == "draining":
            self.history.add(
                "drain-ack",
                self.now_ms(),
                server=self.server_id,
                node=self._name_of(address),
                what=method,
            )

    def _feed(self, message: Any) -> None:
        self._dispatch(self.engine.receive(message, self.now_ms()))

    def _advance(self) -> None:
        self._timer = None
        if not self.hung:
            self._dispatch(self.engine.advance(self.now_ms()))

    def _dispatch(self, messages: list[Any]) -> None:
        for message in messages:
            call = self._pending.get(message.key)
            if call is not None:
                self._record(call, message)
                call.messages.put_nowait(message)
        due_ms = self.engine.next_ms()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if due_ms is not None:
            self._timer = asyncio.get_running_loop().call_later(
                max(0.0, due_ms - self.now_ms()) / 1000, self._advance
            )

    def _record(self, call: WorkerCall, message: Any) -> None:
        row, now_ms = call.row, self.now_ms()
        if isinstance(message, RunStarted):
            call.tag = f"{self.server_id}.{message.run}"
            row.update(run=call.tag, began_ms=now_ms, state="running", ill=message.fault)
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

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if len(self._server.connections) > self._max_connections and request.transport is not None:
            request.transport.abort()
        if self.hung:
            await asyncio.Event().wait()
        if request.method == "GET" and request.path == "/vaneledge/report":
            return web.json_response(self._report())
        if request.method == "GET" and request.path == "/health":
            return self._health()
        body = await request.read()
        self._call_count += 1
        key, call = self._call_count, WorkerCall()
        self._pending[key] = call
        engine_request, plan = parse_request(key, request, body, self.engine.profile.first_event)
        call.row = {
            "id": engine_request.request_id,
            "server": self.server_id,
            "service": self.service,
            "host": request.headers.get("Host", ""),
            "method": request.method,
            "target": str(request.rel_url.raw_path_qs),
            "digest": digest(body),
            "after": engine_request.last_event_id,
            "came_ms": round(self.now_ms(), 2),
            "events": [],
            "made_ms": [],
            "over_ms": 0.0,
            "named": engine_request.target_id,
            "urgency": engine_request.urgency,
            "body": "",
            "answered": False,
        }
        self.history.add(
            "arrival",
            self.now_ms(),
            id=engine_request.request_id,
            server=self.server_id,
            named=engine_request.target_id,
        )
        try:
            self._feed(engine_request)
            answer = await self._answer(request, call, plan)
            call.row["answered"] = True
            return answer
        finally:
            if not self.hung:
                self._feed(RequestCancelled(key=key))
            del self._pending[key]

    async def _answer(
        self, request: web.BaseRequest, call: WorkerCall, plan: dict[str, Any]
    ) -> web.StreamResponse:
        first = await call.messages.get()
        if isinstance(first, RequestRejected):
            return self._rejection(request, call, first.status)
        headers = self._headers(request, call)
        if plan["stream"] and first.fault not in ("error", "unable", "garbled"):
            return await self._stream(request, call, plan, headers)
        while not isinstance(message := await call.messages.get(), RunEnded):
            pass
        return await self._answer_at_once(request, call, plan, headers, message)

    async def _stream(
        self,
        request: web.BaseRequest,
        call: WorkerCall,
        plan: dict[str, Any],
        headers: dict[str, str],
    ) -> web.StreamResponse:
        answer = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        self._set_keep_alive(answer, headers)
        await answer.prepare(request)
        while not isinstance(message := await call.messages.get(), RunEnded):
            pad = "." * plan["pad"]
            await answer.write(
                f"id: {message.number}\ndata: {call.row['id']}/{call.tag}/"
                f"{message.number}/{pad}\n\n".encode()
            )
        if message.state != "finished":
            return self._break_connection(request, answer, call.row["ill"])
        await answer.write_eof()
        await self._send_surplus_answer(request, message.fault)
        return answer

    async def _answer_at_once(
        self,
        request: web.BaseRequest,
        call: WorkerCall,
        plan: dict[str, Any],
        headers: dict[str, str],
        ended: RunEnded,
    ) -> web.StreamResponse:
        status = {"finished": 200, "error": 500, "unable": 422, "late": 504}.get(ended.state, 200)
        body = f"{call.row['id']}/{call.tag}/{'.' * plan['pad']}".encode()
        call.row["body"] = digest(body)
        if ended.state == "garbled":
            request.transport.write(b"\x16\x03 no answer at all\r\n\r\n" + body)
            return self._break_connection(request, web.StreamResponse(), "garbled")
        answer = web.StreamResponse(
            status=status, headers={**headers, "Content-Type": "application/octet-stream"}
        )
        answer.content_length = len(body)
        self._set_keep_alive(answer, headers)
        if ended.state == "broken" and ended.fault == "cut":
            return self._break_connection(request, answer, "cut")
        await answer.prepare(request)
        if ended.state == "broken":
            await answer.write(body[: len(body) // 2])
            return self._break_connection(request, answer, "short")
        await answer.write(body)
        await answer.write_eof()
        await self._send_surplus_answer(request, ended.fault)
        return answer

    def _break_connection(
        self, request: web.BaseRequest, answer: web.StreamResponse, fault: str
    ) -> web.StreamResponse:
        if request.transport is not None:
            request.transport.abort() if fault == "cut" else request.transport.close()
        return answer

    async def _send_surplus_answer(self, request: web.BaseRequest, fault: str) -> None:
        """Send a second answer, which belongs to no request, for the faults `surplus` and `late`.

        On a kept connection it arrives where the answer to the next request is expected.
        """
        if fault == "late":
            await asyncio.sleep(_LATE_ANSWER_DELAY_S)
        if fault in ("surplus", "late") and request.transport is not None:
            request.transport.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: nobody\r\n"
                b"Server-Seal: 0.0\r\nContent-Length: 3\r\n\r\nxyz"
            )

    def _headers(self, request: web.BaseRequest, call: WorkerCall) -> dict[str, str]:
        headers = {"Request-Id": call.row["id"], "Server-Seal": f"{call.tag}.{call.row['digest']}"}
        call.row["seal"] = headers["Server-Seal"]
        if self.engine.profile.reports_load:
            headers["Server-Load"] = ",".join(map(str, self.engine.load()))
        return headers

    def _set_keep_alive(self, answer: web.StreamResponse, headers: dict[str, str]) -> None:
        if self.announced == "draining" or self._rng.random() < 0.02:
            answer.force_close()
        else:
            answer.headers["Keep-Alive"] = f"timeout={_KEEP_ALIVE_S}"

    def _rejection(self, request: web.BaseRequest, call: WorkerCall, status: int) -> web.Response:
        named = {"Served-By": self.server_id} if status == 421 else {"Not-Run": "1"}
        headers = {"Request-Id": call.row["id"], **named}
        if self.engine.profile.reports_load:
            headers["Server-Load"] = ",".join(map(str, self.engine.load()))
        return web.Response(status=status, headers=headers)

    def _health(self) -> web.Response:
        running, _, slots = self.engine.load()
        healthy = self.announced == "serving" and running < slots
        return web.Response(
            status=200 if healthy else 503,
            headers={"Served-By": self.server_id} | ({} if healthy else {"Not-Run": "1"}),
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
