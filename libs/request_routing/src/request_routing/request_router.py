"""The request router: performs the steps that the state machines of requests return.

It has no socket: attempts are started through a transport, which reports their progress. Deadlines
and stalled workers are checked on each tick. The decisions are made in other modules: worker choice
in `worker_selection`, queueing in `admission_control`, and giving up an attempt in
`stall_detection`.
"""

from collections.abc import Callable
from typing import Any

from messaging import Component
from runtime import Verdict

from request_routing.admission_control import Admission, AdmissionControl, QueuePositions
from request_routing.attempt import Attempt, AttemptTransport
from request_routing.attempt_outcome import AttemptOutcome, OutcomeKind
from request_routing.attempt_requests import new_exchange, worker_request
from request_routing.attempt_results import checked_outcome, log_end, record_failure
from request_routing.calls import Call, ForwardCall
from request_routing.header_names import WorkerHeaderNames
from request_routing.idempotency import LeaderRequests, close_key, key_response_step, open_key
from request_routing.in_flight import InFlightRequest
from request_routing.item_queue import ItemQueue
from request_routing.lifecycle import RequestLifecycle, State
from request_routing.prefill_tracker import PrefillTracker
from request_routing.prefix_affinity import PrefixAffinity
from request_routing.routing_context import SlotLender
from request_routing.stall_detection import StallDetector
from request_routing.steps import Step, StepKind
from request_routing.worker import Worker
from request_routing.worker_registry import WorkerRegistry
from request_routing.worker_selection import allowed_workers, choose_worker

__all__ = ["RequestRouter"]

# Retry tokens per slot of a worker: as many as one lost worker can have had requests in flight.
_RETRY_TOKENS_PER_SLOT = 2.0


