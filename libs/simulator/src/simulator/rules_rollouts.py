"""Rules about rollouts and loans, which compare histories of one evening with and without them.

Each rule takes the history with rollouts and several baselines, the histories of the same evening
without rollouts, and returns a Judgement. Differences that also occur among the baselines are
tolerated.
"""

import json
from collections import defaultdict
from collections.abc import Callable, Iterable

from simulator.history import History, Row, RowKind
from simulator.judgement import Judgement
from simulator.rules_timing import had_outage, outages

__all__ = ["LOAN_RULES", "first_events_ms", "judge_loans"]

_LATE_MS = 300.0
_NOISE_MS = 40.0
_NOISE_SHARE = 0.015
_JOB_DEADLINE_MS = 10_000.0
_MIN_CALLS_FOR_TAIL = 60
"""The number of calls from which also the 90% and 95% quantiles are compared."""
_OUTAGE_WINDOW_MS = 3000.0
_COMPARED_CALLS = (
    ("rulings", False),
    ("narrations", False),
    ("rulings", True),
    ("narrations", True),
)
"""Path, and whether its calls at night are compared or those in the evening."""


def _calls_at_running_edges(history: History) -> list[Row]:
    """Return the calls whose edge had no outage from their start until 3 s later."""
    away = outages(history)
    return [
        call
        for call in history.rows_of(RowKind.CALL)
        if not had_outage(away[call["edge"]], call["at_ms"], call["at_ms"] + _OUTAGE_WINDOW_MS)
    ]


def first_events_ms(history: History, path: str, night: bool) -> list[float]:
    """Return the sorted times to first event of a path's calls, of the evening or of the night."""
    return sorted(
        call["first_ms"] - call["at_ms"]
        for call in _calls_at_running_edges(history)
        if call["path"] == path
        and "first_ms" in call
        and (call["at_ms"] >= history.settings["night_ms"]) == night
    )


def _quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def _late_count(values: list[float]) -> int:
    return sum(1 for took_ms in values if took_ms > _LATE_MS)


def live_calls_not_late(with_rollouts: History, baselines: list[History]) -> Judgement:
    """Times to first event are no longer than in the worst baseline.

    The quantiles may exceed those of the worst baseline by 15% and 40 ms. The calls that take
    longer than 300 ms may be as many as in the worst baseline, plus 1.5% of all calls and one.
    Evening and night are judged separately.
    """
    breaches, judged = [], 0
    for path, night in _COMPARED_CALLS:
        mine = first_events_ms(with_rollouts, path, night)
        others = [first_events_ms(baseline, path, night) for baseline in baselines]
        judged += len(mine)
        name = f"{path} {'by night' if night else 'in the evening'}"
        for share in (0.5, 0.9, 0.95) if len(mine) >= _MIN_CALLS_FOR_TAIL else (0.5,):
            took_ms, most_ms = (
                _quantile(mine, share),
                max(_quantile(rows, share) for rows in others),
            )
            if took_ms > 1.15 * most_ms + _NOISE_MS:
                breaches.append(
                    f"{name}: {share:.0%} of first events within {took_ms:.0f} ms, "
                    f"in the worst baseline within {most_ms:.0f} ms"
                )
        most = max(map(_late_count, others))
        if _late_count(mine) > most + _NOISE_SHARE * len(mine) + 1:
            breaches.append(
                f"{name}: {_late_count(mine)} first events late, {most} in the worst baseline"
            )
    return Judgement(judged, breaches)


def _failed_calls(history: History) -> list[Row]:
    return [
        call
        for call in _calls_at_running_edges(history)
        if call["outcome"] in ("error", "cut", "lost", "none") and call["code"] != "key-open"
    ]


def live_calls_not_lost(with_rollouts: History, baselines: list[History]) -> Judgement:
    """Neither rollouts nor loans make calls fail.

    At most 1.5% of all calls fail in addition to as many as in the worst baseline. The refusal
    `key-open` is not counted as a failure.
    """
    judged, failed = len(_calls_at_running_edges(with_rollouts)), _failed_calls(with_rollouts)
    most = max(len(_failed_calls(baseline)) for baseline in baselines)
    more = len(failed) > most + _NOISE_SHARE * judged
    return Judgement(
        judged,
        [
            f"{len(failed)} calls failed, {most} in the worst baseline: "
            f"{sorted({call['code'] or call['outcome'] for call in failed})}"
        ]
        if more
        else [],
    )


