"""Items of forwarded jobs at an edge: an interrupted stream is continued at another worker after its last event,
without missing or repeated data, and each item is reported to the leader with the right outcome.

The tests send the workers' and the leader's responses themselves, on a simulated clock.
"""

import json
import random
from types import SimpleNamespace

from batch_state import messages as m
from control_store import ProfileTree
from messaging import Node, decode, encode
from request_routing import (
    ItemExecutor,
    JobRunner,
    RequestRouter,
    WorkerHeaderNames,
    WorkerRegistry,
)
from request_routing.batch_execution.item_run import event_data
from request_routing.batch_execution.leader_client import LeaderClient
from runtime import Settings
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
TREE = {
    "service": {"abstract": True, "workers": {"labels": ["gpu"]}},
    "route": {
        "workers": {"labels": ["gpu"]},
        "kind": "lot",
        "match": {"host": "h", "prefix": "/r/"},
        "attempts": 3,
        "keep_ms": 30_000,
    },
}
HEAD = [
    ("Id", "i0"),
    ("Stamp", "s"),
    ("Content-Type", "text/event-stream"),
    ("Transfer-Encoding", "chunked"),
]


class EdgeHarness:
    """An edge's request router, item executor and job runner; keeps attempts and messages to the leader."""

    def __init__(self, workers=3):
        self.now_ms = 10_000
        self.sent, self.messages = [], []
        env = SimpleNamespace(
            now=lambda: self.now_ms,
            wall=lambda: self.now_ms,
            token=lambda: f"t{len(self.sent)}",
            address="edge:1",
            rng=random.Random(3),
            log=lambda event, level="INFO", **fields: None,
            send=lambda to, request_id, in_reply_to, message: self.messages.append(
                (to, request_id, message)
            ),
        )
        settings = Settings(
            role="edge", link="127.0.0.1:1", http="127.0.0.1:2", zone="z", seeds=["127.0.0.1:3"]
        )
        rows = {
            f"w{number}": {
                "address": f"10.0.0.{number}:80",
                "zone": "z",
                "label": "gpu",
                "slots": 8,
                "state": "serving",
                "seq": 1,
                "models": [],
            }
            for number in range(workers)
        }
        tree = ProfileTree(TREE)
        self.tree = tree
        self.leader_client = LeaderClient(
            lambda: (
                '{"epoch": 4, "holder": "s1", "members": [{"identity": "s1", "address": "store:1"}]}'
            ),
            list,
        )
        registry = WorkerRegistry(
            list, lambda identity, labels: True, lambda: (1, json.dumps({"workers": rows}))
        )
        self.router = RequestRouter(
            "edge", self.leader_client, registry, lambda: self.tree, self._send
        )
        self.router.header_names = HEADER_NAMES
        self.executor = ItemExecutor(
            self.router, registry, lambda: self.tree, lambda: "", lambda: 1
        )
        self.runner = JobRunner(
            "edge", self.leader_client, self.executor.capacity, self.executor.start
        )
        self.node = Node(
            env, settings, [self.leader_client, registry, self.router, self.executor, self.runner]
        )
        self.advance(25)

    def _send(self, attempt, address, target, headers, body, method="POST"):
        row = SimpleNamespace(
            attempt=attempt,
            address=address,
            target=target,
            headers=dict(headers),
            body=body,
            open=True,
        )
        self.sent.append(row)
        return lambda: setattr(row, "open", False)

    def advance(self, wait_ms):
        end_ms = self.now_ms + wait_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + 25)
            self.node.tick()

    def messages_of(self, kind):
        return [
            (request_id, message)
            for _, request_id, message in self.messages
            if isinstance(message, kind)
        ]

    def assign(self, count=1, left_ms=30_000, avoid=()):
        """Responds to the heartbeat in flight with assignments."""
        call = encode(
            m.ForwardItem(
                item_id="i0",
                target="/r/x?y=1",
                host="h",
                headers=["Model", "m", "rank", "0"],
                body=b"\x00body",
                part_ids=["p"],
                part_tokens=[100],
                tokens_in=100,
                tokens_out=50,
            )
        )
        assignments = [
            encode(
                m.ForwardAssignment(
                    job_id="lot",
                    index=index,
                    claim_number=1,
                    path="route",
                    call=call,
                    avoid=list(avoid),
                    remaining_ms=left_ms,
                )
            )
            for index in range(count)
        ]
        self.respond(
            m.EdgeHeartbeat,
            m.EdgeHeartbeatResponse(
                epoch=4,
                leader_ms=1,
                work=assignments,
                listing_leases=[],
                closed_jobs=[],
                waiting=0,
                paths=["route"],
            ),
        )

    def respond(self, kind, response):
        self.node.receive("store:1", 0, self.messages_of(kind)[-1][0], response)

    def send_events(self, row, *numbers, head=HEAD):
        if head:
            row.attempt.head(200, head, None)
        for number in numbers:
            row.attempt.data(b"id: %d\ndata: word%d\n\n" % (number, number))

    def reported(self):
        """Returns the reported outcomes and texts, those of repeated reports included."""
        rows = [
            decode(data)
            for _, message in self.messages_of(m.ReportItemOutcomes)
            for data in message.rows
        ]
        return [(row.outcome, row.text) for row in rows]


