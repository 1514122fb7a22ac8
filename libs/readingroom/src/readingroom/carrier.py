"""Drives a transaction's chart: opens it at the stores, places it, sends it to a worker and checks
what comes back, hands pieces to a sink. Whether a failed send may have run is decided here, from
what is known of the connection: only a refused connection, or the worker's own word, is `not run`."""

import asyncio
import json
from typing import Any, Protocol

import aiohttp

from circulation import Step, StreamCheck, Transaction, Worker, check_whole, choose
from colophon import Refusal, boot_ms, log
from ledger import messages as m
from vellum.shell import awaited

__all__ = ["Carrier", "Sink"]

_END_EVENT = b"data: [DONE]\n\n"
_NOT_RUN_STATUS = (409, 429, 503)


class Sink(Protocol):
    """Where pieces of a stream go. A gone visitor raises ConnectionError."""

    async def piece(self, data: bytes) -> None: ...


class _Failed(Exception):
    def __init__(self, mayHaveRun: bool, reason: str) -> None:
        super().__init__(reason)
        self.mayHaveRun = mayHaveRun
        self.reason = reason


class _Rejected(Exception):
    def __init__(self, status: int, body: str) -> None:
        super().__init__(str(status))
        self.status = status
        self.body = body


class Carrier:
    __slots__ = ("_node", "_session", "byPrefix", "counts")

    def __init__(self, node: Any, session: aiohttp.ClientSession) -> None:
        self._node = node
        self._session = session
        self.byPrefix = True
        self.counts: dict[str, int] = {}

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    async def carry(self, tx: Transaction, body: dict[str, Any], digest: str, prefix: str, lot: bool,
                    sink: Sink | None) -> Step:
        """Runs the chart to its end; the last step is replay, finish, refuse or cut."""
        step = tx.begin()
        while True:
            if step.name == "open":
                step = await self._open(tx, digest)
            elif step.name == "place":
                step = self._place(tx, prefix, lot)
            elif step.name == "send":
                step = await self._send(tx, step.value, body, lot, sink)
            elif step.name == "close":
                await self._close(tx, step)
                step = tx.closed()
            else:
                self.count(f"steps_{step.name}")
                log("transaction-ended", "INFO" if step.name in ("finish", "replay") else "WARNING",
                    transaction=tx.transactionId, path=tx.profile.name, key=tx.key, state=str(tx.state),
                    sends=tx.sends, tookMs=boot_ms() - tx.startedMs,
                    code=step.refusal.code if step.refusal else "", verdict=str(step.refusal.verdict)
                    if step.refusal else "", replayed=step.name == "replay",
                    bytes=len(step.value[1]) if step.name == "finish" else 0,
                    **({"lot": tx.lot[0], "index": tx.lot[1]} if tx.lot else {}))
                return step

    async def _open(self, tx: Transaction, digest: str) -> Step:
        leftMs = max(100, tx.dueMs - boot_ms())
        receipt = await awaited(lambda done: self._node.holder.ask(
            m.OpenKey(key=tx.key, digest=digest, edge=self._node.lots.edge, transaction=tx.transactionId, epoch=0,
                      holderMs=0), leftMs, done))
        if receipt is None:
            return tx.open_receipt("unknown")
        return tx.open_receipt(receipt.outcome, receipt.status, receipt.body)

    async def _close(self, tx: Transaction, step: Step) -> None:
        status, body = step.value if step.value is not None else (0, "")
        receipt = await awaited(lambda done: self._node.holder.ask(
            m.CloseKey(key=tx.key, transaction=tx.transactionId, state=step.closeAs, status=status, body=body),
            self._node.params.askMs * 2, done))
        if receipt is None:
            log("key-left-open", "WARNING", transaction=tx.transactionId, key=tx.key, state=step.closeAs)

    def _place(self, tx: Transaction, prefix: str, lot: bool) -> Step:
        workers = [worker for worker in self._node.roster.workers()
                   if tx.profile.allows(worker.identity, worker.labels)]
        params = self._node.params
        share = params.liveShare if lot else 1 - tx.profile.liveShare
        worker = choose(workers, prefix, lot, params.zone, tx.profile.zone == "near", share, tx.profile.lotShare,
                        frozenset(tx.avoid), self.byPrefix)
        if worker is None and tx.avoid:
            worker = choose(workers, prefix, lot, params.zone, False, share, tx.profile.lotShare, frozenset(),
                            self.byPrefix)
        if worker is None and lot and self._node.lots.running() <= 1:
            worker = choose(workers, prefix, False, params.zone, False, 0.0, avoid=frozenset(tx.avoid))
        return tx.placed(worker, bool(workers))

    # -- one send ------------------------------------------------------------------------------

    async def _send(self, tx: Transaction, worker: Worker, body: dict[str, Any], lot: bool, sink: Sink | None) -> Step:
        self.count("sends_lot" if lot else "sends_live")
        worker.sending += 1
        leftMs = max(1, tx.dueMs - boot_ms())
        log("send", "DEBUG", transaction=tx.transactionId, worker=worker.stamp, path=tx.profile.name)
        try:
            async with asyncio.timeout(leftMs / 1000) as limit:
                watch = asyncio.ensure_future(self._watch(tx, worker, limit))
                try:
                    return await self._exchange(tx, worker, body, sink)
                finally:
                    watch.cancel()
        except _Rejected as rejected:
            return tx.rejected(rejected.status, rejected.body)
        except _Failed as failed:
            mayHaveRun, reason = failed.mayHaveRun, failed.reason
        except TimeoutError:
            mayHaveRun, reason = True, "worker silent" if boot_ms() < tx.dueMs else "deadline"
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            self._node.roster.connection_failed(worker)
            mayHaveRun, reason = False, "no connection"
        except (aiohttp.ClientError, OSError) as error:
            self._node.roster.connection_failed(worker)
            mayHaveRun, reason = True, type(error).__name__
        finally:
            worker.sending -= 1
        self.count("sends_failed")
        log("send-failed", "WARNING", transaction=tx.transactionId, worker=worker.stamp, reason=reason,
            mayHaveRun=mayHaveRun)
        return tx.failed(worker.stamp, mayHaveRun, reason, boot_ms())

    async def _watch(self, tx: Transaction, worker: Worker, limit: asyncio.Timeout) -> None:
        """A worker whose beats have stopped is waited for no longer, as long as all can be sent anew."""
        while tx.safe and not tx.delivered:
            if self._node.roster.silent(worker):
                limit.reschedule(asyncio.get_running_loop().time())
                return
            await asyncio.sleep(self._node.params.beatMs / 2000)

    async def _exchange(self, tx: Transaction, worker: Worker, body: dict[str, Any], sink: Sink | None) -> Step:
        kind = "/v1/chat/completions" if body.get("messages") is not None else "/v1/completions"
        sent = {**body, "model": tx.profile.path, "stream": sink is not None}
        headers = {"X-Vaneledge-Worker": worker.stamp, "X-Vaneledge-Transaction": tx.transactionId}
        async with self._session.post(f"http://{worker.address}{kind}", json=sent, headers=headers,
                                      allow_redirects=False) as answer:
            await self._check_head(tx, worker, answer)
            if sink is None:
                data = await answer.read()
                fault = check_whole(data, answer.content_length, tx.transactionId,
                                    answer.headers.get("X-Vaneledge-Transaction", ""))
                if fault:
                    raise _Failed(True, f"body not whole: {fault}")
                tx.begun()
                return tx.ended(200, data.decode())
            tx.begun()
            return await self._relay(tx, answer, sink)

    async def _check_head(self, tx: Transaction, worker: Worker, answer: aiohttp.ClientResponse) -> None:
        matches = (answer.headers.get("X-Vaneledge-Worker") == worker.stamp
                   and answer.headers.get("X-Vaneledge-Transaction") == tx.transactionId)
        if answer.status == 200 and matches:
            return
        text = await answer.text(errors="replace")
        verdict, code = _verdict_of(text)
        if code == "wrong-worker":
            self._node.roster.mismatched(worker)
            raise _Failed(False, "another worker answered")
        if not matches:
            raise _Failed(True, "ids do not match")
        if answer.status in _NOT_RUN_STATUS and verdict == "notRun":
            raise _Failed(False, code or str(answer.status))
        if 400 <= answer.status < 500:
            raise _Rejected(answer.status, text)
        raise _Failed(True, f"status {answer.status}")

    async def _relay(self, tx: Transaction, answer: aiohttp.ClientResponse, sink: Sink) -> Step:
        """The end mark is held back until the stream is known to be whole, and recorded if need be."""
        check = StreamCheck()
        kept: list[bytes] = []
        gone = False
        try:
            async for chunk in answer.content.iter_any():
                for event in check.feed(chunk):
                    if event == _END_EVENT:
                        continue
                    kept.append(event)
                    if not gone:
                        gone = await self._deliver(tx, sink, event)
        except (aiohttp.ClientError, OSError) as error:
            raise _Failed(True, f"stream broke: {type(error).__name__}") from error
        if fault := check.close():
            raise _Failed(True, f"stream not whole: {fault}")
        return tx.ended(200, b"".join(kept).decode())

    async def _deliver(self, tx: Transaction, sink: Sink, event: bytes) -> bool:
        """True if the visitor is gone; what is not safe to repeat is then still run to its end."""
        tx.piece_delivered()
        try:
            await sink.piece(event)
        except ConnectionError:
            if not tx.opened:
                raise
            return True
        return False


def _verdict_of(text: str) -> tuple[str, str]:
    try:
        error = json.loads(text)["error"]
        return str(error.get("verdict", "")), str(error.get("code", ""))
    except (ValueError, KeyError, TypeError, AttributeError):
        return "", ""


def refusal_body(refusal: Refusal) -> str:
    return json.dumps(refusal.body())
