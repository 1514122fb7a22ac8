"""Control plane: the control node's process, its HTTP interface, and the operators' command line.

Modules, from the lowest layer to the highest:

- `nodes` assembles the control node from components. Two components in this package change control
  keys for callers: `configuration_changes` and `retirement`; they use `retired_machines` and
  `capacity_sharing.pending_calls`.
- `profiles_api`, `members_api`, `retirement_api`, `workers_api` and `loans_api` contain the
  handlers of the HTTP interface, one module per resource. `request_bodies` validates request
  bodies, `key_operations` converts results to responses, and `member_status` describes members.
- `process` runs a node with its HTTP server; `cli` and `usage` contain the operators' commands.

This package may import all libraries but `modelcheck`, `simulator` and `testbed`; only those and
the platform import it. It makes no decisions: `control_store` makes them by a majority of the
voters, and the handlers report the results.
"""

from typing import TYPE_CHECKING

from runtime.lazy_exports import lazy_exports

if TYPE_CHECKING:  # for type checkers; at run time each name is imported on first access
    from control_plane.nodes import ControlNode

__all__ = ["ControlNode"]

__getattr__ = lazy_exports(
    __name__,
    {
        "nodes": ("ControlNode",),
    },
)
