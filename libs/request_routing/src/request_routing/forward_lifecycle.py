"""The state machine of a forwarded request, with a bound on its attempts.

It has the states of any transaction. What may be repeated, and a stream that can be continued after
its last event, is retried at another worker within that bound and the deadline; anything else only
after word that it has not run.
"""

from typing import Any

from runtime import Refusal, doubtful, refused

from request_routing.forward_exchange import NO_CONNECTION
from request_routing.lifecycle import RequestLifecycle, State, Step
from request_routing.placement import RetryBudget

__all__ = ["ForwardLifecycle"]


class ForwardLifecycle(RequestLifecycle):
    """A forwarded request; `attempts` bounds how many workers it may be passed on to.

    A connection never made is no attempt; such workers are in `unreached`. `attempts` and
    `resumable` are taken from the profile if they are not given.
    """

    __slots__ = ("_attempts", "_resumable", "_tried", "unreached")

    def __init__(
        self,
        transaction_id: str,
        profile: Any,
        now_ms: int,
        due_ms: int,
        attempts: int | None = None,
        resumable: bool | None = None,
    ) -> None:
        super().__init__(transaction_id, profile, "", now_ms, RetryBudget(), due_ms, claimed=True)
        self._attempts = max(1, profile.attempts if attempts is None else attempts)
        self._resumable = profile.resumable if resumable is None else resumable
        self.safe = self.safe or self._resumable
        self._tried: set[str] = set()
        self.unreached: set[str] = set()

    @property
    def attempts_left(self) -> int:
        """How many further workers it may be passed on to."""
        return self._attempts - len(self._tried)

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return self._runs

    @property
    def can_move(self) -> bool:
        """Whether it could be retried at another worker now."""
        return self.attempts_left > 1 and self._again(True)

    def may_try(self, worker: str) -> bool:
        """Whether an attempt at this worker is within the bound."""
        return worker in self._tried or self.attempts_left > 0

    def failed(self, worker: str, may_have_run: bool, reason: str, now_ms: int) -> Step:
        """Take the failure of an attempt; retry within the bound and the deadline, else give up."""
        self.sends.append((worker, reason))
        self.avoid.add(worker)
        (self.unreached if reason == NO_CONNECTION else self._tried).add(worker)
        self._runs = self._runs or may_have_run
        if now_ms >= self.due_ms:
            return self._no_more("late", reason, 504)
        if self._again(may_have_run) and (
            self.attempts_left > 0 or reason in ("busy", NO_CONNECTION)
        ):
            return self._to(State.PLACING, Step("place"))
        return self._no_more("send-failed", reason, 502)

    def answered(self, worker: str, status: int, body: bytes, now_ms: int) -> Step:
        """Take the worker's word that it failed; retry elsewhere, else that is the answer."""
        self.sends.append((worker, f"status {status}"))
        self.avoid.add(worker)
        self._tried.add(worker)
        self._runs = True
        if self._again(True) and self.attempts_left > 0 and now_ms < self.due_ms:
            return self._to(State.PLACING, Step("place"))
        return (
            self._cut(f"status {status}")
            if self.delivered
            else self._to(State.DONE, Step("finish", value=(status, body)))
        )

    def _again(self, may_have_run: bool) -> bool:
        if self.delivered:
            return self._resumable and self.last_event_id is not None
        return self.safe or not may_have_run and not self._runs

    def placed(
        self, worker: Any, any_worker: bool, waits: bool = False, back_ms: int = 1000
    ) -> Step:
        """Take the result of placement: a worker, a place in the queue, or a refusal."""
        if waits:
            self.unreached.clear()
        if worker is not None or waits:
            return super().placed(worker, any_worker, waits, back_ms)
        if any_worker:
            return self._no_more("busy", "all workers are busy", 503, back_ms)
        return self._no_more("no-worker", "no worker is live", 503, back_ms)

    def _no_more(self, code: str, reason: str, status: int, back_ms: int = 0) -> Step:
        """Give up; unless that is in doubt, the refusal promises that it never runs."""
        if self.delivered:
            return self._cut(reason)
        if not self._runs:
            refusal: Refusal = refused(code, f"not run: {reason}", 503, back_ms or 100)
        else:
            refusal = doubtful(
                code, f"may have run: {reason}", status=504 if status == 504 else 502
            )
        return self._to(State.REFUSED, Step("refuse", refusal))
