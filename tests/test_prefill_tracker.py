"""Prompts still to be read at workers, as edges tell each other of them: what is counted, how it wears off,
and that the placement keeps away from a worker that is busy reading, whoever sent it there.
"""

from types import SimpleNamespace

from messaging import Origin
from request_routing import PrefillTracker
from request_routing.cost_placement import cost
from request_routing.prefill_tracker import PrefillStarted
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan


class Env:
    def __init__(self):
        self.ms = 1000

    def now(self):
        return self.ms


def part(fellows=()):
    made, posted = PrefillTracker(lambda: list(fellows)), []
    made.node = SimpleNamespace(env=Env(), send=lambda to, message: posted.append((to, message)))
    made.tokens_per_ms = 100.0
    return made, posted


class Counted(TestCase):
    def test_told_to_fellows_and_worn_off(self):
        made, posted = part(["e1", "e2"])
        made.record_prompt("w", 3000)
        self.assertThat(
            [(to, message.worker, message.tokens) for to, message in posted],
            Equals([("e1", "w", 3000), ("e2", "w", 3000)]),
        )
        for later_ms, left_ms in ((0, 30.0), (10, 20.0), (20, 0.0), (500, 0.0)):
            made.node.env.ms += later_ms
            self.assertThat(made.left_ms("w"), Equals(left_ms), later_ms)
        made.tick()
        self.assertThat(len(made._unread), Equals(0))

    def test_what_others_send_counts_alike(self):
        made, posted = part()
        made.record_prompt("w", 1000)
        made.receive(PrefillStarted(worker="w", tokens=500), Origin("e2", 0))
        self.assertThat(made.left_ms("w"), Equals(15.0))
        self.assertThat(posted, Equals([]))

    def test_nothing_unread_is_not_told(self):
        made, posted = part(["e1"])
        made.record_prompt("w", 0)
        self.assertThat((posted, made.left_ms("w")), Equals(([], 0.0)))

    def test_the_pace_is_the_quickest_seen_and_forgotten_slowly(self):
        made, _ = part()
        made.prefill_finished(3000, 20)
        self.assertThat(made.tokens_per_ms, Equals(150.0))
        made.prefill_finished(1000, 500)
        self.assertThat(made.tokens_per_ms, LessThan(150.0))
        self.assertThat(made.tokens_per_ms, GreaterThan(149.0))
        made.prefill_finished(100_000, 1)
        self.assertThat(made.tokens_per_ms, LessThan(301.0))


class Placed(TestCase):
    def test_a_busy_reader_costs_more_than_one_more_under_way(self):
        def worker(in_flight):
            return SimpleNamespace(
                in_flight=in_flight,
                borrowed=0,
                prefilling=0,
                sent_ms=-1000,
                slots=8,
                other_load_now=lambda now_ms: 0.0,
            )

        idle, busy = (
            cost(worker(1), 1000, 0.0, False, 200),
            cost(worker(0), 1000, 0.0, False, 200, prefill_ms=40.0),
        )
        self.assertThat(busy, GreaterThan(idle))
