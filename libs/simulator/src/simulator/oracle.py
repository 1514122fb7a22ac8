"""The oracle: judges a recorded history against every rule of what must never happen.

It also says how many rows each rule judged. A rule that was expected to judge some and judged none
counts as broken.
"""

from collections.abc import Iterable
from typing import Any

from simulator import rules_calls as calls
from simulator import rules_state as state
from simulator.history import History

__all__ = ["RULES", "evidence", "judge"]

RULES: dict[str, Any] = {
    "unsafe-runs-once": calls.unsafe_twice,
    "not-run-is-true": calls.not_run_but_ran,
    "streams-are-whole": calls.streams,
    "bodies-are-whole": calls.bodies,
    "keys-one-body": calls.keys_one_body,
    "workers-are-allowed": calls.workers_allowed,
    "gone-workers-get-nothing": calls.gone_workers,
    "versions-in-force": state.in_force,
    "lost-changes-stay-lost": state.lost_changes,
    "changes-kept": state.changes_kept,
    "accepted-is-kept": state.kept,
    "kept-at-the-end": state.kept_at_the_end,
    "ended-lots-stop": state.cancelled_jobs,
    "waiting-room-is-exact": state.waiting_room,
    "service-resumes": state.resumed,
    "live-in-time": calls.live_in_time,
    "lots-in-time": state.jobs_in_time,
}


def evidence(history: History) -> dict[str, int]:
    """Return how many rows each rule judged."""
    return {name: int(rule(history)[0]) for name, rule in RULES.items()}


def judge(history: History, due: Iterable[str] = ()) -> dict[str, list[str]]:
    """Return the breaches by rule; empty when the history breaks none.

    `due` names rules that must have had something to judge.
    """
    found = {name: rule(history) for name, rule in RULES.items()}
    wanted = set(due)
    for name in wanted:
        if not found[name][0]:
            found[name][1].append("nothing to judge, though some was due")
    return {name: rows for name, (_, rows) in found.items() if rows}
