"""Rules about requests, as the platform's page of rules has them.

Each takes a history and returns how many rows it judged and the breaches it found; what counts is
what clients and workers saw on their sockets.
"""

from collections import defaultdict
from typing import Any

from simulator.history import History

from platform_testbed.live_clients import NOT_RUN_STATUSES
from platform_testbed.reachability import Touch, of_tries
from platform_testbed.site import allowed_services

__all__ = [
    "denied",
    "drained",
    "held",
    "lost_requests",
    "mixed",
    "order",
    "refused",
    "route",
    "runs_by_id",
    "twice",
    "unasked",
]

Found = tuple[int, list[str]]
_GIVEN_UP = (429, 502, 503, 504)


def runs_by_id(history: History) -> dict[str, list[dict[str, Any]]]:
    """Return all runs by the id of their request."""
    found: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for run in history.rows_of("run"):
        found[run["id"]].append(run)
    return found


def _named(row: dict[str, Any]) -> str:
    return (
        f"{row['of']} {row['id']} at {row['node']} ({row['sent_ms']:.0f}-{row['ended_ms']:.0f} ms)"
    )


def mixed(history: History) -> Found:
    """A success is the whole answer of a worker that ran the request, with its seal."""
    runs, judged, found = runs_by_id(history), 0, []
    for row in of_tries(history):
        mine = runs.get(row["id"], [])
        if row["status"] and row["id_back"] not in ("", row["id"]):
            found.append(f"{_named(row)}: the answer to {row['id_back']}")
        if row["how"] == "garbled" and not any(run["state"] == "garbled" for run in mine):
            found.append(f"{_named(row)}: no answer in the protocol")
        if not 200 <= row["status"] < 300:
            continue
        judged += 1
        reason = _success(row, mine)
        if reason:
            found.append(f"{_named(row)}: {reason}")
    return judged, found


def _success(row: dict[str, Any], mine: list[dict[str, Any]]) -> str:
    first = next((run for run in mine if run.get("seal") == row["seal"]), None)
    if not row["seal"] or first is None:
        return f"a success without its worker's seal ({row['seal'] or 'none'})"
    if row["encoded"]:
        return "an encoded body"
    if row["route_type"] == "streaming":
        return _pieces(row, mine)
    if row["how"] == "answered" and (
        first["state"] != "finished" or not row["complete"] or row["body"] != first["body"]
    ):
        return f"not the worker's whole body (the run is {first['state']})"
    return ""


def _pieces(row: dict[str, Any], mine: list[dict[str, Any]]) -> str:
    by_tag = {run["run"]: run for run in mine}
    for number, data, _ in row["events"]:
        if number == -1 and row["how"] != "answered":
            continue
        name, tag, place, *_ = [*data.split("/"), "", "", ""]
        if (
            name != row["id"]
            or tag not in by_tag
            or place != str(number)
            or number not in by_tag[tag]["events"]
        ):
            return f"event {number} is no worker's: {data[:60]!r}"
    return ""


def order(history: History) -> Found:
    """A stream's events come in order and without gaps, and are all there if it ended well."""
    runs, judged, found = runs_by_id(history), 0, []
    for row in of_tries(history):
        if row["route_type"] != "streaming" or row["status"] != 200:
            continue
        judged += 1
        reason = sequence(
            [(number, data) for number, data, _ in row["events"] if number != -1],
            runs.get(row["id"], []),
            row["after"],
            row["first_event"],
            row["wanted"] if row["how"] == "answered" else None,
        )
        if (
            not reason
            and row["how"] == "answered"
            and any(number == -1 for number, _, _ in row["events"])
        ):
            reason = "ends as complete within an event"
        if reason:
            found.append(f"{_named(row)}: {reason}")
    return judged, found


