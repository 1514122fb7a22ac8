"""Rules about batch jobs: accepted jobs are kept, cancelled ones stop, backlogs are limited.

Each rule takes a history and returns a Judgement.
"""

from collections import defaultdict

from simulator.history import History, RowKind
from simulator.judgement import SLACK_MS, Judgement

__all__ = [
    "accepted_jobs_kept",
    "backlog_limited",
    "cancelled_jobs_stop",
    "jobs_kept_at_end",
]

_ACCEPTED = ("admitted", "known")


def accepted_jobs_kept(history: History) -> Judgement:
    """A read that begins after a job's acknowledgement finds the job.

    Results are listed without gaps from the index asked for, and a result never changes.
    """
    acked: dict[str, float] = {}
    for row in history.rows_of(RowKind.SUBMISSION):
        if row["outcome"] in _ACCEPTED:
            acked[row["lot"]] = min(acked.get(row["lot"], 1e12), row["answered_ms"])
    breaches, judged = [], 0
    results: dict[tuple[str, int], str] = {}
    for read in history.rows_of(RowKind.READ):
        job = read["lot"]
        judged += job in acked and read["began_ms"] > acked[job]
        if read["outcome"] == "missing" and job in acked and read["began_ms"] > acked[job]:
            breaches.append(
                f"{job} was accepted at {acked[job]} ms, "
                f"but missing in a read that began at {read['began_ms']} ms"
            )
        indexes = [index for index, _, _ in read["results"]]
        if indexes != list(range(read["start"], read["start"] + len(indexes))):
            breaches.append(f"{job}: read from index {read['start']}, listed indexes {indexes}")
        for index, outcome, text in read["results"]:
            if results.setdefault((job, index), f"{outcome} {text}") != f"{outcome} {text}":
                breaches.append(f"{job}#{index}: the result changed")
    return Judgement(judged, breaches)


def jobs_kept_at_end(history: History) -> Judgement:
    """At the end, each accepted job exists and lists at least all results that were read."""
    final = {row["lot"]: row for row in history.rows_of(RowKind.FINAL_READ)}
    breaches, judged = [], 0
    listed: dict[str, int] = defaultdict(int)
    for read in history.rows_of(RowKind.READ):
        if read["results"]:
            listed[read["lot"]] = max(listed[read["lot"]], read["results"][-1][0] + 1)
    for row in history.rows_of(RowKind.SUBMISSION):
        if row["outcome"] in _ACCEPTED and final:
            judged += 1
            last = final.get(row["lot"])
            if last is None or last["outcome"] != "known":
                breaches.append(
                    f"{row['lot']} was accepted, but at the end: {last and last['outcome']}"
                )
            elif last["listed"] < listed[row["lot"]]:
                breaches.append(
                    f"{row['lot']} lists {last['listed']} results, {listed[row['lot']]} were read"
                )
    return Judgement(judged, breaches)


def cancelled_jobs_stop(history: History) -> Judgement:
    """No item of a job starts later than `end_ms` after its cancellation was acknowledged."""
    limit_ms = history.settings.get("end_ms", 3000) + SLACK_MS
    ended: dict[str, float] = {}
    for row in history.rows_of(RowKind.CANCELLATION):
        ended.setdefault(row["lot"], row["at_ms"])
    return Judgement(
        len(ended),
        [
            f"{run['lot']}#{run['index']} ran {run['at_ms'] - ended[run['lot']]:.0f} ms "
            "after its cancellation"
            for run in history.rows_of(RowKind.RUN)
            if run["lot"] in ended and run["at_ms"] > ended[run["lot"]] + limit_ms
        ],
    )


def backlog_limited(history: History) -> Judgement:
    """The number of open jobs of a path never exceeds its backlog limit.

    This is judged by the leaders' own counts, and by what clients observed: a job was open at least
    from its acknowledgement until the start of the last read that showed it open.
    """
    limit = history.settings.get("room", 3)
    samples = history.rows_of(RowKind.BACKLOG)
    breaches = [
        f"{row['store']} at {row['at_ms']} ms: {row['used']} jobs wait on {row['path']}"
        for row in samples
        if row["used"] > limit
    ]
    open_until = _last_shown_open(history)
    for path, steps in _steps_of_backlog(history, open_until).items():
        waiting = 0
        for at_ms, step in sorted(steps):
            waiting += step
            if waiting > limit:
                breaches.append(f"{waiting} jobs were open on {path} at {at_ms:.0f} ms")
    return Judgement(len(samples) + len(open_until), breaches)


def _last_shown_open(history: History) -> dict[str, float]:
    """Return by job the start of the last read that showed it open."""
    open_until: dict[str, float] = {}
    for read in history.rows_of(RowKind.READ):
        if read["outcome"] == "known" and not read["ended"] and read["listed"] < read["total"]:
            open_until[read["lot"]] = max(open_until.get(read["lot"], 0.0), read["began_ms"])
    return open_until


def _steps_of_backlog(
    history: History, open_until: dict[str, float]
) -> dict[str, list[tuple[float, int]]]:
    """Return by path the times at which the number of open jobs rose (1) or fell (-1).

    Only jobs that a read showed open after their acknowledgement are counted.
    """
    accepted: dict[str, tuple[str, float]] = {}
    for row in history.rows_of(RowKind.SUBMISSION):
        if row["outcome"] in _ACCEPTED and row["lot"] not in accepted:
            accepted[row["lot"]] = (row["path"], row["answered_ms"])
    steps: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for job, (path, from_ms) in accepted.items():
        if open_until.get(job, 0.0) > from_ms:
            steps[path] += [(from_ms, 1), (open_until[job], -1)]
    return steps
