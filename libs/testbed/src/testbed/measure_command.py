"""The command that runs measurements."""

import sys
from typing import Annotated, Literal

from cyclopts import Parameter

from testbed.measure import measure_fleet, measure_log
from testbed.measure_ledger import measure_ledger
from testbed.measure_rollouts import measure_rollouts
from testbed.measure_routing import measure_overload, measure_prefix, measure_routes
from testbed.measure_scale import measure_scale
from testbed.measure_units import measure_units

__all__ = ["measure"]


def measure(
    what: Literal[
        "log", "fleet", "routes", "prefix", "crowd", "ledger", "rollouts", "scale", "units"
    ],
    *,
    repeats: int = 3,
    count: int = 400,
    body_bytes: int = 500,
    seconds: float = 6.0,
    sync_ms: float = 0.0,
    nodes: Annotated[list[int] | None, Parameter(consume_multiple=True, negative=())] = None,
) -> None:
    """Run a measurement and print its report.

    Parameters
    ----------
    what
        log (appends, compared with plain syncs), fleet (live calls, recovery, changes), routes
        (many profiles), prefix (placement), crowd (overload), ledger (batch state of one store),
        rollouts, scale (cost of a node by fleet size) or units (cost of single operations).
    repeats
        paired runs, or seeds.
    count
        appends in a run, profiles, or jobs.
    body_bytes
        size of an entry's body.
    seconds
        duration of a run with live calls, or of the metered span.
    sync_ms
        milliseconds added to each sync, for disks slower than this machine's.
    nodes
        sizes of simulated fleets.
    """
    sizes = nodes or [20, 60, 120]
    ways = {
        "log": lambda: measure_log(count, body_bytes, repeats, sync_ms),
        "prefix": measure_prefix,
        "fleet": lambda: measure_fleet(seconds, repeats),
        "routes": lambda: measure_routes(count),
        "crowd": measure_overload,
        "ledger": lambda: measure_ledger(count, body_bytes),
        "rollouts": lambda: measure_rollouts(seconds, repeats),
        "scale": lambda: measure_scale(sizes, repeats, seconds),
        "units": lambda: measure_units(count, body_bytes, repeats),
    }
    sys.stdout.write(ways[what]() + "\n")
