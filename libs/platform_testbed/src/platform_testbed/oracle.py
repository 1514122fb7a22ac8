"""The oracle of the platform's days: the rules of the platform's page, by their names there.

It says how many rows each rule judged and the breaches that it found. A rule that was expected to
judge some and judged none counts as broken.
"""

from collections.abc import Iterable
from typing import Any

from simulator.history import History

from platform_testbed import rules_jobs as jobs
from platform_testbed import rules_live as live
from platform_testbed import rules_settings as settings
from platform_testbed.rules_live import Found

__all__ = ["PLATFORM_RULES", "judge_day"]


def own_ends(history: History) -> Found:
    """Every program starts, and none ends by itself or outlasts its grace period."""
    found = [
        f"{row['node']} ended by itself with {row['code']} in life {row['life']}"
        for row in history.rows_of("own-end")
    ]
    found += [
        f"{row['node']} was still there after its grace" for row in history.rows_of("grace-over")
    ]
    return len(history.rows_of("start")), found


PLATFORM_RULES: dict[str, Any] = {
    "MIXED": live.mixed,
    "UNASKED": live.unasked,
    "TWICE": live.twice,
    "REFUSED": live.refused,
    "DENIED": live.denied,
    "ROUTE": live.route,
    "DRAIN": live.drained,
    "LOST": live.lost_requests,
    "ORDER": live.order,
    "HELD": live.held,
    "CONFIG in force": settings.in_force,
    "CONFIG never back": settings.never_back,
    "CONFIG later routes": settings.later_routes,
    "CONFIG losers": settings.losers,
    "CONFIG read back": settings.read_back,
    "RECOVER": settings.recovered,
    "ACKS": settings.acks,
    "lots LOST": jobs.job_lost,
    "lots TWICE": jobs.job_twice,
    "lots MIXED": jobs.job_mixed,
    "lots ORDER": jobs.job_order,
    "lots REFUSED": jobs.job_refused,
    "lots UNASKED": jobs.job_unasked,
    "lots QUOTA": jobs.job_quota,
    "FAULT": own_ends,
}


def judge_day(
    history: History, required_rules: Iterable[str] = ()
) -> tuple[dict[str, int], dict[str, list[str]]]:
    """Return how many rows each rule judged, and the breaches of those that were broken."""
    found = {name: rule(history) for name, rule in PLATFORM_RULES.items()}
    for name in required_rules:
        if not found[name][0]:
            found[name][1].append("nothing to judge, though some was due")
    return {name: count for name, (count, _) in found.items()}, {
        name: rows for name, (_, rows) in found.items() if rows
    }
