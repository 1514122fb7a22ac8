"""Figures of a day beside its rules.

They are the value earned by timely answers for each kind of request, the times to the first event
and between events, events delayed between worker and client, the time that refusals took, and the
results of batch jobs that came in time.
"""

from collections import Counter
from typing import Any

from simulator.history import History

from platform_testbed.reachability import sent_attempts

__all__ = ["day_figures"]


def _quantiles(values: list[float]) -> list[float]:
    rows = sorted(values)
    return (
        [round(rows[min(len(rows) - 1, int(share * len(rows)))]) for share in (0.5, 0.95, 1.0)]
        if rows
        else []
    )


def _good(row: dict[str, Any]) -> bool:
    return row.get("how") == "answered" and row["status"] == 200


def day_figures(history: History, kinds: dict[str, Any]) -> dict[str, Any]:
    """Return the figures of a day, by kind of request and in total; times are milliseconds.

    `earned` is the share of the possible value. Quantiles are the median, the 95th percentile and
    the maximum.
    """
    figures: dict[str, Any] = {}
    for name, kind in kinds.items():
        if kind.route_type == "bulk":
            continue
        requests = [
            row for row in history.rows_of("request") if row["of"] == name and not row["leaves"]
        ]
        earned, firsts, gaps = 0.0, [], []
        for request in requests:
            last = next((row for row in reversed(request["tries"]) if _good(row)), None)
            if last is None:
                continue
            began = next(
                (row["first_ms"] for row in request["tries"] if row.get("first_ms")),
                last["ended_ms"],
            )
            firsts.append(began - request["at_ms"])
            gaps.append(max(row["gap_ms"] for row in request["tries"]))
            in_time = firsts[-1] <= kind.target_ms and (not kind.gap_ms or gaps[-1] <= kind.gap_ms)
            earned += kind.worth if in_time else kind.late_worth
        figures[name] = {
            "asked": len(requests),
            "earned": round(earned / (kind.worth * len(requests)), 3) if requests else None,
            "first_ms": _quantiles(firsts),
            "gap_ms": _quantiles(gaps),
        }
    attempts = [row for row in sent_attempts(history) if not row["probe"]]
    figures["outcomes"] = dict(
        Counter(f"{row['how']} {row['status'] or ''}".strip() for row in attempts)
    )
    figures["refused_after_ms"] = _quantiles(
        [row["ended_ms"] - row["sent_ms"] for row in attempts if row["status"] in (429, 503)]
    )
    figures["events_late"] = _late_events(history)
    figures["lots"] = _jobs(history)
    return figures


def _late_events(history: History) -> list[int]:
    """Return how many events took more than `promptPassMs` from worker to client, of how many."""
    made_ms = {
        (run["run"], number): at_ms
        for run in history.rows_of("run")
        for number, at_ms in zip(run["events"], run["made_ms"], strict=True)
    }
    late = count = 0
    for row in sent_attempts(history):
        for number, data, at_ms in row["events"]:
            parts = data.split("/")
            if len(parts) > 2 and (parts[1], number) in made_ms:
                count += 1
                late += (
                    at_ms - made_ms[(parts[1], number)] > history.settings["timing"]["promptPassMs"]
                )
    return [late, count]


def _jobs(history: History) -> dict[str, Any]:
    owed = earned = done = 0
    answers, times = [], []
    for job in history.rows_of("lot"):
        attempts = [row for row in history.rows_of("lot-try") if row["lot"] == job["lot"]]
        answers += [
            row["answered_ms"] - row["sent_ms"] for row in attempts if row.get("status") == 202
        ]
        able = [name for name, item in job["items"].items() if not item["poisoned"]]
        if job["end_sent_ms"] or (attempts and all(row.get("status") == 429 for row in attempts)):
            continue
        owed += len(able)
        quick = job["accepted_ms"] and job["accepted_ms"] - job["at_ms"] <= job["target_ms"]
        for name in able:
            seen = job["seen"].get(name)
            if seen is None or seen[2] != "finished":
                continue
            done += 1
            times.append(seen[1] - job["at_ms"])
            earned += bool(quick and seen[3] <= job["at_ms"] + job["due_ms"] + 700)
    return {
        "lots": len(history.rows_of("lot")),
        "items_owed": owed,
        "items_done": done,
        "in_time": round(earned / owed, 3) if owed else None,
        "taken_ms": _quantiles(answers),
        "read_ms": _quantiles(times),
        "hand_ins": dict(Counter(row.get("status", 0) for row in history.rows_of("lot-try"))),
    }
