"""A simulated model worker, with slots, heartbeats to any edge, and runs that stream pieces.

It can crash in the middle of a run, fall silent, leave, or be replaced at the same address.
"""

import json
from collections.abc import Callable
from typing import Any

from request_routing import WorkerUpdate

__all__ = ["SimWorker", "UNSAFE", "told_in_prompt"]

UNSAFE = ("moves", "claims")

_BEAT_MS = 300.0


class SimWorker:
    """A worker; `incarnation` distinguishes it from earlier ones of its identity.

    A run has `pieces` pieces of about `piece_ms` each. While `dark` the worker is silent and stands
    still; `watches` says whether it notices closed connections at once.
    """

    watches = False
    __slots__ = (
        "_beat",
        "_edges",
        "_fleet",
        "address",
        "busy",
        "dark",
        "gone",
        "history",
        "identity",
        "incarnation",
        "labels",
        "leaving",
        "pieces",
        "piece_ms",
        "slots",
        "time",
        "zone",
    )

    def __init__(
        self, fleet: Any, identity: str, address: str, labels: list[str], slots: int, zone: str
    ) -> None:
        self._fleet = fleet
        self.time, self.history = fleet.time, fleet.history
        self.identity, self.address, self.labels, self.slots, self.zone = (
            identity,
            address,
            labels,
            slots,
            zone,
        )
        self.incarnation = int(self.time.now_ms) + 1
        self.pieces, self.piece_ms = 6, 12.0
        self.busy = 0
        self.dark = self.gone = self.leaving = False
        self._beat = 0
        self._beats()

    @property
    def stamp(self) -> str:
        """Identity and incarnation, by which requests are addressed."""
        return f"{self.identity}/{self.incarnation}"

    def _beats(self) -> None:
        if self.gone or self.leaving:
            return
        self._beat += 1
        if not self.dark:
            self._tell(False)
        self.time.after(_BEAT_MS * (0.9 + 0.2 * self.time.rng.random()), self._beats)

    def _tell(self, leaving: bool) -> bool:
        """Report to a random edge that can be reached; return whether there is one."""
        edges = [
            host
            for host in self._fleet.with_role("edge")
            if host.up
            and not host.frozen
            and self._fleet.network.passes(self.address, host.address)
        ]
        if not edges:
            return False
        edge = self.time.rng.choice(edges)
        edge.node.roster.hear(
            WorkerUpdate(
                identity=self.identity,
                incarnation=self.incarnation,
                address=self.address,
                zone=self.zone,
                labels=self.labels,
                beat=self._beat,
                running=self.busy,
                waiting=0,
                slots=self.slots,
                cache_use=0.0,
                leaving=leaving,
            )
        )
        return True

    def leave(self) -> None:
        """Announce that the worker takes no more requests."""
        self.leaving = True
        if self._tell(True):
            self.history.add("worker-left", self.time.now_ms, worker=self.stamp, how="left")

    def crash(self) -> None:
        """End the worker at once; its runs are cut off."""
        self.gone = True
        self.history.add("worker-left", self.time.now_ms, worker=self.stamp, how="crashed")

    def call(
        self,
        headers: dict[str, str],
        body: dict[str, Any],
        reply: Callable[..., None],
        open_: Callable[[], bool],
    ) -> None:
        """Take a request: run it, refuse it, or nothing at all while `dark`.

        `reply(what, *args)` gets `head`, `data` or `end`, or how the connection broke. `open_` says
        whether the edge still holds its end; a run whose caller has gone is ended.
        """
        run = _Run(self, headers["X-Vaneledge-Transaction"], body, reply, open_)
        if self.gone:
            reply("no connection")
        elif self.dark:
            return
        elif headers["X-Vaneledge-Worker"] != self.stamp:
            run.refuse(409, "wrong-worker")
        elif self.busy >= 2 * self.slots or self.leaving:
            run.refuse(429, "busy")
        else:
            self.busy += 1
            self.history.add(
                "run",
                self.time.now_ms,
                worker=self.stamp,
                identity=self.identity,
                labels=self.labels,
                address=self.address,
                transaction=run.transaction,
                path=body["model"],
                **told_in_prompt(body),
            )
            self.time.after(self.piece_ms, lambda: run.piece(0))


def told_in_prompt(body: dict[str, Any]) -> dict[str, Any]:
    """Return what the oracle needs to know of a run, which clients put into the prompt.

    The prompt consists of `name value` pairs.
    """
    words = body["prompt"].split()
    told = dict(zip(words[::2], words[1::2], strict=True))
    return {
        "call": told.get("call", ""),
        "key": told.get("key", ""),
        "asked": told.get("asked", ""),
        "lot": told.get("lot", ""),
        "index": int(told.get("item", -1)),
        "safe": body["model"] not in UNSAFE,
    }


class _Run:
    __slots__ = ("_body", "_open", "_reply", "_worker", "transaction")

    def __init__(
        self,
        worker: SimWorker,
        transaction: str,
        body: dict[str, Any],
        reply: Callable[..., None],
        open_: Callable[[], bool],
    ) -> None:
        self._worker, self.transaction, self._body, self._reply, self._open = (
            worker,
            transaction,
            body,
            reply,
            open_,
        )

    def _head(self, status: int, length: int | None) -> None:
        self._reply(
            "head",
            status,
            [
                ("X-Vaneledge-Worker", self._worker.stamp),
                ("X-Vaneledge-Transaction", self.transaction),
            ],
            length,
        )

    def refuse(self, status: int, code: str) -> None:
        data = json.dumps({"error": {"verdict": "not_run", "code": code}}).encode()
        self._head(status, len(data))
        self._reply("data", data)
        self._reply("end")

    def piece(self, place: int) -> None:
        worker, stream = self._worker, self._body["stream"]
        if worker.gone or not (self._open() or place == 0):
            worker.busy -= 1
            self._reply("connection lost")
            return
        if worker.dark:
            worker.time.after(50.0, lambda: self.piece(place))
            return
        if stream and place == 0:
            self._head(200, None)
        if place < worker.pieces:
            if stream:
                data = json.dumps({"id": self.transaction, "choices": [{"index": 0, "text": "w "}]})
                self._reply("data", f"id: {place}\ndata: {data}\n\n".encode())
            worker.time.after(
                worker.piece_ms * (0.5 + worker.time.rng.random()), lambda: self.piece(place + 1)
            )
            return
        worker.busy -= 1
        worker.history.add(
            "run-ended",
            worker.time.now_ms,
            worker=worker.stamp,
            transaction=self.transaction,
            pieces=worker.pieces,
        )
        if stream:
            self._reply("data", b"data: [DONE]\n\n")
        else:
            whole = json.dumps(
                {"id": self.transaction, "choices": [{"index": 0, "text": "w " * worker.pieces}]}
            ).encode()
            self._head(200, len(whole))
            self._reply("data", whole)
        self._reply("end")
