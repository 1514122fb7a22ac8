"""What the nodes of both planes share: the names of the control keys, and opening a folder."""

from typing import Any

from messaging import Environment
from storage import DamageError

__all__ = [
    "CONTROL_KEY",
    "LOG_KEY",
    "PROFILES_KEY",
    "RETIRED_KEY",
    "WORKERS_KEY",
    "open_or_set_aside",
]

PROFILES_KEY = "profiles"
RETIRED_KEY = "retired"
CONTROL_KEY = "control"
LOG_KEY = "log"
WORKERS_KEY = "workers"


def open_or_set_aside(env: Environment, disk: Any, make: Any) -> Any:
    """Return what `make` makes of the disk; a damaged folder is set aside whole first.

    The node then goes on as a new, empty identity, which the others bring up to date before it
    counts for anything.
    """
    try:
        return make()
    except DamageError as damage:
        env.log("disk-damaged", "ERROR", file=damage.name, offset=damage.offset)
        disk.set_aside()
        return make()
