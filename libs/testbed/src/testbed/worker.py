"""A stand-in model worker with an API as of OpenAI, for completions whole or streamed.

It has a bounded number of slots and a cache of prompt prefixes that makes a known start cheaper,
sends heartbeats and leaves in order. It returns identity, incarnation and transaction, refuses what
was meant for another worker, and keeps a list of its runs.
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
    """One worker, whose runs are also written to `runs_file` as JSON lines.

    `hits` and `misses` count prompts whose prefix was in the cache or not. `faults` gives the
    faults that keep heartbeats from edges.
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
        self._beat = 0
        self._running = 0
        self._gate = asyncio.Semaphore(slots)
        self._waiting = 0
        self._leaving = False
        self._runs_page = open(runs_file, "a", buffering=1) if runs_file else None  # noqa: SIM115 -- kept open

    def _note(self, kind: str, **fields: Any) -> None:
        if self._runs_page is not None:
            self._runs_page.write(
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
        """Listen, and start the heartbeats."""
        app = web.Application()
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/runs", self._show_runs)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0))
        self.add_future(self._beats())

    async def on_stop(self) -> None:
        """Close all connections and stop listening."""
        await self._session.close()
        await self._runner.cleanup()

    async def leave(self) -> None:
        """Announce to an edge that the worker takes no more requests."""
        self._leaving = True
        self._note("left")
        await self._tell(
            "/workers/leave", {"identity": self.identity, "incarnation": self.incarnation}
        )

    # -- beats ---------------------------------------------------------------------------------

    async def _beats(self) -> None:
        while not self.should_stop and not self._leaving:
            self._beat += 1
            await self._tell(
                "/workers/beat",
                {
                    "identity": self.identity,
                    "incarnation": self.incarnation,
                    "address": self.address,
                    "beat": self._beat,
                    "zone": self.zone,
                    "labels": self.labels,
                    "running": self._running,
                    "waiting": self._waiting,
                    "slots": self.slots,
                    "cache_use": len(self._cache) / self._cache_length,
                },
            )
            await asyncio.sleep(self._beat_ms / 1000)

    async def _tell(self, address: str, body: dict[str, Any]) -> None:
        if self._faults is not None:
            self._faults.read()
        for attempt in range(len(self.edges)):
            edge = self.edges[(self._beat + attempt) % len(self.edges)]
            if self._faults is not None and not (
                self._faults.lets_out(edge) and self._faults.lets_in(edge)
            ):
                continue
            try:
                async with self._session.post(f"http://{edge}{address}", json=body) as answer:
                    await answer.read()
                    return
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue

    # -- completions ---------------------------------------------------------------------------

    def _refuse(self, code: str, status: int, headers: dict[str, str]) -> web.Response:
        return web.json_response(
            {"error": {"verdict": "not_run", "code": code, "message": code}},
            status=status,
            headers=headers,
        )

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        stamp = f"{self.identity}/{self.incarnation}"
        transaction = request.headers.get("X-Vaneledge-Transaction", "")
        headers = {
            "X-Vaneledge-Worker": stamp,
            "X-Vaneledge-Transaction": transaction,
            "X-Vaneledge-Weights": self.weights,
        }
        if request.headers.get("X-Vaneledge-Worker") != stamp:
            return self._refuse("wrong-worker", 409, headers)
        if request.headers.get("X-Vaneledge-Weights", "") not in ("", self.weights):
            return self._refuse("wrong-weights", 409, headers)
        if self._waiting >= self.slots or self._leaving:
            return self._refuse("busy", 429, headers)
        body = await request.json()
        self._waiting += 1
        async with self._gate:
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
            self._note(
                "run", identity=self.identity, labels=self.labels, address=self.address, **run
            )
            try:
                await self._prefill(prefix_of(body))
                answer = await (self._stream if body.get("stream") else self._whole)(
                    request, body, transaction, headers
                )
                run["ended"] = True
                self._note("run-ended", transaction=transaction, pieces=len(self._words(body)))
                return answer
            finally:
                self._running -= 1

    async def _prefill(self, prefix: str) -> None:
        known = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > self._cache_length:
            self._cache.popitem(last=False)
        self.hits += known
        self.misses += not known
        if not known:
            await asyncio.sleep(self._prefill_ms / 1000)

    def _words(self, body: dict[str, Any]) -> list[str]:
        count = min(int(body.get("max_tokens") or self._tokens), 512)
        seed = sum(map(ord, str(body.get("prompt") or body.get("messages"))))
        return [_WORDS[(seed + place) % len(_WORDS)] + " " for place in range(count)]

    async def _whole(
        self, request: web.Request, body: dict, transaction: str, headers: dict
    ) -> web.Response:
        words = self._words(body)
        await asyncio.sleep(len(words) * self._token_ms / 1000)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if "messages" in body:
            choice["message"] = {"role": "assistant", "content": "".join(words)}
        else:
            choice["text"] = "".join(words)
        return web.json_response(
            {
                "id": transaction,
                "object": "text_completion",
                "model": body.get("model", ""),
                "choices": [choice],
                "usage": {"completion_tokens": len(words)},
            },
            headers=headers,
        )

    async def _stream(
        self, request: web.Request, body: dict, transaction: str, headers: dict
    ) -> web.StreamResponse:
        answer = web.StreamResponse(headers={**headers, "Content-Type": "text/event-stream"})
        await answer.prepare(request)
        for place, word in enumerate(self._words(body)):
            await asyncio.sleep(self._token_ms / 1000)
            choice = (
                {"index": 0, "delta": {"content": word}}
                if "messages" in body
                else {"index": 0, "text": word}
            )
            data = json.dumps({"id": transaction, "object": "text_completion", "choices": [choice]})
            await answer.write(f"id: {place}\ndata: {data}\n\n".encode())
        await answer.write(b"data: [DONE]\n\n")
        await answer.write_eof()
        return answer

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
