"""The chart of a forwarded request: the same states, with a bound on how many workers one request is sent
to. What may be repeated, and a stream that can be taken up after its last event, goes elsewhere within
that bound and its time; anything else only after word that it has not run.
"""

from typing import Any

from colophon import Refusal, doubtful, refused

from circulation.chart import State, Step, Transaction
from circulation.forward import NO_CONNECTION
from circulation.placement import Budget

__all__ = ["ForwardTransaction"]


class ForwardTransaction(Transaction):
    """`tried` are the workers that it was passed on to; a connection never made is no attempt."""

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
        super().__init__(transaction_id, profile, "", now_ms, Budget(), due_ms, claimed=True)
        self._attempts = max(1, profile.attempts if attempts is None else attempts)
        self._resumable = profile.resumable if resumable is None else resumable
        self.safe = self.safe or self._resumable
        self._tried: set[str] = set()
        self.unreached: set[str] = set()

    @property
    def attempts_left(self) -> int:
        return self._attempts - len(self._tried)

    @property
    def may_have_run(self) -> bool:
        return self._runs

    @property
    def can_move(self) -> bool:
        """It could go on elsewhere now."""
        return self.attempts_left > 1 and self._again(True)

    def may_try(self, worker: str) -> bool:
        return worker in self._tried or self.attempts_left > 0

    def failed(self, worker: str, may_have_run: bool, reason: str, now_ms: int) -> Step:
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
        """The worker says that it failed: somebody else may do better, else that is the answer."""
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
        if waits:
            self.unreached.clear()
        if worker is not None or waits:
            return super().placed(worker, any_worker, waits, back_ms)
        if any_worker:
            return self._no_more("busy", "all workers are busy", 503, back_ms)
        return self._no_more("no-worker", "no worker is live", 503, back_ms)

    def _no_more(self, code: str, reason: str, status: int, back_ms: int = 0) -> Step:
        """A refusal promises that it has not run and never will; doubt is told as doubt."""
        if self.delivered:
            return self._cut(reason)
        if not self._runs:
            refusal: Refusal = refused(code, f"not run: {reason}", 503, back_ms or 100)
        else:
            refusal = doubtful(
                code, f"may have run: {reason}", status=504 if status == 504 else 502
            )
        return self._to(State.REFUSED, Step("refuse", refusal))
