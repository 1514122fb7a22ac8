"""The operations on a key that wait at its owner."""

from collections.abc import Callable

from control_store.messages import Change, ChangeResult, FindChange, ReadKey

__all__ = [
    "ClientOperation",
    "EnsureReplicated",
    "KeyOperation",
    "PendingOperation",
    "ResultCallback",
]

ResultCallback = Callable[[ChangeResult], None]


class EnsureReplicated:
    """An operation of the owner itself that restores the replication of a key's newest value.

    Afterwards a majority of the present list of voters has the value under the owner's epoch. With
    `unconditional` the value is sent to all voters even if a majority already has it.
    """

    __slots__ = ("key", "unconditional")

    def __init__(self, key: str, unconditional: bool = False) -> None:
        self.key = key
        self.unconditional = unconditional


ClientOperation = Change | FindChange | ReadKey
KeyOperation = ClientOperation | EnsureReplicated


class PendingOperation:
    """One queued operation on a key; given up at `due_ms` on the node's clock."""

    __slots__ = ("done", "due_ms", "message")

    def __init__(self, message: KeyOperation, due_ms: int, done: ResultCallback) -> None:
        self.message = message
        self.due_ms = due_ms
        self.done = done
