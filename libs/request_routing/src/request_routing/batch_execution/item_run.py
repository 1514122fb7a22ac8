"""Runs one item of a forwarded batch job at an edge: a stream read to its end for the log alone.

That a worker fails to bring the stream to its end is no failed attempt of the item; only a worker's
own answer is. Another worker continues after the last event; where none can, the item is retried
here a little later, or given back if nothing of it came.
"""

from collections.abc import Callable
from typing import Any, cast

from batch_state import messages
from messaging import decode

from request_routing.batch_execution.item_outcome import ItemDone, ItemOutcome
from request_routing.calls import ForwardCall
from request_routing.forward_lifecycle import ForwardLifecycle
from request_routing.in_flight import InFlightRequest
from request_routing.lifecycle import AttemptRecord, ItemKey
from request_routing.request_router import RequestRouter
from request_routing.steps import Step, StepKind

__all__ = ["ItemRun", "data_of"]

_METHOD = "POST"
_URGENCY = 9
_MAX_ATTEMPTS = 8
_MAX_CONTINUATIONS = 5
_WORKER_ERROR, _IMPOSSIBLE = 500, 422


def data_of(event: bytes) -> bytes | None:
    """Return the data of one event, its lines joined; None if it has none."""
    lines = [
        line.partition(b":")[2].removeprefix(b" ")
        for line in event.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
        if line.startswith(b"data:") or line == b"data"
    ]
    return b"\n".join(lines) if lines else None


class _ItemLifecycle(ForwardLifecycle):
    """A forwarded request bounded by its attempts; the log counts those of the item that failed."""

    __slots__ = ()

    @property
    def attempts_left(self) -> int:
        """How many more attempts may be made, whatever came of the earlier ones."""
        return self._max_attempts - len(self.attempts)

    def attempt_failed(self, worker: str, may_have_run: bool, reason: str, now_ms: int) -> Step:
        """Take the failure of an attempt; retry while attempts are left."""
        step = super().attempt_failed(worker, may_have_run, reason, now_ms)
        if self.attempts_left > 0 or step.kind is not StepKind.SELECT_WORKER:
            return step
        return self._refuse("send-failed", reason, 502)

    def worker_failed(self, worker: str, status: int, body: str | bytes, now_ms: int) -> Step:
        """Take the worker's answer that it failed as the item's answer."""
        self.attempts.append(AttemptRecord(worker, f"status {status}"))
        self._may_have_run = True
        return self._finish_with(status, body)


class ItemRun:
    """The run of one item at this edge.

    `profiles` gives the profiles in force; `call_later` calls something back after some
    milliseconds; `done` gets the outcome, the text and the worker, once.
    """

    __slots__ = (
        "_assignment",
        "_call_later",
        "_continuations",
        "_data",
        "_done",
        "_due_ms",
        "_item",
        "_last_event_id",
        "_over",
        "_profiles",
        "_request",
        "_router",
    )

    def __init__(
        self,
        assignment: messages.ForwardAssignment,
        router: RequestRouter,
        profiles: Callable[[], Any],
        call_later: Callable[[int, Callable[[], None]], None],
        done: ItemDone,
    ) -> None:
        self._assignment = assignment
        self._router = router
        self._profiles = profiles
        self._call_later = call_later
        self._done = done
        self._item = cast(messages.ForwardItem, decode(assignment.call))
        self._due_ms: int = router.node.env.now() + assignment.remaining_ms
        self._data: list[bytes] = []
        self._last_event_id: int | None = None
        self._request: InFlightRequest | None = None
        self._continuations = 0
        self._over = False

    def begin(self) -> None:
        """Begin, or continue, under the profiles that are in force at this moment."""
        if self._over:
            return
        profile = self._profiles().usable(self._assignment.path)
        now_ms = self._router.node.env.now()
        if profile is None or now_ms >= self._due_ms:
            self._give_back_later("")
            return
        lifecycle = self._lifecycle(profile, now_ms)
        self._request = None
        request = self._router.start(
            lifecycle, self._call(), self._take_event, lambda step: self._finished(lifecycle, step)
        )
        if not self._over:
            self._request = request

    def _lifecycle(self, profile: Any, now_ms: int) -> _ItemLifecycle:
        edge_request_id = f"{self._router.node.env.token()}-{self._item.item_id}"
        lifecycle = _ItemLifecycle(
            edge_request_id, profile, now_ms, self._due_ms, _MAX_ATTEMPTS, resumable=True
        )
        lifecycle.job = ItemKey(self._assignment.job_id, self._assignment.index)
        lifecycle.avoid.update(self._assignment.avoid)
        return lifecycle

    def _call(self) -> ForwardCall:
        item = self._item
        return ForwardCall(
            _METHOD,
            item.target,
            item.host,
            list(zip(item.headers[::2], item.headers[1::2], strict=True)),
            item.body,
            item.item_id,
            list(zip(item.part_ids, item.part_tokens, strict=True)),
            item.tokens_in,
            item.tokens_out,
            stream=True,
            resumable=True,
            job=True,
            last_event_id=self._last_event_id,
            urgency=_URGENCY,
        )

    def cancel(self) -> bool:
        """Stop the run; false if it was over before."""
        was_over, self._over = self._over, True
        if not was_over and self._request is not None:
            self._request.cancel()
        return not was_over

    def _take_event(self, event: bytes) -> None:
        data = data_of(event)
        if data is not None:
            self._data.append(data)

    def _finished(self, lifecycle: _ItemLifecycle, step: Step) -> None:
        """Take the last step of the request: the item's outcome, or a reason to continue."""
        if self._over:
            return
        worker = lifecycle.attempts[-1].worker if lifecycle.attempts else ""
        status, body = 0, b""
        if step.kind is StepKind.FINISH and step.response is not None:
            status, body = step.response.status, _bytes(step.response.body)
        if 200 <= status < 300:
            self._completed(body, worker)
        elif status == _IMPOSSIBLE:
            self._end(ItemOutcome.DEAD, body, worker)
        elif status == _WORKER_ERROR:
            self._end(ItemOutcome.FAILED, body, worker)
        else:
            self._interrupted(lifecycle, worker)

    def _completed(self, body: bytes, worker: str) -> None:
        if body and not self._data:
            for event in body.replace(b"\r\n", b"\n").split(b"\n\n"):
                self._take_event(event)
        self._end(ItemOutcome.FINISHED, b"\n".join(self._data), worker)

    def _interrupted(self, lifecycle: _ItemLifecycle, worker: str) -> None:
        """Keep what came if the stream can be continued; retry here a bounded number of times."""
        if lifecycle.delivered:
            self._last_event_id = lifecycle.last_event_id
        self._continuations += 1
        if (
            not self._data
            or self._last_event_id is None
            or self._continuations > _MAX_CONTINUATIONS
        ):
            self._give_back_later(worker)
        else:
            self._call_later(self._router.node.settings.heartbeat_ms, self.begin)

    def _give_back_later(self, worker: str) -> None:
        """Give the item back to the log after a pause, so that it does not return at once."""

        def give_back() -> None:
            self._end(ItemOutcome.AGAIN, b"", worker)

        self._call_later(self._router.node.settings.heartbeat_ms, give_back)

    def _end(self, outcome: ItemOutcome, text: bytes, worker: str) -> None:
        if not self._over:
            self._over = True
            self._done(outcome, text, worker)


def _bytes(body: str | bytes) -> bytes:
    return body.encode() if isinstance(body, str) else body
