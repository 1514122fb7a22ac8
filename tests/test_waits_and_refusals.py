"""How long a live call waits at an edge, when it is refused, and when its client is told to come back.

All of it follows from the time that the caller has, the work that is left and what is known of the workers.
"""

from live_calls import LiveCalls
from testtools import TestCase
from testtools.matchers import Equals


class Outages(TestCase):
    def test_after_its_backoff_a_worker_is_tested_by_one_call_at_a_time(self):
        """A worker that is still dark keeps every call that it is sent until a timeout, so only one may be."""
        edge = LiveCalls({"safe": {"repeatable": True}}, workers=2)
        edge.down = {"w0"}
        for _ in range(8):
            edge.call("safe", 5000)
        edge.advance(100)
        edge.down, edge.stuck = set(), {"w0"}
        edge.advance(300)
        edge.started.clear()
        for _ in range(6):
            edge.call("safe", 5000)
        self.assertThat(sum(worker == "w0" for _, worker, _ in edge.started), Equals(1))
        self.assertThat(sum(worker == "w1" for _, worker, _ in edge.started), Equals(5))


class Slots(TestCase):
    def test_a_call_that_is_no_stream_takes_one_slot(self):
        """Only a stream shows when its prompt was read; a plain call counted twice until its end."""
        edge = LiveCalls({"plain": {"repeatable": False}})
        rows = [edge.call("plain", 1000) for _ in range(32)]
        edge.advance(700)
        self.assertThat(sum(row.served for row in rows), Equals(32))
