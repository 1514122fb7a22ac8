"""The outcome of a batch item at an edge, as it is reported to the log's leader."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

__all__ = ["ItemDone", "ItemOutcome"]


class ItemOutcome(StrEnum):
    """The outcomes of an item; the values are stored in the log.

    Completions: RAN, REFUSED (the worker rejected the request as invalid) and MAY_HAVE_RUN.
    Forwarded items: FINISHED, FAILED (the worker's error response) and DEAD (no worker can run it).
    Both: AGAIN, which returns the item to be assigned again.
    """

    RAN = "ran"
    REFUSED = "refused"
    MAY_HAVE_RUN = "may_have_run"
    FINISHED = "finished"
    FAILED = "failed"
    DEAD = "dead"
    AGAIN = "again"


ItemDone = Callable[[str, Any, str], None]
"""Called once with an item's outcome, text (bytes if it is forwarded, else str) and worker."""
