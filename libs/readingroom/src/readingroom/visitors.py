"""The visitors' side of an edge: live transactions, and lots handed in, read and ended."""

import hashlib
import json
import re
import secrets
from typing import Any

from aiohttp import web

from circulation import Budget, Step, Transaction, prefix_of
from colophon import Refusal, boot_ms, doubtful, log, refused, wall_ms
from ledger import messages as m
from readingroom.calls import LOT_ID, CompletionCall, HandInCall
from readingroom.carrier import Carrier
from readingroom.desk_http import HttpDesk, answer_refusal, json_answer, read_call
from vellum import decode
from vellum.shell import awaited

__all__ = ["Visitors", "not_ready"]

_KEY = re.compile(r"^[\x21-\x7e]{1,255}$")
_PAGE = 1000


def not_ready(reason: str, named: bool) -> Refusal:
    """Nothing was sent on; but what has a key or an id may have come through another edge before."""
    make = doubtful if named else refused
    return make("not-ready", reason, retryAfterMs=1000, status=503)


def _digest(value: Any) -> str:
    return hashlib.blake2b(json.dumps(value, sort_keys=True).encode(), digest_size=16).hexdigest()


class _SseSink:
    """The visitor's stream, begun with the first piece so that a refusal can still be an error."""

    __slots__ = ("_request", "_transactionId", "response")

    def __init__(self, request: web.Request, transactionId: str) -> None:
        self._request = request
        self._transactionId = transactionId
        self.response: web.StreamResponse | None = None

    async def piece(self, data: bytes) -> None:
        if self.response is None:
            self.response = web.StreamResponse(headers={
                "Content-Type": "text/event-stream", "Cache-Control": "no-store",
                "X-Vaneledge-Transaction": self._transactionId})
            await self.response.prepare(self._request)
        await self.response.write(data)


