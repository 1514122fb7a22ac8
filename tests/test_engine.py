"""The simulated engine, on a virtual clock.

Covers batch capacity, urgency, cache memory, cached prompt parts, deadlines, resumption and answer
faults.
"""

from platform_testbed.engine import Engine
from platform_testbed.engine_messages import (
    DrainStarted,
    EngineProfile,
    EngineRequest,
    EventProduced,
    RequestCancelled,
    RequestRejected,
    RunEnded,
    RunStarted,
)
from testtools import TestCase
from testtools.matchers import Equals


def make_engine(**profile):
    return Engine(
        EngineProfile(**{"context_ms_per_k": 0.0, "slot_ms": 0.0, "stride": 10, **profile}),
        "i-1",
        7,
    )


def request(key, **fields):
    return EngineRequest(
        **{"key": key, "request_id": f"r{key}", "tokens_in": 100, "tokens_out": 10, **fields}
    )


def run_until(engine, now_ms):
    """Return all messages up to a time, each with the time at which it came."""
    rows = []
    while (at_ms := engine.next_ms()) is not None and at_ms <= now_ms:
        rows += [(at_ms, message) for message in engine.advance(at_ms)]
    return rows


def of_type(rows, kind):
    return [message for _, message in rows if isinstance(message, kind)]


REJECTED = [
    ("without an id", {}, [request(1, request_id="")], 400),
    ("meant for another", {}, [request(1, target_id="i-2")], 421),
    ("larger than memory", {"cache_tokens": 105}, [request(1)], 503),
    ("queue full", {"capacity": 1, "queue_limit": 1}, [request(1), request(2), request(3)], 503),
]


