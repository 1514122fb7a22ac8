"""Rules about requests: how often they ran, what clients were told, and what they received.

Each rule takes a history and returns how many rows it judged and the breaches it found.
"""

from collections import defaultdict
from typing import Any

from simulator.history import History, RowKind

__all__ = [
    "bodies",
    "gone_workers",
    "keys_one_body",
    "live_in_time",
    "not_run_but_ran",
    "streams",
    "unsafe_twice",
    "workers_allowed",
]

SLACK_MS = 250.0
Found = tuple[int, list[str]]


def unsafe_twice(history: History) -> Found:
    """A request that isn't safe to repeat runs at most once."""
    runs: dict[str, list[str]] = defaultdict(list)
    for run in history.rows_of(RowKind.RUN):
        if not run["safe"]:
            runs[run["key"] or f"{run['lot']}#{run['index']}"].append(run["transaction"])
    return len(runs), [
        f"{name} ran {len(found)} times: {found}" for name, found in runs.items() if len(found) > 1
    ]


def not_run_but_ran(history: History) -> Found:
    """A request that was reported not run never ran.

    Runs are found by the call's name, which reaches the worker in the prompt, by its key, and by
    the batch.
    """
    ran = {run["call"] for run in history.rows_of(RowKind.RUN)}
    told = [call for call in history.rows_of(RowKind.CALL) if call["verdict"] == "not_run"]
    found = [f"{call['call']} was told not_run and ran" for call in told if call["call"] in ran]
    by_key = {run["key"]: run["at_ms"] for run in history.rows_of(RowKind.RUN) if run["key"]}
    found += [
        f"key {call['key']} was told not_run at {call['answered_ms']} after it had run"
        for call in told
        if call["key"] in by_key
        and by_key[call["key"]] < call["answered_ms"]
        and call["code"] != "key-reused"
    ]
    tries: dict[str, list[str]] = defaultdict(list)
    for row in history.rows_of(RowKind.SUBMISSION):
        tries[row["lot"]].append(row["verdict"])
    refused = [job for job, verdicts in tries.items() if set(verdicts) == {"not_run"}]
    jobs = {run["lot"] for run in history.rows_of(RowKind.RUN) if run["lot"]}
    found += [f"{job} was refused at every try and ran" for job in refused if job in jobs]
    return len(told) + len(refused), found


def streams(history: History) -> Found:
    """A stream has the events of one run, in order and, if it ended well, all of them."""
    ended = {row["transaction"]: row["event_count"] for row in history.rows_of(RowKind.RUN_ENDED)}
    found, judged = [], 0
    for call in history.rows_of(RowKind.CALL):
        if not call["events"] and call["outcome"] not in ("finish", "cut"):
            continue
        judged += 1
        names = {text.partition(":")[0] for text in call["events"]}
        places = [int(text.partition(":")[2]) for text in call["events"]]
        if len(names) > 1:
            found.append(f"{call['call']}: events of {len(names)} runs")
        if places != list(range(len(places))):
            found.append(f"{call['call']}: events {places}")
        if call["outcome"] == "finish" and (
            call["transaction"] not in ended or len(places) != ended[call["transaction"]]
        ):
            found.append(f"{call['call']}: looked complete with {len(places)} events")
    return judged, found


def _whole(history: History) -> Any:
    ended = {row["transaction"]: row["event_count"] for row in history.rows_of(RowKind.RUN_ENDED)}

    def whole(text: str) -> str:
        parts = text.split("|")
        name = parts[0].partition(":")[0]
        return name if parts == [f"{name}:{place}" for place in range(ended.get(name, -1))] else ""

    return whole


def bodies(history: History) -> Found:
    """An answer or a result is the whole output of the run that it belongs to."""
    runs = {run["transaction"]: run for run in history.rows_of(RowKind.RUN)}
    found, judged, whole = [], 0, _whole(history)
    for call in history.rows_of(RowKind.CALL):
        if call["outcome"] in ("finish", "replay"):
            judged += 1
            name = whole(call["body"])
            if (
                not name
                or runs[name]["key"] != call["key"]
                or (not call["key"] and runs[name]["call"] != call["call"])
            ):
                found.append(f"{call['call']}: body {call['body']!r}")
    for read in history.rows_of(RowKind.READ):
        for index, outcome, text in read["results"]:
            if outcome == "ran":
                judged += 1
                name = whole(text)
                if not name or (runs[name]["lot"], runs[name]["index"]) != (read["lot"], index):
                    found.append(f"{read['lot']}#{index}: result {text!r}")
    return judged, found


