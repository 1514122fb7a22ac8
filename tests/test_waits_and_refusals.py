"""How long a live call waits at an edge, when it is refused, and when its client is told to come back.

All of it follows from the time that the caller has, the work that is left and what is known of the workers.
"""

from types import SimpleNamespace
from unittest.mock import Mock

from control_store import ProfileTree
from data_plane.forward_job_responses import forward_submission_response
from data_plane.forward_job_service import ForwardJobService
from hypothesis import given, settings
from hypothesis import strategies as st
from live_calls import SETTINGS, TICK_MS, LiveCalls
from messaging import Node
from request_routing import Call, ItemExecutor, RequestLifecycle, RetryBudget, WorkerLoad
from runtime import Verdict
from testtools import TestCase
from testtools.matchers import Equals

ROUTES = {
    "slow": {"repeatable": False, "target_ms": 300},
    "quick": {"repeatable": False, "target_ms": 300},
}
CALLS = st.lists(st.tuples(st.sampled_from(sorted(ROUTES)), st.integers(50, 5000)), max_size=40)
LEFT_MS = st.integers(1, 6000)
FEW_EXAMPLES = settings(max_examples=60, deadline=None, derandomize=True)


def routes_with_aim(target_ms):
    return {name: {**values, "target_ms": target_ms} for name, values in ROUTES.items()}


def busy_edge(calls, edges, wait_ms, learned=True, target_ms=300):
    """An edge whose worker has four slots; returns it and the rows of these calls, `wait_ms` after they came."""
    service_ms = {"slow": 600, "quick": 150}
    edge = LiveCalls(routes_with_aim(target_ms), slots=4, service_ms=service_ms, edges=edges)
    if learned:
        edge.learn("slow", "quick")
    rows = [edge.call(route, left_ms) for route, left_ms in calls]
    edge.advance(wait_ms)
    return edge, rows


class Slots(TestCase):
    def test_a_call_that_is_no_stream_takes_one_slot(self):
        """Only a stream shows when its prompt was read; a plain call counted twice until its end."""
        edge = LiveCalls({"plain": {"repeatable": False}})
        rows = [edge.call("plain", 1000) for _ in range(32)]
        edge.advance(700)
        self.assertThat(sum(row.served for row in rows), Equals(32))


