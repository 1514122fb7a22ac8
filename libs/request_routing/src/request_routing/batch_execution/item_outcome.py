"""The outcome of one item's run at an edge, as it is reported to the log's leader."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

__all__ = ["ItemDone", "ItemOutcome"]


class ItemOutcome(StrEnum):
    """The outcomes; the values are those of the log.

    Of items of our own interface: RAN, REFUSED (the worker says that the request is wrong) and
    MAY_HAVE_RUN. Of forwarded items: FINISHED, FAILED (by the worker's own answer) and DEAD (it
    can't be done). Of both: AGAIN, which gives the item back.
    """

    RAN = "ran"
    REFUSED = "refused"
    MAY_HAVE_RUN = "may_have_run"
    FINISHED = "finished"
    FAILED = "failed"
    DEAD = "dead"
    AGAIN = "again"


ItemDone = Callable[[str, Any, str], None]
"""Called once with an item's outcome, its text (str, or bytes of a forwarded item), its worker."""
