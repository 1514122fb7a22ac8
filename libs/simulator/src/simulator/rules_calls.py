"""Rules about requests: how often they run, what clients are told, and what they receive.

Each rule takes a history and returns a Judgement.
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
    """A request that is not safe to repeat runs at most once."""
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
    """A request that is reported as not run never runs.

    A request's runs are found by the call's name, by its key and by its job, all of which the
    prompt carries to the worker. For a key, only runs before the report count.
    """
    ran = {run["call"] for run in history.rows_of(RowKind.RUN)}
    refused = [call for call in history.rows_of(RowKind.CALL) if call["verdict"] == "not_run"]
    breaches = [
        f"{call['call']} was reported as not_run, but ran"
        for call in refused
        if call["call"] in ran
    ]
    by_key = {run["key"]: run["at_ms"] for run in history.rows_of(RowKind.RUN) if run["key"]}
    breaches += [
        f"key {call['key']} was reported as not_run at {call['answered_ms']} ms, but had run"
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
    breaches += [f"{job} was refused at every try, but ran" for job in refused_jobs if job in jobs]
    return Judgement(len(refused) + len(refused_jobs), breaches)


def streams_complete(history: History) -> Judgement:
    """A stream has the events of one run in order, and all of them if it ended normally."""
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
            breaches.append(f"{call['call']}: event indexes out of order: {indexes}")
        if call["outcome"] == "finish" and (
            call["transaction"] not in ended or len(indexes) != ended[call["transaction"]]
        ):
            breaches.append(
                f"{call['call']}: ended normally with {len(indexes)} events, not those of its run"
            )
    return Judgement(judged, breaches)


def _complete_output(history: History) -> Callable[[str], str]:
    """Return a function that returns the run whose complete output is a text, or ""."""
    ended = {row["transaction"]: row["event_count"] for row in history.rows_of(RowKind.RUN_ENDED)}

    def run_of(text: str) -> str:
        events = text.split("|")
        name = events[0].partition(":")[0]
        complete = [f"{name}:{index}" for index in range(ended.get(name, -1))]
        return name if events == complete else ""

    return run_of


def bodies_complete(history: History) -> Judgement:
    """A response or a job's result is the complete output of a run of that call or item."""
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
                breaches.append(
                    f"{call['call']}: body {call['body']!r} is not the output of its run"
                )
    for read in history.rows_of(RowKind.READ):
        for index, outcome, text in read["results"]:
            if outcome == "ran":
                judged += 1
                name = run_of(text)
                if not name or (runs[name]["lot"], runs[name]["index"]) != (read["lot"], index):
                    breaches.append(
                        f"{read['lot']}#{index}: result {text!r} is not the output of its run"
                    )
    return Judgement(judged, breaches)


def keys_one_body(history: History) -> Judgement:
    """All calls with a key get the same body, which is the response to what they asked."""
    runs = {run["transaction"]: run for run in history.rows_of(RowKind.RUN)}
    by_key: dict[str, str] = {}
    breaches, judged = [], 0
    for call in history.rows_of(RowKind.CALL):
        if not call["key"] or call["outcome"] not in ("finish", "replay"):
            continue
        judged += 1
        if by_key.setdefault(call["key"], call["body"]) != call["body"]:
            breaches.append(f"{call['call']}: key {call['key']} got another body before")
        run = runs.get(call["body"].partition(":")[0])
        if run is not None and run["question"] != call["question"]:
            breaches.append(
                f"{call['call']}: asked {call['question']!r}, got the response to "
                f"{run['question']!r}"
            )
    return Judgement(judged, breaches)


def workers_allowed(history: History) -> Judgement:
    """A request runs only at workers that its profile allows."""
    allowed = set(history.settings.get("allowed", ["gpu"]))
    runs = history.rows_of(RowKind.RUN)
    return Judgement(
        len(runs),
        [
            f"{run['transaction']} ran at {run['worker']}, which its profile does not allow"
            for run in runs
            if not allowed & ({run["identity"]} | set(run["labels"]))
        ],
    )


def departed_workers_get_nothing(history: History) -> Judgement:
    """No request is sent to a worker later than `force_ms` after its departure.

    A departure is a leave that an edge received, a crash, or the start of unresponsiveness. The
    latter ends at `until_ms`; the worker's next heartbeat makes it available again.
    """
    limit_ms = history.settings.get("force_ms", 2000) + SLACK_MS
    departures: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for row in history.rows_of(RowKind.WORKER_LEFT):
        departures[row["worker"]].append((row["at_ms"] + limit_ms, row.get("until_ms", 1e12)))
    breaches = [
        f"{row['transaction']} was sent to {row['worker']} after its departure"
        for row in history.rows_of(RowKind.SENT)
        if any(from_ms < row["at_ms"] < to_ms for from_ms, to_ms in departures[row["worker"]])
    ]
    return Judgement(len(history.rows_of(RowKind.WORKER_LEFT)), breaches)
