"""Rules about lots, as the platform's page has them.

Nothing accepted or read is lost; each result stands once, at its place, whole and in order; what
was refused or ended doesn't run, and no more is taken than the route lets wait.
"""

from typing import Any

from simulator.history import History

from platform_testbed.live_clients import NOT_RUN_STATUSES
from platform_testbed.reachability import Touch
from platform_testbed.rules_live import Found, runs_by_id, sequence

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


def job_lost(history: History) -> Found:
    """An accepted lot can be read, and what was read once can be read again."""
    touch, jobs, settle_ms = Touch(history), _jobs(history), history.settings["timing"]["settleMs"]
    reads = _reads(history)
    accepted: dict[str, float] = {}
    for row in history.rows_of("lot-try"):
        if row.get("status") == 202:
            accepted.setdefault(row["lot"], row["answered_ms"])
    judged, found = len(accepted), []
    known: dict[str, list[tuple[float, int]]] = {}
    for row in sorted(reads, key=lambda row: row["answered_ms"]):
        if row["status"] == 200:
            known.setdefault(row["lot"], []).append(
                (row["answered_ms"], row["start"] + len(row["results"]))
            )
    for row in reads:
        name = row["lot"]
        in_touch = touch.machine(row["node"], row["sent_ms"], row["answered_ms"])
        if (
            row["status"] in (404, 410)
            and row["sent_ms"] > accepted.get(name, float("inf")) + settle_ms
            and in_touch
        ):
            found.append(f"lot {name} at {row['node']}: {row['status']} after it was accepted")
        count = max(
            (place for at_ms, place in known.get(name, []) if at_ms < row["sent_ms"] - settle_ms),
            default=0,
        )
        if row["status"] == 200 and not row["results"] and row["start"] < count and in_touch:
            found.append(
                f"lot {name} at {row['node']}: nothing from {row['start']} on, {count} had been "
                "read"
            )
    return judged, found + _at_the_end(history, jobs, accepted, known)


def _at_the_end(
    history: History,
    jobs: dict[str, Any],
    accepted: dict[str, float],
    known: dict[str, list[tuple[float, int]]],
) -> list[str]:
    finals: dict[str, list[dict[str, Any]]] = {}
    for row in _reads(history):
        if row["final"]:
            finals.setdefault(row["lot"], []).append(row)
    bodies: dict[tuple[str, str], list[int]] = {}
    for row in history.rows_of("item-body"):
        if row["final"]:
            bodies.setdefault((row["lot"], row["item"]), []).append(row["status"])
    found = [
        f"item {item} of lot {name}, not listed, gives no body: {statuses}"
        for (name, item), statuses in bodies.items()
        if 200 not in statuses
    ]
    for name in accepted if finals else ():
        good = [row for row in finals.get(name, []) if row["status"] == 200]
        listed = max((row["start"] + len(row["results"]) for row in good), default=-1)
        if not good:
            found.append(f"lot {name} can't be read at the end")
        elif listed < max((place for _, place in known.get(name, [])), default=0):
            found.append(f"lot {name} gives {listed} results at the end, more had been read")
    return found


def job_twice(history: History) -> Found:
    """A position keeps its result, and an item stands at one position."""
    places: dict[str, dict[int, list[Any]]] = {}
    judged, found = 0, []
    for row in _reads(history):
        held = places.setdefault(row["lot"], {})
        for offset, result in enumerate(row["results"]):
            judged += 1
            before = held.setdefault(row["start"] + offset, result)
            if before != result:
                found.append(
                    f"lot {row['lot']}, position {row['start'] + offset}: {result[:2]} where "
                    f"{before[:2]} stood"
                )
    for name, held in places.items():
        items = [result[0] for result in held.values()]
        found += [
            f"lot {name}: item {item} stands at {items.count(item)} positions"
            for item in set(items)
            if items.count(item) > 1
        ]
    return judged, found


