"""The platform's rules about batch jobs ("lots").

Accepted jobs and results that were read are never lost. Each result keeps one position and is
complete and in order. Items of refused or cancelled jobs don't run, and no more is accepted than
the route's backlog limit allows.
"""

from typing import Any

from simulator.history import History

from platform_testbed.live_clients import NOT_RUN_STATUSES
from platform_testbed.reachability import Reachability
from platform_testbed.rules_live import RuleResult, runs_by_id, sequence

__all__ = [
    "job_lost",
    "job_mixed",
    "job_order",
    "job_quota",
    "job_refused",
    "job_twice",
    "job_unasked",
]


def _jobs(history: History) -> dict[str, dict[str, Any]]:
    return {row["lot"]: row for row in history.rows_of("lot")}


def _reads(history: History) -> list[dict[str, Any]]:
    return [row for row in history.rows_of("lot-read") if "answered_ms" in row]


def job_lost(history: History) -> RuleResult:
    """An accepted job stays readable, and results that were read once can be read again."""
    reachability, jobs, settle_ms = (
        Reachability(history),
        _jobs(history),
        history.settings["timing"]["settleMs"],
    )
    reads = _reads(history)
    accepted: dict[str, float] = {}
    for row in history.rows_of("lot-try"):
        if row.get("status") == 202:
            accepted.setdefault(row["lot"], row["answered_ms"])
    judged, breaches = len(accepted), []
    readable_counts: dict[str, list[tuple[float, int]]] = {}
    for row in sorted(reads, key=lambda row: row["answered_ms"]):
        if row["status"] == 200:
            readable_counts.setdefault(row["lot"], []).append(
                (row["answered_ms"], row["start"] + len(row["results"]))
            )
    for row in reads:
        name = row["lot"]
        in_contact = reachability.in_contact(row["node"], row["sent_ms"], row["answered_ms"])
        if (
            row["status"] in (404, 410)
            and row["sent_ms"] > accepted.get(name, float("inf")) + settle_ms
            and in_contact
        ):
            breaches.append(f"lot {name} at {row['node']}: {row['status']} after it was accepted")
        count = max(
            (
                readable
                for at_ms, readable in readable_counts.get(name, [])
                if at_ms < row["sent_ms"] - settle_ms
            ),
            default=0,
        )
        if row["status"] == 200 and not row["results"] and row["start"] < count and in_contact:
            breaches.append(
                f"lot {name} at {row['node']}: nothing from {row['start']} on, {count} had been "
                "read before"
            )
    return judged, breaches + _check_final_reads(history, jobs, accepted, readable_counts)


def _check_final_reads(
    history: History,
    jobs: dict[str, Any],
    accepted: dict[str, float],
    readable_counts: dict[str, list[tuple[float, int]]],
) -> list[str]:
    finals: dict[str, list[dict[str, Any]]] = {}
    for row in _reads(history):
        if row["final"]:
            finals.setdefault(row["lot"], []).append(row)
    bodies: dict[tuple[str, str], list[int]] = {}
    for row in history.rows_of("item-body"):
        if row["final"]:
            bodies.setdefault((row["lot"], row["item"]), []).append(row["status"])
    breaches = [
        f"item {item} of lot {name}, not listed, gives no body: {statuses}"
        for (name, item), statuses in bodies.items()
        if 200 not in statuses
    ]
    for name in accepted if finals else ():
        good = [row for row in finals.get(name, []) if row["status"] == 200]
        listed = max((row["start"] + len(row["results"]) for row in good), default=-1)
        if not good:
            breaches.append(f"lot {name} can't be read at the end of the day")
        elif listed < max((readable for _, readable in readable_counts.get(name, [])), default=0):
            breaches.append(
                f"lot {name} gives {listed} results at the end of the day, more had been read"
            )
    return breaches


def job_twice(history: History) -> RuleResult:
    """A position keeps its result, and an item has at most one position."""
    results_by_position: dict[str, dict[int, list[Any]]] = {}
    judged, breaches = 0, []
    for row in _reads(history):
        job_results = results_by_position.setdefault(row["lot"], {})
        for offset, result in enumerate(row["results"]):
            judged += 1
            before = job_results.setdefault(row["start"] + offset, result)
            if before != result:
                breaches.append(
                    f"lot {row['lot']}, position {row['start'] + offset}: {result[:2]} where "
                    f"{before[:2]} was read before"
                )
    for name, job_results in results_by_position.items():
        items = [result[0] for result in job_results.values()]
        breaches += [
            f"lot {name}: item {item} is at {items.count(item)} positions"
            for item in set(items)
            if items.count(item) > 1
        ]
    return judged, breaches


def job_mixed(history: History) -> RuleResult:
    """A result belongs to its item, is complete, and was produced by a worker for that item.

    Bodies come back unchanged. An item ends as `dead_letter` only if a worker was unable to run it,
    after its failed attempts, after its job's maximum wait, or after its job was cancelled.
    """
    jobs, runs = _jobs(history), runs_by_id(history)
    judged, breaches = 0, []
    for row in _reads(history):
        job = jobs[row["lot"]]
        if row["garbled"] or (row["status"] == 200 and row["total"] != job["total"]):
            breaches.append(
                f"lot {row['lot']} at {row['node']}: total {row['total']} of {job['total']}, or "
                "the answer can't be parsed"
            )
        for name, state, message in row["results"]:
            judged += 1
            item = job["items"].get(name)
            reason = (
                "belongs to another lot"
                if item is None
                else _check_result(job, item, runs.get(name, []), state, message, row)
            )
            if reason:
                breaches.append(f"lot {row['lot']}, item {name}: {reason}")
    bodies = [row for row in history.rows_of("item-body") if row["status"] == 200]
    breaches += [
        f"item {row['item']}: its body came back changed" for row in bodies if not row["same"]
    ]
    return judged + len(bodies), breaches


