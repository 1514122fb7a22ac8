"""The report of a scenario: outcomes and durations by path, and breaches of the oracle's rules."""

from collections import Counter
from typing import Any

from simulator.oracle import rows_judged

__all__ = ["quantiles", "scenario_report"]

_LATE_MS = {
    "rulings": 2000,
    "flags": 2000,
    "narrations": 5000,
    "reasons": 5000,
    "moves": 5000,
    "lots of 80": 10_000,
}
"""Durations in milliseconds above which an answer counts as late, by path."""


def quantiles(values: list[float]) -> str:
    """Return the number of durations in ms and their 50%, 90%, 99% and 100% quantiles as text."""
    rows = sorted(values)
    if not rows:
        return "none"
    places = [rows[min(len(rows) - 1, int(len(rows) * share))] for share in (0.5, 0.9, 0.99)]
    return (
        f"{len(rows)} answers, 50% {places[0]:.0f} ms, 90% {places[1]:.0f} ms, 99% "
        f"{places[2]:.0f} ms, most {rows[-1]:.0f} ms"
    )


def scenario_report(traffic: Any, broken: dict[str, list[str]]) -> str:
    """Return the report of a run's traffic as text; `broken` has the breaches by rule."""
    lines = ["faults:"]
    lines += [
        f"  {row['at_ms'] / 1000:6.1f} s  {row['what']}" for row in traffic.history.rows_of("fault")
    ] or ["  none"]
    table: dict[str, Counter] = {}
    for (path, verdict, code), count in traffic.outcomes.items():
        kind = {"ran": "answered", "not_run": "refused"}.get(verdict, "doubtful")
        table.setdefault(path, Counter())[kind] += count
        if kind != "answered":
            table[path][f"{kind} {code}"] += count
    lines.append("callers saw (answered / refused / doubtful / late):")
    for path, counts in sorted(table.items()):
        limit_ms = _LATE_MS.get(path)
        late = sum(1 for value in traffic.latency_ms.get(path, []) if limit_ms and value > limit_ms)
        reasons = ", ".join(
            f"{name}: {count}" for name, count in sorted(counts.items()) if " " in name
        )
        lines.append(
            f"  {path:16} {counts['answered']:6} /{counts['refused']:5} /{counts['doubtful']:5} "
            f"/{late:5}" + (f"   ({reasons})" if reasons else "")
        )
    lines.append("time to the last byte:")
    for path, values in sorted(traffic.latency_ms.items()):
        lines.append(
            f"  {path:16} {quantiles(values)}; "
            f"{sum(1 for value in values if value > _LATE_MS.get(path, 1e9))} late"
        )
    back = list(traffic.history.rows_of("probe"))
    lines.append(
        "after the last fault: "
        + ", ".join(
            f"{row['what']} {'back' if row['worked'] else 'NOT back'} within "
            f"{row['after_ms'] / 1000:.1f} s"
            for row in back
        )
    )
    runs = traffic.history.rows_of("run")
    lines.append(
        f"workers ran {len(runs)} times; lots accepted "
        f"{sum(1 for job in traffic.jobs.values() if job['acked'])}, "
        f"done {sum(1 for job in traffic.jobs.values() if job['done_ms'])}"
    )
    lines.append(
        "rows judged: "
        + ", ".join(f"{name} {count}" for name, count in rows_judged(traffic.history).items())
    )
    if broken:
        for name, rows in broken.items():
            lines.append(f"BROKEN {name}: {len(rows)}")
            lines += [f"    {row}" for row in rows[:5]]
    else:
        lines.append("oracle: no rule of what must never happen was broken")
    return "\n".join(lines)