class RequestRouter(Component):
    """Performs the steps of all requests in flight at this edge.

    Parameters
    ----------
    edge
        Identity of the edge.
    leader
        Client of the log's leader, for idempotency keys.
    registry
        The workers that this edge knows.
    profiles
        Returns the profiles in force.
    transport
        Starts attempts.
    edge_count
        Returns the number of edges that share the workers, this one included.

    Attributes
    ----------
    in_flight
        The requests in flight by their `edge_request_id`, queued ones included.
    counts
        Counters, which are exported as metrics.
    header_names
        Header names of the workers of forwarded calls; set by the node if it forwards calls.
    slot_lender
        Lends slots to rollouts and reclaims them; set by the node if it runs rollouts.
    prefill
        Estimates of the prompt tokens that workers have still to process, shared between edges;
        set by the node if it is used.
    """

    __slots__ = (
        "_admission",
        "_edge",
        "_items",
        "_latest_due_ms",
        "_leader",
        "_list_number",
        "_registry",
        "_stalls",
        "by_prefix",
        "counts",
        "edge_count",
        "header_names",
        "in_flight",
        "prefill",
        "prefilling_items",
        "prefix_affinity",
        "slot_lender",
        "transport",
    )

    def __init__(
        self,
        edge: str,
        leader: LeaderRequests,
        registry: WorkerRegistry,
        profiles: Callable[[], Any],
        transport: AttemptTransport,
        edge_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self._edge = edge
        self._leader = leader
        self._registry = registry
        self.transport = transport
        self.edge_count = edge_count
        self.header_names: WorkerHeaderNames | None = None
        self.slot_lender: SlotLender | None = None
        self.prefill: PrefillTracker | None = None
        self.prefilling_items = 0
        self.prefix_affinity = PrefixAffinity()
        self.by_prefix = True
        self.in_flight: dict[str, InFlightRequest] = {}
        self.counts: dict[str, int] = {}
        self._items = ItemQueue(profiles)
        self._stalls = StallDetector(registry)
        self._admission = AdmissionControl(
            registry, edge_count, self.attempts, lambda: self.prefill, self._stalls.latency
        )
        self._list_number = 0
        self._latest_due_ms: int | None = None

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def waiting(self) -> int:
        """Return how many live requests are queued for a slot."""
        return len(self._admission.queue)

    def items_waiting(self) -> int:
        """Return how many batch items are queued for a slot."""
        return len(self._items)

    def count_in_flight(self, job: bool) -> int:
        """Return how many batch items (`job`) or live requests are in flight.

        Rollout samples are not counted.
        """
        return sum(
            1
            for request in self.in_flight.values()
            if request.call.job == job and not request.call.rollout
        )

    def attempts(self) -> list[Attempt]:
        """Return the attempts in flight."""
        return [
            request.attempt for request in self.in_flight.values() if request.attempt is not None
        ]

    def seems_stalled(self, worker: Worker, route: str) -> bool:
        """Whether a worker has been silent for unusually long; other workers are then preferred."""
        return self._stalls.is_suspect(worker, route, self.node.settings, self.node.env.now())

    def start(
        self,
        lifecycle: RequestLifecycle,
        call: Call | ForwardCall,
        on_event: Callable[[bytes], None] | None,
        on_finished: Callable[[Step], None],
    ) -> InFlightRequest:
        """Start a request.

        Parameters
        ----------
        lifecycle
            The request's state machine.
        call
            What the client requested.
        on_event
            Called with each event of a stream, or None.
        on_finished
            Called with the last step, unless the request is cancelled. It may be called before this
            method returns.
        """
        request = InFlightRequest(self, lifecycle, call, on_event, on_finished)
        self._limit_deadline(request)
        self.in_flight[lifecycle.edge_request_id] = request
        self._perform(request, lifecycle.begin())
        return request

    def limit_deadlines(self, due_ms: int) -> None:
        """Let no live request, in flight or started later, have a deadline after `due_ms`.

        The queues stay ordered by deadline, since the limit is the same for all.
        """
        self._latest_due_ms = due_ms
        for request in self.in_flight.values():
            self._limit_deadline(request)

    def _limit_deadline(self, request: InFlightRequest) -> None:
        is_live = not request.call.job and not request.call.rollout
        if is_live and self._latest_due_ms is not None:
            request.lifecycle.due_ms = min(request.lifecycle.due_ms, self._latest_due_ms)

    def _perform(self, request: InFlightRequest, step: Step) -> None:
        """Perform a step that the request's state machine returned."""
        if step.kind is StepKind.OPEN_KEY:
            self._open_key(request)
        elif step.kind is StepKind.SELECT_WORKER:
            self._select_worker(request)
        elif step.kind is StepKind.ENQUEUE:
            self._admission.add(request)
        elif step.worker is not None:
            self._start_attempt(request, step.worker)
        elif step.kind is StepKind.CLOSE_KEY:
            self._close_key(request, step)
        else:
            self._finish(request, step)

    def _is_in_flight(self, request: InFlightRequest) -> bool:
        return request.lifecycle.edge_request_id in self.in_flight

    def _open_key(self, request: InFlightRequest) -> None:
        """Open the request's key, which may take until the request has to start to be in time."""

        def on_response(response: Any) -> None:
            if self._is_in_flight(request):
                self._perform(request, key_response_step(request, response))

        wait_ms = int(self._admission.latest_start_ms(request) - self.node.env.now())
        open_key(self.node, self._edge, self._leader, request, wait_ms, on_response)

    def _close_key(self, request: InFlightRequest, step: Step) -> None:
        def on_closed() -> None:
            if self._is_in_flight(request):
                self._perform(request, request.lifecycle.key_closed())

        close_key(self.node, self._leader, request, step, on_closed)

    def _finish(self, request: InFlightRequest, step: Step) -> None:
        self.in_flight.pop(request.lifecycle.edge_request_id, None)
        self.count(f"steps_{step.kind}")
        log_end(self.node.env, request, step)
        request.on_finished(step)

    def _allowed(self, request: InFlightRequest) -> list[Worker]:
        return allowed_workers(request.call, self, request.lifecycle, self._registry)

    def _choose(self, request: InFlightRequest, workers: list[Worker]) -> Worker | None:
        return choose_worker(request.call, self, request.lifecycle, workers, self._registry)

    def _select_worker(self, request: InFlightRequest) -> None:
        """Send the request to a worker, queue it, or refuse it."""
        lifecycle, call = request.lifecycle, request.call
        workers = self._allowed(request)
        worker = self._choose(request, workers)
        if worker is not None:
            self._perform(request, lifecycle.worker_selected(worker))
        elif not call.job:
            if self.slot_lender is not None:
                self.slot_lender.reclaim_slots(workers)
            self._admit(request, workers)
        elif call.survives_disconnect or not workers or self._admission.all_backing_off(workers):
            self._perform(request, lifecycle.no_worker_free(bool(workers)))
        else:
            self._items.add(request)

    def _admit(self, request: InFlightRequest, workers: list[Worker]) -> None:
        """Queue a live request, or refuse it if it may not wait."""
        settings, now_ms = self.node.settings, self.node.env.now()
        admission = self._admission.decide(request, workers, settings, now_ms)
        if admission.may_wait:
            self._perform(request, request.lifecycle.admitted_to_queue())
        else:
            self._refuse(request, workers, admission)

    def _refuse(
        self, request: InFlightRequest, workers: list[Worker], admission: Admission
    ) -> None:
        step = request.lifecycle.no_worker_free(bool(workers), admission.retry_after_ms)
        self._perform(request, step)

    def _serve_queues(self) -> None:
        """Send queued live requests to free workers in the order of service, then batch items.

        Once a request without a failed attempt finds no worker, no later one of its route is tried:
        it avoids no worker, so they find none either. What is sent may end other requests at once,
        so the state of each is checked.
        """
        blocked: set[str] = set()
        for queued in self._admission.queue.entries.copy():
            request, route = queued.request, queued.profile.name
            if route in blocked or request.lifecycle.state is not State.QUEUED:
                continue
            worker = self._choose(request, self._allowed(request))
            if worker is not None:
                self._admission.queue.remove(request)
                self._perform(request, request.lifecycle.worker_selected(worker))
            elif not request.lifecycle.attempts:
                blocked.add(route)
        self._serve_items()

    def _review_queues(self) -> None:
        """Refuse the queued requests that are no longer expected to be served in time."""
        settings, now_ms = self.node.settings, self.node.env.now()
        positions = QueuePositions()
        workers_by_route: dict[str, list[Worker]] = {}
        self._admission.reorder()
        for queued in self._admission.queue.entries.copy():
            profile = queued.profile
            if queued.request.lifecycle.state is not State.QUEUED:
                continue
            if profile.name not in workers_by_route:
                workers_by_route[profile.name] = self._allowed(queued.request)
            workers = workers_by_route[profile.name]
            position = positions.position(profile)
            admission = self._admission.review(queued, workers, settings, now_ms, position)
            if admission.may_wait:
                positions.take(profile)
            else:
                self._admission.queue.remove(queued.request)
                self._refuse(queued.request, workers, admission)

    def _serve_items(self) -> None:
        """Send queued batch items to free workers, in the order in which they were queued.

        Items that are past their deadline, or were queued under profiles that are no longer in
        force, are refused, which gives them back to their job.
        """
        if not self._items:
            return
        for request in self._items.expired(self.node.env.now()):
            self._items.remove(request)
            self._perform(request, request.lifecycle.no_worker_free(False))
        while (first := self._items.first()) is not None:
            worker = self._choose(first, self._allowed(first))
            if worker is None:
                return
            self._items.remove(first)
            self._perform(first, first.lifecycle.worker_selected(worker))

    def _start_attempt(self, request: InFlightRequest, worker: Worker) -> None:
        lifecycle, call = request.lifecycle, request.call
        now_ms = self.node.env.now()
        lifecycle.raise_retry_limit(_RETRY_TOKENS_PER_SLOT * worker.slots)
        if not call.job:
            self._admission.worker_seen(lifecycle.profile.name, now_ms)
        self._count_attempt(call)
        self._occupy_slot(worker, call)
        uncached_tokens = self._prompt_sent(worker, request)
        self.node.env.log(
            "attempt-started",
            "DEBUG",
            request=lifecycle.edge_request_id,
            worker=worker.instance_id,
            route=lifecycle.profile.name,
        )
        exchange = new_exchange(call, self, lifecycle, worker)
        attempt = request.attempt = Attempt(self, request, worker, exchange)
        attempt.prefilling = call.stream and not call.survives_disconnect
        attempt.uncached_tokens = uncached_tokens
        attempt.abort = self.transport(
            attempt, worker.address, *worker_request(call, self, lifecycle, worker)
        )

    def _count_attempt(self, call: Call | ForwardCall) -> None:
        kind = "rollout" if call.rollout else "lot" if call.job else "live"
        self.count(f"sends_{kind}")

    def _occupy_slot(self, worker: Worker, call: Call | ForwardCall) -> None:
        if call.rollout:
            worker.borrowed += 1
        elif self.slot_lender is not None:
            self.slot_lender.reclaim_slot(worker, call)
        worker.in_flight += 1
        worker.request_sent(self.node.env.now())

    def _prompt_sent(self, worker: Worker, request: InFlightRequest) -> int:
        """Record that a prompt was sent to a worker.

        Returns the estimated number of its tokens that the worker has not cached; 0 if the call is
        not forwarded or prefill is not tracked.
        """
        call, uncached_tokens = request.call, 0
        if isinstance(call, ForwardCall):
            if call.stream:
                self._count_prefill(worker, call, 1)
            if self.prefill is not None:
                uncached_share = 1 - self.prefix_affinity.share(worker.identity, call.parts)
                uncached_tokens = int(call.tokens_in * uncached_share)
                self.prefill.record_prompt(worker.identity, uncached_tokens)
        if call.parts:
            cache_tokens = request.lifecycle.profile.cache_tokens
            self.prefix_affinity.record_prompt(worker.identity, call.parts, cache_tokens)
        return uncached_tokens

    def _count_prefill(self, worker: Worker, call: Call | ForwardCall, change: int) -> None:
        """Change the counts of prompts that a worker is processing, in total and of batch items."""
        worker.prefilling += change
        if call.job:
            worker.prefilling_items += change
            self.prefilling_items += change

    def _prefill_ended(self, attempt: Attempt) -> None:
        if attempt.prefilling:
            attempt.prefilling = False
            self._count_prefill(attempt.worker, attempt.request.call, -1)
            self._serve_items()

    def _close_attempt(self, attempt: Attempt) -> None:
        """Free the worker's slot, and abort the attempt if its connection is still open."""
        attempt.over = True
        self._prefill_ended(attempt)
        attempt.worker.in_flight -= 1
        attempt.worker.borrowed -= attempt.request.call.rollout
        attempt.request.attempt = None
        attempt.abort()

    def response_received(self, attempt: Attempt) -> None:
        """Record that the worker of an attempt has sent a part of a response."""
        attempt.worker.answered_ms = self.node.env.now()

    def event_received(self, attempt: Attempt) -> None:
        """Record that an event of a stream came, and learn the latency and prefill rate from it."""
        now_ms = self.node.env.now()
        if attempt.prefilling and self.prefill is not None:
            self.prefill.prefill_finished(attempt.uncached_tokens, now_ms - attempt.started_ms)
        if attempt.request.call.stream:
            self._stalls.add_event(attempt, now_ms)
        attempt.last_event_ms = now_ms
        self._prefill_ended(attempt)
        if attempt.worker.failures:
            self._registry.record_answer(attempt.worker)
            self._serve_queues()

    def attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Handle the outcome of an attempt: free its slot, continue its request, serve queues."""
        outcome = checked_outcome(attempt, outcome)
        self._close_attempt(attempt)
        if outcome.kind is OutcomeKind.FAILED:
            self._attempt_failed(attempt, outcome)
        else:
            self._registry.record_answer(attempt.worker)
            self._attempt_answered(attempt, outcome)
        self._serve_queues()

    def _attempt_failed(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self.count("sends_failed")
        record_failure(self.node.env, self._registry, attempt, outcome)
        step = attempt.request.lifecycle.attempt_failed(
            attempt.worker.instance_id,
            outcome.may_have_run,
            outcome.reason,
            self.node.env.now(),
        )
        self._suggest_retry(attempt.request, step)
        self._perform(attempt.request, step)

    def _suggest_retry(self, request: InFlightRequest, step: Step) -> None:
        """Say in a refusal without such a time when the client should try again.

        That is when another request like this one is expected to get a slot.
        """
        refusal = step.refusal
        if refusal is None or refusal.verdict is not Verdict.NOT_RUN or refusal.retry_after_ms:
            return
        if request.call.job:
            return
        settings, now_ms = self.node.settings, self.node.env.now()
        admission = self._admission.decide(request, self._allowed(request), settings, now_ms)
        refusal.retry_after_ms = admission.retry_after_ms

    def _attempt_answered(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Handle a worker's response: a success, a rejection of the request, or a worker error."""
        request, now_ms = attempt.request, self.node.env.now()
        lifecycle = request.lifecycle
        if outcome.kind is OutcomeKind.WORKER_ERROR:
            worker = attempt.worker.instance_id
            step = lifecycle.worker_failed(worker, outcome.status, outcome.body, now_ms)
            if step.kind is StepKind.FINISH:
                request.head = attempt.exchange.response_head()
            self._perform(request, step)
            return
        if outcome.kind is OutcomeKind.COMPLETE:
            if not request.call.rollout:
                took_ms = now_ms - attempt.started_ms
                self._admission.service_times.add(lifecycle.profile, request.call.job, took_ms)
            if not request.call.stream:
                self._stalls.add_response(attempt, now_ms)
            lifecycle.stream_started()
        request.head = request.head or attempt.exchange.response_head()
        self._perform(request, lifecycle.completed(outcome.status, outcome.body))

    def tick(self) -> None:
        """End attempts that are past their deadline or stalled, and serve the queues."""
        now_ms, settings = self.node.env.now(), self.node.settings
        for request in list(self.in_flight.values()):
            attempt = request.attempt
            if attempt is not None:
                outcome = self._stalls.outcome(attempt, settings, now_ms)
                if outcome is not None:
                    self.attempt_ended(attempt, outcome)
        self._serve_queues()
        self._review_queues()
        if self._list_number != self._registry.list_number:
            self._list_number = self._registry.list_number
            self.prefix_affinity.retain_workers(worker.identity for worker in self._registry.all())

    def client_disconnected(self, request: InFlightRequest) -> None:
        """Stop a request whose client has disconnected.

        A completion that is not idempotent is left to run to completion.
        """
        lifecycle = request.lifecycle
        runs_to_its_end = not lifecycle.idempotent and request.call.survives_disconnect
        if runs_to_its_end or not self._is_in_flight(request):
            return
        if request.attempt is not None:
            self._close_attempt(request.attempt)
        self._admission.queue.remove(request)
        self._finish(request, lifecycle.client_disconnected())

    def cancel(self, request: InFlightRequest) -> None:
        """Stop a request without a last step and without a log line."""
        if request.attempt is not None:
            self._close_attempt(request.attempt)
        else:
            self._items.remove(request)
        self.in_flight.pop(request.lifecycle.edge_request_id, None)
