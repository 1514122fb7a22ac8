"""Placement of forwarded requests: listed workers, their load, caches, backoff and latency.

Also the state machine of a forwarded request, which is sent to a bounded number of workers.
"""

import json
import random

from control_store import ProfileTree
from messaging import Node
from request_routing import (
    ForwardCall,
    ForwardLifecycle,
    WorkerLoad,
    WorkerRegistry,
    WorkerUpdate,
    end_to_end,
)
from request_routing.attempt_outcome import NO_CONNECTION
from request_routing.cost_placement import choose_by_cost
from request_routing.latency_estimator import LatencyEstimator
from request_routing.prefix_affinity import PrefixAffinity
from runtime import Settings
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

SETTINGS = Settings(link="10.0.0.1:1", http="10.0.0.1:2", zone="z", seeds=["10.0.0.1:1"])
TREE = ProfileTree(
    {
        "service": {"abstract": True, "workers": {"labels": ["s"]}},
        "safe": {"parent": "service", "attempts": 3},
        "unsafe": {"parent": "service", "attempts": 3, "repeatable": False},
    }
)
CALL = ForwardCall("POST", "/", "h", [], b"", "r", parts=[("a", 100), ("b", 300)])


class FakeEnv:
    address = "10.0.0.1:1"

    def __init__(self):
        self.ms, self.rng = 100_000, random.Random(7)

    def now(self):
        return self.ms

    def log(self, *_, **__):
        return None


def list_row(place, state="serving", address=None, **more):
    return {
        "address": address or f"10.0.1.{place}:80",
        "zone": "z",
        "label": "s",
        "slots": 8,
        "state": state,
        "seq": 1,
        **more,
    }


class RegistryTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.env, self.number, self.rows = FakeEnv(), 0, {}
        self.registry = WorkerRegistry(
            list,
            TREE.allows_worker,
            lambda: (self.number, json.dumps({"workers": self.rows})),
        )
        Node(self.env, SETTINGS, [self.registry])

    def publish(self, **rows):
        self.rows, self.number = rows, self.number + 1
        return {worker.identity: worker for worker in self.registry.listed(frozenset(["s"]))}

    def choose(self, workers, call=CALL, affinity=None, **options):
        return choose_by_cost(
            list(workers),
            call,
            affinity or PrefixAffinity(),
            self.env.ms,
            "z",
            self.env.rng,
            200,
            **options,
        )


class ListedWorkers(RegistryTestCase):
    def test_listed_workers_get_requests_unless_draining(self):
        """Rows: the list, and the workers that may get new requests."""
        for rows, wanted in [
            ({"a": list_row(1), "b": list_row(2)}, "ab"),
            ({"a": list_row(1, "draining"), "b": list_row(2)}, "b"),
            ({"b": list_row(2)}, "b"),
            ({"b": list_row(2), "c": list_row(1)}, "bc"),
            ({}, ""),
        ]:
            self.assertThat("".join(sorted(self.publish(**rows))), Equals(wanted))
            self.env.ms += 3_600_000
            self.assertThat(
                "".join(sorted(worker.identity for worker in self.registry.workers())),
                Equals(wanted),
                "silence of a listed worker is ignored",
            )

    def test_requests_in_flight_are_kept_over_a_new_list(self):
        first = self.publish(a=list_row(1))["a"]
        first.in_flight = 3
        self.assertThat(
            self.publish(a=list_row(1, "draining"), b=list_row(2)),
            Equals({"b": self.registry._workers["b"]}),
        )
        self.assertThat(
            (self.publish(a=list_row(1))["a"] is first, first.in_flight), Equals((True, 3))
        )
        self.assertThat(
            self.publish(a=list_row(1, address="10.0.1.9:80"))["a"] is first, Equals(False)
        )

    def test_worker_at_whose_address_another_responds_is_removed_for_good(self):
        self.registry.record_mismatch(self.publish(a=list_row(1), b=list_row(2))["a"])
        self.assertThat(
            sorted(self.publish(a=list_row(1), b=list_row(2), c=list_row(3))), Equals(["b", "c"])
        )

    def test_backoff_grows_with_each_failure(self):
        worker, spans = self.publish(a=list_row(1))["a"], []
        for _ in range(7):
            self.registry.record_connection_failure(worker)
            began = self.env.ms
            while self.registry.is_backing_off(worker):
                self.env.ms += 10
            spans.append(self.env.ms - began)
        self.assertThat(spans, Equals([250, 500, 1000, 2000, 4000, 4000, 4000]))
        self.registry.record_connection_failure(worker)
        self.registry.record_answer(worker)
        self.assertThat(self.registry.is_backing_off(worker), Equals(False))

    def test_the_failures_of_one_outage_are_one_step_of_the_backoff(self):
        """A worker restarts: the failures of all calls in flight there exclude it no longer than one failure does."""
        worker = self.publish(a=list_row(1))["a"]
        began_ms = self.env.ms
        for _ in range(24):
            self.registry.record_connection_failure(worker)
            self.env.ms += 5
        while self.registry.is_backing_off(worker):
            self.env.ms += 5
        self.assertThat(self.env.ms - began_ms, Equals(250))

    def test_silence_is_measured_per_worker(self):
        worker = self.publish(a=list_row(1))["a"]
        self.assertThat(worker.silent_ms(self.env.ms), Equals(0))
        worker.in_flight = 1
        worker.request_sent(self.env.ms)
        self.env.ms += 300
        self.assertThat(worker.silent_ms(self.env.ms), Equals(300))
        worker.in_flight = 2
        worker.request_sent(self.env.ms)
        self.assertThat(
            worker.silent_ms(self.env.ms),
            Equals(300),
            "a second request does not shorten the silence",
        )
        worker.answered_ms = self.env.ms
        self.env.ms += 50
        self.assertThat(worker.silent_ms(self.env.ms), Equals(50))


