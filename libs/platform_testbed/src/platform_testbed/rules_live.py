"""The platform's rules about live requests.

Each rule takes a history and returns a RuleResult: the number of rows that it judged and the
breaches that it found. Only what clients and workers saw on their sockets counts.
"""

from collections import defaultdict
from typing import Any

from simulator.history import History

from platform_testbed.live_clients import NOT_RUN_STATUSES
from platform_testbed.reachability import Reachability, sent_attempts
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

RuleResult = tuple[int, list[str]]
_FAILURE_STATUSES = (429, 502, 503, 504)


def runs_by_id(history: History) -> dict[str, list[dict[str, Any]]]:
    """Return all runs by the id of their request."""
    runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for run in history.rows_of("run"):
        runs[run["id"]].append(run)
    return runs


def _describe(row: dict[str, Any]) -> str:
    return (
        f"{row['of']} {row['id']} at {row['node']} ({row['sent_ms']:.0f}-{row['ended_ms']:.0f} ms)"
    )


def mixed(history: History) -> RuleResult:
    """A success is the complete answer of a worker that ran the request, with its seal."""
    runs, judged, breaches = runs_by_id(history), 0, []
    for row in sent_attempts(history):
        request_runs = runs.get(row["id"], [])
        if row["status"] and row["id_back"] not in ("", row["id"]):
            breaches.append(f"{_describe(row)}: got the answer to {row['id_back']}")
        if row["how"] == "garbled" and not any(run["state"] == "garbled" for run in request_runs):
            breaches.append(f"{_describe(row)}: the answer is not valid HTTP")
        if not 200 <= row["status"] < 300:
            continue
        judged += 1
        reason = _check_success(row, request_runs)
        if reason:
            breaches.append(f"{_describe(row)}: {reason}")
    return judged, breaches


def _check_success(row: dict[str, Any], request_runs: list[dict[str, Any]]) -> str:
    first = next((run for run in request_runs if run.get("seal") == row["seal"]), None)
    if not row["seal"] or first is None:
        return f"a success without its worker's seal ({row['seal'] or 'none'})"
    if row["encoded"]:
        return "the body has a content encoding"
    if row["route_type"] == "streaming":
        return _check_events(row, request_runs)
    if row["how"] == "answered" and (
        first["state"] != "finished" or not row["complete"] or row["body"] != first["body"]
    ):
        return f"not the worker's complete body (state of the run: {first['state']})"
    return ""


def _check_events(row: dict[str, Any], request_runs: list[dict[str, Any]]) -> str:
    by_tag = {run["run"]: run for run in request_runs}
    for number, data, _ in row["events"]:
        if number == -1 and row["how"] != "answered":
            continue
        name, tag, event_number, *_ = [*data.split("/"), "", "", ""]
        if (
            name != row["id"]
            or tag not in by_tag
            or event_number != str(number)
            or number not in by_tag[tag]["events"]
        ):
            return f"event {number} was produced by no worker: {data[:60]!r}"
    return ""


def order(history: History) -> RuleResult:
    """A stream's events come in order and without gaps, and are complete if the stream is."""
    runs, judged, breaches = runs_by_id(history), 0, []
    for row in sent_attempts(history):
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
            reason = "the stream ends regularly in the middle of an event"
        if reason:
            breaches.append(f"{_describe(row)}: {reason}")
    return judged, breaches


def sequence(
    events: list[tuple[int, str]],
    runs: list[dict[str, Any]],
    after: int | None,
    first: int,
    wanted: int | None,
) -> str:
    """Return why events are not one gapless stream; an empty string if they are.

    Parameters
    ----------
    events
        Numbers and data of the events as they were received.
    runs
        Runs of the request. Where the events of one run follow those of another, the later run must
        have been asked to start at exactly that event.
    after
        Number of the event after which the client asked the stream to resume; None for the start.
    first
        Number of a stream's first event.
    wanted
        Number of events of the complete stream; None if it may end early.
    """
    by_tag = {run["run"]: run for run in runs}
    expected = first if after is None else after + 1
    before = ""
    for number, data in events:
        tag = data.split("/")[1] if data.count("/") > 1 else ""
        if number != expected:
            return f"event {number} where {expected} was expected"
        if tag != before:
            resumed_after = by_tag[tag]["after"] if tag in by_tag else None
            started = first if resumed_after is None else resumed_after + 1
            if tag in by_tag and started != number:
                return f"event {number} comes from a run that was asked to start at {started}"
        before, expected = tag, number + 1
    if wanted is not None and expected != first + wanted:
        return f"ends regularly after event {expected - 1} instead of {first + wanted - 1}"
    return ""


