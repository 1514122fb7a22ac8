"""The oracle passes a clean history, and catches histories that break each of its rules."""

from simulator import History, judge
from simulator.oracle import RULES
from testtools import TestCase
from testtools.matchers import Equals


def run(transaction="t1", at_ms=100.0, **fields):
    return (
        "run",
        at_ms,
        {
            "worker": "w/1",
            "identity": "w",
            "labels": ["gpu"],
            "address": "x",
            "call": "call1",
            "path": "p",
            "safe": True,
            "lot": "",
            "index": -1,
            "key": "",
            "body": "",
            "transaction": transaction,
            "question": "",
            **fields,
        },
    )


def ended(transaction="t1", at_ms=150.0, event_count=2):
    return (
        "run-ended",
        at_ms,
        {"worker": "w/1", "transaction": transaction, "event_count": event_count},
    )


def call(at_ms=90.0, **fields):
    return (
        "call",
        at_ms,
        {
            "call": "call1",
            "path": "p",
            "key": "",
            "edge": "e",
            "outcome": "finish",
            "verdict": "ran",
            "events": ["t1:0", "t1:1"],
            "transaction": "t1",
            "body": "t1:0|t1:1",
            "code": "",
            "answered_ms": 160.0,
            "question": "",
            **fields,
        },
    )


def submission(outcome="admitted", verdict="ran", at_ms=100.0, answered_ms=110.0, job="l"):
    return (
        "hand-in",
        at_ms,
        {
            "lot": job,
            "path": "p",
            "outcome": outcome,
            "verdict": verdict,
            "count": 2,
            "answered_ms": answered_ms,
        },
    )


def read(results, at_ms=500.0, outcome="known", start=0, job="l"):
    return (
        "read",
        at_ms,
        {
            "began_ms": at_ms - 5,
            "lot": job,
            "outcome": outcome,
            "start": start,
            "listed": len(results),
            "total": 2,
            "ended": False,
            "results": results,
        },
    )


def sample(at_ms, number, ready=True, change_id="", incarnation=1):
    return (
        "sample",
        at_ms,
        {
            "edge": "e",
            "incarnation": incarnation,
            "ready": ready,
            "number": number,
            "change_id": change_id,
        },
    )


def change(outcome, version, at_ms=100.0, change_id="m"):
    return (
        "change",
        at_ms - 10,
        {
            "change_id": change_id,
            "base_version": version - 1,
            "outcome": outcome,
            "version": version,
            "answered_ms": at_ms,
        },
    )


ITEM = [run("i0", lot="l", index=0, call="item:l:0"), ended("i0", 200.0, 1)]
CLEAN = [
    change("refused", 0, change_id="z"),
    change("ok", 1, change_id="z"),
    sample(3000.0, 1, change_id="z"),
    run(),
    ended(),
    call(),
    submission(),
    *ITEM,
    read([(0, "ran", "i0:0")]),
    change("ok", 1),
    sample(3000.0, 1),
    ("end", 600.0, {"lot": "l"}),
    ("final", 9000.0, {"lot": "l", "outcome": "known", "listed": 1}),
    ("room", 200.0, {"store": "s", "path": "p", "epoch": 1, "used": 3}),
    ("probe", 9000.0, {"what": "live", "worked": True, "after_ms": 12000.0, "seen": "finish"}),
    ("worker-left", 900.0, {"worker": "v/1", "how": "left"}),
    ("fault", 1.0, {"what": "f"}),
    ("final-change", 9000.0, {"change_id": "m", "outcome": "ok", "version": 1}),
    change("lost", 1, change_id="x"),
    sample(3000.0, 1, change_id="m"),
    call(call="call2", transaction="t2", path="p", key="k", body="t2:0", events=["t2:0"]),
    run("t2", call="call2", key="k", safe=False),
    ended("t2", event_count=1),
    ("lot-done", 15000.0, {"lot": "l", "from_ms": 11000.0}),
    call(call="call3", verdict="not_run", outcome="error", events=[], code="busy", at_ms=1.0),
]

