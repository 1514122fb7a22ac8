"""The oracle: judges a recorded history by the rules for batch jobs, calls, changes and timing.

It also counts the rows that each rule judged, so that a rule that should have judged some and
judged none can be reported as broken.
"""

from collections.abc import Callable, Iterable

from simulator import rules_calls as calls
from simulator import rules_changes as changes
from simulator import rules_jobs as jobs
from simulator import rules_timing as timing
from simulator.history import History
from simulator.judgement import Judgement

__all__ = ["RULES", "judge", "rows_judged"]

RULES: dict[str, Callable[[History], Judgement]] = {
    "unsafe-runs-once": calls.unsafe_runs_once,
    "not-run-is-true": calls.not_run_is_true,
    "streams-are-whole": calls.streams_complete,
    "bodies-are-whole": calls.bodies_complete,
    "keys-one-body": calls.keys_one_body,
    "workers-are-allowed": calls.workers_allowed,
    "gone-workers-get-nothing": calls.departed_workers_get_nothing,
    "versions-in-force": changes.versions_in_force,
    "lost-changes-stay-lost": changes.lost_changes,
    "changes-kept": changes.changes_kept,
    "accepted-is-kept": jobs.accepted_jobs_kept,
    "kept-at-the-end": jobs.jobs_kept_at_end,
    "ended-lots-stop": jobs.cancelled_jobs_stop,
    "waiting-room-is-exact": jobs.backlog_limited,
    "service-resumes": timing.service_resumes,
    "live-in-time": timing.live_in_time,
    "lots-in-time": timing.jobs_in_time,
}


def rows_judged(history: History) -> dict[str, int]:
    """Return the number of rows that each rule judged."""
    return {name: int(rule(history).judged) for name, rule in RULES.items()}


def judge(history: History, required: Iterable[str] = ()) -> dict[str, list[str]]:
    """Return the breaches by rule, without the rules that the history keeps.

    `required` names the rules that must have judged at least one row.
    """
    judgements = {name: rule(history) for name, rule in RULES.items()}
    for name in set(required):
        if not judgements[name].judged:
            judgements[name].breaches.append("no rows to judge, though some are required")
    return {name: breaches for name, (_, breaches) in judgements.items() if breaches}