def samples_once(with_rollouts: History, baselines: list[History]) -> Judgement:
    """Accepted rollouts list all their samples, and a listed sample never changes.

    Each sample ran completely, for its own prompt and with the weights that were asked for.
    """
    runs = {run["transaction"]: run for run in with_rollouts.rows_of(RowKind.RUN)}
    breaches, judged = [], 0
    seen: dict[tuple[str, int], str] = {}
    for read in with_rollouts.rows_of(RowKind.ROLLOUT_READ):
        indexes = [index for index, _, _ in read["results"]]
        if indexes != list(range(read["start"], read["start"] + len(indexes))):
            breaches.append(f"{read['rollout']}: read from index {read['start']}, listed {indexes}")
        for index, verdict, text in read["results"]:
            judged += 1
            body = json.loads(text)
            if seen.setdefault((read["rollout"], index), text) != text:
                breaches.append(f"{read['rollout']}#{index}: the sample changed")
            if (
                verdict != "ran"
                or (body["prompt"], body["sample"]) != divmod(index, read["samples"])
                or body["weights"] != "w1"
                or not body["text"]
            ):
                breaches.append(f"{read['rollout']}#{index}: {verdict} {text}")
    for row in with_rollouts.rows_of(RowKind.ROLLOUT_ACCEPTED):
        listed = sum(1 for rollout, _ in seen if rollout == row["rollout"])
        if listed != row["total"]:
            breaches.append(
                f"{row['rollout']}: {listed} of {row['total']} samples are listed at the end"
            )
    return Judgement(judged if runs else 0, breaches)


def unsafe_once(with_rollouts: History, baselines: list[History]) -> Judgement:
    """A call with a key, which is not safe to repeat, runs at most once."""
    keys: dict[str, int] = defaultdict(int)
    for run in with_rollouts.rows_of(RowKind.RUN):
        if run["key"]:
            keys[run["key"]] += 1
    return Judgement(
        len(keys), [f"{key} ran {count} times" for key, count in keys.items() if count > 1]
    )


def jobs_on_time(with_rollouts: History, baselines: list[History]) -> Judgement:
    """A job that meets its deadline in all baselines meets it with rollouts too."""

    def took(history: History) -> dict[str, float]:
        return {
            row["lot"]: row["at_ms"] - row["from_ms"] for row in history.rows_of(RowKind.JOB_DONE)
        }

    mine, others = took(with_rollouts), [took(baseline) for baseline in baselines]
    comparable = {
        job
        for rows in others
        for job in rows
        if all(row.get(job, 1e9) <= _JOB_DEADLINE_MS for row in others)
    }
    return Judgement(
        len(comparable),
        [
            f"{job}: done after {mine.get(job, 1e9):.0f} ms, in time in all baselines"
            for job in sorted(comparable)
            if mine.get(job, 1e9) > _JOB_DEADLINE_MS
        ],
    )


def lent_workers_alone(with_rollouts: History, baselines: list[History]) -> Judgement:
    """A borrowed worker serves no calls.

    None is running or waiting there when the borrower takes it over, and none starts before it is
    returned.
    """
    returned_ms = {row["loan"]: row["at_ms"] for row in with_rollouts.rows_of(RowKind.RETURNED)}
    breaches = []
    for row in with_rollouts.rows_of(RowKind.BORROWED):
        if row["running"]:
            breaches.append(
                f"{row['worker']} had {row['running']} calls in flight when {row['loan']} began"
            )
        breaches += [
            f"{run['transaction']} ran at {row['worker']} during {row['loan']}"
            for run in with_rollouts.rows_of(RowKind.RUN)
            if run["identity"] == row["worker"]
            and row["at_ms"] < run["at_ms"] < returned_ms.get(row["loan"], 1e12)
        ]
    return Judgement(len(with_rollouts.rows_of(RowKind.BORROWED)), breaches)


LOAN_RULES: dict[str, Callable[[History, list[History]], Judgement]] = {
    "live-is-not-late": live_calls_not_late,
    "live-is-not-lost": live_calls_not_lost,
    "samples-listed-once": samples_once,
    "unsafe-runs-once": unsafe_once,
    "lots-stay-on-time": jobs_on_time,
    "lent-workers-are-alone": lent_workers_alone,
}


def judge_loans(
    with_rollouts: History, baselines: list[History], required: Iterable[str] = LOAN_RULES
) -> dict[str, list[str]]:
    """Return the breaches by rule, without the rules that are kept.

    Rules in `required` must have judged at least one row.
    """
    judgements = {name: rule(with_rollouts, baselines) for name, rule in LOAN_RULES.items()}
    return {
        name: breaches or ["no rows to judge, though some are required"]
        for name, (judged, breaches) in judgements.items()
        if breaches or (name in required and not judged)
    }
