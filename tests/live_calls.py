"""Forwarded live calls at one edge on a simulated clock, before workers that the test makes slow or unreachable."""

import heapq
import json
import random
from itertools import count
from types import SimpleNamespace

from control_store import ProfileTree
from messaging import Node
from request_routing import (
    ForwardCall,
    ForwardLifecycle,
    InFlightRequest,
    RequestRouter,
    WorkerHeaderNames,
    WorkerRegistry,
)
from request_routing.prefill_tracker import PrefillTracker
from runtime import Settings

HEADER_NAMES = WorkerHeaderNames(
    request_id="Id",
    worker="Worker",
    signature="Stamp",
    not_run="Refused",
    load="Load",
    deadline_ms="Left",
    urgency="Rank",
)
SETTINGS = Settings(
    role="edge", link="127.0.0.1:1", http="127.0.0.1:2", zone="z", seeds=["127.0.0.1:3"]
)
TICK_MS = 25
EVENT = b"id: 1\ndata: x\n\n"


class LiveCall:
    """A call: when it came, until when its client waits, and how and when it ended."""

    def __init__(self, route, started_ms, due_ms):
        self.route, self.started_ms, self.due_ms = route, started_ms, due_ms
        self.step, self.ended_ms, self.attempts, self.events_ms = None, None, 0, []

    @property
    def refusal(self):
        return self.step.refusal

    @property
    def served(self):
        return self.step is not None and self.step.refusal is None

    @property
    def held_ms(self):
        return self.ended_ms - self.started_ms


