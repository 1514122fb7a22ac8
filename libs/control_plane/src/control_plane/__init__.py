"""Control plane: the control node's process, its HTTP interface, and the operators' command line.

Modules, from the inside out:

- `nodes` assembles the control node from components. Two components of its own change control keys
  for callers: `configuration_changes` and `retirement`, with
  `retired_machines` and `capacity_sharing.pending_calls`.
- `profiles_api`, `members_api`, `retirement_api`, `workers_api` and `loans_api` are the handlers of
  the HTTP interface, one module for each concern; `request_bodies` validates what operators send,
  `key_operations` turns results into responses, and `member_status` describes members.
- `process` runs a node with its HTTP server; `cli` and `usage` are the operators' commands.

It may import all libraries but `modelcheck`, `simulator` and `testbed`; only those and the platform
import it. Nothing is decided here: decisions are made by `control_store` on a majority of the
voters, and a handler answers with what it learns of them.
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
