"""Model checking of the real protocol cores, and checking of recorded histories.

A small-scope explorer tries all schedules of messages, timers and faults up to given bounds; a
separate checker decides whether a recorded history is linearizable. docs/model-checking.md lists
the invariants and the searches that were run.

- `system_model` defines what a model of a group of nodes provides for the explorer. `control_model`
  and `log_model` are the two models, and their modules check the invariants.
  `control_initial_states`, `log_initial_states` and `member_change_initial_states` define the named
  initial states; `control_stubs` and `log_stubs` replace the components that are not explored.
- `explorer` searches the global states, `local_states` computes the effect of an event on a node,
  `canonical_encoding` identifies equal local states, and `model_environment` simulates a node's
  clock, network, random numbers and disk.
- `linearizability` searches for a linearization of a history, and `specifications` has the
  sequential specifications of the objects.

This package may import the libraries whose cores it explores, but no part of a program; only tests
and `testbed` import it.
"""

from typing import TYPE_CHECKING

from runtime.lazy_exports import lazy_exports

if TYPE_CHECKING:  # for type checkers; at run time each name is imported on first access
    from modelcheck.actions import (
        read_schedule,
        write_schedule,
    )
    from modelcheck.control_initial_states import CONTROL_INITIAL_STATES
    from modelcheck.control_model import ControlKeyModel
    from modelcheck.explorer import Explorer
    from modelcheck.initial_states import INITIAL_STATES
    from modelcheck.linearizability import (
        Call,
        linearize,
    )
    from modelcheck.system_model import (
        Bounds,
        InitialState,
        InvariantViolationError,
        Operation,
    )

__all__ = [
    "CONTROL_INITIAL_STATES",
    "INITIAL_STATES",
    "Bounds",
    "Call",
    "ControlKeyModel",
    "Explorer",
    "InitialState",
    "InvariantViolationError",
    "Operation",
    "linearize",
    "read_schedule",
    "write_schedule",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "actions": ("read_schedule", "write_schedule"),
        "control_initial_states": ("CONTROL_INITIAL_STATES",),
        "control_model": ("ControlKeyModel",),
        "explorer": ("Explorer",),
        "initial_states": ("INITIAL_STATES",),
        "linearizability": ("Call", "linearize"),
        "system_model": ("Bounds", "InitialState", "InvariantViolationError", "Operation"),
    },
)
