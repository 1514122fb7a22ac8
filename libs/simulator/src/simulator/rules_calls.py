"""Rules about requests: how often they ran, what clients were told, and what they received.

Each rule takes a history and returns its judgement.
"""

from collections import defaultdict
from collections.abc import Callable

from simulator.history import History, RowKind
from simulator.judgement import SLACK_MS, Judgement

__all__ = [
    "bodies_complete",
    "departed_workers_get_nothing",
    "keys_one_body",
    "not_run_is_true",
    "streams_complete",
    "unsafe_runs_once",
    "workers_allowed",
]


def unsafe_runs_once(history: History) -> Judgement:
    """A request that isn't safe to repeat runs at most once."""
    runs: dict[str, list[str]] = defaultdict(list)
    for run in history.rows_of(RowKind.RUN):
        if not run["safe"]:
            runs[run["key"] or f"{run['lot']}#{run['index']}"].append(run["transaction"])
    return Judgement(
        len(runs),
        [
            f"{name} ran {len(requests)} times: {requests}"
            for name, requests in runs.items()
            if len(requests) > 1
        ],
    )


def not_run_is_true(history: History) -> Judgement:
    """A request that was reported not run never ran.

    Runs are found by the call's name, which reaches the worker in the prompt, by its key, and by
    the job.
    """
    ran = {run["call"] for run in history.rows_of(RowKind.RUN)}
    refused = [call for call in history.rows_of(RowKind.CALL) if call["verdict"] == "not_run"]
    breaches = [
        f"{call['call']} was told not_run and ran" for call in refused if call["call"] in ran
    ]
    by_key = {run["key"]: run["at_ms"] for run in history.rows_of(RowKind.RUN) if run["key"]}
    breaches += [
        f"key {call['key']} was told not_run at {call['answered_ms']} after it had run"
        for call in refused
        if call["key"] in by_key
        and by_key[call["key"]] < call["answered_ms"]
        and call["code"] != "key-reused"
    ]
    verdicts_by_job: dict[str, list[str]] = defaultdict(list)
    for row in history.rows_of(RowKind.SUBMISSION):
        verdicts_by_job[row["lot"]].append(row["verdict"])
    refused_jobs = [
        job for job, verdicts in verdicts_by_job.items() if set(verdicts) == {"not_run"}
    ]
    jobs = {run["lot"] for run in history.rows_of(RowKind.RUN) if run["lot"]}
    breaches += [f"{job} was refused at every try and ran" for job in refused_jobs if job in jobs]
    return Judgement(len(refused) + len(refused_jobs), breaches)


def streams_complete(history: History) -> Judgement:
    """A stream has the events of one run, in order and, if it ended well, all of them."""
    ended = {row["transaction"]: row["event_count"] for row in history.rows_of(RowKind.RUN_ENDED)}
    breaches, judged = [], 0
    for call in history.rows_of(RowKind.CALL):
        if not call["events"] and call["outcome"] not in ("finish", "cut"):
            continue
        judged += 1
        names = {text.partition(":")[0] for text in call["events"]}
        indexes = [int(text.partition(":")[2]) for text in call["events"]]
        if len(names) > 1:
            breaches.append(f"{call['call']}: events of {len(names)} runs")
        if indexes != list(range(len(indexes))):
            breaches.append(f"{call['call']}: events {indexes}")
        if call["outcome"] == "finish" and (
            call["transaction"] not in ended or len(indexes) != ended[call["transaction"]]
        ):
            breaches.append(f"{call['call']}: looked complete with {len(indexes)} events")
    return Judgement(judged, breaches)


def _complete_output(history: History) -> Callable[[str], str]:
    """Return a function that names the run of which a text is the complete output, or ""."""
    ended = {row["transaction"]: row["event_count"] for row in history.rows_of(RowKind.RUN_ENDED)}

    def run_of(text: str) -> str:
        events = text.split("|")
        name = events[0].partition(":")[0]
        complete = [f"{name}:{index}" for index in range(ended.get(name, -1))]
        return name if events == complete else ""

    return run_of


def bodies_complete(history: History) -> Judgement:
    """An answer or a result is the whole output of the run that it belongs to."""
    runs = {run["transaction"]: run for run in history.rows_of(RowKind.RUN)}
    breaches, judged, run_of = [], 0, _complete_output(history)
    for call in history.rows_of(RowKind.CALL):
        if call["outcome"] in ("finish", "replay"):
            judged += 1
            name = run_of(call["body"])
            if (
                not name
                or runs[name]["key"] != call["key"]
                or (not call["key"] and runs[name]["call"] != call["call"])
            ):
                breaches.append(f"{call['call']}: body {call['body']!r}")
    for read in history.rows_of(RowKind.READ):
        for index, outcome, text in read["results"]:
            if outcome == "ran":
                judged += 1
                name = run_of(text)
                if not name or (runs[name]["lot"], runs[name]["index"]) != (read["lot"], index):
                    breaches.append(f"{read['lot']}#{index}: result {text!r}")
    return Judgement(judged, breaches)


def keys_one_body(history: History) -> Judgement:
    """A key is answered with one body for ever, and with the answer to what was asked."""
    runs = {run["transaction"]: run for run in history.rows_of(RowKind.RUN)}
    by_key: dict[str, str] = {}
    breaches, judged = [], 0
    for call in history.rows_of(RowKind.CALL):
        if not call["key"] or call["outcome"] not in ("finish", "replay"):
            continue
        judged += 1
        if by_key.setdefault(call["key"], call["body"]) != call["body"]:
            breaches.append(f"{call['call']}: key {call['key']} had another answer before")
        run = runs.get(call["body"].partition(":")[0])
        if run is not None and run["question"] != call["question"]:
            breaches.append(
                f"{call['call']}: asked {call['question']!r}, answered what {run['question']!r} got"
            )
    return Judgement(judged, breaches)


def workers_allowed(history: History) -> Judgement:
    """A request reaches only workers that its profile allows."""
    allowed = set(history.settings.get("allowed", ["gpu"]))
    runs = history.rows_of(RowKind.RUN)
    return Judgement(
        len(runs),
        [
            f"{run['transaction']} reached {run['worker']}"
            for run in runs
            if not allowed & ({run["identity"]} | set(run["labels"]))
        ],
    )


def departed_workers_get_nothing(history: History) -> Judgement:
    """A worker gets nothing once an edge has known for `force_ms` that it is gone.

    An edge knows from a leave that it took, a crash, or silence, which a worker that was only
    unreachable ends with its next heartbeat.
    """
    limit_ms = history.settings.get("force_ms", 2000) + SLACK_MS
    gone: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for row in history.rows_of(RowKind.WORKER_LEFT):
        gone[row["worker"]].append((row["at_ms"] + limit_ms, row.get("until_ms", 1e12)))
    breaches = [
        f"{row['transaction']} was sent to {row['worker']} after it was gone"
        for row in history.rows_of(RowKind.SENT)
        if any(from_ms < row["at_ms"] < to_ms for from_ms, to_ms in gone[row["worker"]])
    ]
    return Judgement(len(history.rows_of(RowKind.WORKER_LEFT)), breaches)
