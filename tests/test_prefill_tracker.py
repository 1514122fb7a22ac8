"""Estimates of the prompt tokens that workers have still to process, shared between edges.

They decline over time, and a worker that is busy with prefill costs more in placement, whichever edge
sent it the prompt.
"""

from types import SimpleNamespace

from messaging import Origin
from request_routing import PrefillTracker
from request_routing.cost_placement import cost
from request_routing.prefill_tracker import PrefillStarted
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan


class FakeEnv:
    def __init__(self):
        self.ms = 1000

    def now(self):
        return self.ms


def new_tracker(peers=()):
    tracker, sent = PrefillTracker(lambda: list(peers)), []
    tracker.node = SimpleNamespace(
        env=FakeEnv(), send=lambda to, message: sent.append((to, message))
    )
    tracker.tokens_per_ms = 100.0
    return tracker, sent


class Estimates(TestCase):
    def test_prompt_is_announced_to_peers_and_estimate_declines(self):
        tracker, sent = new_tracker(["e1", "e2"])
        tracker.record_prompt("w", 3000)
        self.assertThat(
            [(to, message.worker, message.tokens) for to, message in sent],
            Equals([("e1", "w", 3000), ("e2", "w", 3000)]),
        )
        for later_ms, left_ms in ((0, 30.0), (10, 20.0), (20, 0.0), (500, 0.0)):
            tracker.node.env.ms += later_ms
            self.assertThat(tracker.left_ms("w"), Equals(left_ms), later_ms)
        tracker.tick()
        self.assertThat(len(tracker._pending), Equals(0))

    def test_prompts_of_other_edges_count_alike(self):
        tracker, sent = new_tracker()
        tracker.record_prompt("w", 1000)
        tracker.receive(PrefillStarted(worker="w", tokens=500), Origin("e2", 0))
        self.assertThat(tracker.left_ms("w"), Equals(15.0))
        self.assertThat(sent, Equals([]))

    def test_fully_cached_prompt_is_not_announced(self):
        tracker, sent = new_tracker(["e1"])
        tracker.record_prompt("w", 0)
        self.assertThat((sent, tracker.left_ms("w")), Equals(([], 0.0)))

    def test_rate_is_the_fastest_observed_and_decays_slowly(self):
        tracker, _ = new_tracker()
        tracker.prefill_finished(3000, 20)
        self.assertThat(tracker.tokens_per_ms, Equals(150.0))
        tracker.prefill_finished(1000, 500)
        self.assertThat(tracker.tokens_per_ms, LessThan(150.0))
        self.assertThat(tracker.tokens_per_ms, GreaterThan(149.0))
        tracker.prefill_finished(100_000, 1)
        self.assertThat(tracker.tokens_per_ms, LessThan(301.0))


class Placement(TestCase):
    def test_worker_busy_with_prefill_costs_more_than_one_request_more(self):
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