def unasked(history: History) -> RuleResult:
    """A worker runs only requests that a client sent, with method, target and body unchanged."""
    sent = {
        row["id"]: (row["method"], row["target"], row["digest"]) for row in history.rows_of("try")
    }
    for job in history.rows_of("lot"):
        sent |= {
            name: ("POST", item["path"], item["digest"]) for name, item in job["items"].items()
        }
    runs = history.rows_of("run")
    return len(runs), [
        f"{run['server']} ran {run['id'] or 'a request without an id'}: {run['method']} "
        f"{run['target']} {run['digest']}, the client sent "
        f"{sent.get(run['id'])}"
        for run in runs
        if sent.get(run["id"]) != (run["method"], run["target"], run["digest"])
    ]


def twice(history: History) -> RuleResult:
    """A request that isn't safe to repeat runs at most once."""
    runs = runs_by_id(history)
    unsafe_attempts = [row for row in sent_attempts(history) if not row["repeatable"]]
    return (
        sum(bool(runs.get(row["id"])) for row in unsafe_attempts),
        [
            f"{_describe(row)} ran {len(runs[row['id']])} times"
            for row in unsafe_attempts
            if len(runs.get(row["id"], [])) > 1
        ],
    )


def refused(history: History) -> RuleResult:
    """A request that isn't safe to repeat never ran if its status promised that it didn't."""
    runs = runs_by_id(history)
    refusals = [
        row
        for row in sent_attempts(history)
        if not row["repeatable"] and row["status"] in NOT_RUN_STATUSES
    ]
    return len(refusals), [
        f"{_describe(row)} was answered {row['status']} and ran"
        for row in refusals
        if runs.get(row["id"])
    ]


def denied(history: History) -> RuleResult:
    """Almost no valid request gets a 3xx or 4xx answer from the system itself.

    Answers of workers and statuses that promise a retry don't count. Up to 5 plus one in 500 of
    the requests judged are tolerated.
    """
    reachability = Reachability(history)
    valid_attempts = [
        row
        for row in sent_attempts(history)
        if not row["probe"]
        and reachability.in_contact(row["node"], row["sent_ms"], row["ended_ms"])
    ]
    denials = [
        row
        for row in valid_attempts
        if 300 <= row["status"] < 500 and row["status"] not in NOT_RUN_STATUSES and not row["seal"]
    ]
    return len(valid_attempts), [
        f"{_describe(row)} was answered {row['status']}" for row in denials
    ] if len(denials) > 5 + len(valid_attempts) / 500 else []


def route(history: History) -> RuleResult:
    """A request is run only by a service that some configuration ever sent allows for it."""
    sent = [row["settings"] for row in history.rows_of("order")]
    breaches = []
    for run in history.rows_of("run"):
        services = set().union(
            *[allowed_services(settings, run["host"], run["target"]) or set() for settings in sent]
        )
        if run["service"] not in services:
            breaches.append(
                f"{run['server']} of {run['service']} ran {run['host']}{run['target']}, allowed "
                f"are {sorted(services)}"
            )
    return len(history.rows_of("run")), breaches


def drained(history: History) -> RuleResult:
    """A worker gets no request later than `drainMs` after its draining was acknowledged.

    Requests that the worker rejected as meant for another one (421) don't count.
    """
    reachability, slack_ms = Reachability(history), history.settings["timing"]["drainMs"]
    acked: dict[str, float] = {}
    for row in history.rows_of("drain-ack"):
        if reachability.in_contact(row.get("node", ""), row["at_ms"]):
            acked.setdefault(row["server"], row["at_ms"])
    attempts = {row["id"]: row for row in history.rows_of("try")}
    misrouted = {
        (row["id"], row["server"], row["came_ms"])
        for row in history.rows_of("turned-away")
        if row["status"] == 421
    }
    breaches = []
    for row in history.rows_of("arrival"):
        late_ms = row["at_ms"] - acked.get(row["server"], float("inf")) - slack_ms
        attempt = attempts.get(row["id"])
        in_contact = (
            reachability.in_contact(attempt["node"], attempt["sent_ms"], row["at_ms"])
            if attempt
            else reachability.all_in_contact(row["at_ms"])
        )
        if late_ms > 0 and in_contact and (row["id"], row["server"], row["at_ms"]) not in misrouted:
            breaches.append(f"{row['server']} got {row['id']} {late_ms:.0f} ms too late")
    return len(acked), breaches


