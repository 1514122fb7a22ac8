"""Operations on keys, and the entries of a key's queue at its owner."""

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
    """An internal operation that replicates a key's newest value to a majority of the voters.

    If it succeeds, a majority of the current voter list has accepted the value under the owner's
    epoch. With `unconditional` the value is sent to all voters even if a majority already has it.
    """

    __slots__ = ("key", "unconditional")

    def __init__(self, key: str, unconditional: bool = False) -> None:
        self.key = key
        self.unconditional = unconditional


ClientOperation = Change | FindChange | ReadKey
KeyOperation = ClientOperation | EnsureReplicated


class PendingOperation:
    """A queued operation on a key, which is given up at `due_ms` on the node's clock."""

    __slots__ = ("done", "due_ms", "message")

    def __init__(self, message: KeyOperation, due_ms: int, done: ResultCallback) -> None:
        self.message = message
        self.due_ms = due_ms
        self.done = done
