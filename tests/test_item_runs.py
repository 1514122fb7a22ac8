"""Items of forwarded lots at an edge: taken to their end as streams, taken up elsewhere after the last event,
and what each ending is reported as. Workers are played by hand, on a clock of the test's own.
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

DIALECT = WorkerHeaderNames(
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


class Stage:
    """An edge's carrier and items with its runner; sends are kept, posts to the holder too."""

    def __init__(self, workers=3):
        self.now_ms = 10_000
        self.sends, self.posts = [], []
        env = SimpleNamespace(
            now=lambda: self.now_ms,
            wall=lambda: self.now_ms,
            token=lambda: f"t{len(self.sends)}",
            address="edge:1",
            rng=random.Random(3),
            log=lambda event, level="INFO", **fields: None,
            send=lambda to, request_id, in_reply_to, message: self.posts.append(
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
        self.router.header_names = DIALECT
        self.items = ItemExecutor(self.router, registry, lambda: self.tree, lambda: "", lambda: 1)
        self.runner = JobRunner("edge", self.leader_client, self.items.capacity, self.items.start)
        self.node = Node(
            env, settings, [self.leader_client, registry, self.router, self.items, self.runner]
        )
        self.after(25)

    def _send(self, send, address, target, headers, body, method="POST"):
        row = SimpleNamespace(
            send=send, address=address, target=target, headers=dict(headers), body=body, open=True
        )
        self.sends.append(row)
        return lambda: setattr(row, "open", False)

    def after(self, wait_ms):
        end_ms = self.now_ms + wait_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + 25)
            self.node.tick()

    def asked(self, kind):
        return [
            (request_id, message)
            for _, request_id, message in self.posts
            if isinstance(message, kind)
        ]

    def deal(self, count=1, left_ms=30_000, avoid=()):
        """Answers the beat under way with work."""
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
        work = [
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
        self.answer(
            m.EdgeHeartbeat,
            m.EdgeHeartbeatResponse(
                epoch=4,
                leader_ms=1,
                work=work,
                listing_leases=[],
                closed_jobs=[],
                waiting=0,
                paths=["route"],
            ),
        )

    def answer(self, kind, receipt):
        self.node.receive("store:1", 0, self.asked(kind)[-1][0], receipt)

    def events(self, row, *numbers, head=HEAD):
        if head:
            row.send.head(200, head, None)
        for number in numbers:
            row.send.data(b"id: %d\ndata: word%d\n\n" % (number, number))

    def told(self):
        """What was reported, as it would be acknowledged."""
        rows = [
            decode(data) for _, message in self.asked(m.ReportItemOutcomes) for data in message.rows
        ]
        return [(row.outcome, row.text) for row in rows]


class Runs(TestCase):
    def test_an_item_reaches_the_worker_as_it_was_handed_in(self):
        stage = Stage()
        stage.deal()
        row = stage.sends[0]
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

    def test_the_text_is_the_data_of_all_events(self):
        stage = Stage()
        stage.deal()
        row = stage.sends[0]
        self.events_of(
            stage, row, b"id: 0\ndata: one\ndata: more\n\n: note\n\nversion: 3\nid: 1\ndata:two\n\n"
        )
        row.send.end()
        self.assertThat(stage.told(), Equals([("finished", b"one\nmore\ntwo")]))

    def events_of(self, stage, row, data):
        stage.events(row)
        row.send.data(data)

    def test_a_broken_run_goes_on_after_its_last_event(self):
        stage = Stage()
        stage.deal()
        for number, ends in enumerate(("lost", "lost", "end")):
            row = stage.sends[number]
            self.assertThat(
                row.headers.get("Last-Event-Id"), Equals(str(2 * number - 1) if number else None)
            )
            stage.events(row, 2 * number, 2 * number + 1)
            row.send.end() if ends == "end" else row.send.connection_failed("connection lost", True)
        self.assertThat(
            stage.told(),
            Equals([("finished", b"\n".join(b"word%d" % number for number in range(6)))]),
        )
        self.assertThat(len({row.address for row in stage.sends}), Equals(3))

    def test_an_event_missing_or_twice_is_not_taken(self):
        for first in (0, 1, 3):
            stage = Stage()
            stage.deal()
            stage.events(stage.sends[0], 0, 1)
            stage.sends[0].send.connection_failed("connection lost", True)
            stage.events(stage.sends[1], first)
            stage.events(stage.sends[2], 2)
            stage.sends[2].send.end()
            self.assertThat(stage.told(), Equals([("finished", b"word0\nword1\nword2")]), first)

    def test_a_plain_answer_is_no_end_of_a_run_that_has_begun(self):
        plain = [
            pair for pair in HEAD if pair[0].lower() not in ("content-type", "transfer-encoding")
        ]
        for body in (b"{}", b""):
            stage = Stage()
            stage.deal()
            stage.events(stage.sends[0], 0, 1)
            stage.sends[0].send.connection_failed("connection lost", True)
            stage.sends[1].send.head(200, plain, len(body))
            stage.sends[1].send.data(body)
            stage.sends[1].send.end()
            self.assertThat(stage.told(), Equals([]), body)
            stage.events(stage.sends[2], 2)
            stage.sends[2].send.end()
            self.assertThat(stage.told(), Equals([("finished", b"word0\nword1\nword2")]), body)

    def test_what_came_is_gone_on_with_here_when_no_worker_is_left(self):
        stage = Stage(workers=1)
        stage.deal()
        stage.events(stage.sends[0], 0, 1)
        stage.sends[0].send.connection_failed("no connection", False)
        for _ in range(60):
            stage.after(100)
            if len(stage.sends) > 1 and not stage.sends[-1].send.over:
                break
        self.assertThat(stage.sends[-1].headers["Last-Event-Id"], Equals("1"))
        stage.events(stage.sends[-1], 2)
        stage.sends[-1].send.end()
        self.assertThat(stage.told(), Equals([("finished", b"word0\nword1\nword2")]))

    def test_how_a_workers_word_is_reported(self):
        rows = [
            (500, HEAD, "failed", 1),
            (422, HEAD, "dead", 1),
            (400, HEAD, "again", 1),
            (504, HEAD, "again", 1),
            (503, [*HEAD, ("Refused", "1")], "again", 8),
            (500, HEAD[1:], "again", 8),
        ]
        for status, head, outcome, sends in rows:
            stage = Stage(workers=9)
            stage.deal()
            for _ in range(20):
                row = next((row for row in stage.sends if not row.send.over), None)
                if row is None:
                    break
                row.send.head(status, [*head[:1], ("Content-Length", "2"), *head[4:]], 2)
                row.send.data(b"no")
                row.send.end()
            stage.after(stage.node.settings.heartbeat_ms + 50)
            told = [name for name, _ in stage.told()]
            self.assertThat(
                (told[:1], len({row.address for row in stage.sends})),
                Equals(([outcome], sends)),
                status,
            )

    def test_stopped_when_the_lot_is_over_and_when_the_holder_is_silent(self):
        stage = Stage()
        stage.deal(2)
        stage.answer(
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
            ([row.open for row in stage.sends], stage.told()), Equals(([False, False], []))
        )
        stage = Stage()
        stage.deal()
        stage.after(stage.node.settings.claim_timeout_ms + 50)
        self.assertThat(
            (stage.sends[0].open, [name for name, _ in stage.told()]), Equals((False, ["again"]))
        )

    def test_reports_go_together_until_they_are_acknowledged(self):
        stage = Stage()
        stage.deal(4)
        for row in stage.sends:
            stage.events(row, 0)
        stage.sends[0].send.end()
        for row in stage.sends[1:]:
            row.send.end()
        self.assertThat(
            [len(message.rows) for _, message in stage.asked(m.ReportItemOutcomes)], Equals([1])
        )
        self.assertThat(len(stage.asked(m.EdgeHeartbeat)[-1][1].running), Equals(4))
        stage.answer(
            m.ReportItemOutcomes, m.ReportResultResponse(ok=True, listing_epoch=0, up_to=0)
        )
        self.assertThat(
            [len(message.rows) for _, message in stage.asked(m.ReportItemOutcomes)], Equals([1, 3])
        )
        stage.answer(
            m.ReportItemOutcomes, m.ReportResultResponse(ok=False, listing_epoch=0, up_to=0)
        )
        stage.after(25)
        self.assertThat(
            [len(message.rows) for _, message in stage.asked(m.ReportItemOutcomes)],
            Equals([1, 3, 3]),
        )

    def test_profiles_of_the_moment(self):
        stage = Stage()
        stage.tree = ProfileTree({})
        stage.deal()
        stage.after(stage.node.settings.heartbeat_ms + 50)
        self.assertThat((stage.sends, [name for name, _ in stage.told()]), Equals(([], ["again"])))

    def test_data_of_an_event(self):
        rows = [
            (b"id: 1\ndata: a b\n\n", b"a b"),
            (b"data:  a\r\ndata:\r\ndata\r\n\r\n", b" a\n\n"),
            (b": x\n\n", None),
            (b"database: 1\n\n", None),
        ]
        for event, data in rows:
            self.assertThat(event_data(event), Equals(data), event)
