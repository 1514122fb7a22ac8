"""Rules about time: of live calls, of batch jobs, and of recovery.

Each rule takes a history and returns a Judgement.
"""

from collections import defaultdict

from simulator.history import History, RowKind
from simulator.judgement import SLACK_MS, Judgement

__all__ = ["had_outage", "jobs_in_time", "live_in_time", "outages", "service_resumes"]

_CLIENT_TIMEOUT_MS = 8000
_UNDISTURBED_MS = 10_000
"""A call is undisturbed if no fault was injected from this long before it until its end."""
_CAPACITY_WINDOW_MS = 1500


def outages(history: History) -> dict[str, list[tuple[float, float]]]:
    """Return by host the start and end of each time in which it was down or frozen."""
    found: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for row in history.rows_of(RowKind.AWAY):
        found[row["name"]].append((row["at_ms"], row["until_ms"]))
    return found


def had_outage(outages_of_host: list[tuple[float, float]], from_ms: float, to_ms: float) -> bool:
    """Return whether one of a host's outages overlaps an interval."""
    return any(began_ms < to_ms and ended_ms > from_ms for began_ms, ended_ms in outages_of_host)


def live_in_time(history: History) -> Judgement:
    """An edge without an outage answers a call within the path's limit, if only with an error.

    An undisturbed call is not refused with `late`, `busy` or `no-worker` if more than half of all
    slots were free all the time from shortly before it until its end.
    """
    limits = history.settings.get("limits_ms", {})
    away, capacities = outages(history), history.rows_of(RowKind.CAPACITY)
    faults = [row["at_ms"] for row in history.rows_of(RowKind.FAULT)]
    breaches, judged = [], 0
    for call in history.rows_of(RowKind.CALL):
        end_ms = call["answered_ms"] or call["at_ms"] + _CLIENT_TIMEOUT_MS
        if call["path"] not in limits or had_outage(away[call["edge"]], call["at_ms"], end_ms):
            continue
        judged += 1
        took_ms = end_ms - call["at_ms"]
        if took_ms > limits[call["path"]] + SLACK_MS:
            breaches.append(
                f"{call['call']} on {call['path']}: {call['outcome']} "
                f"{call['code']} after {took_ms:.0f} ms, over the limit"
            )
        undisturbed = not any(call["at_ms"] - _UNDISTURBED_MS < at_ms < end_ms for at_ms in faults)
        if undisturbed and call["code"] in ("late", "busy", "no-worker"):
            free = [
                row["free"]
                for row in capacities
                if call["at_ms"] - _CAPACITY_WINDOW_MS <= row["at_ms"] <= end_ms
            ]
            if free and min(free) > 0.5:
                breaches.append(
                    f"{call['call']} on {call['path']}: {call['code']} "
                    "though more than half of all slots were free"
                )
    return Judgement(judged, breaches)


def jobs_in_time(history: History) -> Judgement:
    """A job that is not cancelled is done by its deadline, `lots_due_ms` after its acknowledgement.

    Jobs with a fault within `lots_due_ms` before or after the acknowledgement are not judged.
    """
    due_ms = history.settings.get("lots_due_ms", 10_000)
    faults = [row["at_ms"] for row in history.rows_of(RowKind.FAULT)]
    breaches, judged = [], 0
    for row in history.rows_of(RowKind.JOB_DONE):
        if any(row["from_ms"] - due_ms < at_ms < row["from_ms"] + due_ms for at_ms in faults):
            continue
        judged += 1
        if row["at_ms"] - row["from_ms"] > due_ms + SLACK_MS:
            breaches.append(
                f"{row['lot']} was done {row['at_ms'] - row['from_ms']:.0f} ms "
                "after its acknowledgement"
            )
    return Judgement(judged, breaches)


def service_resumes(history: History) -> Judgement:
    """Each kind of request succeeds once `resume_ms` have passed since the machines' return."""
    rows = history.rows_of(RowKind.PROBE)
    return Judgement(
        len(rows),
        [
            f"{row['what']} did not work {row['after_ms']:.0f} ms "
            f"after the machines' return: {row['seen']}"
            for row in rows
            if not row["worked"]
        ],
    )
