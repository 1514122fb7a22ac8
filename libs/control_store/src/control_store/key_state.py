"""The state of a key at its owner: the epoch, the newest value and the queue of operations."""

from collections.abc import Iterable
from enum import StrEnum

from messaging import decode_as

from control_store.messages import Value, Vote
from control_store.operations import PendingOperation

__all__ = ["KeyState", "OwnershipState", "blank_value", "newest_accepted"]


class OwnershipState(StrEnum):
    """State of a key's ownership at this node.

    - UNOWNED: no majority's promise is known to hold.
    - PREPARING: phase 1 of a proposal, or phase 2 with the value found in it, is in progress.
    - OWNED: a majority has promised the epoch, and the newest value is known.
    - CHANGING: a new version is being proposed.
    """

    UNOWNED = "unowned"
    PREPARING = "preparing"
    OWNED = "owned"
    CHANGING = "changing"


class KeyState:
    """An owner's state for one key.

    `epoch` is the epoch that the owner uses, `highest_epoch` the highest that a voter has reported.
    `published_ms` is when the owner last published a value, on the node's clock.
    `round_in_progress` is set during any round except queries for versions. `operations` is the
    queue; its first operation is executed next or already in progress.
    """

    __slots__ = (
        "epoch",
        "highest_epoch",
        "name",
        "operations",
        "published_ms",
        "round_in_progress",
        "state",
        "value",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = OwnershipState.UNOWNED
        self.epoch = 0
        self.highest_epoch = 0
        self.published_ms = 0
        self.round_in_progress = False
        self.value = blank_value()
        self.operations: list[PendingOperation] = []


def newest_accepted(votes: Iterable[Vote]) -> Value:
    """Return the value of the highest proposal among votes, or a blank value if there is none.

    Several versions may be accepted under one proposal number, of which the highest is returned.
    """
    accepted = [(vote.accepted, decode_as(Value, vote.value)) for vote in votes if vote.value]
    if not accepted:
        return blank_value()
    return max(accepted, key=lambda row: (row[0], row[1].version))[1]


def blank_value() -> Value:
    """Return the value of a key that has never been changed."""
    return Value(version=0, body="", change_ids=[], change_versions=[])