BROKEN = {
    "unsafe-runs-once": [
        [run(safe=False, key="k"), run("t2", 120.0, safe=False, key="k", call="call2")],
        [run("i0", safe=False, lot="l", index=0), run("i1", 130.0, safe=False, lot="l", index=0)],
    ],
    "not-run-is-true": [
        [run(at_ms=500.0), call(verdict="not_run", outcome="error", events=[])],
        [run(key="k", call="call0"), call(verdict="not_run", outcome="error", events=[], key="k")],
        [submission("no_room", "not_run"), *ITEM],
    ],
    "streams-are-whole": [
        [run(), ended(), call(events=["t1:0", "t2:1"])],
        [run(), ended(), call(events=["t1:0", "t1:0"])],
        [run(), ended(), call(events=["t1:1"])],
        [run(), call()],
    ],
    "bodies-are-whole": [
        [run(), ended(), call(body="t1:0")],
        [run(), ended(), call(body="t2:0|t2:1")],
        [run(call="other"), ended(), call()],
        [*ITEM, read([(1, "ran", "i0:0")])],
    ],
    "workers-are-allowed": [[run(labels=["cpu"])]],
    "gone-workers-get-nothing": [
        [
            ("worker-left", 100.0, {"worker": "w/1", "how": "left"}),
            ("send", 2400.0, {"worker": "w/1", "transaction": "t"}),
        ],
        [
            ("worker-left", 100.0, {"worker": "w/1", "how": "dark", "until_ms": 5000.0}),
            ("send", 2400.0, {"worker": "w/1", "transaction": "t"}),
        ],
    ],
    "versions-in-force": [
        [change("ok", 2), sample(2400.0, 1)],
        [sample(100.0, 2), sample(200.0, 1)],
    ],
    "lost-changes-stay-lost": [
        [change("lost", 2, change_id="x"), sample(100.0, 2, change_id="x")],
        [change("lost", 2), change("ok", 2)],
        [change("refused", 0, change_id="x"), sample(100.0, 2, change_id="x")],
        [
            change("doubt", 0, change_id="x"),
            change("lost", 2, change_id="x"),
            sample(100.0, 2, change_id="x"),
        ],
    ],
    "accepted-is-kept": [
        [submission(), read([], 118.0, "missing")],
        [read([(1, "ran", "a"), (0, "ran", "b")])],
        [read([(0, "may_have_run", "a")]), read([(0, "may_have_run", "b")], 600.0)],
        [read([(0, "may_have_run", "a")], start=1)],
    ],
    "kept-at-the-end": [
        [submission(), ("final", 9000.0, {"lot": "l", "outcome": "missing", "listed": 0})],
        [
            submission(),
            submission(job="m"),
            ("final", 9000.0, {"lot": "l", "outcome": "known", "listed": 1}),
        ],
        [
            submission(),
            read([(0, "may_have_run", "a")]),
            ("final", 9000.0, {"lot": "l", "outcome": "known", "listed": 0}),
        ],
    ],
    "ended-lots-stop": [[("end", 100.0, {"lot": "l"}), run("i", 3400.0, lot="l", index=1)]],
    "waiting-room-is-exact": [
        [("room", 200.0, {"store": "s", "path": "p", "epoch": 1, "used": 4})],
        [submission(job=name) for name in "abcd"] + [read([], 300.0, job=name) for name in "abcd"],
    ],
    "keys-one-body": [
        [run(key="k"), ended(), call(key="k"), call(key="k", call="call2", body="t9:0")],
        [run(key="k", question="a"), ended(), call(key="k", question="b")],
    ],
    "changes-kept": [
        [
            change("ok", 2),
            ("final-change", 900.0, {"change_id": "m", "outcome": "lost", "version": 3}),
        ]
    ],
    "live-in-time": [
        [call(answered_ms=2500.0)],
        [call(answered_ms=0.0, outcome="none")],
        [call(verdict="not_run", code="late"), ("capacity", 100.0, {"free": 0.9})],
    ],
    "lots-in-time": [[("lot-done", 10_400.0, {"lot": "l", "from_ms": 100.0})]],
    "service-resumes": [
        [("probe", 1.0, {"what": "live", "worked": False, "after_ms": 12000.0, "seen": "lost"})]
    ],
}


def history(rows):
    result = History(allowed=["gpu"], room=3, limits_ms={"p": 2000})
    for kind, at_ms, fields in sorted(rows, key=lambda row: row[1]):
        result.add(kind, at_ms, **fields)
    return result


class OracleTest(TestCase):
    def test_clean_history(self):
        self.assertThat(judge(history(CLEAN), required=RULES), Equals({}))

    def test_a_required_rule_without_rows_to_judge_is_broken(self):
        for name in RULES:
            self.assertThat(sorted(judge(history([]), required=[name])), Equals([name]))

    def test_each_rule_catches_all_histories_that_break_it(self):
        self.assertThat(sorted(BROKEN), Equals(sorted(RULES)))
        for name, histories in BROKEN.items():
            for position, rows in enumerate(histories):
                self.assertThat(
                    name in judge(history(rows)), Equals(True), f"{name}, history {position}"
                )
