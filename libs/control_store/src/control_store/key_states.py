"""The state of a key at its owner: its ballot, its newest value and the queue of operations."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from messaging import decode

from control_store.messages import Change, ChangeResult, FindChange, ReadKey, Value

__all__ = ["Done", "KeyState", "Operation", "Renew", "State", "blank_value", "newest"]

Done = Callable[[ChangeResult], None]


class State(StrEnum):
    """The owner's progress towards owning a key.

    - UNOWNED: no promise from a majority is held.
    - PREPARING: the first phase of a ballot, or the proposal of the value found in it, is under
      way.
    - OWNED: a majority has promised the epoch, and the newest value is known.
    - CHANGING: a new version is being proposed.
    """

    UNOWNED = "unowned"
    PREPARING = "preparing"
    OWNED = "owned"
    CHANGING = "changing"


class Renew:
    """An operation that restores the replication of a key's newest value.

    Afterwards a majority of the present list of voters has the value under the owner's epoch. With
    `always` the value is sent to all voters even if a majority already has it.
    """

    __slots__ = ("always", "key")

    def __init__(self, key: str, always: bool = False) -> None:
        self.key = key
        self.always = always


class Operation:
    """One queued operation on a key; given up at `due_ms` on the node's clock."""

    __slots__ = ("done", "due_ms", "message")

    def __init__(
        self, message: Change | FindChange | ReadKey | Renew, due_ms: int, done: Done
    ) -> None:
        self.message = message
        self.due_ms = due_ms
        self.done = done


class KeyState:
    """What the owner knows of one key: its epoch, its newest value, and the queued operations.

    `seen_epoch` is the highest epoch that any voter reported. `changed_ms` is when the owner last
    published a value, in ms of the node's clock. `asking` is set while a round of the key is under
    way.
    """

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
    """Return the value of the highest ballot among votes, or the blank value if there is none.

    One epoch accepts one version after another, so within a ballot the highest version is chosen.
    """
    accepted = [(vote.accepted, decode(vote.value)) for vote in votes if vote.value]
    if not accepted:
        return blank_value()
    return max(accepted, key=lambda row: (row[0], row[1].version))[1]


def blank_value() -> Value:
    """Return the value of a key that nobody has written."""
    return Value(version=0, body="", change_ids=[], change_versions=[])