class CostPlacement(RegistryTestCase):
    def test_requests_are_spread_evenly_and_in_turn(self):
        workers = self.publish(a=list_row(1), b=list_row(2), c=list_row(3))
        order = []
        for _ in range(9):
            worker = self.choose(workers.values())
            worker.in_flight += 1
            worker.request_sent(self.env.ms)
            self.env.ms += 20
            order.append(worker.identity)
        self.assertThat(
            [sorted(order[at : at + 3]) for at in (0, 3, 6)], Equals([["a", "b", "c"]] * 3)
        )

    def test_load_of_other_callers_has_a_low_weight_but_takes_slots(self):
        workers = self.publish(a=list_row(1), b=list_row(2))
        workers["a"].report_load(WorkerLoad(4, 0, 8), self.env.ms)
        workers["b"].in_flight = 2
        self.assertThat(self.choose(workers.values()).identity, Equals("a"))
        workers["a"].report_load(WorkerLoad(8, 2, 8), self.env.ms)
        self.assertThat(self.choose(workers.values()).identity, Equals("b"))
        self.env.ms += 10_000
        self.assertThat(
            self.choose(workers.values()).identity, Equals("a"), "an older report counts less"
        )

    def test_worker_with_cached_prompt_is_preferred_only_at_equal_load(self):
        workers, affinity = self.publish(a=list_row(1), b=list_row(2)), PrefixAffinity()
        affinity.record_prompt("b", CALL.parts, 10_000)
        self.assertThat(self.choose(workers.values(), affinity=affinity).identity, Equals("b"))
        workers["b"].in_flight = 1
        self.assertThat(self.choose(workers.values(), affinity=affinity).identity, Equals("a"))

    def test_capacity_for_live_requests_and_batch_items(self):
        """Rows: requests in flight at the only worker, which has 8 slots, and whether it has capacity for a live
        request and for a batch item.
        """
        worker = self.publish(a=list_row(1))["a"]
        item = ForwardCall("POST", "/", "h", [], b"", "r", job=True)
        for requests, live, job in [
            (0, True, True),
            (5, True, True),
            (6, True, False),
            (8, True, False),
            (9, True, False),
            (10, False, False),
        ]:
            worker.in_flight = requests
            has_capacity = (
                self.choose([worker]) is not None,
                self.choose([worker], item, job_free=0.25) is not None,
            )
            self.assertThat(has_capacity, Equals((live, job)), f"{requests}")
        worker.in_flight = 3
        self.assertThat(self.choose([worker], connections=3), Equals(None))

    def test_overloaded_worker_is_skipped_for_a_while(self):
        worker = self.publish(a=list_row(1))["a"]
        self.registry.record_overload(worker)
        self.assertThat(self.choose([worker]), Equals(None))
        self.env.ms += 1_000
        self.assertThat(self.choose([worker]), Equals(worker))

    def test_large_pool_is_sampled_and_caching_workers_are_added(self):
        workers, affinity = (
            self.publish(**{f"w{place}": list_row(place) for place in range(200)}),
            PrefixAffinity(),
        )
        affinity.record_prompt("w150", CALL.parts, 10_000)
        self.assertThat(
            {self.choose(workers.values(), affinity=affinity).identity for _ in range(20)},
            Equals({"w150"}),
        )


class Affinities(TestCase):
    def test_cached_shares_and_eviction(self):
        affinity = PrefixAffinity()
        affinity.record_prompt("w", [("a", 100), ("b", 300)], 500)
        rows = [
            ([("a", 100), ("b", 300)], 1.0),
            ([("a", 100), ("c", 300)], 0.25),
            ([("c", 9), ("b", 300)], 0.0),
            ([], 0.0),
        ]
        for prompt, share in rows:
            self.assertThat(affinity.share("w", prompt), Equals(share), f"{prompt}")
        affinity.record_prompt("w", [("a", 100), ("c", 300)], 500)
        self.assertThat(
            [affinity.share("w", [("a", 100), (part, 300)]) for part in "bc"], Equals([0.25, 1.0])
        )
        self.assertThat(
            (affinity.workers_with([("a", 1), ("z", 1)]), affinity.workers_with([("b", 1)])),
            Equals(({"w"}, set())),
        )
        affinity.retain_workers(["v"])
        self.assertThat((len(affinity), affinity.workers_with([("a", 1)])), Equals((0, set())))

    def test_size_is_bounded(self):
        affinity = PrefixAffinity()
        for number in range(5000):
            affinity.record_prompt("w", [("shared", 100), (f"own-{number}", 400)], 10_000)
        self.assertThat(len(affinity), LessThan(30))


