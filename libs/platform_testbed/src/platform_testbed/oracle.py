"""The oracle of the platform's days, with the platform's rules under the platform's names for them.

For each rule it gives the number of rows judged and the breaches found. A required rule that judged
no rows counts as broken, because the day then proves nothing about it.
"""

from collections.abc import Iterable
from typing import Any

from simulator.history import History

from platform_testbed import rules_jobs as jobs
from platform_testbed import rules_live as live
from platform_testbed import rules_settings as settings
from platform_testbed.rules_live import RuleResult

__all__ = ["PLATFORM_RULES", "judge_day"]


def own_ends(history: History) -> RuleResult:
    """No process ends by itself or outlasts its grace period; all starts are judged."""
    breaches = [
        f"{row['node']} ended by itself with exit code {row['code']} in incarnation {row['life']}"
        for row in history.rows_of("own-end")
    ]
    breaches += [
        f"{row['node']} was still running after its grace period"
        for row in history.rows_of("grace-over")
    ]
    return len(history.rows_of("start")), breaches


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
    """Return how many rows each rule judged, and the breaches of the rules that were broken.

    Each of the `required_rules` must have judged at least one row.
    """
    results = {name: rule(history) for name, rule in PLATFORM_RULES.items()}
    for name in required_rules:
        if not results[name][0]:
            results[name][1].append("the rule is required but judged no rows")
    return {name: count for name, (count, _) in results.items()}, {
        name: breaches for name, (_, breaches) in results.items() if breaches
    }
