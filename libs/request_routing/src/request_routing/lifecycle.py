"""The state machine of one transaction.

Each change of state has one method, which returns the step that the driver has to take next.
Another attempt is made only for what certainly has not run, or for what is safe to repeat as long
as nothing was delivered. Where neither is known, the refusal says that it may have run.
"""

from enum import StrEnum
from typing import Any

from runtime import Refusal, Verdict, doubtful, refused

from request_routing.placement import RetryBudget

__all__ = ["State", "Step", "RequestLifecycle"]


class State(StrEnum):
    """The states of a transaction; the last four are final."""

    RECEIVED = "received"
    OPENING = "opening"
    PLACING = "placing"
    WAITING = "waiting"
    SENDING = "sending"
    STREAMING = "streaming"
    CLOSING = "closing"
    DONE = "done"
    REFUSED = "refused"
    CUT = "cut"
    GONE = "gone"


class Step:
    """What the driver has to do next.

    `name` is one of open, place, wait, send, stream, close, replay, finish, refuse, cut and gone.
    `value` is the worker of a send, or the status and body of an answer; `close_as` the final state
    of the idempotency key.
    """

    __slots__ = ("close_as", "name", "refusal", "value")

    def __init__(
        self, name: str, refusal: Refusal | None = None, close_as: str = "", value: Any = None
    ) -> None:
        self.name = name
        self.refusal = refusal
        self.close_as = close_as
        self.value = value