class ItemRuns(TestCase):
    def test_item_is_forwarded_unchanged_with_control_headers(self):
        edge = EdgeHarness()
        edge.assign()
        row = edge.sent[0]
        self.assertThat(
            (
                row.target,
                row.body,
                row.headers["Host"],
                row.headers["Id"],
                row.headers["Model"],
                row.headers["Rank"],
            ),
            Equals(("/r/x?y=1", b"\x00body", "h", "i0", "m", "9")),
        )
        self.assertThat(
            (
                row.headers["Worker"] in ("w0", "w1", "w2"),
                "rank" in row.headers,
                "Last-Event-Id" in row.headers,
            ),
            Equals((True, False, False)),
        )

    def test_result_is_the_data_of_all_events(self):
        edge = EdgeHarness()
        edge.assign()
        row = edge.sent[0]
        self.send_data(
            edge, row, b"id: 0\ndata: one\ndata: more\n\n: note\n\nversion: 3\nid: 1\ndata:two\n\n"
        )
        row.attempt.end()
        self.assertThat(edge.reported(), Equals([("finished", b"one\nmore\ntwo")]))

    def send_data(self, edge, row, data):
        edge.send_events(row)
        row.attempt.data(data)

    def test_interrupted_stream_continues_after_last_event(self):
        edge = EdgeHarness()
        edge.assign()
        for number, ends in enumerate(("lost", "lost", "end")):
            row = edge.sent[number]
            self.assertThat(
                row.headers.get("Last-Event-Id"), Equals(str(2 * number - 1) if number else None)
            )
            edge.send_events(row, 2 * number, 2 * number + 1)
            row.attempt.end() if ends == "end" else row.attempt.connection_failed(
                "connection lost", True
            )
        self.assertThat(
            edge.reported(),
            Equals([("finished", b"\n".join(b"word%d" % number for number in range(6)))]),
        )
        self.assertThat(len({row.address for row in edge.sent}), Equals(3))

    def test_missing_or_repeated_event_fails_the_attempt(self):
        for first in (0, 1, 3):
            edge = EdgeHarness()
            edge.assign()
            edge.send_events(edge.sent[0], 0, 1)
            edge.sent[0].attempt.connection_failed("connection lost", True)
            edge.send_events(edge.sent[1], first)
            edge.send_events(edge.sent[2], 2)
            edge.sent[2].attempt.end()
            self.assertThat(edge.reported(), Equals([("finished", b"word0\nword1\nword2")]), first)

    def test_plain_response_does_not_end_a_begun_stream(self):
        plain = [
            pair for pair in HEAD if pair[0].lower() not in ("content-type", "transfer-encoding")
        ]
        for body in (b"{}", b""):
            edge = EdgeHarness()
            edge.assign()
            edge.send_events(edge.sent[0], 0, 1)
            edge.sent[0].attempt.connection_failed("connection lost", True)
            edge.sent[1].attempt.head(200, plain, len(body))
            edge.sent[1].attempt.data(body)
            edge.sent[1].attempt.end()
            self.assertThat(edge.reported(), Equals([]), body)
            edge.send_events(edge.sent[2], 2)
            edge.sent[2].attempt.end()
            self.assertThat(edge.reported(), Equals([("finished", b"word0\nword1\nword2")]), body)

    def test_stream_continues_after_pause_when_no_worker_is_left(self):
        edge = EdgeHarness(workers=1)
        edge.assign()
        edge.send_events(edge.sent[0], 0, 1)
        edge.sent[0].attempt.connection_failed("no connection", False)
        for _ in range(60):
            edge.advance(100)
            if len(edge.sent) > 1 and not edge.sent[-1].attempt.over:
                break
        self.assertThat(edge.sent[-1].headers["Last-Event-Id"], Equals("1"))
        edge.send_events(edge.sent[-1], 2)
        edge.sent[-1].attempt.end()
        self.assertThat(edge.reported(), Equals([("finished", b"word0\nword1\nword2")]))

    def test_outcomes_of_error_responses(self):
        rows = [
            (500, HEAD, "failed", 1),
            (422, HEAD, "dead", 1),
            (400, HEAD, "again", 1),
            (504, HEAD, "again", 1),
            (503, [*HEAD, ("Refused", "1")], "again", 8),
            (500, HEAD[1:], "again", 8),
        ]
        for status, head, outcome, attempts in rows:
            edge = EdgeHarness(workers=9)
            edge.assign()
            for _ in range(20):
                row = next((row for row in edge.sent if not row.attempt.over), None)
                if row is None:
                    break
                row.attempt.head(status, [*head[:1], ("Content-Length", "2"), *head[4:]], 2)
                row.attempt.data(b"no")
                row.attempt.end()
            edge.advance(edge.node.settings.heartbeat_ms + 50)
            outcomes = [name for name, _ in edge.reported()]
            self.assertThat(
                (outcomes[:1], len({row.address for row in edge.sent})),
                Equals(([outcome], attempts)),
                status,
            )

    def test_items_stop_when_job_is_closed_or_lease_expires(self):
        edge = EdgeHarness()
        edge.assign(2)
        edge.respond(
            m.EdgeHeartbeat,
            m.EdgeHeartbeatResponse(
                epoch=4,
                leader_ms=1,
                work=[],
                listing_leases=[],
                closed_jobs=["lot"],
                waiting=0,
                paths=[],
            ),
        )
        self.assertThat(
            ([row.open for row in edge.sent], edge.reported()), Equals(([False, False], []))
        )
        edge = EdgeHarness()
        edge.assign()
        edge.advance(edge.node.settings.claim_timeout_ms + 50)
        self.assertThat(
            (edge.sent[0].open, [name for name, _ in edge.reported()]), Equals((False, ["again"]))
        )

    def test_outcomes_are_batched_and_reported_until_acknowledged(self):
        edge = EdgeHarness()
        edge.assign(4)
        for row in edge.sent:
            edge.send_events(row, 0)
        edge.sent[0].attempt.end()
        for row in edge.sent[1:]:
            row.attempt.end()
        self.assertThat(
            [len(message.rows) for _, message in edge.messages_of(m.ReportItemOutcomes)],
            Equals([1]),
        )
        self.assertThat(len(edge.messages_of(m.EdgeHeartbeat)[-1][1].running), Equals(4))
        edge.respond(
            m.ReportItemOutcomes, m.ReportResultResponse(ok=True, listing_epoch=0, up_to=0)
        )
        self.assertThat(
            [len(message.rows) for _, message in edge.messages_of(m.ReportItemOutcomes)],
            Equals([1, 3]),
        )
        edge.respond(
            m.ReportItemOutcomes, m.ReportResultResponse(ok=False, listing_epoch=0, up_to=0)
        )
        edge.advance(25)
        self.assertThat(
            [len(message.rows) for _, message in edge.messages_of(m.ReportItemOutcomes)],
            Equals([1, 3, 3]),
        )

    def test_item_without_route_in_force_is_returned(self):
        edge = EdgeHarness()
        edge.tree = ProfileTree({})
        edge.assign()
        edge.advance(edge.node.settings.heartbeat_ms + 50)
        self.assertThat((edge.sent, [name for name, _ in edge.reported()]), Equals(([], ["again"])))

    def test_event_data(self):
        rows = [
            (b"id: 1\ndata: a b\n\n", b"a b"),
            (b"data:  a\r\ndata:\r\ndata\r\n\r\n", b" a\n\n"),
            (b": x\n\n", None),
            (b"database: 1\n\n", None),
        ]
        for event, data in rows:
            self.assertThat(event_data(event), Equals(data), event)
