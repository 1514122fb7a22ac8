"""Opens a node's data folder, and quarantines damaged files."""

from collections.abc import Callable
from typing import Any, TypeVar

from messaging import Environment
from storage import DamageError

__all__ = ["open_or_quarantine"]

ContentT = TypeVar("ContentT")


def open_or_quarantine(
    env: Environment, disk: Any, open_content: Callable[[], ContentT]
) -> ContentT:
    """Return the content that `open_content` reads from the disk.

    If it raises DamageError, all files are moved into quarantine and it is called again on the
    empty disk. The node then has a new identity without content; the other nodes bring it up to
    date before it counts as a member.

    Parameters
    ----------
    disk
        The disk that `open_content` reads; its `quarantine` method moves the files aside.
    open_content
        Opens the content, or creates it on an empty disk.
    """
    try:
        return open_content()
    except DamageError as damage:
        env.log("disk-damaged", "ERROR", file=damage.name, offset=damage.offset)
        disk.quarantine()
        return open_content()