class RequestLifecycle:
    """The state machine of a request, from its arrival to its last step.

    `due_ms` is the deadline by the node's clock in milliseconds, taken from the profile if it is
    not given. `claimed` means that the log has the request already, so that no key is opened.
    `sends` lists each attempt's worker and outcome; `avoid` the workers that failed it.
    """

    __slots__ = (
        "_after",
        "_budget",
        "_runs",
        "avoid",
        "claimed",
        "delivered",
        "due_ms",
        "key",
        "last_event_id",
        "job",
        "opened",
        "profile",
        "safe",
        "sending",
        "sends",
        "started_ms",
        "state",
        "transaction_id",
    )

    def __init__(
        self,
        transaction_id: str,
        profile: Any,
        key: str,
        now_ms: int,
        budget: RetryBudget,
        due_ms: int | None = None,
        claimed: bool = False,
    ) -> None:
        self.transaction_id = transaction_id
        self.profile = profile
        self.key = key
        self.safe = profile.repeatable
        self.started_ms = now_ms
        self.due_ms = due_ms if due_ms is not None else now_ms + profile.deadline_ms
        self.claimed = claimed
        self.job: tuple[str, int] | None = None
        self.state = State.RECEIVED
        self.opened = False
        self.delivered = False
        self.last_event_id: int | None = None
        self.sending = ""
        self.sends: list[tuple[str, str]] = []
        self.avoid: set[str] = set()
        self._budget = budget
        self._runs = False
        self._after: Step | None = None

    def _to(self, state: State, step: Step) -> Step:
        self.state = state
        return step

    def widen_budget(self, top: float) -> None:
        """Raise the retry budget's bound to `top` tokens."""
        self._budget.widen(top)

    def begin(self) -> Step:
        """Begin: open the idempotency key where the route needs one, else place."""
        self._budget.earn(self.profile.retry_budget)
        if self.safe or self.claimed:
            return self._to(State.PLACING, Step("place"))
        if not self.key:
            return self._to(
                State.REFUSED,
                Step(
                    "refuse",
                    refused(
                        "key-missing",
                        "this path is not safe to repeat and needs an Idempotency-Key header",
                        field="Idempotency-Key",
                    ),
                ),
            )
        return self._to(State.OPENING, Step("open"))

    def open_receipt(self, outcome: str, status: int = 0, body: str = "") -> Step:
        """Take the leader's receipt for the idempotency key.

        `outcome` is opened, recorded, open, doubt, conflict or full; anything else, as when no
        receipt came, leaves it in doubt whether an earlier request with this key has run.
        """
        if outcome == "opened":
            self.opened = True
            return self._to(State.PLACING, Step("place"))
        if outcome == "recorded":
            return self._to(State.DONE, Step("replay", value=(status, body)))
        if outcome in ("open", "doubt"):
            return self._to(
                State.REFUSED,
                Step(
                    "refuse",
                    doubtful(
                        "key-open" if outcome == "open" else "key-doubt",
                        "an earlier request with this key may have run; nothing further was sent",
                        1000,
                        409,
                    ),
                ),
            )
        if outcome == "conflict":
            return self._to(
                State.REFUSED,
                Step(
                    "refuse",
                    refused(
                        "key-reused",
                        "this key came before with another body; this body has not run",
                        422,
                        field="Idempotency-Key",
                    ),
                ),
            )
        if outcome == "full":
            return self._to(
                State.REFUSED,
                Step(
                    "refuse",
                    refused("stores-full", "there is no room to keep this transaction", 503, 5000),
                ),
            )
        return self._to(
            State.REFUSED,
            Step(
                "refuse",
                doubtful(
                    "stores-silent",
                    "the stores did not answer; this request was not sent on, but whether one "
                    "before it with this key has run is not known",
                    1000,
                ),
            ),
        )

    def placed(
        self, worker: Any, any_worker: bool, waits: bool = False, back_ms: int = 1000
    ) -> Step:
        """Take the result of placement: a worker, a place in the queue, or neither.

        `waits` says that by an estimate a slot will be free soon enough; `back_ms` is after how
        many milliseconds a refused client should try again.
        """
        if worker is not None:
            self.sending = worker.stamp
            return self._to(State.SENDING, Step("send", value=worker))
        if waits:
            return self._to(State.WAITING, Step("wait"))
        if any_worker:
            return self._give_up(refused("busy", "all workers of this path are busy", 429, back_ms))
        return self._give_up(refused("no-worker", "no worker of this path is live", 503, back_ms))

    def failed(self, worker: str, may_have_run: bool, reason: str, now_ms: int) -> Step:
        """Take the failure of an attempt and retry or give up.

        What to do depends on whether the request may have run and whether any of it was delivered.
        An attempt that certainly did not run cost its worker nothing, so a retry at another worker
        is not charged to the retry budget: each worker once, or again if it was only full.
        """
        known = worker in self.avoid
        self.sends.append((worker, reason))
        self.avoid.add(worker)
        self._runs = self._runs or may_have_run
        if self.delivered:
            return self._cut(reason)
        late = now_ms >= self.due_ms
        free = not may_have_run and (not known or reason == "busy")
        again = (not may_have_run or self.safe) and not late and (free or self._budget.spend())
        if again:
            return self._to(State.PLACING, Step("place"))
        if late:
            return self._give_up(refused("late", "the deadline passed", 504, 1000))
        if not may_have_run and reason == "busy":
            return self._give_up(refused("busy", "the workers of this path are busy", 429, 1000))
        return self._give_up(refused("send-failed", f"could not be completed: {reason}", 502, 1000))

    def begun(self) -> Step:
        """Take a complete head with matching ids; from here on pieces may be delivered."""
        return self._to(State.STREAMING, Step("stream"))

    def piece_delivered(self) -> None:
        """Record that the client was given a piece of the answer."""
        self.delivered = True
        self._runs = True

    def ended(self, status: int, body: str) -> Step:
        """Take a complete answer, and close the idempotency key if there is one."""
        self._runs = True
        if self.sending:
            self.sends.append((self.sending, "done"))
        if not self.opened:
            return self._to(State.DONE, Step("finish", value=(status, body)))
        self._after = Step("finish", value=(status, body))
        return self._to(State.CLOSING, Step("close", close_as="done", value=(status, body)))

    def rejected(self, status: int, body: str) -> Step:
        """Take the worker's word that the request itself is wrong; no other worker is asked."""
        return self.ended(status, body)

    def closed(self) -> Step:
        """Take the end of the key's closing, whatever came of it."""
        after = self._after or Step("finish")
        states = {"finish": State.DONE, "refuse": State.REFUSED, "cut": State.CUT}
        return self._to(states[after.name], after)

    def gone(self) -> Step:
        """End since the client hung up on a request that is safe to repeat."""
        return self._to(State.GONE, Step("gone"))

    def _give_up(self, refusal: Refusal) -> Step:
        if self._runs:
            refusal.verdict = Verdict.MAY_HAVE_RUN
        if not self.opened:
            return self._to(State.REFUSED, Step("refuse", refusal))
        self._after = Step("refuse", refusal)
        return self._to(State.CLOSING, Step("close", close_as="doubt" if self._runs else "void"))

    def _cut(self, reason: str) -> Step:
        refusal = doubtful("cut", f"the stream was cut: {reason}", status=502)
        if not self.opened:
            return self._to(State.CUT, Step("cut", refusal))
        self._after = Step("cut", refusal)
        return self._to(State.CLOSING, Step("close", close_as="doubt"))
