"""The stand-in engine, on a virtual clock: places, urgency, memory, kept parts, deadlines, resumption and ills."""

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


def engine(**sheet):
    return Engine(
        EngineProfile(**{"context_ms_per_k": 0.0, "slot_ms": 0.0, "stride": 10, **sheet}), "i-1", 7
    )


def asked(key, **fields):
    return EngineRequest(
        **{"key": key, "request_id": f"r{key}", "tokens_in": 100, "tokens_out": 10, **fields}
    )


def until(made, now_ms):
    """All that comes out up to a time, with the times at which it came."""
    rows = []
    while (at_ms := made.next_ms()) is not None and at_ms <= now_ms:
        rows += [(at_ms, message) for message in made.advance(at_ms)]
    return rows


def of(rows, kind):
    return [message for _, message in rows if isinstance(message, kind)]


TURNED_AWAY = [
    ("without an id", {}, [asked(1, request_id="")], 400),
    ("meant for another", {}, [asked(1, target_id="i-2")], 421),
    ("larger than memory", {"cache_tokens": 105}, [asked(1)], 503),
    ("queue full", {"capacity": 1, "queue_limit": 1}, [asked(1), asked(2), asked(3)], 503),
]


class Engines(TestCase):
    def test_turned_away_has_not_run(self):
        for name, sheet, asks, status in TURNED_AWAY:
            made = engine(**sheet)
            out = [message for ask in asks for message in made.receive(ask, 0)]
            seen = [
                (message.key, message.status)
                for message in out
                if isinstance(message, RequestRejected)
            ]
            self.assertThat((name, seen), Equals((name, [(asks[-1].key, status)])))
            self.assertThat(
                [
                    begun.key
                    for begun in of(until(made, 10_000), RunStarted)
                    if begun.key == asks[-1].key
                ],
                Equals([]),
            )

    def test_a_prompt_is_read_then_events_come_one_a_step(self):
        made = engine()
        made.receive(asked(1, events=3), 0)
        rows = [(at_ms, type(message).__name__) for at_ms, message in until(made, 1000)]
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

    def test_steps_slow_as_more_run(self):
        times = []
        for count in (1, 8):
            made = engine(slot_ms=0.5)
            for key in range(count):
                made.receive(asked(key, events=5), 0)
            times.append(max(at_ms for at_ms, _ in until(made, 10_000)))
        self.assertThat(times[1] > 3 * times[0], Equals(True), str(times))

    def test_long_prompts_are_read_between_the_tokens_of_others(self):
        made = engine(chunk_tokens=1000)
        made.receive(asked(1, events=6), 0)
        until(made, 12)
        made.receive(asked(2, tokens_in=3000), 12.5)
        rows = until(made, 10_000)
        begun_ms = [at_ms for at_ms, message in rows if isinstance(message, RunStarted)][0]
        events = [
            at_ms
            for at_ms, message in rows
            if isinstance(message, EventProduced) and message.key == 1 and at_ms < begun_ms
        ]
        self.assertThat(len(events) >= 3, Equals(True), str(rows))

    def test_a_kept_part_counts_only_behind_kept_ones(self):
        made = engine()
        for key, parts, read in (
            (1, (("a", 40), ("b", 40)), 100),
            (2, (("a", 40), ("b", 40)), 20),
            (3, (("b", 40), ("a", 40)), 20),
            (4, (("c", 40), ("b", 40)), 100),
            (5, (("a", 40), ("d", 40)), 60),
        ):
            before = made.prefill_tokens
            made.receive(asked(key, parts=parts), key * 1000)
            until(made, key * 1000 + 999)
            self.assertThat((key, made.prefill_tokens - before), Equals((key, read)))

    def test_parts_unused_longest_give_way(self):
        made = engine(cache_tokens=300)
        for key, name in enumerate("abacbac"):
            made.receive(asked(key, parts=((name, 100),)), key * 1000)
            until(made, key * 1000 + 999)
        # a b a: 2 read; c takes b's place, b takes a's, a takes c's, c takes b's
        self.assertThat(made.prefill_tokens, Equals(600))

    def test_more_urgent_ones_are_let_in_first_and_take_the_place_of_others(self):
        made = engine(capacity=1)
        made.receive(asked(1, urgency=9, events=4), 0)
        until(made, 12)
        made.receive(asked(2, urgency=5), 12.5)
        made.receive(asked(3, urgency=0), 13)
        rows = until(made, 1000)
        self.assertThat([message.key for message in of(rows, RunEnded)], Equals([3, 2, 1]))
        self.assertThat(
            [message.number for message in of(rows, EventProduced) if message.key == 1],
            Equals([2, 3, 4]),
        )
        self.assertThat([message.key for message in of(rows, RunStarted)], Equals([3, 2]))

    def test_without_memory_the_newest_of_the_least_urgent_is_put_back_and_read_again(self):
        made = engine(cache_tokens=240)
        for key, urgency in ((1, 5), (2, 5)):
            made.receive(asked(key, urgency=urgency, tokens_out=60, events=6), 0)
        rows = until(made, 10_000)
        self.assertThat([message.key for message in of(rows, RunEnded)], Equals([1, 2]))
        self.assertThat(
            [message.number for message in of(rows, EventProduced) if message.key == 2],
            Equals([1, 2, 3, 4, 5, 6]),
        )
        self.assertThat(made.prefill_tokens > 300, Equals(True), str(made.prefill_tokens))

    def test_deadline_in_the_queue_is_not_run_and_later_is_late(self):
        made = engine(capacity=1)
        made.receive(asked(1, events=50, deadline_ms=100), 0)
        made.receive(asked(2, deadline_ms=50), 0)
        rows = until(made, 1000)
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

    def test_goes_on_after_the_last_event_id(self):
        for first, last, numbers in ((1, 2, [3, 4]), (0, 1, [2, 3]), (1, 4, [])):
            made = engine(first_event=first)
            made.receive(asked(1, events=4, last_event_id=last), 0)
            rows = until(made, 1000)
            self.assertThat(
                (
                    [message.number for message in of(rows, EventProduced)],
                    of(rows, RunEnded)[0].state,
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
            made = engine(faults=((fault, 1.0),))
            made.receive(asked(1, events=4), 0)
            rows = until(made, 1000)
            self.assertThat(
                (fault, of(rows, RunEnded)[0].state, len(of(rows, EventProduced))),
                Equals((fault, state, events)),
            )
        made = engine()
        made.receive(asked(1, poisoned=True), 0)
        self.assertThat(
            [over.state for over in of(until(made, 1000), RunEnded)], Equals(["unable"])
        )

    def test_dropped_before_its_first_token_never_ran(self):
        made = engine()
        made.receive(asked(1), 0)
        made.receive(RequestCancelled(key=1), 1)
        self.assertThat(until(made, 1000), Equals([]))
        made.receive(asked(2, events=9), 2000)
        until(made, 2030)
        self.assertThat(
            [
                over.state
                for over in made.receive(RequestCancelled(key=2), 2031)
                if isinstance(over, RunEnded)
            ],
            Equals(["dropped"]),
        )
        self.assertThat(made.load(), Equals((0, 0, 8)))

    def test_load_at_once_and_the_report_late(self):
        made = engine(capacity=1, report_lag_ms=200)
        made.receive(asked(1, events=100), 1000)
        made.receive(asked(2), 1000)
        self.assertThat((made.load(), made.report(1100)["active"]), Equals(((1, 1, 1), 0)))
        until(made, 1250)
        self.assertThat(
            (made.report(1250)["active"], made.report(1250)["cache_used"] >= 100), Equals((1, True))
        )
        made.receive(DrainStarted(), 1300)
        self.assertThat(made.draining, Equals(True))

    def test_a_seed_gives_the_same_run(self):
        def played():
            made = engine(faults=(("short", 0.2), ("error", 0.2)))
            for key in range(40):
                made.receive(asked(key, events=1 + key % 5, urgency=key % 3), key * 7)
            return [(at_ms, repr(message)) for at_ms, message in until(made, 10_000)]

        self.assertThat(played(), Equals(played()))