class Visitors:
    __slots__ = ("_budgets", "_carrier", "_node", "liveNow")

    def __init__(self, node: Any, carrier: Carrier, desk: HttpDesk) -> None:
        self._node = node
        self._carrier = carrier
        self._budgets: dict[str, Budget] = {}
        self.liveNow = 0
        router = desk.app.router
        router.add_post("/v1/completions", self._live)
        router.add_post("/v1/chat/completions", self._live)
        router.add_put("/lots/{lotId}", self._hand_in)
        router.add_get("/lots/{lotId}", self._lot)
        router.add_get("/lots/{lotId}/results", self._results)
        router.add_delete("/lots/{lotId}", self._end)

    def budget(self, path: str) -> Budget:
        return self._budgets.setdefault(path, Budget())

    # -- live ----------------------------------------------------------------------------------

    async def _live(self, request: web.Request) -> web.StreamResponse:
        if reason := self._node.why_unready():
            return answer_refusal(not_ready(reason, "Idempotency-Key" in request.headers))
        call = await read_call(request, self._node.params.maxBodyBytes, CompletionCall)
        if isinstance(call, Refusal):
            return answer_refusal(call)
        if fault := self._live_fault(call, request):
            return answer_refusal(fault)
        body = call.model_dump(exclude_none=True, exclude={"model", "stream"})
        tx = Transaction(secrets.token_hex(12), self._node.tree().usable(call.model),
                         request.headers.get("Idempotency-Key", ""), boot_ms(), self.budget(call.model))
        sink = _SseSink(request, tx.transactionId) if call.stream else None
        self.liveNow += 1
        try:
            step = await self._carrier.carry(tx, body, _digest([call.model, call.stream, body]), prefix_of(body), False,
                                             sink)
            return await self._answer_live(request, tx, step, sink, call.stream)
        finally:
            self.liveNow -= 1

    def _live_fault(self, call: CompletionCall, request: web.Request) -> Refusal | None:
        chat = request.path.endswith("/chat/completions")
        wanted, other = ("messages", "prompt") if chat else ("prompt", "messages")
        if getattr(call, wanted) is None:
            return refused("bad-field", f"{wanted}: this address needs it", field=wanted)
        if getattr(call, other) is not None:
            return refused("bad-field", f"{other}: does not belong to this address", field=other)
        if self._node.tree().usable(call.model) is None:
            return refused("unknown-path", f"model: no profile is called {call.model!r}", 404, field="model")
        key = request.headers.get("Idempotency-Key", "")
        if key and not _KEY.match(key):
            return refused("bad-field", "Idempotency-Key: 1 to 255 printable characters", field="Idempotency-Key")
        return None

    async def _answer_live(self, request: web.Request, tx: Transaction, step: Step, sink: _SseSink | None,
                           stream: bool) -> web.StreamResponse:
        if step.name in ("finish", "replay"):
            status, body = step.value
            if not stream or status != 200:
                return web.Response(text=body, status=status, content_type="application/json", headers={
                    "X-Vaneledge-Transaction": tx.transactionId,
                    "X-Vaneledge-Replayed": "true" if step.name == "replay" else "false"})
            if step.name == "replay":
                await sink.piece(body.encode())
            if sink.response is None:
                await sink.piece(b"")
            await sink.response.write(b"data: [DONE]\n\n")
            await sink.response.write_eof()
            return sink.response
        if sink is None or sink.response is None:
            return answer_refusal(step.refusal, tx.transactionId)
        request["verdict"], request["code"] = str(step.refusal.verdict), step.refusal.code
        try:
            await sink.response.write(b"event: error\ndata: " + json.dumps(step.refusal.body()).encode() + b"\n\n")
        except ConnectionError:
            pass
        if request.transport is not None:
            request.transport.abort()
        return sink.response

    # -- lots ----------------------------------------------------------------------------------

    def _lot_id(self, request: web.Request) -> str | Refusal:
        lotId = request.match_info["lotId"]
        if not re.match(LOT_ID, lotId):
            return refused("bad-field", "lotId: letters, digits, dot, dash, underscore; at most 128", field="lotId")
        return lotId

    async def _ask(self, message: Any) -> Any:
        return await awaited(lambda done: self._node.holder.ask(message, self._node.params.forceMs, done))

    async def _hand_in(self, request: web.Request) -> web.StreamResponse:
        lotId = self._lot_id(request)
        if isinstance(lotId, Refusal):
            return answer_refusal(lotId)
        if reason := self._node.why_unready():
            return answer_refusal(not_ready(reason, True))
        call = await read_call(request, self._node.params.maxBodyBytes, HandInCall)
        if isinstance(call, Refusal):
            return answer_refusal(call)
        profile = self._node.tree().usable(call.path)
        if profile is None:
            return answer_refusal(refused("unknown-path", f"path: no profile is called {call.path!r}", 404, field="path"))
        items = [json.dumps(item.model_dump(exclude_none=True), sort_keys=True) for item in call.items]
        receipt = await self._ask(m.HandIn(
            lotId=lotId, digest=_digest([call.path, call.dueMs, items]), path=call.path, items=items,
            safe=profile.repeatable, dueMs=wall_ms() + call.dueMs, epoch=0, holderMs=0))
        outcome = receipt.outcome if receipt is not None else "unknown"
        log("lot-handed-in", lot=lotId, path=call.path, outcome=outcome, items=len(items))
        return self._answer_hand_in(lotId, outcome, receipt)

    def _answer_hand_in(self, lotId: str, outcome: str, receipt: Any) -> web.Response:
        if outcome in ("admitted", "known"):
            return json_answer(_shown(receipt), 201 if outcome == "admitted" else 200)
        if outcome == "conflict":
            return answer_refusal(refused("lot-reused", "lotId: this id came before with other content; this content "
                                          "has not run", 409, field="lotId"))
        if outcome == "noRoom":
            return answer_refusal(refused("waiting-room-full", "the waiting room of this path is full", 429, 2000))
        if outcome == "noPath":
            return answer_refusal(refused("unknown-path", "path: no such profile is in force at the stores", 404,
                                          field="path"))
        if outcome == "full":
            return answer_refusal(refused("stores-full", "the stores have no room", 503, 5000))
        return answer_refusal(doubtful("lot-in-doubt", f"lot {lotId} may have been accepted; hand the same in again "
                                       "to learn which", 1000))

    async def _lot(self, request: web.Request) -> web.StreamResponse:
        lotId = self._lot_id(request)
        if isinstance(lotId, Refusal):
            return answer_refusal(lotId)
        return self._answer_lot(lotId, await self._ask(m.ReadLot(lotId=lotId)))

    def _answer_lot(self, lotId: str, receipt: Any) -> web.Response:
        if receipt is None or receipt.outcome == "unknown":
            return answer_refusal(doubtful("stores-silent", "the stores did not answer", 1000))
        if receipt.outcome == "missing":
            return answer_refusal(refused("unknown-lot", f"lotId: no lot {lotId} was accepted", 404, field="lotId"))
        if receipt.outcome == "full":
            return answer_refusal(refused("stores-full", "the stores have no room", 503, 5000))
        return json_answer(_shown(receipt))

    async def _results(self, request: web.Request) -> web.StreamResponse:
        lotId = self._lot_id(request)
        if isinstance(lotId, Refusal):
            return answer_refusal(lotId)
        numbers: dict[str, int] = {"from": 0, "limit": _PAGE}
        for name, value in request.query.items():
            if name not in numbers or not re.match(r"^\d{1,9}$", value):
                return answer_refusal(refused("bad-field", f"{name}: a whole number from 0, or unknown", field=name))
            numbers[name] = int(value)
        receipt = await self._ask(m.ReadResults(lotId=lotId, fromIndex=numbers["from"],
                                                limit=max(1, min(_PAGE, numbers["limit"]))))
        if receipt is not None and receipt.outcome == "beyond":
            return answer_refusal(refused("beyond", f"from: the lot has {receipt.total} items", 416, field="from"))
        if receipt is None or receipt.outcome != "known":
            return self._answer_lot(lotId, receipt)
        rows = [_result(decode(data)) for data in receipt.rows]
        return json_answer({"lotId": lotId, "from": numbers["from"], "results": rows, "listed": receipt.placed,
                            "total": receipt.total, "ended": receipt.ended,
                            "next": numbers["from"] + len(rows)})

    async def _end(self, request: web.Request) -> web.StreamResponse:
        lotId = self._lot_id(request)
        if isinstance(lotId, Refusal):
            return answer_refusal(lotId)
        receipt = await self._ask(m.EndLot(lotId=lotId))
        if receipt is not None and receipt.outcome == "known":
            self._node.lots.stop(lotId, "ended here")
        log("lot-ended", lot=lotId, outcome=receipt.outcome if receipt is not None else "unknown")
        return self._answer_lot(lotId, receipt)


def _shown(receipt: Any) -> dict[str, Any]:
    state = "ended" if receipt.ended else "done" if receipt.placed >= receipt.total else "open"
    return {"lotId": receipt.lotId, "path": receipt.path, "state": state, "total": receipt.total,
            "finished": receipt.finished, "listed": receipt.placed, "running": receipt.running, "dueMs": receipt.dueMs}


def _result(row: Any) -> dict[str, Any]:
    shown: dict[str, Any] = {"index": row.index, "verdict": row.outcome if row.outcome != "refused" else "notRun"}
    try:
        shown["body"] = json.loads(row.body)
    except ValueError:
        shown["body"] = row.body
    return shown