class Admission(TestCase):
    """Properties of the decision on a call that finds no slot."""

    @FEW_EXAMPLES
    @given(CALLS, st.integers(1, 3), st.integers(0, 500), st.booleans(), LEFT_MS, LEFT_MS)
    def test_a_call_with_more_time_is_never_refused_sooner(
        self, calls, edges, wait_ms, learned, left_ms, more_ms
    ):
        edge, _ = busy_edge(calls, edges, wait_ms, learned)
        for route in ROUTES:
            if edge.decide(route, left_ms).may_wait:
                self.assertTrue(edge.decide(route, left_ms + more_ms).may_wait)

    @FEW_EXAMPLES
    @given(CALLS, st.integers(1, 3), st.integers(0, 500), LEFT_MS, st.integers(1, 60_000))
    def test_a_call_that_came_again_is_treated_as_a_first_one(
        self, calls, edges, wait_ms, left_ms, age_ms
    ):
        edge, _ = busy_edge(calls, edges, wait_ms)
        for route in ROUTES:
            self.assertEqual(edge.decide(route, left_ms), edge.decide(route, left_ms, age_ms))

    @FEW_EXAMPLES
    @given(CALLS, st.integers(1, 3), st.sampled_from([1, 200, 800, 3000]))
    def test_the_latency_target_changes_nothing(self, calls, edges, target_ms):
        rows, others = (busy_edge(calls, edges, 6000, target_ms=aim)[1] for aim in (300, target_ms))
        for row, other in zip(rows, others, strict=True):
            self.assertEqual((row.served, row.held_ms), (other.served, other.held_ms))

    @FEW_EXAMPLES
    @given(CALLS, st.integers(1, 3))
    def test_a_refusal_says_when_to_come_back(self, calls, edges):
        _, rows = busy_edge(calls, edges, 6000)
        for row in rows:
            if not row.served and row.refusal.verdict is Verdict.NOT_RUN:
                self.assertGreater(row.refusal.retry_after_ms, 0)

    def test_calls_wait_whose_work_can_be_done_in_their_time(self):
        """64 calls at once before 32 slots of 0.6 s, as they were measured: all can be done after 1.3 s."""
        for target_ms in (200, 3000):
            edge = LiveCalls({"flag": {"kind": "stream", "target_ms": target_ms}})
            edge.learn("flag")
            rows = [edge.call("flag", 1800) for _ in range(64)]
            edge.advance(2000)
            self.assertThat(sum(row.served for row in rows), Equals(64))

    def test_calls_whose_work_cannot_be_done_in_their_time_are_refused_at_once(self):
        edge = LiveCalls({"flag": {"kind": "stream", "target_ms": 3000}})
        edge.learn("flag")
        rows = [edge.call("flag", 1000) for _ in range(64)]
        edge.advance(2000)
        refused = [row for row in rows if not row.served]
        self.assertThat(len(refused), Equals(32))
        self.assertThat({row.held_ms for row in refused}, Equals({0}))
        self.assertThat({row.refusal.retry_after_ms for row in refused}, Equals({600}))

    def test_a_stream_is_refused_when_its_client_would_give_up_before_its_first_event(self):
        """64 streams of 3 s at once before 32 slots: 32 clients have 10 s, but give up after 2 s of silence."""
        edge = LiveCalls({"flag": {"kind": "stream", "target_ms": 200}}, service_ms=3000)
        edge.learn("flag")
        rows = [edge.call("flag", 10_000) for _ in range(64)]
        edge.advance(3500)
        refused = [row for row in rows if not row.served]
        self.assertThat((len(refused), {row.held_ms for row in refused}), Equals((32, {0})))

    def test_the_queues_of_all_routes_of_a_service_count(self):
        """A call of one route is not told that it gets a slot next while calls of another one wait for it."""
        edge, _ = busy_edge([("slow", 1300)] * 10, 1, 100)
        self.assertThat(edge.router.waiting() > 2, Equals(True))
        self.assertThat(edge.decide("quick", 800).may_wait, Equals(False))


class OrderOfService(TestCase):
    def served_routes(self, routes, calls, service_ms):
        """Fill the only slot and the worker's queue, then queue these calls (route, time left) in this order; return the routes in the order sent."""
        edge = LiveCalls({name: {"repeatable": False, **values} for name, values in routes.items()})
        edge.slots, edge.service_ms = 1, service_ms
        edge.rows["w0"]["slots"] = 1
        edge.publish(**edge.rows)
        edge.learn(*routes)
        for _ in range(2):
            edge.call(next(iter(routes)), 60_000)
        edge.advance(10)
        for route, left_ms in calls:
            edge.call(route, left_ms)
        edge.advance(10_000)
        return [route for _, _, route in edge.started[2:]]

    def test_the_call_that_has_to_start_first_is_sent_first_whatever_its_route(self):
        """The queue that was opened first went first, so that calls of another route came too late."""
        order = self.served_routes(
            {"patient": {}, "hasty": {}}, [("patient", 5000), ("hasty", 1500)], 600
        )
        self.assertThat(order, Equals(["hasty", "patient"]))

    def test_what_takes_longer_has_to_start_earlier(self):
        order = self.served_routes(
            {"quick": {}, "slow": {}},
            [("quick", 3000), ("slow", 3200)],
            {"quick": 100, "slow": 900},
        )
        self.assertThat(order, Equals(["slow", "quick"]))

    def test_a_more_urgent_route_goes_first(self):
        order = self.served_routes(
            {"low": {"urgency": 3}, "high": {"urgency": 0}}, [("low", 3000), ("high", 5000)], 600
        )
        self.assertThat(order, Equals(["high", "low"]))


