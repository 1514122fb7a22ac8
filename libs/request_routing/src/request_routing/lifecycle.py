"""The state machine of one request.

Each event has one method, which returns the step that the request router performs next. A failed
attempt is retried only while no event has been delivered to the client, and only if the request
certainly did not run or is idempotent. Once any attempt may have run, a refusal says so.
"""

from enum import StrEnum
from typing import Any, NamedTuple

from runtime import Refusal, Verdict

from request_routing import request_refusals
from request_routing.request_refusals import OpenKeyOutcome
from request_routing.retry_budget import RetryBudget
from request_routing.steps import FinalResponse, KeyState, Step, StepKind
from request_routing.worker import Worker

__all__ = ["BUSY", "AttemptRecord", "ItemKey", "RequestLifecycle", "State"]

BUSY = "busy"
"""The reason of an attempt that the worker rejected before running it: it had no free slot."""

_ATTEMPT_DONE = "done"


class State(StrEnum):
    """The states of a request. DONE, REFUSED, CUT and CLIENT_DISCONNECTED are final."""

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
    """A finished attempt: the worker's instance id, and `done` or the reason of the failure."""

    worker: str
    reason: str


class ItemKey(NamedTuple):
    """Identifies the item of a batch job that a request runs."""

    job_id: str
    item_index: int


_FINAL_STATES = {
    StepKind.FINISH: State.DONE,
    StepKind.REFUSE: State.REFUSED,
    StepKind.CUT: State.CUT,
}


class RequestLifecycle:
    """The state machine of a request, from its arrival to its last step.

    Times are milliseconds of the node's clock. `attempts` lists the finished attempts, oldest
    first; `avoid` has the instance ids of the workers at which an attempt failed.

    Parameters
    ----------
    edge_request_id
        Id that the edge assigned to the request.
    profile
        Profile of the request's route.
    key
        Idempotency key, or an empty string.
    now_ms
        Arrival time.
    budget
        Retry budget that the requests of the route share.
    due_ms
        Deadline; by default the arrival time plus the profile's `deadline_ms`.
    claimed
        True if no idempotency key has to be opened: the log has a claim of the batch item, or the
        request is forwarded.
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
        """Whether another worker could take over if the current attempt were abandoned now."""
        return False

    def raise_retry_limit(self, max_tokens: float) -> None:
        """Raise the limit of the retry budget to `max_tokens`; never lowers it."""
        self._budget.raise_limit(max_tokens)

    def begin(self) -> Step:
        """Start the request: open its idempotency key if it needs one, else select a worker.

        A request that is neither idempotent nor claimed is refused if it has no key.
        """
        self._budget.earn(self.profile.retry_budget)
        if self.idempotent or self.claimed:
            return self._select_worker()
        if not self.key:
            return self._refuse_now(request_refusals.key_missing())
        return self._enter(State.OPENING_KEY, Step(StepKind.OPEN_KEY))

    def key_answered(self, open_outcome: str, status: int = 0, body: str = "") -> Step:
        """Handle the leader's response to the opening of the idempotency key.

        Parameters
        ----------
        open_outcome
            A value of `OpenKeyOutcome`; any other value counts as UNKNOWN. OPENED starts the first
            attempt, RECORDED replays the recorded response, and any other one refuses the request.
        status, body
            The recorded response, if there is one.
        """
        if open_outcome == OpenKeyOutcome.OPENED:
            self.key_is_open = True
            return self._select_worker()
        if open_outcome == OpenKeyOutcome.RECORDED:
            replay = Step(StepKind.REPLAY, response=FinalResponse(status, body))
            return self._enter(State.DONE, replay)
        return self._refuse_now(request_refusals.key_refused(open_outcome))

    def worker_selected(self, worker: Worker) -> Step:
        """Start the next attempt at this worker."""
        self.current_worker = worker.instance_id
        return self._enter(State.SENDING, Step(StepKind.SEND, worker=worker))

    def admitted_to_queue(self) -> Step:
        """Enter the admission queue; a slot is expected to be free in time."""
        return self._enter(State.QUEUED, Step(StepKind.ENQUEUE))

    def no_worker_free(self, any_worker: bool, retry_after_ms: int = 1000) -> Step:
        """Refuse the request, as no worker can take it in time.

        Parameters
        ----------
        any_worker
            True if the route has workers, all of them busy; false if it has none.
        retry_after_ms
            Milliseconds after which the client should try again.
        """
        if any_worker:
            return self._give_up(request_refusals.all_busy(retry_after_ms))
        return self._give_up(request_refusals.no_worker(retry_after_ms))

    def stream_started(self) -> Step:
        """Handle a valid response head with matching ids; events may be delivered from now on."""
        return self._enter(State.STREAMING, Step(StepKind.STREAM))

    def event_delivered(self) -> None:
        """Record that an event of the response was delivered to the client."""
        self.delivered = True
        self._may_have_run = True

    def attempt_failed(self, worker: str, may_have_run: bool, reason: str, now_ms: int) -> Step:
        """Handle the failure of an attempt: retry, refuse the request, or cut its stream.

        A stream of which an event was delivered is cut. Otherwise the request is retried before
        its deadline if it is idempotent or this attempt certainly did not run it. An attempt that
        certainly did not run cost its worker nothing, so its retry is not charged to the retry
        budget: once for each worker, and any number of times for a worker that was busy.

        Parameters
        ----------
        worker
            Instance id of the worker.
        may_have_run
            False only if the worker certainly did not run the request in this attempt.
        reason
            Why the attempt failed.
        now_ms
            Time of the failure.
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
        """Handle a complete response, and close the idempotency key if one is open.

        A worker's response that rejects the request as invalid is complete, too: it is not retried.
        """
        self._may_have_run = True
        if self.current_worker:
            self.attempts.append(AttemptRecord(self.current_worker, _ATTEMPT_DONE))
        response = FinalResponse(status, body)
        return self._end_with(Step(StepKind.FINISH, response=response), KeyState.DONE)

    def worker_failed(self, worker: str, status: int, body: str | bytes, now_ms: int) -> Step:
        """Handle a worker's error response.

        Raises NotImplementedError except for forwarded requests, the only ones with this outcome.
        """
        raise NotImplementedError(f"{type(self).__name__} does not handle worker errors")

    def key_closed(self) -> Step:
        """Finish the request once the closing of its key has ended, successfully or not."""
        step = self._step_after_close or Step(StepKind.FINISH)
        return self._enter(_FINAL_STATES[step.kind], step)

    def client_disconnected(self) -> Step:
        """End the request, as its client has disconnected."""
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
        key_state = KeyState.DOUBT if self._may_have_run else KeyState.VOID
        return self._end_with(Step(StepKind.REFUSE, refusal), key_state)

    def _cut(self, reason: str) -> Step:
        step = Step(StepKind.CUT, request_refusals.stream_cut(reason))
        return self._end_with(step, KeyState.DOUBT)

    def _end_with(self, step: Step, key_state: KeyState) -> Step:
        """End with this step; an open idempotency key is closed first."""
        if not self.key_is_open:
            return self._enter(_FINAL_STATES[step.kind], step)
        self._step_after_close = step
        close = Step(StepKind.CLOSE_KEY, key_state=key_state, response=step.response)
        return self._enter(State.CLOSING_KEY, close)