class Latencies(TestCase):
    def test_stall_timeout(self):
        latency = LatencyEstimator()
        self.assertThat(latency.stall_after_ms("p", False, 250), Equals(500))
        for _ in range(50):
            latency.add_first_event("p", 50)
        self.assertThat(latency.stall_after_ms("p", False, 250), Equals(250))
        for took_ms in (400, 900) * 25:
            latency.add_first_event("p", took_ms)
        self.assertThat(latency.stall_after_ms("p", False, 250), GreaterThan(1500))
        self.assertThat(
            latency.stall_after_ms("p", True, 250),
            Equals(500),
            "times between events have an average of their own",
        )


class Lifecycles(TestCase):
    """Rows: route, whether its streams are resumable, events, kind of the last step, and its status or 0."""

    ROWS = [
        ("safe", False, ["run"] * 2, "place", 0),
        ("safe", False, ["run"] * 3, "refuse", 502),
        ("safe", False, ["run", "late"], "refuse", 504),
        ("unsafe", False, ["run"], "refuse", 502),
        ("unsafe", False, ["not run"] * 2, "place", 0),
        ("unsafe", False, ["not run"] * 3, "refuse", 503),
        ("unsafe", False, ["busy"] * 5, "place", 0),
        ("unsafe", False, ["unreachable"] * 9, "place", 0),
        ("unsafe", False, ["unreachable", "run"], "refuse", 502),
        ("unsafe", False, ["not run", "none"], "refuse", 503),
        ("safe", False, ["run", "none"], "refuse", 502),
        ("safe", False, ["late, not run"], "refuse", 503),
        ("unsafe", False, ["event", "run"], "cut", 502),
        ("unsafe", True, ["event", "run"], "place", 0),
        ("unsafe", True, ["event", "run", "none"], "cut", 502),
        ("unsafe", True, ["event without id", "run"], "cut", 502),
        ("unsafe", True, ["run", "run"], "place", 0),
        ("safe", False, ["event", "run"], "cut", 502),
        ("safe", False, ["500"], "place", 0),
        ("safe", False, ["500"] * 3, "finish", 500),
        ("unsafe", False, ["500"], "finish", 500),
        ("unsafe", True, ["event", "500"], "place", 0),
    ]

    def test_outcome_of_each_event_sequence(self):
        for route, resumable, events, last, status in self.ROWS:
            lifecycle = ForwardLifecycle("t", TREE.get(route), 0, 1000, resumable=resumable)
            step = lifecycle.begin()
            for place, event in enumerate(events):
                worker = f"w{place}"
                if event in ("event", "event without id"):
                    lifecycle.event_delivered()
                    lifecycle.last_event_id = 4 if event == "event" else None
                elif event == "none":
                    step = lifecycle.no_worker_free(True)
                elif event == "500":
                    step = lifecycle.worker_failed(worker, 500, b"no", 10)
                else:
                    ran = event in ("run", "late")
                    reason = {"busy": "busy", "unreachable": NO_CONNECTION}.get(event, "broke")
                    step = lifecycle.attempt_failed(
                        worker, ran, reason, 2000 if event.startswith("late") else 10
                    )
            last_status = (
                step.refusal.status
                if step.refusal
                else step.response.status
                if step.kind == "finish"
                else 0
            )
            self.assertThat(
                (step.kind, last_status), Equals((last, status)), f"{route} {resumable} {events}"
            )


class Headers(TestCase):
    def test_hop_by_hop_headers_are_removed(self):
        rows = [
            ("Host", "h"),
            ("A", "1"),
            ("connection", "X-Hop , close"),
            ("x-hop", "2"),
            ("Keep-Alive", "3"),
            ("TE", "4"),
            ("Trailer", "5"),
            ("Transfer-Encoding", "6"),
            ("Upgrade", "7"),
            ("Proxy-Foo", "8"),
            ("Content-Length", "9"),
            ("A", "10"),
            ("Expect", "100-continue"),
        ]
        self.assertThat(end_to_end(rows), Equals([("A", "1"), ("A", "10")]))


class Heartbeats(RegistryTestCase):
    def test_worker_known_by_heartbeats_is_not_listed(self):
        self.registry.apply_update(
            WorkerUpdate(
                identity="own",
                incarnation=1,
                address="10.0.2.1:80",
                zone="z",
                labels=["s"],
                beat=1,
                running=0,
                waiting=0,
                slots=4,
                cache_use=0.0,
                leaving=False,
            )
        )
        self.assertThat(
            (sorted(self.publish(a=list_row(1))), len(self.registry.workers())), Equals((["a"], 2))
        )