def keys_one_body(history: History) -> Found:
    """A key is answered with one body for ever, and with the answer to what was asked."""
    runs = {run["transaction"]: run for run in history.rows_of(RowKind.RUN)}
    by_key: dict[str, str] = {}
    found, judged = [], 0
    for call in history.rows_of(RowKind.CALL):
        if not call["key"] or call["outcome"] not in ("finish", "replay"):
            continue
        judged += 1
        if by_key.setdefault(call["key"], call["body"]) != call["body"]:
            found.append(f"{call['call']}: key {call['key']} had another answer before")
        run = runs.get(call["body"].partition(":")[0])
        if run is not None and run["question"] != call["question"]:
            found.append(
                f"{call['call']}: asked {call['asked']!r}, answered what {run['asked']!r} got"
            )
    return judged, found


def workers_allowed(history: History) -> Found:
    """A request reaches only workers that its profile allows."""
    allowed = set(history.settings.get("allowed", ["gpu"]))
    runs = history.rows_of(RowKind.RUN)
    return len(runs), [
        f"{run['transaction']} reached {run['worker']}"
        for run in runs
        if not allowed & ({run["identity"]} | set(run["labels"]))
    ]


def gone_workers(history: History) -> Found:
    """A worker gets nothing once an edge has known for `force_ms` that it is gone.

    An edge knows from a leave that it took, a crash, or silence, which a worker that was only
    unreachable ends with its next heartbeat.
    """
    limit_ms = history.settings.get("force_ms", 2000) + SLACK_MS
    gone: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for row in history.rows_of(RowKind.WORKER_LEFT):
        gone[row["worker"]].append((row["at_ms"] + limit_ms, row.get("until_ms", 1e12)))
    found = [
        f"{row['transaction']} was sent to {row['worker']} after it was gone"
        for row in history.rows_of(RowKind.SENT)
        if any(from_ms < row["at_ms"] < to_ms for from_ms, to_ms in gone[row["worker"]])
    ]
    return len(history.rows_of(RowKind.WORKER_LEFT)), found


def _away(history: History) -> Any:
    rows: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for row in history.rows_of(RowKind.AWAY):
        rows[row["name"]].append((row["at_ms"], row["until_ms"]))

    def away(name: str, from_ms: float, to_ms: float) -> bool:
        return any(began_ms < to_ms and ended_ms > from_ms for began_ms, ended_ms in rows[name])

    return away


def live_in_time(history: History) -> Found:
    """An edge that stayed up answers within the path's limit, whatever it answers.

    Where no fault came before, no client is told `late`, `busy` or `no-worker` while at least half
    of all slots were free all the time.
    """
    limits = history.settings.get("limits_ms", {})
    away, rooms = _away(history), history.rows_of(RowKind.CAPACITY)
    faults = [row["at_ms"] for row in history.rows_of(RowKind.FAULT)]
    found, judged = [], 0
    for call in history.rows_of(RowKind.CALL):
        end_ms = call["answered_ms"] or call["at_ms"] + 8000
        if call["path"] not in limits or away(call["edge"], call["at_ms"], end_ms):
            continue
        judged += 1
        took_ms = end_ms - call["at_ms"]
        if took_ms > limits[call["path"]] + SLACK_MS:
            found.append(
                f"{call['call']} on {call['path']}: {call['outcome']} "
                f"{call['code']} after {took_ms:.0f} ms"
            )
        calm = not any(call["at_ms"] - 10_000 < at_ms < end_ms for at_ms in faults)
        if calm and call["code"] in ("late", "busy", "no-worker"):
            free = [row["free"] for row in rooms if call["at_ms"] - 1500 <= row["at_ms"] <= end_ms]
            if free and min(free) > 0.5:
                found.append(
                    f"{call['call']} on {call['path']}: {call['code']} "
                    "though half of all slots were free"
                )
    return judged, found
