"""The oracle itself: a clean history passes, and for each rule a history that breaks it is caught."""

from testtools import TestCase
from testtools.matchers import Equals

from facsimile.sim import History, judge
from facsimile.sim.oracle import RULES


def run(transaction="t1", atMs=100.0, **fields):
    return ("run", atMs, {"worker": "w/1", "identity": "w", "labels": ["gpu"], "address": "x", "call": "call1",
                          "path": "p", "safe": True, "lot": "", "index": -1, "key": "", "body": "",
                          "transaction": transaction, "asked": "", **fields})


def ended(transaction="t1", atMs=150.0, pieces=2):
    return ("run-ended", atMs, {"worker": "w/1", "transaction": transaction, "pieces": pieces})


def call(atMs=90.0, **fields):
    return ("call", atMs, {"call": "call1", "path": "p", "key": "", "edge": "e", "outcome": "finish", "verdict": "ran",
                           "pieces": ["t1:0", "t1:1"], "transaction": "t1", "body": "t1:0|t1:1", "code": "",
                           "answeredMs": 160.0, "asked": "", **fields})


def hand_in(outcome="admitted", verdict="ran", atMs=100.0, answeredMs=110.0, lot="l"):
    return ("hand-in", atMs, {"lot": lot, "path": "p", "outcome": outcome, "verdict": verdict, "count": 2,
                              "answeredMs": answeredMs})


def read(results, atMs=500.0, outcome="known", start=0, lot="l"):
    return ("read", atMs, {"beganMs": atMs - 5, "lot": lot, "outcome": outcome, "start": start, "listed": len(results), "total": 2,
                           "ended": False, "results": results})


def sample(atMs, number, ready=True, mark="", life=1):
    return ("sample", atMs, {"edge": "e", "life": life, "ready": ready, "number": number, "mark": mark})


def change(outcome, version, atMs=100.0, mark="m"):
    return ("change", atMs - 10, {"mark": mark, "named": version - 1, "outcome": outcome, "version": version,
                                  "answeredMs": atMs})


ITEM = [run("i0", lot="l", index=0, call="item:l:0"), ended("i0", 200.0, 1)]
CLEAN = [change("refused", 0, mark="z"), change("ok", 1, mark="z"), sample(3000.0, 1, mark="z"), run(), ended(), call(), hand_in(), *ITEM, read([(0, "ran", "i0:0")]), change("ok", 1), sample(3000.0, 1),
         ("end", 600.0, {"lot": "l"}), ("final", 9000.0, {"lot": "l", "outcome": "known", "listed": 1}),
         ("room", 200.0, {"store": "s", "path": "p", "epoch": 1, "used": 3}),
         ("probe", 9000.0, {"what": "live", "worked": True, "afterMs": 12000.0, "seen": "finish"}),
         ("worker-left", 900.0, {"worker": "v/1", "how": "left"}), ("fault", 1.0, {"what": "f"}),
         ("final-change", 9000.0, {"mark": "m", "outcome": "ok", "version": 1}), change("lost", 1, mark="x"),
         sample(3000.0, 1, mark="m"), call(call="call2", transaction="t2", path="p", key="k", body="t2:0", pieces=["t2:0"]),
         run("t2", call="call2", key="k", safe=False), ended("t2", pieces=1), ("lot-done", 15000.0, {"lot": "l", "fromMs": 11000.0}),
         call(call="call3", verdict="notRun", outcome="error", pieces=[], code="busy", atMs=1.0)]

