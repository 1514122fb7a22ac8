"""The scenarios (days) of a fleet of real processes: their faults, and when each begins."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from testbed import environment_faults as environment
from testbed import process_faults as processes
from testbed.fleet import Fleet
from testbed.traffic import Traffic

__all__ = ["REQUIRED_RULES", "REQUIRED_RULES_BY_SCENARIO", "SCENARIOS", "Fault", "Scenario"]

Fault = Callable[[Fleet, random.Random, Traffic], Awaitable[None]]


class Scenario(NamedTuple):
    """The faults of a scenario, each with the second at which it begins.

    `injection` says whether the processes run with fault injection.
    """

    faults: list[tuple[float, Fault]]
    injection: bool


SCENARIOS: dict[str, Scenario] = {
    "calm": Scenario([], injection=False),
    "owner-and-holder": Scenario(
        [(4, processes.kill_leader), (9, processes.kill_owner)], injection=False
    ),
    "weather": Scenario(
        [
            (3, processes.kill_edge),
            (5, processes.kill_worker),
            (7, processes.freeze_edge),
            (12, processes.freeze_leader),
            (18, processes.freeze_owner),
            (22, processes.drain_edge),
            (26, processes.kill_leader),
            (31, processes.kill_all_stores),
        ],
        injection=False,
    ),
    "members": Scenario(
        [
            (3, processes.replace_store),
            (12, processes.replace_control_node),
            (24, processes.retire_store),
            (32, processes.replace_all_workers),
        ],
        injection=False,
    ),
    "full-disks": Scenario([(4, processes.fill_store_disks)], injection=False),
    "control-exchange": Scenario([(3, processes.replace_all_control_nodes)], injection=False),
    "slow-worker": Scenario([(3, processes.add_slow_worker)], injection=False),
    "dark-worker": Scenario(
        [(3, processes.freeze_worker), (10, processes.freeze_worker)], injection=False
    ),
    "last-fault": Scenario(
        [(4, processes.kill_leader), (9, processes.kill_everything)], injection=False
    ),
    "power": Scenario(
        [
            (3, environment.power_loss_after_acknowledgement),
            (9, environment.power_loss_after_acknowledgement),
            (16, environment.power_loss_everywhere),
        ],
        injection=True,
    ),
    "control-split": Scenario(
        [(3, environment.partition_control), (11, environment.partition_control)], injection=True
    ),
    "control-cut-off": Scenario([(3, environment.partition_control_from_fleet)], injection=True),
    "isolated": Scenario([(3, environment.isolate_each_role)], injection=True),
    "one-way": Scenario([(3, environment.partition_one_way)], injection=True),
    "most-edges-cut": Scenario([(3, environment.partition_most_edges)], injection=True),
    "clocks": Scenario([(3, environment.step_clocks)], injection=True),
    "lossy": Scenario([(3, environment.lose_messages)], injection=True),
    "full-everywhere": Scenario([(4, environment.fill_all_disks)], injection=True),
    "disk-lost": Scenario(
        [(4, environment.lose_disk), (16, environment.power_loss_after_acknowledgement)],
        injection=True,
    ),
    "two-operators": Scenario([(3, environment.change_from_two_operators)], injection=True),
    "crowd": Scenario([(3, environment.overload_workers)], injection=True),
    "retired": Scenario([(3, environment.retire_leader)], injection=True),
    "short-power": Scenario(
        [(1, environment.power_loss_after_acknowledgement), (5, environment.isolate_each_role)],
        injection=True,
    ),
}
"""The scenarios by their names on the command line and in docs/proof.md."""

REQUIRED_RULES = (
    "unsafe-runs-once",
    "streams-are-whole",
    "bodies-are-whole",
    "keys-one-body",
    "workers-are-allowed",
    "versions-in-force",
    "changes-kept",
    "accepted-is-kept",
    "kept-at-the-end",
    "waiting-room-is-exact",
    "service-resumes",
    "live-in-time",
)
"""Rules of the oracle that must have judged some row in every scenario."""

REQUIRED_RULES_BY_SCENARIO = {"calm": ("lots-in-time",), "members": ("gone-workers-get-nothing",)}
"""Further rules that must have judged some row, by scenario."""
