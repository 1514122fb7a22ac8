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
from modelcheck import BreachError, Explorer, read_schedule, write_schedule
from modelcheck.starts import STARTS

from testbed.histories import HistoryResult, check_seed

__all__ = ["explore", "histories"]


def _explored(job: tuple[str, dict]) -> tuple[str, str, bool]:
    """One start: its line of figures, the schedule of a breach, and whether it held."""
    name, bounds = job
    world = STARTS[name].world(**bounds)
    explorer = Explorer(world)
    found = explorer.search()
    rate = round(found.states / max(found.seconds, 0.001))
    extent = "all within the bounds" if found.whole else "cut off"
    line = (
        f"{name}: {found.states} distinct states ({found.local_states} of nodes), "
        f"depth {found.depth}, "
        f"{found.seconds:.1f} s, {rate} states/s, {extent}; bounds: {world.bounds}"
    )
    if found.breach is None:
        return line, "", True
    return line, f"{found.breach}\n{write_schedule(explorer.describe(found.schedule))}", False


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
    unknown = [name for name in start if name not in STARTS]
    if unknown or (replay is not None and len(start) != 1):
        sys.stderr.write(f"start: one of {', '.join(STARTS)}\n")
        raise SystemExit(2)
    if replay is not None:
        _replay(start[0], bounds, replay)
        return
    held = True
    with ProcessPoolExecutor(jobs) as pool:
        for line, breach, ok in pool.map(_explored, [(name, bounds) for name in start or STARTS]):
            sys.stdout.write(f"{line}\n{breach}")
            sys.stdout.flush()
            held = held and ok
    if not held:
        raise SystemExit(1)


def _replay(start: str, bounds: dict, path: Path) -> None:
    try:
        Explorer(STARTS[start].world(**bounds)).replay(read_schedule(path.read_text()))
    except BreachError as breach:
        sys.stdout.write(f"{breach}\n")
        raise SystemExit(1) from breach
    except (LookupError, ValueError) as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(2) from error
    sys.stdout.write("every step was possible and every invariant held\n")


def _checked(job: tuple[int, int, str]) -> HistoryResult:
    try:
        return check_seed(*job)
    except Exception as error:
        result = HistoryResult(job[0])
        result.breaches.append(f"raised {error!r}")
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
            broken += bool(result.breaches)
            for breach in result.breaches:
                sys.stdout.write(f"seed {result.seed}: {breach}\n")
    sys.stdout.write(
        f"{count} runs, {objects} objects, {calls} operations, {time.monotonic() - began:.1f} s: "
        f"{broken} runs not linearizable, {undecided} objects undecided\n"
    )
    if broken:
        raise SystemExit(1)
