"""Forwarded jobs on a simulated fleet with simulated workers.

Each item of an admitted job is listed once, and every edge shows the results in the same order, also
if the leader of the log is killed, frozen or loses power or its disk, or an edge is killed, while the
jobs run.
"""

import json

from batch_state import messages
from request_routing import WorkerHeaderNames
from simulator.runs import Run
from testtools import TestCase
from testtools.matchers import Equals

HEADER_NAMES = WorkerHeaderNames(
    request_id="Id",
    worker="Worker",
    signature="Stamp",
    not_run="Refused",
    load="Load",
    deadline_ms="Left",
    urgency="Rank",
)
EVENTS, GAP_MS = 5, 20.0


class ForwardJobClients:
    """Clients that use forwarded jobs through random edges, and workers that stream their responses."""

    def __init__(self, seed):
        self.run = Run(seed)
        self.run.start()
        self.fleet = self.run.fleet
        self.time = self.fleet.time
        self.calls = []
        self.results = {}
        self.item_counts = {}
        listed = json.dumps(
            {
                "workers": {
                    f"v{number}": {
                        "address": f"10.9.0.{number}:1",
                        "zone": "north",
                        "label": "gpu",
                        "slots": 8,
                        "state": "serving",
                        "seq": 1,
                        "models": [],
                    }
                    for number in range(4)
                }
            }
        )
        for host in self.fleet.with_role("edge"):
            host.node.registry._worker_list = lambda: (1, listed)
            host.node.router.header_names = HEADER_NAMES
            host.node.router.transport = self._sender_of(host)
        self.fleet.run_until_true(lambda: False, 800)

    def _sender_of(self, host):
        incarnation = host.incarnation

        def send(send, address, target, headers, body, method="POST"):
            state = {"open": True}
            pairs = dict(headers)
            self.calls.append((self.time.now_ms, pairs["Id"]))
            first = int(pairs["Last-Event-Id"]) + 1 if "Last-Event-Id" in pairs else 0

            def send_event(number):
                if not (state["open"] and host.up and host.incarnation == incarnation):
                    return
                if host.frozen:
                    self.time.after(50, lambda: send_event(number))
                elif number == first - 1:
                    send.head(
                        200,
                        [
                            ("Id", pairs["Id"]),
                            ("Stamp", "s"),
                            ("Content-Type", "text/event-stream"),
                            ("Transfer-Encoding", "chunked"),
                        ],
                        None,
                    )
                    self.time.after(GAP_MS, lambda: send_event(first))
                elif number < EVENTS:
                    send.data(b"id: %d\ndata: %s-%d\n\n" % (number, pairs["Id"].encode(), number))
                    self.time.after(
                        GAP_MS * (0.5 + self.time.rng.random()), lambda: send_event(number + 1)
                    )
                else:
                    send.end()

            self.time.after(2.0, lambda: send_event(first - 1))
            return lambda: state.update(open=False)

        return send

    def edges(self):
        return self.fleet.running("edge")

    def submit(self, job_id, count, done=None, tries=6):
        items = [
            messages.ForwardItem(
                item_id=f"{job_id}.{number}",
                target="/x",
                host="h",
                headers=[],
                body=b"b",
                part_ids=[],
                part_tokens=[],
                tokens_in=1,
                tokens_out=1,
            )
            for number in range(count)
        ]
        started_ms = self.time.now_ms

        def on_answer(answer):
            if answer.status == 202:
                self.item_counts[job_id] = count
                if done is not None:
                    done(self.time.now_ms - started_ms)
            elif tries:
                self.time.after(50, lambda: self.submit(job_id, count, done, tries - 1))

        self.time.rng.choice(self.edges()).node.forward_job_service.submit(
            job_id, "summaries", items, [5] * count, 2000, on_answer
        )

    def read_results(self, job_id):
        """Read until all results are listed; results read before must not have changed."""
        rows = self.results.setdefault(job_id, [])
        position = 0 if self.time.rng.random() < 0.2 else len(rows)
        state = {"done": False}

        def on_answer(answer):
            if state["done"]:
                return
            state["done"] = True
            if answer is not None and answer.status == 200:
                page = [(row.item_id, row.outcome, row.text) for row in answer.value.results]
                for index, row in enumerate(page, position):
                    if index < len(rows) and rows[index] != row:
                        raise AssertionError(f"{job_id} {index}: {rows[index]} and then {row}")
                rows[position : position + len(page)] = page
            if len(rows) < self.item_counts[job_id]:
                self.time.after(
                    100 if answer is not None and answer.status == 200 else 300,
                    lambda: self.read_results(job_id),
                )

        self.time.after(2500, lambda: on_answer(None))
        self.time.rng.choice(self.edges()).node.forward_job_service.results(
            job_id, position, 1000, on_answer
        )


