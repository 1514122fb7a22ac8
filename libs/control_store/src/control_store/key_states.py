"""State of a key at its owner: what it is doing with the key, the newest value, and the operations that
wait for their turn.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from messaging import decode

from control_store.messages import Change, Changed, FindChange, ReadKey, Value

__all__ = ["Done", "KeyState", "Operation", "Renew", "State", "blank_value", "newest"]

Done = Callable[[Changed], None]


class State(StrEnum):
    """How far this node is in owning a key."""

    UNOWNED = "unowned"
    PREPARING = "preparing"
    OWNED = "owned"
    CHANGING = "changing"


class Renew:
    """Asks that a majority of the present list of voters have a key's newest value under the owner's epoch;
    with `always`, that all be sent it again.
    """

    __slots__ = ("always", "key")

    def __init__(self, key: str, always: bool = False) -> None:
        self.key = key
        self.always = always


class Operation:
    """One operation that waits for its turn at a key, until `due_ms` on the node's clock."""

    __slots__ = ("done", "due_ms", "message")

    def __init__(
        self, message: Change | FindChange | ReadKey | Renew, due_ms: int, done: Done
    ) -> None:
        self.message = message
        self.due_ms = due_ms
        self.done = done


class KeyState:
    """What the owner knows of one key: its epoch, its newest value, and the operations that wait."""

    __slots__ = ("asking", "changed_ms", "epoch", "name", "ops", "seen_epoch", "state", "value")

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = State.UNOWNED
        self.epoch = 0
        self.seen_epoch = 0
        self.changed_ms = 0
        self.asking = False
        self.value: Value | None = None
        self.ops: list[Operation] = []


def newest(votes: list[Any]) -> Value:
    """The value of the highest ballot; one epoch accepts one version after another, so within a
    ballot the highest version.
    """
    held = [
        (vote.accepted_epoch, vote.accepted_by, decode(vote.value)) for vote in votes if vote.value
    ]
    return max(held, key=lambda row: (row[0], row[1], row[2].version))[2] if held else blank_value()


def blank_value() -> Value:
    """The value of a key that nobody has written."""
    return Value(version=0, body="", change_ids=[], change_versions=[])