class NestedChanges(TestCase):
    def test_a_queued_call_is_sent_once_though_sending_another_one_serves_the_queue(self):
        """A send that fails at once ends in the middle of a walk over the queue, and walks over it again."""
        edge = LiveCalls({"plain": {"repeatable": False}}, workers=2)
        edge.learn("plain")
        workers = edge.rows
        edge.call("plain", 5000)
        edge.publish()
        rows = [edge.call("plain", 5000) for _ in range(8)]
        send, sent = edge.router.transport, []

        def fail_first(attempt, *request):
            sent.append(attempt.request)
            if len(sent) == 1:
                attempt.connection_failed("no connection", False)
                return lambda: None
            return send(attempt, *request)

        edge.router.transport = fail_first
        edge.publish(**workers)
        edge.advance(5000)
        others = [request for request in sent if request is not sent[0]]
        self.assertThat(len(others), Equals(len(set(map(id, others)))))
        self.assertThat([row.served for row in rows], Equals([True] * 8))


class Outages(TestCase):
    def outage(self, left_ms, target_ms, back_after_ms, calls=24):
        """All workers refuse connections for a while; returns the rows of calls that come at its beginning."""
        routes = {"flag": {"kind": "stream", "repeatable": False, "target_ms": target_ms}}
        edge = LiveCalls(routes)
        edge.learn("flag")
        edge.down = {"w0"}
        edge.after(back_after_ms, edge.down.clear)
        rows = [edge.call("flag", left_ms) for _ in range(calls)]
        edge.advance(left_ms + 1000)
        return rows

    def test_calls_wait_out_an_outage_that_ends_in_their_time(self):
        """The worker is back after 1 s, callers have 4 s, a call takes 0.6 s: none was served in its first try."""
        for target_ms in (200, 800, 3000):
            rows = self.outage(4000, target_ms, 1000)
            self.assertThat(sum(row.served for row in rows), Equals(24))

    def test_calls_are_refused_as_soon_as_the_next_try_of_a_worker_is_too_late_for_them(self):
        """Rows: the time left, after which tries the worker is out of reach for the call, and when they are made."""
        for left_ms, tries, held_ms in [
            (700, 0, 0),
            (1200, 1, 250),
            (2000, 2, 750),
            (4000, 3, 1750),
        ]:
            for target_ms in (200, 800, 3000):
                rows = self.outage(left_ms, target_ms, 60_000)
                self.assertThat([row.served for row in rows], Equals([False] * 24))
                for row in rows:
                    tested_ms = held_ms + TICK_MS + tries * (SETTINGS.delta_ms + TICK_MS)
                    self.assertTrue(held_ms <= row.held_ms <= tested_ms, (left_ms, row.held_ms))
                    self.assertTrue(row.held_ms + row.refusal.retry_after_ms + 600 > left_ms)

    def test_calls_wait_for_a_worker_that_registers_while_they_can_be_served_then(self):
        """The last worker is gone. A running one is known by its heartbeat, so not after 1.25 s at the latest.

        Rows: the time left, when the new worker is listed, whether the call is served, and how long it is held.
        """
        for left_ms, listed_after_ms, served, held_ms in [
            (4000, 900, True, 1500),
            (2000, 900, True, 1500),
            (2000, 60_000, False, SETTINGS.worker_registration_ms),
            (1800, 60_000, False, 0),
        ]:
            for target_ms in (200, 3000):
                edge = LiveCalls({"flag": {"kind": "stream", "target_ms": target_ms}})
                edge.learn("flag")
                rows = edge.rows
                edge.call("flag", 4000)
                edge.publish()
                row = edge.call("flag", left_ms)
                edge.after(listed_after_ms, lambda edge=edge, rows=rows: edge.publish(**rows))
                edge.advance(5000)
                self.assertThat(row.served, Equals(served))
                self.assertTrue(held_ms <= row.held_ms <= held_ms + 2 * TICK_MS, row.held_ms)

    def test_a_call_whose_time_passes_while_it_connects_is_told_when_the_worker_is_tried_again(
        self,
    ):
        """Every such client was told to come back after 0.1 s."""
        edge = LiveCalls({"plain": {"repeatable": False}})
        edge.dark = {"w0"}
        row = edge.call("plain", 700)
        edge.advance(800)
        self.assertThat(
            (row.held_ms, row.refusal.status, row.refusal.retry_after_ms), Equals((700, 503, 250))
        )

    @FEW_EXAMPLES
    @given(LEFT_MS, LEFT_MS, st.integers(1, 3000))
    def test_a_call_with_more_time_is_held_no_shorter(self, left_ms, more_ms, target_ms):
        first, second = (
            self.outage(time_ms, target_ms, 60_000, calls=2)[0].held_ms
            for time_ms in (left_ms, left_ms + more_ms)
        )
        self.assertTrue(first <= second)

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