class ForwardJobs(TestCase):
    def assert_all_read(self, clients, jobs, limit_ms=15_000):
        def done():
            return len(clients.item_counts) == jobs and all(
                len(clients.results.get(job_id, [])) == count
                for job_id, count in clients.item_counts.items()
            )

        self.assertThat(bool(clients.fleet.run_until_true(done, limit_ms)), Equals(True))
        for job_id, rows in clients.results.items():
            texts = {
                f"{job_id}.{number}": b"\n".join(
                    b"%s.%d-%d" % (job_id.encode(), number, event) for event in range(EVENTS)
                )
                for number in range(clients.item_counts[job_id])
            }
            self.assertThat({item: text for item, _, text in rows}, Equals(texts))
            self.assertThat({outcome for _, outcome, _ in rows}, Equals({"finished"}))

    def submit_jobs(self, seed, jobs=3, items=20):
        clients = ForwardJobClients(seed)
        durations_ms = []
        for number in range(jobs):
            job_id = f"lot{number}"
            clients.submit(
                job_id,
                items,
                lambda ms, job_id=job_id: (durations_ms.append(ms), clients.read_results(job_id)),
            )
        return clients, durations_ms

    def test_without_faults_jobs_are_admitted_dispatched_and_listed_at_once(self):
        clients, durations_ms = self.submit_jobs(3, 2, 9)
        started_ms = clients.time.now_ms
        self.assert_all_read(clients, 2)
        self.assertThat(
            (
                max(durations_ms) < 60,
                max(at_ms for at_ms, _ in clients.calls) - started_ms < 500,
                len(clients.calls),
            ),
            Equals((True, True, 18)),
        )

    def test_all_results_are_listed_after_the_leader_was_lost(self):
        for seed, fault in ((1, "kill"), (2, "freeze"), (3, "lose_power"), (4, "lose_disk")):
            clients, _ = self.submit_jobs(seed)
            clients.time.run_until(clients.time.now_ms + 80 + 40 * seed)
            leader = clients.fleet.leader()
            getattr(leader, fault)()
            clients.submit("late", 5, lambda ms, clients=clients: clients.read_results("late"))
            if fault == "freeze":
                clients.time.after(4000, leader.wake)
            self.assert_all_read(clients, 4)

    def test_all_results_are_listed_after_an_edge_was_lost(self):
        clients, _ = self.submit_jobs(5, 3, 30)
        clients.time.run_until(clients.time.now_ms + 120)
        lost = max(clients.fleet.with_role("edge"), key=lambda host: host.node.job_runner.running())
        lost.kill()
        started_ms = clients.time.now_ms
        self.assert_all_read(clients, 3)
        self.assertThat(clients.time.now_ms - started_ms < 4000, Equals(True))

    def test_a_cancelled_job_stops_at_every_edge(self):
        clients, _ = self.submit_jobs(6, 1, 60)
        clients.time.run_until(clients.time.now_ms + 60)
        answers = []
        clients.edges()[0].node.forward_job_service.cancel("lot0", answers.append)
        clients.fleet.run_until_true(lambda: answers, 2000)
        self.assertThat(answers[0].status, Equals(200))
        clients.time.run_until(clients.time.now_ms + 100)
        count = len(clients.calls)
        clients.time.run_until(clients.time.now_ms + 3000)
        self.assertThat(
            (len(clients.calls), sum(host.node.job_runner.running() for host in clients.edges())),
            Equals((count, 0)),
        )
