"""The request state machine, stream checks, the worker registry and placement by prefix.

They are tested without sockets, on a clock that the tests set.
"""

import json

from control_store import ProfileTree
from messaging import Node
from request_routing import (
    RequestLifecycle,
    RetryBudget,
    StreamCheck,
    Worker,
    WorkerRegistry,
    WorkerUpdate,
    check_body,
    choose_by_prefix,
    prefix_of,
)
from runtime import Settings, Verdict
from testtools import TestCase
from testtools.matchers import Equals

TREE = ProfileTree({"safe": {}, "unsafe": {"repeatable": False}})
SETTINGS = Settings(link="10.0.0.1:1", http="10.0.0.1:2", zone="z", seeds=["10.0.0.1:1"])


class FakeWorker:
    def __init__(self, instance_id):
        self.instance_id = instance_id


def new_lifecycle(path, key="", budget=10.0):
    return RequestLifecycle("t", TREE.get(path), key, 0, RetryBudget(budget))


class Lifecycles(TestCase):
    """Rows: route, events after `begin`, kind of the last step, verdict of its refusal or None, and the
    state in which the idempotency key is closed.

    An event is "place" (a worker was selected), "wait" (queued), "none" (no worker free), "begun", "event"
    and "end" (of the response), ("fail" or "late", whether the request may have run) for a failed attempt
    before or after the deadline, "gone" (client disconnected), "closed" (the key), or the outcome of
    opening the key.
    """

    ROWS = [
        ("safe", ["place", "begun", "end"], "finish", None, ""),
        ("safe", ["place", ("fail", False), "place", "begun", "end"], "finish", None, ""),
        ("safe", ["place", ("fail", True), "place", "begun", "end"], "finish", None, ""),
        ("safe", ["none"], "refuse", "not_run", ""),
        ("safe", ["wait", "place", "begun", "end"], "finish", None, ""),
        ("safe", ["wait", "none"], "refuse", "not_run", ""),
        ("unsafe", ["opened", "wait", "none", "closed"], "refuse", "not_run", "void"),
        ("safe", ["place", ("fail", True), "wait", "none"], "refuse", "may_have_run", ""),
        ("safe", ["wait", "gone"], "gone", None, ""),
        ("safe", ["place", "begun", "event", "gone"], "gone", None, ""),
        ("safe", ["place", ("late", True)], "refuse", "may_have_run", ""),
        ("safe", ["place", ("late", False)], "refuse", "not_run", ""),
        ("safe", ["place", "begun", "event", ("fail", True)], "cut", "may_have_run", ""),
        ("unsafe", ["opened", "place", "begun", "end", "closed"], "finish", None, "done"),
        ("unsafe", ["opened", "none", "closed"], "refuse", "not_run", "void"),
        (
            "unsafe",
            ["opened", "place", ("fail", False), "place", "begun", "end", "closed"],
            "finish",
            None,
            "done",
        ),
        (
            "unsafe",
            ["opened", "place", ("fail", True), "closed"],
            "refuse",
            "may_have_run",
            "doubt",
        ),
        (
            "unsafe",
            ["opened", "place", "begun", "event", ("fail", True), "closed"],
            "cut",
            "may_have_run",
            "doubt",
        ),
        ("unsafe", ["recorded"], "replay", None, ""),
        ("unsafe", ["open"], "refuse", "may_have_run", ""),
        ("unsafe", ["doubt"], "refuse", "may_have_run", ""),
        ("unsafe", ["conflict"], "refuse", "not_run", ""),
        ("unsafe", ["full"], "refuse", "not_run", ""),
        ("unsafe", ["unknown"], "refuse", "may_have_run", ""),
    ]

    def test_outcome_of_each_event_sequence(self):
        for path, events, last, verdict, close_as in self.ROWS:
            lifecycle = new_lifecycle(path, "k")
            step, closed = lifecycle.begin(), ""
            for event in events:
                closed = step.key_state or closed
                if event == "place":
                    step = lifecycle.worker_selected(FakeWorker(f"w{len(lifecycle.attempts)}"))
                elif event == "wait":
                    step = lifecycle.admitted_to_queue()
                elif event == "gone":
                    step = lifecycle.client_disconnected()
                elif event == "none":
                    step = lifecycle.no_worker_free(True)
                elif event == "begun":
                    step = lifecycle.stream_started()
                elif event == "event":
                    lifecycle.event_delivered()
                elif event == "end":
                    step = lifecycle.completed(200, "body")
                elif event == "closed":
                    closed = step.key_state
                    step = lifecycle.key_closed()
                elif isinstance(event, tuple):
                    step = lifecycle.attempt_failed(
                        f"w{len(lifecycle.attempts)}",
                        event[1],
                        "x",
                        10**6 if event[0] == "late" else 1,
                    )
                else:
                    step = lifecycle.key_answered(event, 200, "kept")
            last_verdict = str(step.refusal.verdict) if step.refusal else None
            self.assertThat(
                (step.kind, last_verdict, closed),
                Equals((last, verdict, close_as)),
                f"{path} {events}",
            )

    def test_non_idempotent_request_without_a_key_is_refused(self):
        step = new_lifecycle("unsafe").begin()
        self.assertThat(
            (step.kind, step.refusal.verdict, step.refusal.field),
            Equals(("refuse", Verdict.NOT_RUN, "Idempotency-Key")),
        )

    def test_exhausted_budget_ends_retries(self):
        lifecycle = new_lifecycle("safe", budget=2.0)
        step = lifecycle.begin()
        attempts = 0
        while step.kind == "place":
            lifecycle.worker_selected(FakeWorker(f"w{attempts}"))
            attempts += 1
            step = lifecycle.attempt_failed(f"w{attempts}", True, "x", 1)
        self.assertThat((attempts, step.kind), Equals((3, "refuse")))

    def test_retry_of_what_has_not_run_is_free_once_at_each_worker(self):
        lifecycle = new_lifecycle("unsafe", "k", budget=2.0)
        lifecycle.begin()
        step, attempts = lifecycle.key_answered("opened"), 0
        while step.kind == "place":
            worker = f"w{attempts % 5}"
            lifecycle.worker_selected(FakeWorker(worker))
            attempts += 1
            step = lifecycle.attempt_failed(worker, False, "x", 1)
        self.assertThat((attempts, step.key_state), Equals((5 + 2 + 1, "void")))


