"""A stand-in model worker, with completions and chat completions like those of OpenAI's API.

Requests run in a bounded number of slots, and a prompt whose prefix is in the cache skips the
prefill. The worker sends heartbeats to edges and announces that it leaves. Responses, whole or
streamed, carry its identity, incarnation and weights and the request's transaction. A request for
another worker, another incarnation or other weights is refused. All runs are recorded.
"""

import asyncio
import json
import time
from collections import OrderedDict
from typing import Any

import aiohttp
from aiohttp import web
from mode import Service
from request_routing.prefix_placement import prefix_of

__all__ = ["StandInWorker"]

_WORDS = ("the", "table", "holds", "a", "quiet", "rule", "and", "turns", "it", "over")


class StandInWorker(Service):
    """A stand-in worker; `hits` and `misses` count prompts by whether their prefix was cached.

    Parameters
    ----------
    edges
        HTTP addresses of edges. A heartbeat goes to one of them, or to the next if it fails.
    token_ms
        Time for each token.
    tokens
        Tokens of a completion whose request does not set `max_tokens`.
    prefill_ms
        Added time for a prompt whose prefix is not cached.
    cache_prefixes
        Number of prefixes that the cache holds; the least recently used is evicted.
    beat_ms
        Time between heartbeats.
    runs_file
        File to which the begin and end of each run is appended as a JSON line; none if empty.
    faults
        The injected faults, whose cuts keep heartbeats from edges.
    """

    def __init__(
        self,
        identity: str,
        address: str,
        edges: list[str],
        zone: str = "a",
        labels: list[str] | None = None,
        slots: int = 8,
        token_ms: float = 2.0,
        tokens: int = 12,
        prefill_ms: float = 20.0,
        cache_prefixes: int = 32,
        beat_ms: int = 300,
        runs_file: str = "",
        faults: Any = None,
    ) -> None:
        super().__init__()
        self.identity, self.address, self.edges = identity, address, edges
        self.zone, self.labels, self.slots = zone, labels or [], slots
        self.incarnation = time.time_ns() // 1_000_000
        self.runs: list[dict[str, Any]] = []
        self.hits = self.misses = 0
        self.weights = "w1"
        self._token_ms, self._tokens, self._prefill_ms = token_ms, tokens, prefill_ms
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._cache_length = cache_prefixes
        self._beat_ms = beat_ms
        self._faults = faults
        self._heartbeat_number = 0
        self._running = 0
        self._slot_semaphore = asyncio.Semaphore(slots)
        self._waiting = 0
        self._leaving = False
        self._runs_file = open(runs_file, "a", buffering=1) if runs_file else None  # noqa: SIM115 -- kept open

    def _record(self, kind: str, **fields: Any) -> None:
        if self._runs_file is not None:
            self._runs_file.write(
                json.dumps(
                    {
                        "kind": kind,
                        "wall_ms": time.time_ns() // 1_000_000,
                        "worker": f"{self.identity}/{self.incarnation}",
                        **fields,
                    }
                )
                + "\n"
            )

    async def on_start(self) -> None:
        """Start the HTTP server and the heartbeats."""
        app = web.Application()
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/runs", self._show_runs)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0))
        self.add_future(self._send_heartbeats())

    async def on_stop(self) -> None:
        """Close all connections and stop the HTTP server."""
        await self._session.close()
        await self._runner.cleanup()

    async def leave(self) -> None:
        """Refuse further requests, and announce to an edge that the worker leaves."""
        self._leaving = True
        self._record("left")
        await self._post_to_edge(
            "/workers/leave", {"identity": self.identity, "incarnation": self.incarnation}
        )

    async def _send_heartbeats(self) -> None:
        while not self.should_stop and not self._leaving:
            self._heartbeat_number += 1
            await self._post_to_edge(
                "/workers/beat",
                {
                    "identity": self.identity,
                    "incarnation": self.incarnation,
                    "address": self.address,
                    "beat": self._heartbeat_number,
                    "zone": self.zone,
                    "labels": self.labels,
                    "running": self._running,
                    "waiting": self._waiting,
                    "slots": self.slots,
                    "cache_use": len(self._cache) / self._cache_length,
                },
            )
            await asyncio.sleep(self._beat_ms / 1000)

    async def _post_to_edge(self, address: str, body: dict[str, Any]) -> None:
        if self._faults is not None:
            self._faults.read()
        for attempt in range(len(self.edges)):
            edge = self.edges[(self._heartbeat_number + attempt) % len(self.edges)]
            if self._faults is not None and not (
                self._faults.can_send_to(edge) and self._faults.can_receive_from(edge)
            ):
                continue
            try:
                async with self._session.post(f"http://{edge}{address}", json=body) as response:
                    await response.read()
                    return
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue

    def _refuse(self, code: str, status: int, headers: dict[str, str]) -> web.Response:
        return web.json_response(
            {"error": {"verdict": "not_run", "code": code, "message": code}},
            status=status,
            headers=headers,
        )

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        worker_id = f"{self.identity}/{self.incarnation}"
        transaction = request.headers.get("X-Vaneledge-Transaction", "")
        headers = {
            "X-Vaneledge-Worker": worker_id,
            "X-Vaneledge-Transaction": transaction,
            "X-Vaneledge-Weights": self.weights,
        }
        if request.headers.get("X-Vaneledge-Worker") != worker_id:
            return self._refuse("wrong-worker", 409, headers)
        if request.headers.get("X-Vaneledge-Weights", "") not in ("", self.weights):
            return self._refuse("wrong-weights", 409, headers)
        if self._waiting >= self.slots or self._leaving:
            return self._refuse("busy", 429, headers)
        body = await request.json()
        self._waiting += 1
        async with self._slot_semaphore:
            self._waiting -= 1
            self._running += 1
            run = {
                "transaction": transaction,
                "started_ms": time.time_ns() // 1_000_000,
                "ended": False,
                "path": body.get("model", ""),
                "prompt": str(body.get("prompt") or body.get("messages"))[-80:],
            }
            self.runs.append(run)
            self._record(
                "run", identity=self.identity, labels=self.labels, address=self.address, **run
            )
            try:
                await self._prefill(prefix_of(body))
                response = await (self._respond_streamed if body.get("stream") else self._respond)(
                    request, body, transaction, headers
                )
                run["ended"] = True
                self._record(
                    "run-ended", transaction=transaction, pieces=len(self._tokens_of(body))
                )
                return response
            finally:
                self._running -= 1

    async def _prefill(self, prefix: str) -> None:
        is_cached = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > self._cache_length:
            self._cache.popitem(last=False)
        self.hits += is_cached
        self.misses += not is_cached
        if not is_cached:
            await asyncio.sleep(self._prefill_ms / 1000)

    def _tokens_of(self, body: dict[str, Any]) -> list[str]:
        count = min(int(body.get("max_tokens") or self._tokens), 512)
        seed = sum(map(ord, str(body.get("prompt") or body.get("messages"))))
        return [_WORDS[(seed + index) % len(_WORDS)] + " " for index in range(count)]

    async def _respond(
        self, request: web.Request, body: dict, transaction: str, headers: dict
    ) -> web.Response:
        tokens = self._tokens_of(body)
        await asyncio.sleep(len(tokens) * self._token_ms / 1000)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if "messages" in body:
            choice["message"] = {"role": "assistant", "content": "".join(tokens)}
        else:
            choice["text"] = "".join(tokens)
        return web.json_response(
            {
                "id": transaction,
                "object": "text_completion",
                "model": body.get("model", ""),
                "choices": [choice],
                "usage": {"completion_tokens": len(tokens)},
            },
            headers=headers,
        )

    async def _respond_streamed(
        self, request: web.Request, body: dict, transaction: str, headers: dict
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        await response.prepare(request)
        for index, token in enumerate(self._tokens_of(body)):
            await asyncio.sleep(self._token_ms / 1000)
            choice = (
                {"index": 0, "delta": {"content": token}}
                if "messages" in body
                else {"index": 0, "text": token}
            )
            data = json.dumps({"id": transaction, "object": "text_completion", "choices": [choice]})
            await response.write(f"id: {index}\ndata: {data}\n\n".encode())
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _show_runs(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "identity": self.identity,
                "incarnation": self.incarnation,
                "runs": self.runs,
                "hits": self.hits,
                "misses": self.misses,
            }
        )
