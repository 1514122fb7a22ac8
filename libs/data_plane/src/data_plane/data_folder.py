"""Opening a node's data folder, which may be damaged."""

from collections.abc import Callable
from typing import Any, TypeVar

from messaging import Environment
from storage import DamageError

__all__ = ["open_or_quarantine"]

ContentT = TypeVar("ContentT")


def open_or_quarantine(
    env: Environment, disk: Any, open_content: Callable[[], ContentT]
) -> ContentT:
    """Return what `open_content` reads from the disk; a damaged folder is quarantined first.

    `disk` is a Disk that can quarantine its files (`quarantine`).

    The node then goes on as a new, empty identity, which the others bring up to date before it
    counts for anything.
    """
    try:
        return open_content()
    except DamageError as damage:
        env.log("disk-damaged", "ERROR", file=damage.name, offset=damage.offset)
        disk.quarantine()
        return open_content()
