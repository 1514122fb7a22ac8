"""Runs one item of a forwarded batch at an edge: a stream read to its end for the log alone.

That a worker fails to bring the stream to its end is no failed attempt of the item; only a worker's
own word is. Another worker continues after the last event; where none can, the item is retried here
a little later, or given back if nothing of it came.
"""

from collections.abc import Callable
from typing import Any

from batch_state import messages as m
from messaging import decode

from request_routing.calls import ForwardCall
from request_routing.forward_lifecycle import ForwardLifecycle
from request_routing.lifecycle import State, Step
from request_routing.request_router import InFlightRequest, RequestRouter

__all__ = ["ItemRun", "data_of"]

_URGENCY = 9
_SENDS = 8
_FAILED, _IMPOSSIBLE = 500, 422
_TAKEN_UP = 5


def data_of(event: bytes) -> bytes | None:
    """Return the data of one event, its lines joined; None if it has none."""
    lines = [
        line.partition(b":")[2].removeprefix(b" ")
        for line in event.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
        if line.startswith(b"data:") or line == b"data"
    ]
    return b"\n".join(lines) if lines else None


class _ItemTransaction(ForwardLifecycle):
    """A forwarded transaction bounded by its sends; the log counts the failed attempts."""

    __slots__ = ()

    @property
    def attempts_left(self) -> int:
        """How many more times it may be sent, whatever came of the earlier sends."""
        return self._attempts - len(self.sends)

    def failed(self, worker: str, may_have_run: bool, reason: str, now_ms: int) -> Step:
        """Take the failure of a send; retry while sends are left."""
        step = super().failed(worker, may_have_run, reason, now_ms)
        return (
            step
            if self.attempts_left > 0 or step.name != "place"
            else self._no_more("send-failed", reason, 502)
        )

    def answered(self, worker: str, status: int, body: bytes, now_ms: int) -> Step:
        """Take the worker's word that it failed as the item's answer."""
        self.sends.append((worker, f"status {status}"))
        self._runs = True
        return self._to(State.DONE, Step("finish", value=(status, body)))


class ItemRun:
    """The run of one item at this edge.

    `after` calls something back after some milliseconds; `done` gets outcome, text and worker,
    once.
    """

    __slots__ = (
        "_after",
        "_carriage",
        "_carrier",
        "_data",
        "_done",
        "_due_ms",
        "_item",
        "_last_event_id",
        "_over",
        "_taken_up",
        "_tree",
        "_work",
    )

    def __init__(
        self,
        work: m.ForwardAssignment,
        carrier: RequestRouter,
        tree: Callable[[], Any],
        after: Callable[[int, Callable[[], None]], None],
        done: Callable[[str, bytes, str], None],
    ) -> None:
        self._work, self._carrier, self._tree, self._after, self._done = (
            work,
            carrier,
            tree,
            after,
            done,
        )
        self._item: m.ForwardItem = decode(work.call)
        self._due_ms = carrier.node.env.now() + work.left_ms
        self._data: list[bytes] = []
        self._last_event_id: int | None = None
        self._carriage: InFlightRequest | None = None
        self._taken_up = 0
        self._over = False

    def begin(self) -> None:
        """Begin, or retry, under the profiles that are in force at this moment."""
        if self._over:
            return
        profile = self._tree().usable(self._work.path)
        now_ms = self._carrier.node.env.now()
        if profile is None or now_ms >= self._due_ms:
            self._later(lambda: self._end("again", b"", ""))
            return
        item = self._item
        tx = _ItemTransaction(
            f"{self._carrier.node.env.token()}-{item.item_id}",
            profile,
            now_ms,
            self._due_ms,
            _SENDS,
            True,
        )
        tx.job = (self._work.job_id, self._work.index)
        tx.avoid.update(self._work.avoid)
        call = ForwardCall(
            "POST",
            item.target,
            item.host,
            list(zip(item.headers[::2], item.headers[1::2], strict=True)),
            item.body,
            item.item_id,
            list(zip(item.part_ids, item.part_tokens, strict=True)),
            item.tokens_in,
            item.tokens_out,
            True,
            True,
            True,
            self._last_event_id,
            _URGENCY,
        )
        self._carriage = None
        carriage = self._carrier.carry(tx, call, self._take, lambda step: self._stepped(tx, step))
        if not self._over:
            self._carriage = carriage

    def stop(self) -> bool:
        """Stop the run; false if it was over before."""
        was, self._over = self._over, True
        if not was and self._carriage is not None:
            self._carriage.stop()
        return not was

    def _later(self, what: Callable[[], None]) -> None:
        self._after(self._carrier.node.settings.heartbeat_ms, what)

    def _take(self, event: bytes) -> None:
        data = data_of(event)
        if data is not None:
            self._data.append(data)

    def _stepped(self, tx: _ItemTransaction, step: Step) -> None:
        if self._over:
            return
        worker = tx.sends[-1][0] if tx.sends else ""
        status, body = step.value if step.name == "finish" else (0, b"")
        if 200 <= status < 300:
            self._whole(body, worker)
        elif status == _IMPOSSIBLE:
            self._end("dead", body, worker)
        elif status == _FAILED:
            self._end("failed", body, worker)
        else:
            self._broken(tx, worker)

    def _whole(self, body: bytes, worker: str) -> None:
        for event in body.replace(b"\r\n", b"\n").split(b"\n\n") if body and not self._data else ():
            self._take(event)
        self._end("finished", b"\n".join(self._data), worker)

    def _broken(self, tx: _ItemTransaction, worker: str) -> None:
        """Keep what came if the stream can be continued; retry here a bounded number of times."""
        self._last_event_id = tx.last_event_id if tx.delivered else self._last_event_id
        self._taken_up += 1
        if not self._data or self._last_event_id is None or self._taken_up > _TAKEN_UP:
            self._later(lambda: self._end("again", b"", worker))
        else:
            self._later(self.begin)

    def _end(self, outcome: str, text: bytes, worker: str) -> None:
        if not self._over:
            self._over = True
            self._done(outcome, text, worker)
