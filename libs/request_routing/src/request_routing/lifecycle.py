"""The state machine of one request.

Each event has one method, which returns the step that the driver has to take next. Another attempt
is made only for what certainly has not run, or for an idempotent request as long as nothing was
delivered. Where neither is known, the refusal says that the request may have run.
"""

from enum import StrEnum
from typing import Any, NamedTuple

from runtime import Refusal, Verdict

from request_routing import request_refusals
from request_routing.request_refusals import KeyState
from request_routing.retry_budget import RetryBudget
from request_routing.steps import FinalResponse, KeyOutcome, Step, StepKind
from request_routing.worker import Worker

__all__ = ["BUSY", "AttemptRecord", "ItemKey", "RequestLifecycle", "State"]

BUSY = "busy"
"""The reason of an attempt that the worker rejected unrun for want of a free slot."""

_ATTEMPT_DONE = "done"


class State(StrEnum):
    """The states of a request; the last four are final."""

    RECEIVED = "received"
    OPENING_KEY = "opening"
    SELECTING_WORKER = "placing"
    QUEUED = "waiting"
    SENDING = "sending"
    STREAMING = "streaming"
    CLOSING_KEY = "closing"
    DONE = "done"
    REFUSED = "refused"
    CUT = "cut"
    CLIENT_DISCONNECTED = "gone"


class AttemptRecord(NamedTuple):
    """An attempt that is over: the worker's instance, and why it failed or `done`."""

    worker: str
    reason: str


class ItemKey(NamedTuple):
    """The item of a batch job that a request runs."""

    job_id: str
    item_index: int


_FINAL_STATES = {
    StepKind.FINISH: State.DONE,
    StepKind.REFUSE: State.REFUSED,
    StepKind.CUT: State.CUT,
}


