"""The commands of model checking.

`explore` searches all schedules of small groups of nodes for a broken invariant. `histories` runs
the simulator with faults drawn from seeds and checks the histories for linearizability.
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


def _search(job: tuple[str, dict]) -> tuple[str, str, bool]:
    """Search; return the figures, the violation and its schedule, and whether there was none."""
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
    """Search all schedules within bounds; print the shortest one that breaks an invariant.

    Parameters
    ----------
    start
        initial states named in docs/model-checking.md; all if none is given.
    states
        distinct states after which the search from an initial state is cut off.
    depth
        most steps of a schedule.
    seconds
        longest duration of each search.
    duplicates
        messages that may arrive twice. For this and the next nine, each initial state has
        its own default.
    losses
        messages that may be lost.
    ticks
        times that a node's timers may run without an advance of its clock.
    timeouts
        times that a clock may advance by the time-out of a request.
    freezes
        times that a node may find that its process was paused.
    kills
        times that a process may be restarted with all that it wrote.
    powers
        times that a process may be restarted with only what it flushed.
    wipes
        times that a process may be restarted with an empty disk.
    cuts
        times that all messages in flight to and from a node may be lost.
    slow_disk
        whether the end of each flush is a separate step.
    replay
        file of a schedule to run instead of a search; requires one initial state.
    jobs
        searches that run at once.
    """
    arguments = locals()
    counts = ("duplicates", "losses", "ticks", "timeouts", "freezes", "kills", "powers", "wipes")
    bounds = {name: arguments[name] for name in (*counts, "cuts", "slow_disk")}
    bounds = {name: count for name, count in bounds.items() if count is not None}
    bounds.update(states=states, depth=depth, seconds=seconds)
    unknown = [name for name in start if name not in INITIAL_STATES]
    if unknown or (replay is not None and len(start) != 1):
        sys.stderr.write(f"start: must be one of {', '.join(INITIAL_STATES)}\n")
        raise SystemExit(2)
    if replay is not None:
        _replay(start[0], bounds, replay)
        return
    all_hold = True
    with ProcessPoolExecutor(jobs) as pool:
        for line, violation, ok in pool.map(
            _search, [(name, bounds) for name in start or INITIAL_STATES]
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


def _check(job: tuple[int, int, str]) -> HistoryResult:
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
    """Run the simulator and check calls on profiles and jobs for linearizability.

    Parameters
    ----------
    first
        first seed.
    count
        number of seeds.
    faults
        faults in each run.
    shape
        small (three edges, small jobs), or jade or swan with jobs of about 80 items.
    jobs
        runs that go on at once.
    """
    began = time.monotonic()
    broken = undecided = objects = calls = 0
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(
            _check, [(seed, faults, shape) for seed in range(first, first + count)]
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