class Engines(TestCase):
    def test_a_rejected_request_does_not_run(self):
        for name, profile, requests, status in REJECTED:
            engine = make_engine(**profile)
            out = [message for sent in requests for message in engine.receive(sent, 0)]
            seen = [
                (message.key, message.status)
                for message in out
                if isinstance(message, RequestRejected)
            ]
            self.assertThat((name, seen), Equals((name, [(requests[-1].key, status)])))
            self.assertThat(
                [
                    started.key
                    for started in of_type(run_until(engine, 10_000), RunStarted)
                    if started.key == requests[-1].key
                ],
                Equals([]),
            )

    def test_after_the_prompt_each_step_produces_one_event(self):
        engine = make_engine()
        engine.receive(request(1, events=3), 0)
        rows = [(at_ms, type(message).__name__) for at_ms, message in run_until(engine, 1000)]
        self.assertThat(
            rows,
            Equals(
                [
                    (2.0, "RunStarted"),
                    (12.0, "EventProduced"),
                    (22.0, "EventProduced"),
                    (32.0, "EventProduced"),
                    (32.0, "RunEnded"),
                ]
            ),
        )

    def test_a_step_takes_longer_with_more_requests_in_the_batch(self):
        times = []
        for count in (1, 8):
            engine = make_engine(slot_ms=0.5)
            for key in range(count):
                engine.receive(request(key, events=5), 0)
            times.append(max(at_ms for at_ms, _ in run_until(engine, 10_000)))
        self.assertThat(times[1] > 3 * times[0], Equals(True), str(times))

    def test_a_long_prompt_is_processed_in_chunks_while_others_produce_events(self):
        engine = make_engine(chunk_tokens=1000)
        engine.receive(request(1, events=6), 0)
        run_until(engine, 12)
        engine.receive(request(2, tokens_in=3000), 12.5)
        rows = run_until(engine, 10_000)
        begun_ms = [at_ms for at_ms, message in rows if isinstance(message, RunStarted)][0]
        events = [
            at_ms
            for at_ms, message in rows
            if isinstance(message, EventProduced) and message.key == 1 and at_ms < begun_ms
        ]
        self.assertThat(len(events) >= 3, Equals(True), str(rows))

    def test_a_cached_part_is_reused_only_after_cached_parts(self):
        engine = make_engine()
        for key, parts, processed in (
            (1, (("a", 40), ("b", 40)), 100),
            (2, (("a", 40), ("b", 40)), 20),
            (3, (("b", 40), ("a", 40)), 20),
            (4, (("c", 40), ("b", 40)), 100),
            (5, (("a", 40), ("d", 40)), 60),
        ):
            before = engine.prefill_tokens
            engine.receive(request(key, parts=parts), key * 1000)
            run_until(engine, key * 1000 + 999)
            self.assertThat((key, engine.prefill_tokens - before), Equals((key, processed)))

    def test_the_least_recently_used_part_is_evicted(self):
        engine = make_engine(cache_tokens=300)
        for key, name in enumerate("abacbac"):
            engine.receive(request(key, parts=((name, 100),)), key * 1000)
            run_until(engine, key * 1000 + 999)
        # a b a: 2 parts processed; then c evicts b, b evicts a, a evicts c, c evicts b
        self.assertThat(engine.prefill_tokens, Equals(600))

    def test_more_urgent_requests_are_admitted_first_and_preempt_others(self):
        engine = make_engine(capacity=1)
        engine.receive(request(1, urgency=9, events=4), 0)
        run_until(engine, 12)
        engine.receive(request(2, urgency=5), 12.5)
        engine.receive(request(3, urgency=0), 13)
        rows = run_until(engine, 1000)
        self.assertThat([message.key for message in of_type(rows, RunEnded)], Equals([3, 2, 1]))
        self.assertThat(
            [message.number for message in of_type(rows, EventProduced) if message.key == 1],
            Equals([2, 3, 4]),
        )
        self.assertThat([message.key for message in of_type(rows, RunStarted)], Equals([3, 2]))

    def test_without_memory_the_newest_of_the_least_urgent_is_preempted_and_processed_again(self):
        engine = make_engine(cache_tokens=240)
        for key, urgency in ((1, 5), (2, 5)):
            engine.receive(request(key, urgency=urgency, tokens_out=60, events=6), 0)
        rows = run_until(engine, 10_000)
        self.assertThat([message.key for message in of_type(rows, RunEnded)], Equals([1, 2]))
        self.assertThat(
            [message.number for message in of_type(rows, EventProduced) if message.key == 2],
            Equals([1, 2, 3, 4, 5, 6]),
        )
        self.assertThat(engine.prefill_tokens > 300, Equals(True), str(engine.prefill_tokens))

    def test_a_deadline_rejects_a_queued_request_and_ends_a_running_one_as_late(self):
        engine = make_engine(capacity=1)
        engine.receive(request(1, events=50, deadline_ms=100), 0)
        engine.receive(request(2, deadline_ms=50), 0)
        rows = run_until(engine, 1000)
        self.assertThat(
            [
                (at_ms, message.status)
                for at_ms, message in rows
                if isinstance(message, RequestRejected)
            ],
            Equals([(50, 503)]),
        )
        self.assertThat(
            [(at_ms, message.state) for at_ms, message in rows if isinstance(message, RunEnded)],
            Equals([(100, "late")]),
        )

    def test_a_resumed_stream_continues_after_the_last_event_id(self):
        for first, last, numbers in ((1, 2, [3, 4]), (0, 1, [2, 3]), (1, 4, [])):
            engine = make_engine(first_event=first)
            engine.receive(request(1, events=4, last_event_id=last), 0)
            rows = run_until(engine, 1000)
            self.assertThat(
                (
                    [message.number for message in of_type(rows, EventProduced)],
                    of_type(rows, RunEnded)[0].state,
                ),
                Equals((numbers, "finished")),
            )

    def test_each_answer_fault_ends_its_run_as_configured(self):
        for fault, state, events in (
            ("error", "error", 0),
            ("garbled", "garbled", 0),
            ("short", "broken", 2),
            ("surplus", "finished", 4),
            ("late", "finished", 4),
        ):
            engine = make_engine(faults=((fault, 1.0),))
            engine.receive(request(1, events=4), 0)
            rows = run_until(engine, 1000)
            self.assertThat(
                (fault, of_type(rows, RunEnded)[0].state, len(of_type(rows, EventProduced))),
                Equals((fault, state, events)),
            )
        engine = make_engine()
        engine.receive(request(1, poisoned=True), 0)
        self.assertThat(
            [ended.state for ended in of_type(run_until(engine, 1000), RunEnded)],
            Equals(["unable"]),
        )

    def test_a_request_cancelled_before_its_first_token_never_ran(self):
        engine = make_engine()
        engine.receive(request(1), 0)
        engine.receive(RequestCancelled(key=1), 1)
        self.assertThat(run_until(engine, 1000), Equals([]))
        engine.receive(request(2, events=9), 2000)
        run_until(engine, 2030)
        self.assertThat(
            [
                ended.state
                for ended in engine.receive(RequestCancelled(key=2), 2031)
                if isinstance(ended, RunEnded)
            ],
            Equals(["dropped"]),
        )
        self.assertThat(engine.load(), Equals((0, 0, 8)))

    def test_load_is_current_and_the_report_lags(self):
        engine = make_engine(capacity=1, report_lag_ms=200)
        engine.receive(request(1, events=100), 1000)
        engine.receive(request(2), 1000)
        self.assertThat((engine.load(), engine.report(1100)["active"]), Equals(((1, 1, 1), 0)))
        run_until(engine, 1250)
        self.assertThat(
            (engine.report(1250)["active"], engine.report(1250)["cache_used"] >= 100),
            Equals((1, True)),
        )
        engine.receive(DrainStarted(), 1300)
        self.assertThat(engine.draining, Equals(True))

    def test_a_seed_gives_the_same_run(self):
        def played_messages():
            engine = make_engine(faults=(("short", 0.2), ("error", 0.2)))
            for key in range(40):
                engine.receive(request(key, events=1 + key % 5, urgency=key % 3), key * 7)
            return [(at_ms, repr(message)) for at_ms, message in run_until(engine, 10_000)]

        self.assertThat(played_messages(), Equals(played_messages()))