class RequestLifecycle:
    """The state machine of a request, from its arrival to its last step.

    `edge_request_id` is the id that the edge gives the request. `due_ms` is the deadline by the
    node's clock in milliseconds, taken from the profile if it is not given. `claimed` means that
    the log has the request already, so that no key is opened. `attempts` lists those that are over;
    `avoid` the workers that failed.
    """

    __slots__ = (
        "_budget",
        "_may_have_run",
        "_step_after_close",
        "attempts",
        "avoid",
        "claimed",
        "current_worker",
        "delivered",
        "due_ms",
        "edge_request_id",
        "idempotent",
        "job",
        "key",
        "key_is_open",
        "last_event_id",
        "profile",
        "started_ms",
        "state",
    )

    def __init__(
        self,
        edge_request_id: str,
        profile: Any,
        key: str,
        now_ms: int,
        budget: RetryBudget,
        due_ms: int | None = None,
        claimed: bool = False,
    ) -> None:
        self.edge_request_id = edge_request_id
        self.profile = profile
        self.key = key
        self.idempotent = bool(profile.repeatable)
        self.started_ms = now_ms
        self.due_ms: int = due_ms if due_ms is not None else now_ms + profile.deadline_ms
        self.claimed = claimed
        self.job: ItemKey | None = None
        self.state = State.RECEIVED
        self.key_is_open = False
        self.delivered = False
        self.last_event_id: int | None = None
        self.current_worker = ""
        self.attempts: list[AttemptRecord] = []
        self.avoid: set[str] = set()
        self._budget = budget
        self._may_have_run = False
        self._step_after_close: Step | None = None

    @property
    def can_retry_elsewhere(self) -> bool:
        """Whether another worker could continue if the current attempt were given up now."""
        return False

    def widen_budget(self, max_tokens: float) -> None:
        """Raise the retry budget's bound to `max_tokens` tokens."""
        self._budget.widen(max_tokens)

    # -- before an attempt ---------------------------------------------------------------------

    def begin(self) -> Step:
        """Begin: open the idempotency key where the route needs one, else select a worker."""
        self._budget.earn(self.profile.retry_budget)
        if self.idempotent or self.claimed:
            return self._select_worker()
        if not self.key:
            return self._refuse_now(request_refusals.key_missing())
        return self._enter(State.OPENING_KEY, Step(StepKind.OPEN_KEY))

    def key_answered(self, key_state: str, status: int = 0, body: str = "") -> Step:
        """Take the leader's response to the opening of the idempotency key.

        `key_state` is one of `KeyState`; anything else, as when no response came, leaves it in
        doubt whether an earlier request with this key has run.
        """
        if key_state == KeyState.OPENED:
            self.key_is_open = True
            return self._select_worker()
        if key_state == KeyState.RECORDED:
            replay = Step(StepKind.REPLAY, response=FinalResponse(status, body))
            return self._enter(State.DONE, replay)
        return self._refuse_now(request_refusals.key_refused(key_state))

    def worker_selected(self, worker: Worker) -> Step:
        """Take the worker that the next attempt is made at."""
        self.current_worker = worker.instance_id
        return self._enter(State.SENDING, Step(StepKind.SEND, worker=worker))

    def admitted_to_queue(self) -> Step:
        """Wait in the admission queue: by an estimate a slot will be free soon enough."""
        return self._enter(State.QUEUED, Step(StepKind.ENQUEUE))

    def no_worker_free(self, any_worker: bool, retry_after_ms: int = 1000) -> Step:
        """Give up, as no worker takes the request in time.

        `any_worker` says that there are workers, but all busy; `retry_after_ms` is after how many
        milliseconds the client should try again.
        """
        if any_worker:
            return self._give_up(request_refusals.all_busy(retry_after_ms))
        return self._give_up(request_refusals.no_worker(retry_after_ms))

    # -- during an attempt ---------------------------------------------------------------------

    def stream_started(self) -> Step:
        """Take a complete head with matching ids; from here on events may be delivered."""
        return self._enter(State.STREAMING, Step(StepKind.STREAM))

    def event_delivered(self) -> None:
        """Record that the client was given an event of the answer."""
        self.delivered = True
        self._may_have_run = True

    def attempt_failed(self, worker: str, may_have_run: bool, reason: str, now_ms: int) -> Step:
        """Take the failure of an attempt and retry or give up.

        What to do depends on whether the request may have run and whether any of it was delivered.
        An attempt that certainly did not run cost its worker nothing, so a retry at another worker
        is not charged to the retry budget: each worker once, or again if it was only full.
        """
        failed_before = worker in self.avoid
        self.attempts.append(AttemptRecord(worker, reason))
        self.avoid.add(worker)
        self._may_have_run = self._may_have_run or may_have_run
        if self.delivered:
            return self._cut(reason)
        late = now_ms >= self.due_ms
        free = not may_have_run and (not failed_before or reason == BUSY)
        safe = not may_have_run or self.idempotent
        if safe and not late and (free or self._budget.spend()):
            return self._select_worker()
        if late:
            return self._give_up(request_refusals.deadline_passed())
        if not may_have_run and reason == BUSY:
            return self._give_up(request_refusals.workers_busy())
        return self._give_up(request_refusals.not_completed(reason))

    def completed(self, status: int, body: str | bytes) -> Step:
        """Take a complete answer, and close the idempotency key if there is one.

        A worker's answer that the request itself is wrong is complete, too: no other worker is
        asked.
        """
        self._may_have_run = True
        if self.current_worker:
            self.attempts.append(AttemptRecord(self.current_worker, _ATTEMPT_DONE))
        response = FinalResponse(status, body)
        return self._end_with(Step(StepKind.FINISH, response=response), KeyOutcome.DONE)

    def worker_failed(self, worker: str, status: int, body: str | bytes, now_ms: int) -> Step:
        """Take the worker's answer that it failed at the request; only forwarded ones have it."""
        raise NotImplementedError(type(self).__name__)

    # -- the end -------------------------------------------------------------------------------

    def key_closed(self) -> Step:
        """Take the end of the key's closing, whatever came of it."""
        step = self._step_after_close or Step(StepKind.FINISH)
        return self._enter(_FINAL_STATES[step.kind], step)

    def client_disconnected(self) -> Step:
        """End, since the client of an idempotent request has disconnected."""
        return self._enter(State.CLIENT_DISCONNECTED, Step(StepKind.CLIENT_DISCONNECTED))

    def _enter(self, state: State, step: Step) -> Step:
        self.state = state
        return step

    def _select_worker(self) -> Step:
        return self._enter(State.SELECTING_WORKER, Step(StepKind.SELECT_WORKER))

    def _refuse_now(self, refusal: Refusal) -> Step:
        return self._enter(State.REFUSED, Step(StepKind.REFUSE, refusal))

    def _give_up(self, refusal: Refusal) -> Step:
        if self._may_have_run:
            refusal.verdict = Verdict.MAY_HAVE_RUN
        key_outcome = KeyOutcome.DOUBT if self._may_have_run else KeyOutcome.VOID
        return self._end_with(Step(StepKind.REFUSE, refusal), key_outcome)

    def _cut(self, reason: str) -> Step:
        step = Step(StepKind.CUT, request_refusals.stream_cut(reason))
        return self._end_with(step, KeyOutcome.DOUBT)

    def _end_with(self, step: Step, key_outcome: KeyOutcome) -> Step:
        """End with this step, after the idempotency key is closed if one is open."""
        if not self.key_is_open:
            return self._enter(_FINAL_STATES[step.kind], step)
        self._step_after_close = step
        close = Step(StepKind.CLOSE_KEY, key_outcome=key_outcome, response=step.response)
        return self._enter(State.CLOSING_KEY, close)