def lost_requests(history: History) -> RuleResult:
    """Around planned stops and reloads of settings, no request that was read is cut off.

    Requests cut by their worker, by their deadline or during an unplanned fault don't count.
    """
    reachability, runs, timing = (
        Reachability(history),
        runs_by_id(history),
        history.settings["timing"],
    )
    arrived = {row["id"] for row in history.rows_of("arrival")}
    grace_ms = timing["graceS"] * 1000
    hang_ups = [(row["node"], row["at_ms"]) for row in history.rows_of("hang-up")]
    judged, breaches = 0, []
    for row in sent_attempts(history):
        stops = [
            at_ms
            for node, at_ms in hang_ups
            if node == row["node"]
            and row["sent_ms"] < at_ms + timing["applyMs"]
            and row["ended_ms"] > at_ms
        ]
        stops += [
            at_ms
            for at_ms in reachability.planned_stop_times(row["node"])
            if row["sent_ms"] <= at_ms + grace_ms + 1000 and row["ended_ms"] >= at_ms
        ]
        if (
            not stops
            or row["left"]
            or reachability.has_unplanned_fault(row["sent_ms"], row["ended_ms"])
        ):
            continue
        judged += 1
        request_runs = runs.get(row["id"], [])
        passed_on = row["id"] in arrived or row["ended_ms"] - row["sent_ms"] > timing["lossSlackMs"]
        by_worker = any(
            run["state"] in ("broken", "garbled", "late")
            or run["over_ms"] > stops[0] + grace_ms / 2
            for run in request_runs
        )
        if (
            row["how"] == "cut"
            and passed_on
            and not by_worker
            and row["ended_ms"] < row["sent_ms"] + 0.95 * row["deadline_ms"]
        ):
            breaches.append(
                f"{_describe(row)} was cut off during a planned stop or a reload of its machine"
            )
    return judged, breaches


def held(history: History) -> RuleResult:
    """A rule of the project's own: a request that is given up is answered promptly.

    A failure must come within half of the request's deadline after the request was sent or last
    reached a worker, if no worker ran it, and within a quarter of it after the last run ended
    otherwise.
    """
    reachability, runs = Reachability(history), runs_by_id(history)
    arrived: dict[str, list[float]] = defaultdict(list)
    for row in [*history.rows_of("arrival"), *history.rows_of("turned-away")]:
        arrived[row["id"]].append(row["at_ms"])
    judged, breaches = 0, []
    for row in sent_attempts(history):
        if (
            row["probe"]
            or row["how"] != "answered"
            or row["status"] not in _FAILURE_STATUSES
            or row["seal"]
            or not reachability.in_contact(row["node"], row["sent_ms"])
        ):
            continue
        judged += 1
        request_runs = runs.get(row["id"], [])
        if any(
            run["state"] == "running" or run["over_ms"] > row["ended_ms"] for run in request_runs
        ):
            continue
        last_ms = max(
            [row["sent_ms"], *arrived.get(row["id"], []), *[run["over_ms"] for run in request_runs]]
        )
        bound_ms = (0.5 if not request_runs else 0.25) * row["deadline_ms"]
        if row["ended_ms"] - last_ms > bound_ms and not _reached_hung_worker(
            history, request_runs, row
        ):
            breaches.append(
                f"{_describe(row)}: {row['status']} {row['ended_ms'] - last_ms:.0f} ms after "
                "the last work on it"
            )
    return judged, breaches


def _reached_hung_worker(
    history: History, request_runs: list[dict[str, Any]], row: dict[str, Any]
) -> bool:
    """Return whether the request had reached a worker that hung by the end of the attempt.

    The edge need not give up on a hung worker before the request's deadline.
    """
    silent = {
        gone["server"]
        for gone in history.rows_of("worker-gone")
        if gone["how"] == "dark" and gone["at_ms"] <= row["ended_ms"]
    }
    reached = {seen["server"] for seen in history.rows_of("arrival") if seen["id"] == row["id"]}
    return bool(silent & (reached | {run["server"] for run in request_runs}))
