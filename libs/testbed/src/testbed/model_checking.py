"""The commands of model checking.

`explore` tries all schedules of small groups of nodes; `histories` draws simulator runs and checks
what callers saw for linearizability.
"""

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated, Literal

from cyclopts import Parameter
from modelcheck import Explorer, InvariantViolationError, read_schedule, write_schedule
from modelcheck.initial_states import INITIAL_STATES

from testbed.histories import HistoryResult, check_seed

__all__ = ["explore", "histories"]


def _explored(job: tuple[str, dict]) -> tuple[str, str, bool]:
    """Return one search's figures, its violation with the counterexample, and whether all held."""
    name, bounds = job
    model = INITIAL_STATES[name].model(**bounds)
    explorer = Explorer(model)
    result = explorer.search()
    rate = round(result.states / max(result.seconds, 0.001))
    extent = "all within the bounds" if result.is_complete else "cut off"
    line = (
        f"{name}: {result.states} distinct states ({result.local_states} of nodes), "
        f"depth {result.depth}, "
        f"{result.seconds:.1f} s, {rate} states/s, {extent}; bounds: {model.bounds}"
    )
    if result.violation is None:
        return line, "", True
    schedule = write_schedule(explorer.describe(result.counterexample))
    return line, f"{result.violation}\n{schedule}", False


def explore(
    *start: str,
    states: int = 100_000,
    depth: int = 100,
    seconds: float = 1e9,
    duplicates: int | None = None,
    losses: int | None = None,
    ticks: int | None = None,
    timeouts: int | None = None,
    freezes: int | None = None,
    kills: int | None = None,
    powers: int | None = None,
    wipes: int | None = None,
    cuts: int | None = None,
    slow_disk: Annotated[bool | None, Parameter(negative="--fast-disk")] = None,
    replay: Path | None = None,
    jobs: int = 2,
) -> None:
    """Try all schedules of small groups of nodes up to bounds; print the shortest that breaks one.

    Parameters
    ----------
    start: starting states, as docs/model-checking.md names them; all if none is named.
    states: distinct states after which a search is cut off, for each start.
    depth: the most steps in a schedule.
    seconds: the longest that each search takes.
    duplicates: how many messages may arrive twice; each start has its own number of this and next.
    losses: how many messages may be lost.
    ticks: how many times a node's timers may run where its clock stands.
    timeouts: how many times a clock may move on by what an asking waits.
    freezes: how many times a node may find that it stood still.
    kills: how many times a process may be started again with all that it wrote.
    powers: how many times with only what was flushed.
    wipes: how many times with an empty disk.
    cuts: how many times all that is in flight to and from a node may be lost.
    slow_disk: the end of each flush is a step of its own.
    replay: a file with a written schedule, which is run instead of a search; wants one start.
    jobs: how many searches at a time.
    """
    given = locals()
    counts = ("duplicates", "losses", "ticks", "timeouts", "freezes", "kills", "powers", "wipes")
    bounds = {name: given[name] for name in (*counts, "cuts", "slow_disk")}
    bounds = {name: count for name, count in bounds.items() if count is not None}
    bounds.update(states=states, depth=depth, seconds=seconds)
    unknown = [name for name in start if name not in INITIAL_STATES]
    if unknown or (replay is not None and len(start) != 1):
        sys.stderr.write(f"start: one of {', '.join(INITIAL_STATES)}\n")
        raise SystemExit(2)
    if replay is not None:
        _replay(start[0], bounds, replay)
        return
    all_hold = True
    with ProcessPoolExecutor(jobs) as pool:
        for line, violation, ok in pool.map(
            _explored, [(name, bounds) for name in start or INITIAL_STATES]
        ):
            sys.stdout.write(f"{line}\n{violation}")
            sys.stdout.flush()
            all_hold = all_hold and ok
    if not all_hold:
        raise SystemExit(1)


def _replay(start: str, bounds: dict, path: Path) -> None:
    try:
        Explorer(INITIAL_STATES[start].model(**bounds)).replay(read_schedule(path.read_text()))
    except InvariantViolationError as violation:
        sys.stdout.write(f"{violation}\n")
        raise SystemExit(1) from violation
    except (LookupError, ValueError) as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(2) from error
    sys.stdout.write("every step was possible and every invariant held\n")


def _checked(job: tuple[int, int, str]) -> HistoryResult:
    try:
        return check_seed(*job)
    except Exception as error:
        result = HistoryResult(job[0])
        result.violations.append(f"raised {error!r}")
        return result


def histories(
    *,
    first: int = 0,
    count: int = 32,
    faults: int = 6,
    shape: Literal["small", "jade", "swan"] = "small",
    jobs: int = 2,
) -> None:
    """Draw simulator runs and check what callers saw of profiles and lots for linearizability.

    Parameters
    ----------
    first: the first seed.
    count: how many seeds.
    faults: how many faults in each run.
    shape: small (three edges, small lots), or the users' shapes with lots of about eighty.
    jobs: how many runs at a time.
    """
    began = time.monotonic()
    broken = undecided = objects = calls = 0
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(
            _checked, [(seed, faults, shape) for seed in range(first, first + count)]
        ):
            objects += result.objects
            calls += result.calls
            undecided += len(result.undecided)
            broken += bool(result.violations)
            for violation in result.violations:
                sys.stdout.write(f"seed {result.seed}: {violation}\n")
    sys.stdout.write(
        f"{count} runs, {objects} objects, {calls} operations, {time.monotonic() - began:.1f} s: "
        f"{broken} runs not linearizable, {undecided} objects undecided\n"
    )
    if broken:
        raise SystemExit(1)
