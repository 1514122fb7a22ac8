"""Rules about rollouts, each from histories of the same evening with and without them.

A rule takes the history with rollouts and several without; it returns how many rows it judged and
the breaches that it breaches. What differs as much without rollouts is tolerated.
"""

import json
from collections import defaultdict
from collections.abc import Callable, Iterable

from simulator.history import History, Row, RowKind
from simulator.judgement import Judgement
from simulator.rules_timing import outages, was_away

__all__ = ["LOAN_RULES", "first_events_ms", "judge_loans"]

_LATE_MS = 300.0
_NOISE_MS = 40.0
_NOISE_SHARE = 0.015
_DUE_MS = 10_000.0
_MANY = 60
"""With fewer calls, only the median is compared."""
_EDGE_AWAY_MS = 3000.0
_COMPARED_CALLS = (
    ("rulings", False),
    ("narrations", False),
    ("rulings", True),
    ("narrations", True),
)
"""Paths, each in the evening and at night."""


def _calls_at_running_edges(history: History) -> list[Row]:
    """Calls through edges that stayed up meanwhile."""
    away = outages(history)
    return [
        call
        for call in history.rows_of(RowKind.CALL)
        if not was_away(away[call["edge"]], call["at_ms"], call["at_ms"] + _EDGE_AWAY_MS)
    ]


def first_events_ms(history: History, path: str, night: bool) -> list[float]:
    """Return the times to the first event of a path's calls, in the evening or at night, sorted."""
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


def live_calls_not_late(having: History, without: list[History]) -> Judgement:
    """First events come no later than in the worst of the runs without rollouts.

    Evening and night are judged apart.
    """
    breaches, judged = [], 0
    for path, night in _COMPARED_CALLS:
        mine = first_events_ms(having, path, night)
        others = [first_events_ms(history, path, night) for history in without]
        judged += len(mine)
        name = f"{path} {'by night' if night else 'in the evening'}"
        for share in (0.5, 0.9, 0.95) if len(mine) >= _MANY else (0.5,):
            took_ms, most_ms = (
                _quantile(mine, share),
                max(_quantile(rows, share) for rows in others),
            )
            if took_ms > 1.15 * most_ms + _NOISE_MS:
                breaches.append(
                    f"{name}: {share:.0%} of first events within {took_ms:.0f} ms, "
                    f"{most_ms:.0f} without rollouts"
                )
        most = max(map(_late_count, others))
        if _late_count(mine) > most + _NOISE_SHARE * len(mine) + 1:
            breaches.append(
                f"{name}: {_late_count(mine)} first events late, {most} without rollouts"
            )
    return Judgement(judged, breaches)


def _failed_calls(history: History) -> list[Row]:
    return [
        call
        for call in _calls_at_running_edges(history)
        if call["outcome"] in ("error", "cut", "lost", "none") and call["code"] != "key-open"
    ]


def live_calls_not_lost(having: History, without: list[History]) -> Judgement:
    """No call is refused, cut or lost because of rollouts or while a worker changes hands."""
    judged, failed = len(_calls_at_running_edges(having)), _failed_calls(having)
    most = max(len(_failed_calls(history)) for history in without)
    more = len(failed) > most + _NOISE_SHARE * judged
    return Judgement(
        judged,
        [
            f"{len(failed)} calls came to nothing, {most} without rollouts: "
            f"{sorted({call['code'] or call['outcome'] for call in failed})}"
        ]
        if more
        else [],
    )


