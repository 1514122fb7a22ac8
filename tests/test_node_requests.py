"""Requests between nodes and their replies: a reply completes its own request or none.

Late and repeated replies, and replies to requests of an earlier start of the node, have no effect.
A reply that was received while the node was frozen counts only if it is within the time-out.
"""

import itertools
import random
from types import SimpleNamespace

from batch_state import messages as m
from messaging import Component, Node
from testtools import TestCase
from testtools.matchers import Equals

REPLY = m.ReportResultResponse(ok=True, listing_epoch=0, up_to=0)
REQUEST = m.GetJob(job_id="l")
FREEZE_THRESHOLD_MS = 300


class RecordingComponent(Component):
    def __init__(self, events):
        self.events = events

    def resumed(self, gap_ms):
        self.events.append("resumed")


class NodeStart:
    """One start of a node with a simulated clock; records what it sends and the replies it gets."""

    def __init__(self, seed, now_ms=1000):
        self.now_ms, self.sent, self.replies, self.events = now_ms, [], [], []
        env = SimpleNamespace(
            address="a:1",
            rng=random.Random(seed),
            now=lambda: self.now_ms,
            log=lambda *event, **fields: None,
            send=lambda to, request_id, in_reply_to, message: self.sent.append(
                (to, request_id, in_reply_to)
            ),
        )
        self.node = Node(
            env,
            SimpleNamespace(freeze_threshold_ms=FREEZE_THRESHOLD_MS),
            [RecordingComponent(self.events)],
        )

    def request(self, timeout_ms=1000):
        self.node.request("b:1", REQUEST, timeout_ms, lambda reply: self._replied(reply))
        return self.sent[-1][1]

    def _replied(self, reply):
        self.replies.append(reply)
        self.events.append("replied")

    def advance(self, duration_ms, step_ms=100):
        for _ in range(duration_ms // step_ms):
            self.now_ms += step_ms
            self.node.tick()

    def reply(self, request_id):
        self.node.receive("b:1", 0, request_id, REPLY)


class Replies(TestCase):
    def test_each_request_gets_one_reply(self):
        """The rows have a name, the time until the reply in ms, how often it arrives, and the result."""
        rows = [
            ("in time", 500, 1, [REPLY]),
            ("in time and repeated", 500, 2, [REPLY]),
            ("too late", 1000, 1, [None]),
            ("never", 1500, 0, [None]),
        ]
        for name, delay_ms, times, replies in rows:
            start = NodeStart(1)
            request_id = start.request()
            start.advance(delay_ms)
            for _ in range(times):
                start.reply(request_id)
            start.advance(2000)
            self.assertThat(start.replies, Equals(replies), name)

    def test_a_reply_received_during_a_freeze(self):
        """It is passed on after the components were notified of the freeze, and as None if it is too late."""
        for gap_ms, reply in ((FREEZE_THRESHOLD_MS + 1, REPLY), (1000, REPLY), (1001, None)):
            start = NodeStart(1)
            request_id = start.request()
            start.now_ms += gap_ms
            start.reply(request_id)
            self.assertThat(
                (start.events, start.replies), Equals((["resumed", "replied"], [reply])), gap_ms
            )

    def test_replies_to_an_earlier_start_or_to_no_request_are_dropped(self):
        earlier = NodeStart(1)
        earlier_ids = [earlier.request() for _ in range(50)]
        start = NodeStart(2)
        request_ids = [start.request() for _ in range(50)]
        for request_id in [*earlier_ids, 1, 2, -1, 1 << 62]:
            start.reply(request_id)
        self.assertThat(start.replies, Equals([]))
        start.reply(request_ids[7])
        self.assertThat(start.replies, Equals([REPLY]))

    def test_request_ids_of_different_starts_are_far_apart(self):
        """Each start numbers its requests from a random value of a wide range, so that late replies match none."""
        firsts = sorted(NodeStart(seed).request() for seed in range(200))
        gaps = [after - before for before, after in itertools.pairwise(firsts)]
        self.assertThat((min(gaps) > 10_000, firsts[-1] < 1 << 62), Equals((True, True)))