class IdempotencyKeys(TestCase):
    def test_opening_a_key_may_take_as_long_as_the_call_can_still_be_served_after_it(self):
        """It had half of the time left: 2.5 s of 5 for a call of 0.6 s, and as much for one of 3 s."""
        for service_ms in (600, 3000):
            edge = LiveCalls({"unsafe": {"repeatable": False}}, service_ms=service_ms)
            edge.learn("unsafe")
            waits = []
            edge.router._leader = SimpleNamespace(
                request=lambda message, wait_ms, done, waits=waits: waits.append(wait_ms)
            )
            profile = edge.tree.usable("unsafe")
            lifecycle = RequestLifecycle(
                "e", profile, "key", edge.now_ms, RetryBudget(), edge.now_ms + 5000
            )
            call = Call({"prompt": "x"}, "digest", "", job=False, stream=False)
            edge.router.start(lifecycle, call, None, lambda step: None)
            self.assertTrue(0.9 < waits[0] / (5000 - service_ms) <= 1, waits)


class LiveFirst(TestCase):
    def test_a_worker_at_which_calls_were_waiting_just_now_gets_no_items(self):
        """It got items while less than half of its slots were loaded; batch jobs take nothing where somebody waits."""
        edge = LiveCalls({"flag": {}}, slots=16)
        executor = ItemExecutor(edge.router, edge.registry, lambda: edge.tree, str, lambda: 1)
        Node(edge.node.env, SETTINGS, [executor])
        worker = edge.registry.workers()[0]
        worker.report_load(WorkerLoad(3, 1, 16), edge.now_ms)
        self.assertThat(executor._free_slots(worker), Equals(0))
        edge.advance(SETTINGS.heartbeat_ms + 1)
        self.assertThat(executor._free_slots(worker) > 0, Equals(True))


