"""Drives transactions: takes the steps that their state machines ask for, without a socket.

Attempts are handed to a transport, which reports back; deadlines are checked on each tick.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from messaging import Component

from request_routing.admission_queue import AdmissionQueue
from request_routing.attempt_outcomes import log_end, note_failure, outcome_after
from request_routing.attempt_requests import (
    allowed_workers,
    choose_worker,
    new_exchange,
    worker_request,
)
from request_routing.calls import Call, ForwardCall, WorkerHeaderNames
from request_routing.idempotency import ask_close, ask_open
from request_routing.in_flight import Attempt, AttemptTransport, InFlightRequest
from request_routing.latency_estimator import LatencyEstimator
from request_routing.lifecycle import RequestLifecycle, Step
from request_routing.prefix_affinity import PrefixAffinity
from request_routing.stall_detection import silence_fate
from request_routing.worker_exchange import AttemptOutcome
from request_routing.worker_registry import Worker, WorkerRegistry

__all__ = ["RequestRouter"]

_OUTAGE_SHARE = 0.25


class RequestRouter(Component):
    """Drives the transactions that are in flight at this edge."""

    __slots__ = (
        "_holder",
        "_items",
        "_items_tree",
        "_line",
        "_list_number",
        "open",
        "_pace",
        "_roster",
        "_sender",
        "_tree",
        "by_prefix",
        "counts",
        "dialect",
        "edge",
        "edges",
        "loans",
        "parts",
        "reading_items",
        "readings",
    )

    def __init__(
        self,
        edge: str,
        holder: Any,
        roster: WorkerRegistry,
        tree: Callable[[], Any],
        sender: AttemptTransport,
        edges: Callable[[], int] = lambda: 1,
    ) -> None:
        self.edge = edge
        self.edges = edges
        self.dialect: WorkerHeaderNames | None = (
            None  # header names of the workers of forwarded calls
        )
        self.loans: Any = None  # takes back slots lent to rollouts, where any are lent
        self.readings: Any = None  # prompts that workers have still to read, where edges share it
        self.parts = PrefixAffinity()
        self._pace = LatencyEstimator()
        self._items: deque[InFlightRequest] = deque()
        self._items_tree: Any = None
        self.reading_items = 0
        self._list_number = 0
        self._line = AdmissionQueue()
        self._holder, self._roster, self._tree, self._sender = holder, roster, tree, sender
        self.open: dict[str, InFlightRequest] = {}
        self.by_prefix = True
        self.counts: dict[str, int] = {}

    def count(self, name: str) -> None:
        """Add one to a counter of the metrics."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def waiting(self) -> int:
        """Return how many live requests are queued for a slot."""
        return len(self._line)

    def items_waiting(self) -> int:
        """Return how many batch items this edge was assigned that no worker has yet."""
        return len(self._items)

    def carrying(self, job: bool) -> int:
        """Return how many batch items or live requests are in flight, rollouts not counted."""
        return sum(
            1
            for carriage in self.open.values()
            if carriage.call.job == job and not carriage.call.rollout
        )

    def sends(self) -> list[Attempt]:
        """Return the attempts in flight."""
        return [carriage.send for carriage in self.open.values() if carriage.send is not None]

    def carry(
        self,
        tx: RequestLifecycle,
        call: Call | ForwardCall,
        sink: Callable[[bytes], None] | None,
        done: Callable[[Step], None],
    ) -> InFlightRequest:
        """Begin a transaction; `sink` is given its events, `done` its last step."""
        carriage = InFlightRequest(self, tx, call, sink, done)
        self.open[tx.transaction_id] = carriage
        self.take(carriage, tx.begin())
        return carriage

    def take(self, carriage: InFlightRequest, step: Step) -> None:
        """Do the step that a transaction's state machine asks for."""
        if step.name == "open":
            ask_open(self, self._holder, carriage)
        elif step.name == "place":
            self._place(carriage)
        elif step.name == "wait":
            self._line.add(carriage)
        elif step.name == "send":
            self._begin(carriage, step.value)
        elif step.name == "close":
            ask_close(self, self._holder, carriage, step)
        else:
            self._finish(carriage, step)

    def _place(self, carriage: InFlightRequest) -> None:
        tx, now_ms = carriage.tx, self.node.env.now()
        workers = self._allowed(carriage)
        worker = self._choose(carriage, workers)
        if (
            worker is None
            and carriage.call.job
            and not carriage.call.kept_when_gone
            and workers
            and not self._all_rest(workers)
        ):
            self._items_tree = self._items_tree if self._items else self._tree()
            self._items.append(carriage)
        elif worker is None and not carriage.call.job:
            if self.loans is not None:
                self.loans.starved(workers)
            waits, back_ms = self._may_wait(carriage, workers, now_ms)
            self.take(carriage, tx.placed(None, bool(workers), waits, back_ms))
        else:
            self.take(carriage, tx.placed(worker, bool(workers)))

    def _may_wait(
        self,
        carriage: InFlightRequest,
        workers: list[Worker],
        now_ms: int,
        before: int | None = None,
    ) -> tuple[bool, int]:
        line, tx, settings = self._line, carriage.tx, self.node.settings
        if workers and not carriage.call.kept_when_gone and self._all_rest(workers):
            return (
                now_ms - tx.started_ms < tx.profile.target_ms * _OUTAGE_SHARE,
                settings.request_timeout_ms,
            )
        if not workers:
            held = line.missed_lately(
                tx.profile.name, now_ms, settings.worker_timeout_ms
            ) or self._roster.heard_lately(tx.profile)
            return held and line.makes_it(
                tx, settings.worker_timeout_ms / 2, now_ms
            ), settings.failure_timeout_ms
        line.seen_worker(tx.profile.name, now_ms)
        before = line.before(carriage) if before is None else before
        wait_ms = line.estimate_ms(
            tx, before, sum(worker.slots for worker in workers), self.edges()
        )
        return line.makes_it(tx, wait_ms, now_ms), max(settings.heartbeat_ms, int(wait_ms))

    def _all_rest(self, workers: list[Worker]) -> bool:
        return all(map(self._roster.resting, workers))

    def seems_dark(self, worker: Worker, path: str) -> bool:
        """Whether a worker is silent for unusually long; other workers are then preferred."""
        now_ms = self.node.env.now()
        return (
            worker.silent_ms(now_ms)
            > self._pace.dark_ms(path, False, self.node.settings.request_timeout_ms / 2) / 2
        )

    def _serve_items(self) -> None:
        """Send queued batch items to free workers; give back those late or no longer in force."""
        now_ms, tree = self.node.env.now(), self._tree()
        old = [
            carriage
            for carriage in self._items
            if tree is not self._items_tree or carriage.tx.due_ms <= now_ms
        ]
        self._items_tree = tree
        for carriage in old:
            self._items.remove(carriage)
            self.take(carriage, carriage.tx.placed(None, False))
        while self._items:
            carriage = self._items[0]
            worker = self._choose(carriage, self._allowed(carriage))
            if worker is None:
                return
            self._items.popleft()
            self.take(carriage, carriage.tx.placed(worker, True))

    def _serve_line(self, path: str) -> bool:
        """Send the queued request that is due first; false once none can go."""
        for carriage in self._line.rows(path):
            worker = self._choose(carriage, self._allowed(carriage))
            if worker is not None:
                self._line.drop(carriage)
                self.take(carriage, carriage.tx.placed(worker, True))
                return True
            if not carriage.tx.sends:
                return False
        return False

    def _review_line(self, path: str, now_ms: int) -> None:
        """Refuse at once the queued requests that can no longer meet their deadline."""
        while self._serve_line(path):
            pass
        rows = self._line.rows(path)
        workers = self._allowed(rows[0]) if rows else []
        for before, carriage in enumerate(rows):
            waits, back_ms = self._may_wait(carriage, workers, now_ms, before)
            if not waits:
                self._line.drop(carriage)
                self.take(carriage, carriage.tx.placed(None, bool(workers), False, back_ms))

    def _allowed(self, carriage: InFlightRequest) -> list[Worker]:
        return allowed_workers(carriage.call, self, carriage.tx, self._roster)

    def _choose(self, carriage: InFlightRequest, workers: list[Worker]) -> Worker | None:
        return choose_worker(carriage.call, self, carriage.tx, workers, self._roster)

    def _begin(self, carriage: InFlightRequest, worker: Worker) -> None:
        tx, call = carriage.tx, carriage.call
        tx.widen_budget(2.0 * worker.slots)
        if not call.job:
            self._line.seen_worker(tx.profile.name, self.node.env.now())
        self.count("sends_rollout" if call.rollout else "sends_lot" if call.job else "sends_live")
        if call.rollout:
            worker.borrowed += 1
        elif self.loans is not None:
            self.loans.first_claim(worker, call)
        worker.sending += 1
        worker.asked(self.node.env.now())
        if not call.kept_when_gone:
            self._reading(worker, call, 1)
        unread_tokens = 0
        if self.readings is not None and not call.kept_when_gone:
            unread_tokens = int(
                call.tokens_in * (1 - self.parts.share(worker.identity, call.parts))
            )
            self.readings.sent(worker.identity, unread_tokens)
        if call.parts:
            self.parts.sent(worker.identity, call.parts, tx.profile.cache_tokens)
        self.node.env.log(
            "send",
            "DEBUG",
            transaction=tx.transaction_id,
            worker=worker.stamp,
            path=tx.profile.name,
        )
        send = carriage.send = Attempt(self, carriage, worker, new_exchange(call, self, tx, worker))
        send.reads = not call.kept_when_gone
        send.unread_tokens = unread_tokens
        send.abort = self._sender(send, worker.address, *worker_request(call, self, tx, worker))

    def _reading(self, worker: Worker, call: Any, change: int) -> None:
        """Change the number of prompts, ours and those of batch items, that a worker is reading."""
        worker.reading += change
        if call.job:
            worker.reading_items += change
            self.reading_items += change

    def _has_read(self, send: Attempt) -> None:
        if send.reads:
            send.reads = False
            self._reading(send.worker, send.carriage.call, -1)
            if self._items:
                self._serve_items()

    def _over(self, send: Attempt) -> None:
        send.over = True
        self._has_read(send)
        send.worker.sending -= 1
        send.worker.borrowed -= send.carriage.call.rollout
        send.carriage.send = None
        send.abort()

    def heard(self, send: Attempt) -> None:
        """Record that the worker of an attempt has answered something."""
        send.worker.answered_ms = self.node.env.now()

    def eventful(self, send: Attempt) -> None:
        """Record an event of a stream; the usual pace of its route is learnt from it."""
        now_ms, path = self.node.env.now(), send.carriage.tx.profile.name
        if send.reads and self.readings is not None:
            self.readings.has_read(send.unread_tokens, now_ms - send.began_ms)
        if send.carriage.call.stream:
            (self._pace.gap if send.heard_ms > send.began_ms else self._pace.first)(
                path, now_ms - send.heard_ms
            )
        send.heard_ms = now_ms
        self._has_read(send)

    def ended(self, send: Attempt, fate: AttemptOutcome) -> None:
        """Take the outcome of an attempt, and the next step of its transaction."""
        tx, worker = send.carriage.tx, send.worker
        fate = outcome_after(send, fate)
        self._over(send)
        if fate.name != "failed":
            self._roster.answered(worker)
        if fate.name == "whole":
            if not send.carriage.call.job:
                self._line.served(tx.profile.name, self.node.env.now() - send.began_ms)
            tx.begun()
            send.carriage.head = send.carriage.head or send.exchange.told_head()
            self.take(send.carriage, tx.ended(fate.status, fate.body))
        elif fate.name == "ran":
            step = tx.answered(worker.stamp, fate.status, fate.body, self.node.env.now())
            if step.name == "finish":
                send.carriage.head = send.exchange.told_head()
            self.take(send.carriage, step)
        elif fate.name == "rejected":
            send.carriage.head = send.carriage.head or send.exchange.told_head()
            self.take(send.carriage, tx.rejected(fate.status, fate.body))
        else:
            self.count("sends_failed")
            note_failure(self.node.env, self._roster, send, fate)
            self.take(
                send.carriage,
                tx.failed(worker.stamp, fate.may_have_run, fate.reason, self.node.env.now()),
            )
        for path in self._line.paths():
            self._serve_line(path)
        if self._items:
            self._serve_items()

    def tick(self) -> None:
        """Find passed deadlines and silent workers, and serve the queues."""
        now_ms = self.node.env.now()
        for carriage in list(self.open.values()):
            send, tx = carriage.send, carriage.tx
            if send is None:
                continue
            if now_ms >= tx.due_ms:
                dark = (
                    not carriage.call.kept_when_gone
                    and send.worker.silent_ms(now_ms) > self.node.settings.request_timeout_ms
                )
                self.ended(
                    send,
                    AttemptOutcome(
                        "failed",
                        may_have_run=not send.connecting,
                        reason="deadline",
                        mark="down" if dark else "",
                    ),
                )
            elif not carriage.call.kept_when_gone:
                self._review_silence(send, now_ms)
            elif tx.safe and not tx.delivered and self._roster.silent(send.worker):
                self.ended(send, AttemptOutcome("failed", reason="worker silent"))
        for path in self._line.paths():
            self._review_line(path, now_ms)
        if self._items:
            self._serve_items()
        if self._list_number != self._roster.list_number:
            self._list_number = self._roster.list_number
            self.parts.keep_only(worker.identity for worker in self._roster.all())

    def _review_silence(self, send: Attempt, now_ms: int) -> None:
        fate = silence_fate(self._pace, self.node.settings, send, now_ms)
        if fate is not None:
            self.ended(send, fate)

    def visitor_gone(self, carriage: InFlightRequest) -> None:
        """Stop a transaction whose client hung up, if it may be stopped."""
        tx = carriage.tx
        if (not tx.safe and carriage.call.kept_when_gone) or tx.transaction_id not in self.open:
            return
        if carriage.send is not None:
            self._over(carriage.send)
        self._line.drop(carriage)
        self._finish(carriage, tx.gone())

    def drop(self, carriage: InFlightRequest) -> None:
        """Stop a transaction without reporting anything of it."""
        if carriage.send is not None:
            self._over(carriage.send)
        elif carriage in self._items:
            self._items.remove(carriage)
        self.open.pop(carriage.tx.transaction_id, None)

    def _finish(self, carriage: InFlightRequest, step: Step) -> None:
        tx = carriage.tx
        self.open.pop(tx.transaction_id, None)
        self.count(f"steps_{step.name}")
        log_end(self.node.env, carriage, step)
        carriage.done(step)