class LiveCalls:
    """The edge. A worker serves `slots` calls at a time, each for `service_ms` (of all routes, or of each); `down` ones refuse connections,
    `dark` ones don't answer to them.

    A stream's first event comes after `first_event_ms`; `stuck` workers take calls and send nothing,
    unless they are `chatty`: then they send data of requests that are not this edge's calls here.
    """

    def __init__(self, routes, workers=1, slots=32, service_ms=600, first_event_ms=100, edges=1):
        self.now_ms = 100_000
        self.slots, self.service_ms, self.first_event_ms = slots, service_ms, first_event_ms
        self.down, self.dark, self.stuck, self.chatty = set(), set(), set(), set()
        self.list_number = 1
        self.started = []
        self._running, self._queued = {}, {}
        self._due, self._numbers = [], count()
        self.rows = {
            f"w{number}": {
                "address": f"10.0.0.{number}:80",
                "zone": "z",
                "label": "gpu",
                "slots": slots,
                "state": "serving",
                "seq": 1,
                "models": [],
            }
            for number in range(workers)
        }
        env = SimpleNamespace(
            now=lambda: self.now_ms,
            wall=lambda: self.now_ms,
            token=lambda: f"t{next(self._numbers)}",
            address="edge:1",
            rng=random.Random(3),
            log=lambda event, level="INFO", **fields: None,
            send=lambda *_: None,
        )
        base = {"workers": {"labels": ["gpu"]}, "kind": "plain", "attempts": 2}
        self.tree = ProfileTree({name: {**base, **values} for name, values in routes.items()})
        self.registry = WorkerRegistry(
            list,
            lambda identity, labels: True,
            lambda: (self.list_number, json.dumps({"workers": self.rows})),
        )
        self.router = RequestRouter(
            "edge", None, self.registry, lambda: self.tree, self._send, lambda: edges
        )
        self.router.header_names = HEADER_NAMES
        self.router.prefill = PrefillTracker(list)
        self.node = Node(env, SETTINGS, [self.registry, self.router, self.router.prefill])
        self.advance(TICK_MS)

    def call(self, route, left_ms):
        """Send a call whose client waits `left_ms` from now."""
        profile = self.tree.usable(route)
        row = LiveCall(route, self.now_ms, self.now_ms + left_ms)
        stream = profile.kind == "stream"
        call = ForwardCall(
            "POST", "/", "h", [], b"", f"r{next(self._numbers)}", stream=stream, tokens_in=10
        )
        lifecycle = ForwardLifecycle(f"e{next(self._numbers)}", profile, self.now_ms, row.due_ms)

        def ended(step):
            row.step, row.ended_ms = step, self.now_ms
            row.attempts = len(lifecycle.attempts)

        def event_came(event):
            row.events_ms.append(self.now_ms - row.started_ms)

        self.router.start(lifecycle, call, event_came, ended)
        return row

    def decide(self, route, left_ms, age_ms=0):
        """Return the decision on a call that came `age_ms` ago and would now look for a slot."""
        profile = self.tree.usable(route)
        call = ForwardCall("POST", "/", "h", [], b"", "r", stream=profile.kind == "stream")
        lifecycle = ForwardLifecycle("e", profile, self.now_ms - age_ms, self.now_ms + left_ms)
        request = InFlightRequest(self.router, lifecycle, call, None, lambda step: None)
        workers = self.registry.listed(profile.labels)
        return self.router._admission.decide(request, workers, SETTINGS, self.now_ms)

    def _send(self, attempt, address, target, headers, body, method="POST"):
        worker = attempt.worker.identity
        self.started.append((self.now_ms, worker, attempt.request.lifecycle.profile.name))
        attempt.connecting = True
        self.after(1, lambda: self._arrived(attempt, worker))
        return lambda: None

    def _arrived(self, attempt, worker):
        if attempt.over or worker in self.dark:
            return
        if worker in self.down:
            attempt.connection_failed("no connection", False)
            return
        attempt.connected()
        if worker in self.stuck:
            self._send_to_others(worker)
            return
        if self._running.setdefault(worker, 0) < self.slots:
            self._begin(attempt, worker)
        else:
            self._queued.setdefault(worker, []).append(attempt)

    def _send_to_others(self, worker):
        """Let the worker seem busy: what it sends for other requests shows that it is not silent."""
        if worker in self.chatty:
            self.registry._workers[worker].answered_ms = self.now_ms
            self.after(TICK_MS, lambda: self._send_to_others(worker))

    def _begin(self, attempt, worker):
        self._running[worker] += 1
        if attempt.request.call.stream:
            self.after(self.first_event_ms, lambda: self._first_event(attempt))
        route = attempt.request.lifecycle.profile.name
        self.after(self._service_ms_of(route), lambda: self._served(attempt, worker))

    def _service_ms_of(self, route):
        return self.service_ms[route] if isinstance(self.service_ms, dict) else self.service_ms

    def _first_event(self, attempt):
        if not attempt.over:
            head = [("Id", attempt.request.call.request_id), ("Stamp", "s")]
            head += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
            attempt.head(200, head, None)
            attempt.data(EVENT)

    def _served(self, attempt, worker):
        self._running[worker] -= 1
        if self._queued.get(worker):
            self._begin(self._queued[worker].pop(0), worker)
        if attempt.over:
            return
        if not attempt.request.call.stream:
            head = [("Id", attempt.request.call.request_id), ("Stamp", "s")]
            attempt.head(200, [*head, ("Content-Length", "2")], 2)
            attempt.data(b"ok")
        attempt.end()

    def after(self, wait_ms, action):
        heapq.heappush(self._due, (self.now_ms + wait_ms, next(self._numbers), action))

    def publish(self, **rows):
        """Give the edge a new list of workers."""
        self.rows, self.list_number = rows, self.list_number + 1

    def advance(self, wait_ms):
        """Let time pass: the workers' actions as they are due, and a tick of the node each TICK_MS."""
        end_ms = self.now_ms + wait_ms
        while self.now_ms < end_ms:
            next_tick_ms = self.now_ms - self.now_ms % TICK_MS + TICK_MS
            next_ms = min([end_ms, next_tick_ms] + [row[0] for row in self._due[:1]])
            self.now_ms = max(self.now_ms, next_ms)
            while self._due and self._due[0][0] <= self.now_ms:
                heapq.heappop(self._due)[2]()
            if self.now_ms % TICK_MS == 0:
                self.node.tick()

    def learn(self, *routes):
        """Let some calls of each route be served, so that their service times are known."""
        for route in routes:
            for _ in range(30):
                self.call(route, 60_000)
                self.advance(self._service_ms_of(route) + 50)
        self.started.clear()