class JobCalls(TestCase):
    """While the leader changes: how long an edge tries, and what is left of the client's time."""

    def test_a_job_that_no_leader_can_take_is_told_when_there_may_be_one(self):
        response = forward_submission_response("j", None, False, SETTINGS.leader_failure_ms)
        self.assertThat(
            (response.refusal.status, response.refusal.retry_after_ms),
            Equals((503, SETTINGS.leader_failure_ms)),
        )

    def waits(self, make_call):
        asked = []

        def request(message, wait_ms, done):
            asked.append((message, wait_ms))
            return Mock()

        tree = ProfileTree({"lots": {"workers": {"labels": ["gpu"]}, "kind": "lot"}})
        jobs = ForwardJobService(SimpleNamespace(request=request), None, lambda: (1, tree))
        Node(LiveCalls({"flag": {}}).node.env, SETTINGS, [jobs])
        make_call(jobs)
        return asked[0][1]

    @FEW_EXAMPLES
    @given(st.integers(1500, 60_000))
    def test_a_submission_of_unknown_outcome_leaves_the_time_for_one_elsewhere(self, client_ms):
        """An answer may come as long as the submission's stamp is valid after it was sent last."""
        wait_ms = self.waits(lambda jobs: jobs.submit("j", "lots", [], [], client_ms, None))
        answered_ms = wait_ms + SETTINGS.max_submission_age_ms
        self.assertEqual(client_ms - answered_ms, SETTINGS.request_timeout_ms)

    def test_other_calls_are_answered_just_before_their_clients_give_up(self):
        """Clients wait 1.5 s beyond what they allow; a change of the leader has as much of it as can be."""
        rows = [
            (0, lambda jobs: jobs.item("j", "i", None)),
            (0, lambda jobs: jobs.cancel("j", None)),
            (800, lambda jobs: jobs.results("j", 0, 800, None)),
        ]
        for allowed_ms, make_call in rows:
            self.assertEqual(self.waits(make_call), allowed_ms + 1500 - SETTINGS.heartbeat_ms)


class SilentWorkers(TestCase):
    def test_a_slow_response_that_is_no_stream_is_not_taken_for_a_silent_worker(self):
        """Each was abandoned after 0.5 s and run again elsewhere, so none of 0.6 s was ever answered."""
        edge = LiveCalls({"safe": {"repeatable": True, "target_ms": 300}}, workers=2)
        rows = [edge.call("safe", 5000) for _ in range(8)]
        edge.advance(2000)
        self.assertThat([(row.served, row.attempts) for row in rows], Equals([(True, 1)] * 8))

    def test_a_worker_that_is_silent_for_longer_than_usual_is_replaced(self):
        edge = LiveCalls({"safe": {"repeatable": True}}, workers=2)
        edge.learn("safe")
        edge.stuck = {"w0"}
        rows = [edge.call("safe", 5000) for _ in range(8)]
        edge.advance(4000)
        self.assertThat([row.served for row in rows], Equals([True] * 8))
        self.assertThat(any(row.attempts == 2 for row in rows), Equals(True))

    def test_a_slow_attempt_is_left_when_another_worker_can_still_be_in_time_for_the_client(self):
        """A stream's client gives up after 2 s of silence, four targets or eight pauses, the longest of them.

        The other worker's first event is due in that time. Until then the slow worker may still send its own.
        """
        for target_ms, gap_ms, patience_ms in [
            (200, 100, 2000),
            (800, 100, 3200),
            (200, 500, 4000),
        ]:
            route = {"kind": "stream", "resumable": True, "target_ms": target_ms}
            edge = LiveCalls({"flag": {**route, "token_gap_ms": gap_ms}}, workers=2)
            edge.learn("flag")
            edge.stuck = edge.chatty = {"w0"}
            rows = [edge.call("flag", 10_000) for _ in range(8)]
            edge.advance(6000)
            moved = [row for row in rows if row.attempts == 2]
            self.assertThat((all(row.served for row in rows), len(moved) > 0), Equals((True, True)))
            for row in moved:
                self.assertTrue(patience_ms - 600 < row.events_ms[0] < patience_ms, row.events_ms)

    def test_the_time_in_a_queue_counts_as_silence_too(self):
        """A client that has waited 1.5 s for a slot has 0.5 s of patience left for an event."""
        edge = LiveCalls({"flag": {"kind": "stream", "resumable": True}}, workers=2)
        edge.learn("flag")
        rows = edge.rows
        edge.down = {"w0", "w1"}
        waiting = edge.call("flag", 10_000)
        edge.advance(1000)
        edge.down, edge.stuck, edge.chatty = set(), {"w0"}, {"w0"}
        edge.publish(w0=rows["w0"])
        edge.advance(100)
        edge.publish(**rows)
        edge.advance(3000)
        self.assertThat((waiting.served, waiting.events_ms[0] < 2000), Equals((True, True)))
