"""Checks histories of simulator runs for linearizability, with `modelcheck`.

The profiles' key is specified as a versioned register, and each job by the positions of its
results. The check does not depend on the oracle's rules: it uses only the request and the begin of
each call, and the time and content of its answer.
"""

import json
import random
import time
from typing import Any

from control_store import ReadKey
from modelcheck import Call, linearize
from modelcheck.linearizability import SequentialSpecification
from modelcheck.specifications import (
    CancelJob,
    ChangeKey,
    GetJob,
    JobSpecification,
    JobState,
    ReadValue,
    RegisterSpecification,
    SubmitJob,
)
from simulator import History, run_seed

__all__ = ["HistoryResult", "KeyReader", "check_history", "check_seed", "job_calls", "key_calls"]

_READ_INTERVAL_MS = 120.0
_NO_EFFECT = "not_run"
_SUBMIT_RESPONSES = {"admitted": "admitted", "known": "known", "waiting-room-full": "full"}


class KeyReader:
    """Reads the profiles' key at random control nodes until a run's traffic stops.

    It draws from a random generator of its own.
    """

    __slots__ = ("_rng", "_run")

    def __init__(self, run: Any, seed: int) -> None:
        self._run = run
        self._rng = random.Random(seed)

    def begin(self) -> None:
        """Read now, and again every 60 to 180 ms of virtual time until the run's traffic stops."""
        if self._run.stopped:
            return
        fleet = self._run.fleet
        hosts = fleet.running("control")
        if hosts:
            self._read(self._rng.choice(hosts))
        fleet.time.after(_READ_INTERVAL_MS * (0.5 + self._rng.random()), self.begin)

    def _read(self, host: Any) -> None:
        fleet, incarnation = self._run.fleet, host.incarnation
        row = fleet.history.begin_call("read-key", fleet.time.now_ms)

        def on_result(result: Any) -> None:
            if host.incarnation == incarnation and host.up and row["outcome"] == "none":
                row.update(
                    outcome=result.outcome,
                    version=result.version,
                    change_id=_change_id_in(result.body),
                    answered_ms=fleet.time.now_ms,
                )

        host.node.owner.submit(ReadKey(key="profiles", hops=0), on_result)


class HistoryResult:
    """The result of checking the history of one run.

    `violations` has a text for each object that is not linearizable, with the calls that fit
    nowhere in its order. `undecided` names the objects whose search reached its limit.
    `configurations` counts the configurations that were searched.
    """

    __slots__ = ("calls", "configurations", "objects", "seconds", "seed", "undecided", "violations")

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.objects = 0
        self.calls = 0
        self.configurations = 0
        self.seconds = 0.0
        self.violations: list[str] = []
        self.undecided: list[str] = []


def _change_id_in(body: str) -> str:
    profiles = json.loads(body)["profiles"] if body else {}
    return next((name[5:] for name in profiles if name.startswith("mark-")), "")


def key_calls(history: History) -> list[Call]:
    """Return the changes and reads of the profiles' key, without changes that were refused."""
    calls = []
    for row in history.rows_of("change"):
        request = ChangeKey(row["change_id"], row["base_version"])
        if row["outcome"] in ("ok", "lost"):
            answer = (row["outcome"], row["version"])
            calls.append(Call(request, row["at_ms"], answer, row["answered_ms"]))
        elif row["outcome"] != "refused":
            calls.append(Call(request, row["at_ms"]))
    for row in history.begun_calls:
        if row["kind"] == "read-key" and row["outcome"] == "ok":
            answer = (row["version"], row["change_id"])
            calls.append(Call(ReadValue(), row["began_ms"], answer, row["answered_ms"]))
    return calls + _final_changes(history)


def _final_changes(history: History) -> list[Call]:
    """Return the changes sent again at the end; they began at some time after the last probe."""
    base_versions = {row["change_id"]: row["base_version"] for row in history.rows_of("change")}
    invoked_ms = max((row["at_ms"] for row in history.rows_of("probe")), default=0.0)
    return [
        Call(
            ChangeKey(row["change_id"], base_versions[row["change_id"]]),
            invoked_ms,
            (row["outcome"], row["version"]),
            row["at_ms"],
        )
        for row in history.rows_of("final-change")
    ]


def job_calls(history: History) -> dict[str, list[Call]]:
    """Return the calls on each job by its id, without submissions that had no effect."""
    found: dict[str, list[Call]] = {}
    for row in history.rows_of("hand-in"):
        calls = found.setdefault(row["lot"], [])
        if row["outcome"] in _SUBMIT_RESPONSES:
            answer = _SUBMIT_RESPONSES[row["outcome"]]
            calls.append(Call(SubmitJob(), row["at_ms"], answer, row["answered_ms"]))
        elif row["verdict"] != _NO_EFFECT:
            calls.append(Call(SubmitJob(), row["at_ms"]))
    for row in history.rows_of("read"):
        shown = {place: f"{outcome} {text}" for place, outcome, text in row["results"]}
        known = row["outcome"] == "known"
        answer = JobState(row["ended"], row["listed"], row["total"], shown) if known else "missing"
        call = Call(GetJob(row["start"]), row["began_ms"], answer, row["at_ms"])
        found.setdefault(row["lot"], []).append(call)
    for row in history.begun_calls:
        if row["kind"] == "end":
            known = row["outcome"] == "ok"
            times = {"response": "ended", "returned_ms": row["answered_ms"]} if known else {}
            found.setdefault(row["lot"], []).append(Call(CancelJob(), row["began_ms"], **times))
    return found


def check_history(history: History, seed: int = 0) -> HistoryResult:
    """Check that the calls on each object of a history are linearizable."""
    result, began = HistoryResult(seed), time.monotonic()
    _check(result, "profiles", key_calls(history), RegisterSpecification())
    totals = {row["lot"]: row["count"] for row in history.rows_of("hand-in")}
    for job, calls in job_calls(history).items():
        _check(result, job, calls, JobSpecification(totals.get(job, 0)))
    result.seconds = time.monotonic() - began
    return result


def _check(
    result: HistoryResult, name: str, calls: list[Call], specification: SequentialSpecification
) -> None:
    search = linearize(calls, specification)
    result.objects += 1
    result.calls += len(calls)
    result.configurations += search.configurations
    if not search.is_decided:
        result.undecided.append(name)
    elif not search.is_linearizable:
        blocked = "; ".join(map(repr, search.blocked))
        result.violations.append(f"{name}: after {search.longest_order[-3:]} none of: {blocked}")


def check_seed(
    seed: int, faults: int, shape: str, rows: list[tuple[float, str]] | None = None
) -> HistoryResult:
    """Run one seed of the simulator with a KeyReader, and check its history."""
    _, run = run_seed(
        seed,
        faults,
        shape=shape,
        fault_schedule=rows,
        on_started=lambda run: KeyReader(run, seed).begin(),
    )
    return check_history(run.fleet.history, seed)