def sequence(
    events: list[tuple[int, str]],
    runs: list[dict[str, Any]],
    after: int | None,
    first: int,
    wanted: int | None,
) -> str:
    """Return why events are not one whole text in order; empty if they are.

    `wanted` is how many there are, if the text is to be complete.
    """
    by_tag = {run["run"]: run for run in runs}
    following = first if after is None else after + 1
    before = ""
    for number, data in events:
        tag = data.split("/")[1] if data.count("/") > 1 else ""
        if number != following:
            return f"event {number} where {following} was due"
        if tag != before:
            asked = by_tag[tag]["after"] if tag in by_tag else None
            started = first if asked is None else asked + 1
            if tag in by_tag and started != number:
                return f"event {number} comes of a run that was asked for from {started} on"
        before, following = tag, number + 1
    if wanted is not None and following != first + wanted:
        return f"complete with its last event {following - 1} instead of {first + wanted - 1}"
    return ""


def unasked(history: History) -> Found:
    """A worker runs only requests that a client sent, as they were sent."""
    asked = {
        row["id"]: (row["method"], row["target"], row["digest"]) for row in history.rows_of("try")
    }
    for job in history.rows_of("lot"):
        asked |= {
            name: ("POST", item["path"], item["digest"]) for name, item in job["items"].items()
        }
    runs = history.rows_of("run")
    return len(runs), [
        f"{run['server']} ran {run['id'] or 'nothing'}: {run['method']} {run['target']} "
        f"{run['digest']}, asked "
        f"{asked.get(run['id'])}"
        for run in runs
        if asked.get(run["id"]) != (run["method"], run["target"], run["digest"])
    ]


def twice(history: History) -> Found:
    """A request that isn't safe to repeat runs at most once."""
    runs = runs_by_id(history)
    once = [row for row in of_tries(history) if not row["repeatable"]]
    return (
        sum(bool(runs.get(row["id"])) for row in once),
        [
            f"{_named(row)} ran {len(runs[row['id']])} times"
            for row in once
            if len(runs.get(row["id"], [])) > 1
        ],
    )


def refused(history: History) -> Found:
    """A request that isn't safe to repeat and was refused never ran."""
    runs = runs_by_id(history)
    told = [
        row
        for row in of_tries(history)
        if not row["repeatable"] and row["status"] in NOT_RUN_STATUSES
    ]
    return len(told), [
        f"{_named(row)} was answered {row['status']} and ran" for row in told if runs.get(row["id"])
    ]


def denied(history: History) -> Found:
    """Hardly any valid request is denied by the system itself.

    Up to 5 and a five-hundredth of all are tolerated.
    """
    touch = Touch(history)
    proper = [
        row
        for row in of_tries(history)
        if not row["probe"] and touch.machine(row["node"], row["sent_ms"], row["ended_ms"])
    ]
    bad = [
        row
        for row in proper
        if 300 <= row["status"] < 500 and row["status"] not in NOT_RUN_STATUSES and not row["seal"]
    ]
    return len(proper), [f"{_named(row)} was answered {row['status']}" for row in bad] if len(
        bad
    ) > 5 + len(proper) / 500 else []


def route(history: History) -> Found:
    """Only a service that some configuration ever sent allows runs a request."""
    sent = [row["settings"] for row in history.rows_of("order")]
    found = []
    for run in history.rows_of("run"):
        services = set().union(
            *[allowed_services(settings, run["host"], run["target"]) or set() for settings in sent]
        )
        if run["service"] not in services:
            found.append(
                f"{run['server']} of {run['service']} ran {run['host']}{run['target']}, allowed "
                f"{sorted(services)}"
            )
    return len(history.rows_of("run")), found


def drained(history: History) -> Found:
    """A worker gets nothing later than `drainMs` after its leave was acknowledged.

    What the worker refused as meant for another one doesn't count.
    """
    touch, slack_ms = Touch(history), history.settings["timing"]["drainMs"]
    acked: dict[str, float] = {}
    for row in history.rows_of("drain-ack"):
        if touch.machine(row.get("node", ""), row["at_ms"]):
            acked.setdefault(row["server"], row["at_ms"])
    nodes = {row["id"]: row for row in history.rows_of("try")}
    away = {
        (row["id"], row["server"], row["came_ms"])
        for row in history.rows_of("turned-away")
        if row["status"] == 421
    }
    found = []
    for row in history.rows_of("arrival"):
        late_ms = row["at_ms"] - acked.get(row["server"], float("inf")) - slack_ms
        mine = nodes.get(row["id"])
        calm = (
            touch.machine(mine["node"], mine["sent_ms"], row["at_ms"])
            if mine
            else touch.calm(row["at_ms"])
        )
        if late_ms > 0 and calm and (row["id"], row["server"], row["at_ms"]) not in away:
            found.append(f"{row['server']} got {row['id']} {late_ms:.0f} ms too late")
    return len(acked), found