def job_mixed(history: History) -> Found:
    """A result is the item's own, whole, and made by a worker; bodies come back unchanged.

    An item is given up only after its failed attempts, its time, or its lot's end.
    """
    jobs, runs = _jobs(history), runs_by_id(history)
    judged, found = 0, []
    for row in _reads(history):
        job = jobs[row["lot"]]
        if row["garbled"] or (row["status"] == 200 and row["total"] != job["total"]):
            found.append(
                f"lot {row['lot']} at {row['node']}: total {row['total']} of {job['total']}, or "
                "no answer that can be read"
            )
        for name, state, message in row["results"]:
            judged += 1
            item = job["items"].get(name)
            reason = (
                "an item of another lot"
                if item is None
                else _result(job, item, runs.get(name, []), state, message, row)
            )
            if reason:
                found.append(f"lot {row['lot']}, item {name}: {reason}")
    bodies = [row for row in history.rows_of("item-body") if row["status"] == 200]
    found += [
        f"item {row['item']}: its body comes back changed" for row in bodies if not row["same"]
    ]
    return judged + len(bodies), found


def _result(
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
                return f"no worker made {line[:60]!r}"
        return "" if len(lines) == item["events"] else f"{len(lines)} events of {item['events']}"
    if state != "dead_letter":
        return f"state {state!r}"
    errors = sum(run["state"] == "error" and run["at_ms"] <= row["answered_ms"] for run in runs)
    unable = any(run["state"] == "unable" for run in runs)
    waited = row["answered_ms"] >= job["at_ms"] + job["max_wait_ms"]
    ended = 0 < job["end_sent_ms"] <= row["answered_ms"]
    return (
        ""
        if unable or errors >= job["tries"] or waited or ended
        else f"dead after {errors} failed attempts"
    )


def job_order(history: History) -> Found:
    """A finished item's events are in order and complete."""
    jobs, runs = _jobs(history), runs_by_id(history)
    judged, found = 0, []
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
                found.append(f"lot {row['lot']}, item {name}: {reason}")
    return judged, found


def job_refused(history: History) -> Found:
    """No item runs of a lot that was refused at every attempt."""
    runs, judged, found = runs_by_id(history), 0, []
    statuses: dict[str, list[int]] = {}
    for row in history.rows_of("lot-try"):
        statuses.setdefault(row["lot"], []).append(row.get("status", 0))
    for name, job in _jobs(history).items():
        if name in statuses and all(status in NOT_RUN_STATUSES for status in statuses[name]):
            judged += 1
            found += [
                f"lot {name} was refused at every try, item {item} ran"
                for item in job["items"]
                if runs.get(item)
            ]
    return judged, found


def job_unasked(history: History) -> Found:
    """No item reaches a worker later than `cancelMs` after its lot's end was acknowledged."""
    touch, cancel_ms = Touch(history), history.settings["timing"]["cancelMs"]
    jobs, ended = _jobs(history), {}
    for row in history.rows_of("lot-end"):
        if row.get("status") == 200 and touch.machine(row["node"], row["answered_ms"]):
            ended.setdefault(row["lot"], row["answered_ms"])
    of = {item: name for name, job in jobs.items() for item in job["items"]}
    return len(ended), [
        f"item {run['id']} reached {run['server']} {run['came_ms'] - ended[of[run['id']]]:.0f} ms "
        "after its lot's end and ran"
        for run in history.rows_of("run")
        if of.get(run["id"]) in ended and run["came_ms"] > ended[of[run["id"]]] + cancel_ms
    ]


def job_quota(history: History) -> Found:
    """The tokens that wait stay within the route's limit and the tolerated excess."""
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
    for name, made in runs.items():
        over = [run["over_ms"] for run in made if run["state"] in ("finished", "unable")]
        failed = sorted(run["over_ms"] for run in made if run["state"] == "error")
        done[name] = min([*over, *failed[2:3]], default=float("inf"))
    found = []
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
            found.append(f"{waiting} tokens wait at {at_ms:.0f} ms, at most {cap} may")
    return len(accepted), found
