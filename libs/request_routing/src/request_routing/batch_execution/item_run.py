"""Runs an item of a forwarded batch job: reads its stream to the end and collects the data.

An interrupted stream is continued at another worker after its last event. If no worker can do so,
the edge tries again after a pause, a limited number of times; an item of which no data came is
returned to the leader. An interruption does not count as a failed attempt of the item; a worker's
response with status 500 does, and one with status 422 means that no worker can run the item.
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

__all__ = ["ItemRun", "event_data"]

_METHOD = "POST"
_LOWEST_URGENCY = 9
_MAX_ATTEMPTS = 8
_MAX_CONTINUATIONS = 5
_WORKER_ERROR, _UNPROCESSABLE = 500, 422


def event_data(event: bytes) -> bytes | None:
    """Return the data of a server-sent event, its lines joined; None if it has no data field."""
    lines = [
        line.partition(b":")[2].removeprefix(b" ")
        for line in event.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
        if line.startswith(b"data:") or line == b"data"
    ]
    return b"\n".join(lines) if lines else None


class _ItemLifecycle(ForwardLifecycle):
    """The state machine of a batch item's request.

    The request is bounded by the number of its attempts, whatever their outcomes. The failed
    attempts of the item, over all its runs, are counted in the log.
    """

    __slots__ = ()

    @property
    def attempts_left(self) -> int:
        """How many more attempts may be made; every attempt so far counts."""
        return self._max_attempts - len(self.attempts)

    def attempt_failed(self, worker: str, may_have_run: bool, reason: str, now_ms: int) -> Step:
        """Handle the failure of an attempt; retry while attempts are left."""
        step = super().attempt_failed(worker, may_have_run, reason, now_ms)
        if self.attempts_left > 0 or step.kind is not StepKind.SELECT_WORKER:
            return step
        return self._refuse("send-failed", reason, 502)

    def worker_failed(self, worker: str, status: int, body: str | bytes, now_ms: int) -> Step:
        """Finish with the worker's error response, which is not retried at another worker."""
        self.attempts.append(AttemptRecord(worker, f"status {status}"))
        self._may_have_run = True
        return self._finish_with(status, body)


class ItemRun:
    """The run of one item at this edge.

    Parameters
    ----------
    assignment
        The item, its claim and the time left.
    router
        Runs the requests.
    profiles
        Returns the tree of the profiles in force.
    call_later
        Calls a function after a number of milliseconds.
    done
        Called once with the outcome, the text and the worker, unless the run is cancelled.
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
        """Start the run, or continue it, under the profiles now in force.

        The item is returned if its route is no longer in force or its deadline has passed.
        """
        if self._over:
            return
        profile = self._profiles().usable(self._assignment.path)
        now_ms = self._router.node.env.now()
        if profile is None or now_ms >= self._due_ms:
            self._return_later("")
            return
        lifecycle = self._lifecycle(profile, now_ms)
        self._request = None
        request = self._router.start(
            lifecycle, self._call(), self._add_event, lambda step: self._finished(lifecycle, step)
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
            urgency=_LOWEST_URGENCY,
        )

    def cancel(self) -> bool:
        """Stop the run without an outcome; returns false if it was already over."""
        was_over, self._over = self._over, True
        if not was_over and self._request is not None:
            self._request.cancel()
        return not was_over

    def _add_event(self, event: bytes) -> None:
        data = event_data(event)
        if data is not None:
            self._data.append(data)

    def _finished(self, lifecycle: _ItemLifecycle, step: Step) -> None:
        """Handle the last step of the request: end the run, or continue an interrupted stream."""
        if self._over:
            return
        worker = lifecycle.attempts[-1].worker if lifecycle.attempts else ""
        status, body = 0, b""
        if step.kind is StepKind.FINISH and step.response is not None:
            status, body = step.response.status, _to_bytes(step.response.body)
        if 200 <= status < 300:
            self._completed(body, worker)
        elif status == _UNPROCESSABLE:
            self._end(ItemOutcome.DEAD, body, worker)
        elif status == _WORKER_ERROR:
            self._end(ItemOutcome.FAILED, body, worker)
        else:
            self._interrupted(lifecycle, worker)

    def _completed(self, body: bytes, worker: str) -> None:
        if body and not self._data:
            for event in body.replace(b"\r\n", b"\n").split(b"\n\n"):
                self._add_event(event)
        self._end(ItemOutcome.FINISHED, b"\n".join(self._data), worker)

    def _interrupted(self, lifecycle: _ItemLifecycle, worker: str) -> None:
        """Continue the stream after a pause, or return the item if that is not possible.

        It is returned if no data came, if its last event has no id to continue after, or after
        `_MAX_CONTINUATIONS` continuations.
        """
        if lifecycle.delivered:
            self._last_event_id = lifecycle.last_event_id
        self._continuations += 1
        if (
            not self._data
            or self._last_event_id is None
            or self._continuations > _MAX_CONTINUATIONS
        ):
            self._return_later(worker)
        else:
            self._call_later(self._router.node.settings.heartbeat_ms, self.begin)

    def _return_later(self, worker: str) -> None:
        """Return the item after a pause, so that it is not assigned again at once."""

        def return_item() -> None:
            self._end(ItemOutcome.AGAIN, b"", worker)

        self._call_later(self._router.node.settings.heartbeat_ms, return_item)

    def _end(self, outcome: ItemOutcome, text: bytes, worker: str) -> None:
        if not self._over:
            self._over = True
            self._done(outcome, text, worker)


def _to_bytes(body: str | bytes) -> bytes:
    return body.encode() if isinstance(body, str) else body