def lost_requests(history: History) -> Found:
    """Around planned stops and signals, a request that was read gets its whole answer."""
    touch, runs, timing = Touch(history), runs_by_id(history), history.settings["timing"]
    arrived = {row["id"] for row in history.rows_of("arrival")}
    grace_ms = timing["graceS"] * 1000
    hang_ups = [(row["node"], row["at_ms"]) for row in history.rows_of("hang-up")]
    judged, found = 0, []
    for row in of_tries(history):
        stops = [
            at_ms
            for node, at_ms in hang_ups
            if node == row["node"]
            and row["sent_ms"] < at_ms + timing["applyMs"]
            and row["ended_ms"] > at_ms
        ]
        stops += [
            at_ms
            for at_ms in touch.planned(row["node"])
            if row["sent_ms"] <= at_ms + grace_ms + 1000 and row["ended_ms"] >= at_ms
        ]
        if not stops or row["left"] or touch.unplanned(row["sent_ms"], row["ended_ms"]):
            continue
        judged += 1
        mine = runs.get(row["id"], [])
        passed_on = row["id"] in arrived or row["ended_ms"] - row["sent_ms"] > timing["lossSlackMs"]
        by_worker = any(
            run["state"] in ("broken", "garbled", "late")
            or run["over_ms"] > stops[0] + grace_ms / 2
            for run in mine
        )
        if (
            row["how"] == "cut"
            and passed_on
            and not by_worker
            and row["ended_ms"] < row["sent_ms"] + 0.95 * row["deadline_ms"]
        ):
            found.append(f"{_named(row)} was cut, though its machine was to stop in order")
    return judged, found


def held(history: History) -> Found:
    """A rule of the project's own: a request that is given up is answered at once.

    A refusal that met no worker must not come in the last half of the time there was, and a failure
    comes soon after the last worker was done with it.
    """
    touch, runs = Touch(history), runs_by_id(history)
    arrived: dict[str, list[float]] = defaultdict(list)
    for row in [*history.rows_of("arrival"), *history.rows_of("turned-away")]:
        arrived[row["id"]].append(row["at_ms"])
    judged, found = 0, []
    for row in of_tries(history):
        if (
            row["probe"]
            or row["how"] != "answered"
            or row["status"] not in _GIVEN_UP
            or row["seal"]
            or not touch.machine(row["node"], row["sent_ms"])
        ):
            continue
        judged += 1
        mine = runs.get(row["id"], [])
        if any(run["state"] == "running" or run["over_ms"] > row["ended_ms"] for run in mine):
            continue
        last_ms = max(
            [row["sent_ms"], *arrived.get(row["id"], []), *[run["over_ms"] for run in mine]]
        )
        bound_ms = (0.5 if not mine else 0.25) * row["deadline_ms"]
        if row["ended_ms"] - last_ms > bound_ms and not _dark(history, mine, row):
            found.append(
                f"{_named(row)}: {row['status']} {row['ended_ms'] - last_ms:.0f} ms after "
                "anything was done for it"
            )
    return judged, found


def _dark(history: History, mine: list[dict[str, Any]], row: dict[str, Any]) -> bool:
    """Return whether a worker that the request had reached had fallen silent.

    Silence is no reason to end an answer sooner.
    """
    silent = {
        gone["server"]
        for gone in history.rows_of("worker-gone")
        if gone["how"] == "dark" and gone["at_ms"] <= row["ended_ms"]
    }
    reached = {seen["server"] for seen in history.rows_of("arrival") if seen["id"] == row["id"]}
    return bool(silent & (reached | {run["server"] for run in mine}))
