"""Asks between nodes and their replies: each reply meets the ask that it belongs to, or nobody. Late ones, second
ones, those of a former life and those that waited while the node stood still change nothing.
"""

import itertools
import random
from types import SimpleNamespace

from batch_state import messages as m
from messaging import Component, Node
from testtools import TestCase
from testtools.matchers import Equals

REPLY = m.ReportResultResponse(ok=True, listing_epoch=0, up_to=0)
ASK = m.GetJob(job_id="l")
FROZEN_MS = 300


class Waking(Component):
    def __init__(self, seen):
        self.seen = seen

    def resumed(self, gap_ms):
        self.seen.append("woke")


class Life:
    """One life of a node, with a clock, whose posts are kept."""

    def __init__(self, seed, now_ms=1000):
        self.now_ms, self.posts, self.told, self.seen = now_ms, [], [], []
        env = SimpleNamespace(
            address="a:1",
            rng=random.Random(seed),
            now=lambda: self.now_ms,
            log=lambda *told, **fields: None,
            send=lambda to, request_id, in_reply_to, message: self.posts.append(
                (to, request_id, in_reply_to)
            ),
        )
        self.node = Node(env, SimpleNamespace(freeze_threshold_ms=FROZEN_MS), [Waking(self.seen)])

    def ask(self, wait_ms=1000):
        self.node.request("b:1", ASK, wait_ms, lambda reply: self._done(reply))
        return self.posts[-1][1]

    def _done(self, reply):
        self.told.append(reply)
        self.seen.append("told")

    def pass_ms(self, wait_ms, step_ms=100):
        for _ in range(wait_ms // step_ms):
            self.now_ms += step_ms
            self.node.tick()

    def reply(self, request_id):
        self.node.receive("b:1", 0, request_id, REPLY)


class Replies(TestCase):
    def test_one_answer_to_each_ask(self):
        """Rows: what happens between ask and reply, how often the reply comes, and what is told."""
        rows = [
            ("in time", 500, 1, [REPLY]),
            ("in time and once more", 500, 2, [REPLY]),
            ("too late", 1000, 1, [None]),
            ("never", 1500, 0, [None]),
        ]
        for name, wait_ms, times, told in rows:
            life = Life(1)
            request_id = life.ask()
            life.pass_ms(wait_ms)
            for _ in range(times):
                life.reply(request_id)
            life.pass_ms(2000)
            self.assertThat(life.told, Equals(told), name)

    def test_a_reply_that_waited_while_the_node_stood_still(self):
        """It is told once the parts know that they stood still, and only inside the time that was given."""
        for gap_ms, told in ((FROZEN_MS + 1, REPLY), (1000, REPLY), (1001, None)):
            life = Life(1)
            request_id = life.ask()
            life.now_ms += gap_ms
            life.reply(request_id)
            self.assertThat((life.seen, life.told), Equals((["woke", "told"], [told])), gap_ms)

    def test_replies_to_a_former_life_or_to_nobody_are_dropped(self):
        former = Life(1)
        old = [former.ask() for _ in range(50)]
        life = Life(2)
        mine = [life.ask() for _ in range(50)]
        for request_id in [*old, 1, 2, -1, 1 << 62]:
            life.reply(request_id)
        self.assertThat(life.told, Equals([]))
        life.reply(mine[7])
        self.assertThat(life.told, Equals([REPLY]))

    def test_ids_of_different_lives_lie_apart(self):
        """A late reply would have to meet an id in use: lives begin at random places of a wide range."""
        firsts = sorted(Life(seed).ask() for seed in range(200))
        gaps = [after - before for before, after in itertools.pairwise(firsts)]
        self.assertThat((min(gaps) > 10_000, firsts[-1] < 1 << 62), Equals((True, True)))