def samples_once(having: History, without: list[History]) -> Judgement:
    """What was accepted is listed whole, and each sample keeps its place.

    Each sample is of its own prompt, with the weights wanted, and of a whole run.
    """
    runs = {run["transaction"]: run for run in having.rows_of(RowKind.RUN)}
    breaches, judged = [], 0
    seen: dict[tuple[str, int], str] = {}
    for read in having.rows_of(RowKind.ROLLOUT_READ):
        indexes = [index for index, _, _ in read["results"]]
        if indexes != list(range(read["start"], read["start"] + len(indexes))):
            breaches.append(f"{read['rollout']}: listed {indexes} from {read['start']}")
        for index, verdict, text in read["results"]:
            judged += 1
            body = json.loads(text)
            if seen.setdefault((read["rollout"], index), text) != text:
                breaches.append(f"{read['rollout']}#{index} changed")
            if (
                verdict != "ran"
                or (body["prompt"], body["sample"]) != divmod(index, read["samples"])
                or body["weights"] != "w1"
                or not body["text"]
            ):
                breaches.append(f"{read['rollout']}#{index}: {verdict} {text}")
    for row in having.rows_of(RowKind.ROLLOUT_ACCEPTED):
        listed = sum(1 for rollout, _ in seen if rollout == row["rollout"])
        if listed != row["total"]:
            breaches.append(
                f"{row['rollout']}: {listed} of {row['total']} samples are listed at the end"
            )
    return Judgement(judged if runs else 0, breaches)


def unsafe_once(having: History, without: list[History]) -> Judgement:
    """A call that isn't safe to repeat runs at most once."""
    keys: dict[str, int] = defaultdict(int)
    for run in having.rows_of(RowKind.RUN):
        if run["key"]:
            keys[run["key"]] += 1
    return Judgement(
        len(keys), [f"{key} ran {count} times" for key, count in keys.items() if count > 1]
    )


def jobs_on_time(having: History, without: list[History]) -> Judgement:
    """A job that is done in time in all runs without rollouts is done in time with them."""

    def took(history: History) -> dict[str, float]:
        return {
            row["lot"]: row["at_ms"] - row["from_ms"] for row in history.rows_of(RowKind.JOB_DONE)
        }

    mine, others = took(having), [took(history) for history in without]
    comparable = {
        job
        for rows in others
        for job in rows
        if all(row.get(job, 1e9) <= _DUE_MS for row in others)
    }
    return Judgement(
        len(comparable),
        [
            f"{job}: done after {mine.get(job, 1e9):.0f} ms, in time without rollouts"
            for job in sorted(comparable)
            if mine.get(job, 1e9) > _DUE_MS
        ],
    )


def lent_workers_alone(having: History, without: list[History]) -> Judgement:
    """A borrower has its worker to itself, from taking it to returning it.

    Nothing runs there when it takes the worker, and nothing begins before it returns it.
    """
    returned_ms = {row["loan"]: row["at_ms"] for row in having.rows_of(RowKind.RETURNED)}
    breaches = []
    for row in having.rows_of(RowKind.BORROWED):
        if row["running"]:
            breaches.append(
                f"{row['worker']} had {row['running']} calls under way when {row['loan']} began"
            )
        breaches += [
            f"{run['transaction']} ran at {row['worker']} during {row['loan']}"
            for run in having.rows_of(RowKind.RUN)
            if run["identity"] == row["worker"]
            and row["at_ms"] < run["at_ms"] < returned_ms.get(row["loan"], 1e12)
        ]
    return Judgement(len(having.rows_of(RowKind.BORROWED)), breaches)


LOAN_RULES: dict[str, Callable[[History, list[History]], Judgement]] = {
    "live-is-not-late": live_calls_not_late,
    "live-is-not-lost": live_calls_not_lost,
    "samples-listed-once": samples_once,
    "unsafe-runs-once": unsafe_once,
    "lots-stay-on-time": jobs_on_time,
    "lent-workers-are-alone": lent_workers_alone,
}


def judge_loans(
    having: History, without: list[History], due: Iterable[str] = LOAN_RULES
) -> dict[str, list[str]]:
    """Return the breaches by rule; a rule in `due` that judged nothing counts as broken."""
    judgements = {name: rule(having, without) for name, rule in LOAN_RULES.items()}
    return {
        name: breaches or ["nothing to judge"]
        for name, (judged, breaches) in judgements.items()
        if breaches or (name in due and not judged)
    }