def event(place, run="r", data=None):
    return f"id: {place}\ndata: {json.dumps({'id': run}) if data is None else data}\n\n".encode()


END = b"data: [DONE]\n\n"


class Streams(TestCase):
    """Rows: chunks of the stream, number of events that are delivered, and the fault found."""

    ROWS = [
        ([event(0), event(1), END], 3, ""),
        ([event(0), END], 2, ""),
        ([event(0), event(1)], 2, "cut"),
        ([event(0), event(2), END], 1, "event 2 where 1 was due"),
        ([event(0), event(0)], 1, "event 0 where 1 was due"),
        ([event(0), event(1, "other")], 1, "another run"),
        ([event(0), END, event(1)], 2, "after the end"),
        ([event(0), b"data: [DO"], 1, "cut"),
        ([event(0, data="{}")], 0, "an event without an id"),
        ([], 0, "cut"),
        ([event(0)[:9], event(0)[9:], END], 2, ""),
    ]

    def test_stream_faults(self):
        for chunks, delivered, fault in self.ROWS:
            check = StreamCheck()
            good = [found for chunk in chunks for found in check.feed(chunk)]
            self.assertThat((len(good), check.close()), Equals((delivered, fault)), str(chunks))
        whole = b"".join([event(0), event(1), END])
        check = StreamCheck()
        good = [
            found for place in range(len(whole)) for found in check.feed(whole[place : place + 1])
        ]
        self.assertThat((b"".join(good), check.close()), Equals((whole, "")))

    def test_body_faults(self):
        rows = [
            (b"{}", 2, ""),
            (b"{}", 3, "length"),
            (b"{}", None, "length"),
            (b"[]", 2, "json"),
            (b"{x", 2, "json"),
        ]
        for data, length, fault in rows:
            self.assertThat(check_body(data, length), Equals(fault))


def update(
    identity,
    beat=1,
    incarnation=1,
    leaving=False,
    address="",
    running=0,
    waiting=0,
    slots=8,
    zone="z",
):
    return WorkerUpdate(
        identity=identity,
        incarnation=incarnation,
        address=address or f"{identity}:1",
        zone=zone,
        labels=[],
        beat=beat,
        running=running,
        waiting=waiting,
        slots=slots,
        cache_use=0.0,
        leaving=leaving,
    )


class FakeEnv:
    address = "10.0.0.1:1"

    def __init__(self):
        import random

        self.rng, self.now_ms, self.sent = random.Random(1), 10**6, []

    def now(self):
        return self.now_ms

    def send(self, to, request_id, in_reply_to, message):
        self.sent.append((to, message))

    def log(self, *args, **fields):
        pass


