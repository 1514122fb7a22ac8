"""Hand-made histories for the oracle of the platform's days.

Each case has the rule, the rows, the number of rows that the rule judges and the number of breaches
that it finds.
"""

from platform_testbed.site import TIMING
from simulator.history import History

SETTINGS = {
    "revision": 3,
    "routes": [
        {"name": "a", "hostname": "h", "pathStart": "/a/", "backend": "s"},
        {
            "name": "b",
            "hostname": "h",
            "pathStart": "/a/b/",
            "shares": [{"backend": "s", "share": 0}, {"backend": "t", "share": 2}],
        },
    ],
    "backends": [{"name": "s"}, {"name": "t"}],
}


def history(rows):
    recorded = History(timing=TIMING, first_event=1)
    for kind, at_ms, fields in rows:
        recorded.add(kind, at_ms, **fields)
    return recorded


def start(node="e", of="edge", at_ms=-9000.0):
    return ("start", at_ms, {"node": node, "of": of, "life": 1})


def fault_span(at_ms, till_ms, node="e", of="edge", planned=False):
    return (
        "trouble",
        at_ms,
        {"node": node, "of": of, "what": "x", "planned": planned, "till_ms": till_ms},
    )


def attempt(at_ms=1000.0, ended_ms=1100.0, **fields):
    return (
        "try",
        at_ms,
        {
            "id": "t1",
            "request": "q1",
            "of": "k",
            "route_type": "non_idempotent",
            "repeatable": False,
            "host": "h",
            "method": "POST",
            "target": "/a/1",
            "digest": "d",
            "node": "e",
            "life": 1,
            "deadline_ms": 2000.0,
            "sent_ms": at_ms,
            "ended_ms": ended_ms,
            "how": "answered",
            "status": 200,
            "seal": "s",
            "id_back": "t1",
            "probe": False,
            "left": False,
            "encoded": False,
            "complete": True,
            "body": "",
            "events": [],
            "after": None,
            **fields,
        },
    )


def arrival(at_ms=1010.0, server="i", name="t1"):
    return ("arrival", at_ms, {"id": name, "server": server, "named": ""})


def run(at_ms=1020.0, **fields):
    return (
        "run",
        at_ms,
        {
            "id": "t1",
            "server": "i",
            "service": "s",
            "host": "h",
            "method": "POST",
            "target": "/a/1",
            "digest": "d",
            "after": None,
            "came_ms": 1010.0,
            "events": [],
            "made_ms": [],
            "over_ms": 1050.0,
            "run": "i.1",
            "seal": "s",
            "body": "",
            "state": "finished",
            **fields,
        },
    )


def order(revision=3, at_ms=0.0, answered_ms=50.0, **fields):
    return (
        "order",
        at_ms,
        {
            "name": f"o{revision}",
            "revision": revision,
            "base": revision - 1,
            "settings": {**SETTINGS, "revision": revision},
            "valid": True,
            "what": "add",
            "status": 200,
            "outcome": "acked",
            "acked_ms": answered_ms,
            "answered_ms": answered_ms,
            **fields,
        },
    )


def request(at_ms, *attempts):
    return ("request", at_ms, {"name": "q", "of": "k", "leaves": False, "tries": list(attempts)})


