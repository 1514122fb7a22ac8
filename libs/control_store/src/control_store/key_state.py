"""The state of a key at its owner: its epoch, its newest value and the queue of operations."""

from collections.abc import Iterable
from enum import StrEnum

from messaging import decode_as

from control_store.messages import Value, Vote
from control_store.operations import PendingOperation

__all__ = ["KeyState", "OwnershipState", "blank_value", "newest_accepted"]


class OwnershipState(StrEnum):
    """The owner's progress towards owning a key.

    - UNOWNED: there is no promise from a majority.
    - PREPARING: phase 1 of a proposal, or the proposal of the value found in it, is under way.
    - OWNED: a majority has promised the epoch, and the newest value is known.
    - CHANGING: a new version is being proposed.
    """

    UNOWNED = "unowned"
    PREPARING = "preparing"
    OWNED = "owned"
    CHANGING = "changing"


class KeyState:
    """What the owner knows of one key, and the operations that wait.

    `epoch` is the owner's own, and `highest_epoch` the highest that any voter reported.
    `published_ms` is when the owner last published a value, in ms of the node's clock.
    `round_in_progress` is set while a round of the key is under way.
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
    """Return the value of the highest proposal among votes, or the blank value if there is none.

    One epoch accepts one version after another, so within a proposal the highest version counts.
    """
    accepted = [(vote.accepted, decode_as(Value, vote.value)) for vote in votes if vote.value]
    if not accepted:
        return blank_value()
    return max(accepted, key=lambda row: (row[0], row[1].version))[1]


def blank_value() -> Value:
    """Return the value of a key that nobody has written."""
    return Value(version=0, body="", change_ids=[], change_versions=[])
