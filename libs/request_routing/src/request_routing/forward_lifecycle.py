"""The state machine of a forwarded request, which is sent to a bounded number of workers.

Its states are those of `lifecycle`. An idempotent request, or a stream that can be resumed after
its last event, is retried at another worker within that bound and before its deadline. Any other
request is retried only if it certainly did not run.
"""

from typing import Any

from runtime import Refusal, doubtful, refused

from request_routing.attempt_outcome import NO_CONNECTION
from request_routing.lifecycle import BUSY, AttemptRecord, RequestLifecycle, State
from request_routing.retry_budget import RetryBudget
from request_routing.steps import FinalResponse, Step, StepKind

__all__ = ["ForwardLifecycle"]

_GATEWAY_TIMEOUT, _BAD_GATEWAY, _UNAVAILABLE = 504, 502, 503


class ForwardLifecycle(RequestLifecycle):
    """The state machine of a forwarded request.

    `unreachable` has the instance ids of the workers to which no connection could be made; they do
    not count towards `max_attempts`.

    Parameters
    ----------
    edge_request_id
        Id that the edge assigned to the request.
    profile
        Profile of the request's route.
    now_ms, due_ms
        Arrival time and deadline in milliseconds of the node's clock.
    max_attempts
        Maximum number of workers that the request is sent to; by default the profile's `attempts`.
    resumable
        Whether another worker can continue the stream; by default the profile's `resumable`.
    """

    __slots__ = ("_attempted_workers", "_max_attempts", "_resumable", "unreachable")

    def __init__(
        self,
        edge_request_id: str,
        profile: Any,
        now_ms: int,
        due_ms: int,
        max_attempts: int | None = None,
        resumable: bool | None = None,
    ) -> None:
        super().__init__(edge_request_id, profile, "", now_ms, RetryBudget(), due_ms, claimed=True)
        self._max_attempts = max(1, profile.attempts if max_attempts is None else max_attempts)
        self._resumable = bool(profile.resumable if resumable is None else resumable)
        self.idempotent = self.idempotent or self._resumable
        self._attempted_workers: set[str] = set()
        self.unreachable: set[str] = set()

    @property
    def attempts_left(self) -> int:
        """How many further workers the request may be sent to."""
        return self._max_attempts - len(self._attempted_workers)

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run the request."""
        return self._may_have_run

    @property
    def can_retry_elsewhere(self) -> bool:
        """Whether another worker could take over if the current attempt were abandoned now."""
        return self.attempts_left > 1 and self._may_retry(True)

    def may_attempt(self, worker: str) -> bool:
        """Whether the bound on the number of workers allows an attempt at this one."""
        return worker in self._attempted_workers or self.attempts_left > 0

    def attempt_failed(self, worker: str, may_have_run: bool, reason: str, now_ms: int) -> Step:
        """Handle the failure of an attempt; retry within the bound and the deadline, else refuse.

        A retry after a busy worker or a failed connection does not need a worker left within the
        bound.
        """
        self.attempts.append(AttemptRecord(worker, reason))
        self.avoid.add(worker)
        (self.unreachable if reason == NO_CONNECTION else self._attempted_workers).add(worker)
        self._may_have_run = self._may_have_run or may_have_run
        if now_ms >= self.due_ms:
            return self._refuse("late", reason, _GATEWAY_TIMEOUT)
        if self._may_retry(may_have_run) and (
            self.attempts_left > 0 or reason in (BUSY, NO_CONNECTION)
        ):
            return self._select_worker()
        return self._refuse("send-failed", reason, _BAD_GATEWAY)

    def worker_failed(self, worker: str, status: int, body: str | bytes, now_ms: int) -> Step:
        """Handle a worker's error response.

        The request is retried at another worker where that is allowed. Otherwise the error response
        is passed to the client, or a stream of which an event was delivered is cut.
        """
        self.attempts.append(AttemptRecord(worker, f"status {status}"))
        self.avoid.add(worker)
        self._attempted_workers.add(worker)
        self._may_have_run = True
        if self._may_retry(True) and self.attempts_left > 0 and now_ms < self.due_ms:
            return self._select_worker()
        if self.delivered:
            return self._cut(f"status {status}")
        return self._finish_with(status, body)

    def admitted_to_queue(self) -> Step:
        """Enter the admission queue; workers that were unreachable may be tried again."""
        self.unreachable.clear()
        return super().admitted_to_queue()

    def no_worker_free(self, any_worker: bool, retry_after_ms: int = 1000) -> Step:
        """Refuse the request, as no worker can take it in time."""
        if any_worker:
            return self._refuse("busy", "all workers are busy", _UNAVAILABLE, retry_after_ms)
        return self._refuse("no-worker", "no worker is live", _UNAVAILABLE, retry_after_ms)

    def _may_retry(self, may_have_run: bool) -> bool:
        if self.delivered:
            return self._resumable and self.last_event_id is not None
        return self.idempotent or (not may_have_run and not self._may_have_run)

    def _finish_with(self, status: int, body: str | bytes) -> Step:
        finish = Step(StepKind.FINISH, response=FinalResponse(status, body))
        return self._enter(State.DONE, finish)

    def _refuse(self, code: str, reason: str, status: int, retry_after_ms: int = 0) -> Step:
        """Refuse the request, or cut a stream of which an event was delivered.

        The refusal states that the request has not run unless an attempt may have run it. Without
        `retry_after_ms` the router says when to try again.
        """
        if self.delivered:
            return self._cut(reason)
        refusal: Refusal
        if not self._may_have_run:
            refusal = refused(code, f"not run: {reason}", _UNAVAILABLE, retry_after_ms)
        else:
            doubt_status = _GATEWAY_TIMEOUT if status == _GATEWAY_TIMEOUT else _BAD_GATEWAY
            refusal = doubtful(code, f"may have run: {reason}", status=doubt_status)
        return self._refuse_now(refusal)