SUCCESS = {"how": "answered", "status": 200}
PLANNED_STOP = [start(), fault_span(950.0, 2000.0, planned=True)]
CUT_OFF = {"how": "cut", "status": 0, "seal": ""}
FIRST_SETTINGS = order(settings={**SETTINGS, "routes": SETTINGS["routes"][:1]})
MANY_ROUTES = order(
    4,
    settings={
        **SETTINGS,
        "revision": 4,
        "routes": SETTINGS["routes"][:1]
        + [
            {"name": f"x{number}", "hostname": "h", "pathStart": f"/x{number}/", "backend": "s"}
            for number in range(24)
        ],
    },
)
ATTEMPTS_ON_MANY_ROUTES = [
    attempt(at_ms=3000.0, ended_ms=3010.0, target=f"/x{number}/1") for number in range(24)
]
CASES = [  # rule, rows, judged, breaches
    ("LOST", [*PLANNED_STOP, attempt(**CUT_OFF), arrival()], 1, 1),
    ("LOST", [*PLANNED_STOP, attempt(ended_ms=1500.0, **CUT_OFF)], 1, 1),
    ("LOST", [*PLANNED_STOP, attempt(**CUT_OFF)], 1, 0),
    ("LOST", [*PLANNED_STOP, attempt(**CUT_OFF), arrival(), run(state="broken")], 1, 0),
    (
        "LOST",
        [*PLANNED_STOP, attempt(**CUT_OFF), arrival(), run(state="running", over_ms=950.0 + 5000)],
        1,
        0,
    ),
    ("LOST", [*PLANNED_STOP, attempt(ended_ms=2990.0, **CUT_OFF), arrival()], 1, 0),
    ("LOST", [*PLANNED_STOP, fault_span(500.0, 600.0, "f"), attempt(**CUT_OFF), arrival()], 0, 0),
    ("LOST", [start(), attempt(**CUT_OFF), arrival()], 0, 0),
    (
        "RECOVER",
        [
            ("back", 0.0, {}),
            *[request(13_000.0 + number, {"how": "cut", "status": 0}) for number in range(4)],
        ],
        4,
        1,
    ),
    (
        "RECOVER",
        [
            ("back", 0.0, {}),
            request(13_000.0, SUCCESS),
            *[request(13_000.0 + number) for number in range(3)],
        ],
        4,
        0,
    ),
    ("RECOVER", [("back", 0.0, {}), *[request(11_000.0 + number) for number in range(4)]], 0, 0),
    ("ACKS", [order(answered_ms=4500.0)], 1, 1),
    ("ACKS", [order(answered_ms=400.0)], 1, 0),
    ("ACKS", [order(outcome="unclear", answered_ms=20_000.0)], 1, 1),
    ("ACKS", [fault_span(100.0, 200.0, "c", "core"), order(answered_ms=4500.0)], 0, 0),
    ("ACKS", [("worker-gone", 9000.0, {"server": "i", "how": "left", "acked": False})], 1, 1),
    ("FAULT", [start(), ("own-end", 10.0, {"node": "e", "code": -9, "life": 1})], 1, 1),
    ("FAULT", [start(), ("grace-over", 10.0, {"node": "e"})], 1, 1),
    ("HELD", [start(), attempt(ended_ms=2500.0, status=503, seal="")], 1, 1),
    ("HELD", [start(), attempt(ended_ms=1300.0, status=503, seal="")], 1, 0),
    (
        "HELD",
        [start(), attempt(ended_ms=1800.0, status=502, seal=""), arrival(), run(state="broken")],
        1,
        1,
    ),
    (
        "HELD",
        [start(), attempt(ended_ms=1100.0, status=502, seal=""), arrival(), run(state="broken")],
        1,
        0,
    ),
    (
        "HELD",
        [
            start(),
            attempt(ended_ms=2900.0, status=504, seal=""),
            arrival(),
            run(state="running", over_ms=0.0),
        ],
        1,
        0,
    ),
    (
        "HELD",
        [
            start(),
            attempt(ended_ms=2900.0, status=504, seal=""),
            arrival(),
            ("worker-gone", 1100.0, {"server": "i", "how": "dark"}),
            run(state="dropped"),
        ],
        1,
        0,
    ),
    ("REFUSED", [attempt(status=503, seal=""), run()], 1, 1),
    ("REFUSED", [attempt(status=503, seal="", repeatable=True), run()], 0, 0),
    ("TWICE", [attempt(), run(), run(run="i.2")], 1, 1),
    ("TWICE", [attempt(repeatable=True), run(), run(run="i.2")], 0, 0),
    ("MIXED", [attempt(), run()], 1, 0),
    ("MIXED", [attempt(), run(body="other")], 1, 1),
    ("MIXED", [attempt(), run(state="error")], 1, 1),
    ("MIXED", [attempt(), run(seal="z")], 1, 1),
    ("MIXED", [attempt(how="garbled", status=0)], 0, 1),
    ("MIXED", [attempt(how="garbled", status=0), run(state="garbled")], 0, 0),
    (
        "DRAIN",
        [
            start(),
            ("drain-ack", 500.0, {"server": "i", "node": "c"}),
            attempt(at_ms=2600.0, ended_ms=2700.0),
            arrival(2610.0),
        ],
        1,
        1,
    ),
    (
        "DRAIN",
        [
            start(),
            ("drain-ack", 500.0, {"server": "i", "node": "c"}),
            attempt(at_ms=2300.0, ended_ms=2400.0),
            arrival(2310.0),
        ],
        1,
        0,
    ),
    (
        "DRAIN",
        [
            start(),
            fault_span(2000.0, 2100.0),
            ("drain-ack", 500.0, {"server": "i", "node": "c"}),
            attempt(at_ms=2600.0, ended_ms=2700.0),
            arrival(2610.0),
        ],
        1,
        0,
    ),
    (
        "CONFIG in force",
        [start(), order(), attempt(status=404, seal="", at_ms=3000.0, ended_ms=3010.0)],
        1,
        1,
    ),
    (
        "CONFIG in force",
        [
            start(),
            order(),
            attempt(status=404, seal="", target="/c/", at_ms=3000.0, ended_ms=3010.0),
        ],
        1,
        0,
    ),
    (
        "CONFIG in force",
        [
            start(),
            order(),
            attempt(at_ms=3000.0, ended_ms=3010.0, target="/a/b/1"),
            run(service="s"),
        ],
        1,
        1,
    ),
    (
        "CONFIG in force",
        [
            start(),
            order(),
            attempt(at_ms=3000.0, ended_ms=3010.0, target="/a/b/1"),
            run(service="t"),
        ],
        1,
        0,
    ),
    (
        "CONFIG later routes",
        [
            start(),
            FIRST_SETTINGS,
            MANY_ROUTES,
            attempt(at_ms=3000.0, ended_ms=3010.0),
            *ATTEMPTS_ON_MANY_ROUTES,
        ],
        24,
        0,
    ),
    (
        "CONFIG later routes",
        [
            start(),
            FIRST_SETTINGS,
            MANY_ROUTES,
            attempt(at_ms=3000.0, ended_ms=3010.0),
            *[
                (kind, at_ms, {**row, "status": 503})
                for kind, at_ms, row in ATTEMPTS_ON_MANY_ROUTES
            ],
        ],
        24,
        1,
    ),
    ("LOST", [start(), ("hang-up", 1050.0, {"node": "e"}), attempt(**CUT_OFF), arrival()], 1, 1),
    ("CONFIG losers", [order(), order(4, base=2)], 0, 1),
    ("CONFIG losers", [order(), order(9, valid=False)], 1, 1),
    (
        "CONFIG losers",
        [order(), order(9, outcome="refused"), ("read-back", 9.0, {"settings": {"revision": 9}})],
        1,
        1,
    ),
    ("CONFIG read back", [order(), ("read-back", 9.0, {"settings": {**SETTINGS}})], 1, 0),
    ("CONFIG read back", [order(), ("read-back", 9.0, {"settings": None})], 1, 1),
    ("CONFIG read back", [order(), order(5), ("read-back", 9.0, {"settings": {**SETTINGS}})], 1, 1),
    (
        "CONFIG read back",
        [order(), ("read-back", 9.0, {"settings": {**SETTINGS, "routes": []}})],
        1,
        1,
    ),
]