class Registries(TestCase):
    def setUp(self):
        super().setUp()
        self.env = FakeEnv()
        self.registry = WorkerRegistry(
            lambda: ["e2", "e3"], lambda identity, labels: identity != "disallowed"
        )
        Node(self.env, SETTINGS, [self.registry])

    def usable_ids(self):
        return sorted(worker.instance_id for worker in self.registry.workers())

    def test_heartbeats_are_flooded_once_and_workers_not_allowed_are_unused(self):
        self.registry.apply_update(update("w"), "e2")
        self.registry.apply_update(update("w"), "e3")
        self.registry.apply_update(update("disallowed"))
        self.assertThat(
            [to for to, message in self.env.sent if message.identity == "w"], Equals(["e3"])
        )
        self.assertThat(self.usable_ids(), Equals(["w/1"]))

    def test_leave_is_final_for_its_incarnation(self):
        self.registry.apply_update(update("w"))
        self.registry.apply_update(update("w", leaving=True))
        self.assertThat(
            (self.usable_ids(), self.registry.apply_update(update("w", beat=9))),
            Equals(([], False)),
        )
        self.registry.apply_update(update("w", incarnation=2))
        self.assertThat(self.usable_ids(), Equals(["w/2"]))
        self.assertThat(
            self.registry.apply_update(update("w", beat=99, incarnation=1)), Equals(False)
        )

    def test_silence_failed_connection_and_replacement_exclude_a_worker(self):
        self.registry.apply_update(update("w"))
        self.env.now_ms += SETTINGS.worker_timeout_ms + 1
        self.assertThat(self.usable_ids(), Equals([]))
        self.registry.apply_update(update("w", beat=2))
        self.registry.record_connection_failure(self.registry.workers()[0])
        self.assertThat(self.usable_ids(), Equals([]))
        self.registry.apply_update(update("w", beat=3))
        self.assertThat(self.usable_ids(), Equals([]))
        self.registry.apply_update(update("w", beat=4))
        self.assertThat(self.usable_ids(), Equals(["w/1"]))
        self.registry.apply_update(update("v", address="w:1", incarnation=2))
        self.assertThat(self.usable_ids(), Equals(["v/2"]))
        for late in (update("w", beat=5), update("u", address="w:1")):
            self.assertThat(self.registry.apply_update(late), Equals(False))
        self.assertThat(self.usable_ids(), Equals(["v/2"]))

    def test_buffered_heartbeats_do_not_count_after_a_freeze(self):
        self.registry.apply_update(update("w"))
        self.registry.resumed(5000)
        self.registry.apply_update(update("w", beat=2))
        self.assertThat(self.usable_ids(), Equals([]))
        self.env.now_ms += SETTINGS.heartbeat_ms + 1
        self.registry.apply_update(update("w", beat=3))
        self.assertThat(self.usable_ids(), Equals(["w/1"]))


class PrefixPlacement(TestCase):
    def workers(self, **loads):
        made = []
        for name, (running, waiting, zone) in loads.items():
            row = update(name, running=running, waiting=waiting, zone=zone)
            made.append(Worker(row, 0))
        return made

    def test_same_prefix_goes_to_the_same_worker_up_to_its_bound(self):
        workers = self.workers(a=(0, 0, "z"), b=(0, 0, "z"), c=(0, 0, "z"))
        first = choose_by_prefix(workers, "p", False, "z", True, 0.0)
        self.assertThat(
            {choose_by_prefix(workers, "p", False, "z", True, 0.0).identity for _ in range(5)},
            Equals({first.identity}),
        )
        first.running = 8
        self.assertThat(
            choose_by_prefix(workers, "p", False, "z", True, 0.0) is first, Equals(False)
        )

    def test_choice_by_load_zone_and_kind(self):
        """Rows: running, waiting and zone of each worker, whether it is a batch item, and the choice."""
        rows = [
            ({"a": (8, 0, "z"), "b": (1, 0, "z")}, False, "b"),
            ({"a": (6, 0, "z")}, True, None),
            ({"a": (5, 0, "z")}, True, "a"),
            ({"a": (0, 1, "z")}, True, None),
            ({"a": (0, 0, "y"), "b": (0, 0, "z")}, False, "b"),
            ({"a": (0, 0, "y")}, False, "a"),
            ({"a": (8, 7, "z")}, False, "a"),
            ({"a": (8, 8, "z")}, False, None),
            ({}, False, None),
        ]
        for loads, job, wanted in rows:
            chosen = choose_by_prefix(
                self.workers(**loads), "p", job, "z", True, 0.25 if job else 0.0
            )
            self.assertThat(chosen and chosen.identity, Equals(wanted), str(loads))

    def test_prefix_is_of_the_start_of_the_prompt(self):
        head = "x" * 300
        self.assertThat(
            prefix_of({"prompt": head + "a"}), Equals(prefix_of({"prompt": head + "b"}))
        )
        self.assertThat(
            prefix_of({"messages": [{"content": "a"}]})
            != prefix_of({"messages": [{"content": "b"}]}),
            Equals(True),
        )