BROKEN = {
    "unsafe-runs-once": [
        [run(safe=False, key="k"), run("t2", 120.0, safe=False, key="k", call="call2")],
        [run("i0", safe=False, lot="l", index=0), run("i1", 130.0, safe=False, lot="l", index=0)]],
    "not-run-is-true": [
        [run(atMs=500.0), call(verdict="notRun", outcome="error", pieces=[])],
        [run(key="k", call="call0"), call(verdict="notRun", outcome="error", pieces=[], key="k")],
        [hand_in("noRoom", "notRun"), *ITEM]],
    "streams-are-whole": [
        [run(), ended(), call(pieces=["t1:0", "t2:1"])], [run(), ended(), call(pieces=["t1:0", "t1:0"])],
        [run(), ended(), call(pieces=["t1:1"])], [run(), call()]],
    "bodies-are-whole": [
        [run(), ended(), call(body="t1:0")], [run(), ended(), call(body="t2:0|t2:1")],
        [run(call="other"), ended(), call()], [*ITEM, read([(1, "ran", "i0:0")])]],
    "workers-are-allowed": [[run(labels=["cpu"])]],
    "gone-workers-get-nothing": [[("worker-left", 100.0, {"worker": "w/1", "how": "left"}),
                                  ("send", 2400.0, {"worker": "w/1", "transaction": "t"})],
                                 [("worker-left", 100.0, {"worker": "w/1", "how": "dark", "untilMs": 5000.0}),
                                  ("send", 2400.0, {"worker": "w/1", "transaction": "t"})]],
    "versions-in-force": [[change("ok", 2), sample(2400.0, 1)], [sample(100.0, 2), sample(200.0, 1)]],
    "lost-changes-stay-lost": [[change("lost", 2, mark="x"), sample(100.0, 2, mark="x")],
                               [change("lost", 2), change("ok", 2)], [change("refused", 0, mark="x"), sample(100.0, 2, mark="x")],
                               [change("doubt", 0, mark="x"), change("lost", 2, mark="x"), sample(100.0, 2, mark="x")]],
    "accepted-is-kept": [[hand_in(), read([], 118.0, "missing")], [read([(1, "ran", "a"), (0, "ran", "b")])],
                         [read([(0, "mayHaveRun", "a")]), read([(0, "mayHaveRun", "b")], 600.0)],
                         [read([(0, "mayHaveRun", "a")], start=1)]],
    "kept-at-the-end": [[hand_in(), ("final", 9000.0, {"lot": "l", "outcome": "missing", "listed": 0})],
                        [hand_in(), hand_in(lot="m"), ("final", 9000.0, {"lot": "l", "outcome": "known", "listed": 1})],
                        [hand_in(), read([(0, "mayHaveRun", "a")]),
                         ("final", 9000.0, {"lot": "l", "outcome": "known", "listed": 0})]],
    "ended-lots-stop": [[("end", 100.0, {"lot": "l"}), run("i", 3400.0, lot="l", index=1)]],
    "waiting-room-is-exact": [[("room", 200.0, {"store": "s", "path": "p", "epoch": 1, "used": 4})],
                              [hand_in(lot=name) for name in "abcd"] + [read([], 300.0, lot=name) for name in "abcd"]],
    "keys-one-body": [[run(key="k"), ended(), call(key="k"), call(key="k", call="call2", body="t9:0")],
                      [run(key="k", asked="a"), ended(), call(key="k", asked="b")]],
    "changes-kept": [[change("ok", 2), ("final-change", 900.0, {"mark": "m", "outcome": "lost", "version": 3})]],
    "live-in-time": [[call(answeredMs=2500.0)], [call(answeredMs=0.0, outcome="none")],
                     [call(verdict="notRun", code="late"), ("capacity", 100.0, {"free": 0.9})]],
    "lots-in-time": [[("lot-done", 10_400.0, {"lot": "l", "fromMs": 100.0})]],
    "service-resumes": [[("probe", 1.0, {"what": "live", "worked": False, "afterMs": 12000.0, "seen": "lost"})]]}


def history(rows):
    made = History(allowed=["gpu"], room=3, limitsMs={"p": 2000})
    for kind, atMs, fields in sorted(rows, key=lambda row: row[1]):
        made.add(kind, atMs, **fields)
    return made


class OracleTest(TestCase):
    def test_clean_history(self):
        self.assertThat(judge(history(CLEAN), due=RULES), Equals({}))

    def test_nothing_to_judge_is_a_failure_where_some_is_due(self):
        for name in RULES:
            self.assertThat(sorted(judge(history([]), due=[name])), Equals([name]))

    def test_each_rule_catches_what_breaks_it(self):
        self.assertThat(sorted(BROKEN), Equals(sorted(RULES)))
        for name, histories in BROKEN.items():
            for place, rows in enumerate(histories):
                self.assertThat(name in judge(history(rows)), Equals(True), f"{name}, history {place}")