def _check_result(
    job: dict[str, Any],
    item: dict[str, Any],
    runs: list[dict[str, Any]],
    state: str,
    message: str,
    row: dict[str, Any],
) -> str:
    if state == "finished":
        lines = message.split("\n") if message else []
        by_tag = {run["run"]: run for run in runs}
        for line in lines:
            _, tag, number, *_ = [*line.split("/"), "", "", ""]
            if (
                tag not in by_tag
                or not number.isdigit()
                or int(number) not in by_tag[tag]["events"]
            ):
                return f"no worker produced {line[:60]!r}"
        return (
            ""
            if len(lines) == item["events"]
            else f"{len(lines)} events instead of {item['events']}"
        )
    if state != "dead_letter":
        return f"unexpected state {state!r}"
    errors = sum(run["state"] == "error" and run["at_ms"] <= row["answered_ms"] for run in runs)
    unable = any(run["state"] == "unable" for run in runs)
    waited = row["answered_ms"] >= job["at_ms"] + job["max_wait_ms"]
    ended = 0 < job["end_sent_ms"] <= row["answered_ms"]
    return (
        ""
        if unable or errors >= job["tries"] or waited or ended
        else f"given up after {errors} failed attempts"
    )


def job_order(history: History) -> RuleResult:
    """A finished item's events are in order and complete."""
    jobs, runs = _jobs(history), runs_by_id(history)
    judged, breaches = 0, []
    for row in _reads(history):
        for name, state, message in row["results"]:
            if state != "finished" or name not in jobs[row["lot"]]["items"]:
                continue
            judged += 1
            events = [
                (int(line.split("/")[2]), line)
                for line in message.split("\n")
                if line.count("/") > 2 and line.split("/")[2].isdigit()
            ]
            reason = sequence(
                events,
                runs.get(name, []),
                None,
                jobs[row["lot"]]["first_event"],
                jobs[row["lot"]]["items"][name]["events"],
            )
            if reason:
                breaches.append(f"lot {row['lot']}, item {name}: {reason}")
    return judged, breaches


def job_refused(history: History) -> RuleResult:
    """No item runs of a job that was refused at every attempt, with a status promising so."""
    runs, judged, breaches = runs_by_id(history), 0, []
    statuses: dict[str, list[int]] = {}
    for row in history.rows_of("lot-try"):
        statuses.setdefault(row["lot"], []).append(row.get("status", 0))
    for name, job in _jobs(history).items():
        if name in statuses and all(status in NOT_RUN_STATUSES for status in statuses[name]):
            judged += 1
            breaches += [
                f"lot {name} was refused at every attempt, but item {item} ran"
                for item in job["items"]
                if runs.get(item)
            ]
    return judged, breaches


def job_unasked(history: History) -> RuleResult:
    """No item that runs reaches its worker over `cancelMs` after its job's acknowledged end."""
    reachability, cancel_ms = Reachability(history), history.settings["timing"]["cancelMs"]
    jobs, ended = _jobs(history), {}
    for row in history.rows_of("lot-end"):
        if row.get("status") == 200 and reachability.in_contact(row["node"], row["answered_ms"]):
            ended.setdefault(row["lot"], row["answered_ms"])
    job_of = {item: name for name, job in jobs.items() for item in job["items"]}
    return len(ended), [
        f"item {run['id']} reached {run['server']} "
        f"{run['came_ms'] - ended[job_of[run['id']]]:.0f} ms after its lot was cancelled, and ran"
        for run in history.rows_of("run")
        if job_of.get(run["id"]) in ended and run["came_ms"] > ended[job_of[run["id"]]] + cancel_ms
    ]


def job_quota(history: History) -> RuleResult:
    """The backlog in tokens stays within the route's limit plus the tolerated excess."""
    jobs, runs, excess = (
        _jobs(history),
        runs_by_id(history),
        history.settings["timing"]["quotaExcess"],
    )
    accepted: dict[str, float] = {}
    for row in sorted(
        (row for row in history.rows_of("lot-try") if row.get("status") == 202),
        key=lambda row: row["answered_ms"],
    ):
        accepted.setdefault(row["lot"], row["answered_ms"])
    done: dict[str, float] = {}
    for name, item_runs in runs.items():
        over = [run["over_ms"] for run in item_runs if run["state"] in ("finished", "unable")]
        failed = sorted(run["over_ms"] for run in item_runs if run["state"] == "error")
        done[name] = min([*over, *failed[2:3]], default=float("inf"))
    breaches = []
    for at_ms in accepted.values():
        waiting = sum(
            item["tokens"]
            for name, since_ms in accepted.items()
            if since_ms <= at_ms and not 0 < jobs[name]["end_sent_ms"] <= at_ms
            for key, item in jobs[name]["items"].items()
            if done.get(key, float("inf")) > at_ms
        )
        cap = max(job["cap"] for job in jobs.values())
        if cap and waiting > cap * (1 + excess):
            breaches.append(f"{waiting} tokens wait at {at_ms:.0f} ms, the limit is {cap}")
    return len(accepted), breaches
