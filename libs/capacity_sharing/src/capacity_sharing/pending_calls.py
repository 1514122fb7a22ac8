"""Calls that operate on control keys and wait for their result, each for a limited time."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Generic, TypeVar

__all__ = ["CallState", "PendingCall", "PendingCalls"]

ResultType = TypeVar("ResultType")
CallType = TypeVar("CallType", bound="PendingCall[Any]")


class CallState(StrEnum):
    """What a call waits for.

    A call starts in READING and goes on to LOOKING_UP or PROPOSING. It may return to READING if its
    proposal was lost to another change. It always ends in FINISHED.

    - READING: a control key is being read through a quorum.
    - LOOKING_UP: the key's owner is asked whether an earlier change was decided.
    - PROPOSING: a change of the key is proposed to its owner.
    - FINISHED: the caller has its result.
    """

    READING = "reading"
    LOOKING_UP = "looking_up"
    PROPOSING = "proposing"
    FINISHED = "finished"


class PendingCall(Generic[ResultType]):
    """A call that waits for its result until `due_ms`, a time of the node's clock.

    `done` is called once, with the first result.
    """

    __slots__ = ("_done", "due_ms", "state")

    def __init__(self, due_ms: int, done: Callable[[ResultType], None]) -> None:
        self._done = done
        self.due_ms = due_ms
        self.state = CallState.READING

    @property
    def is_open(self) -> bool:
        """Whether the caller still waits for the result."""
        return self.state is not CallState.FINISHED

    def finish(self, result: ResultType) -> None:
        """Pass the result to the caller, unless the call has already finished."""
        if self.is_open:
            self.state = CallState.FINISHED
            self._done(result)


class PendingCalls(Generic[CallType]):
    """The open calls of a component, oldest first.

    Parameters
    ----------
    expire
        Finishes an open call without a result, for the reason given. It is also called for calls
        that have finished since the last check, where `PendingCall.finish` has no effect.
    """

    __slots__ = ("_calls", "_expire")

    def __init__(self, expire: Callable[[CallType, str], None]) -> None:
        self._calls: list[CallType] = []
        self._expire = expire

    def add(self, call: CallType) -> None:
        """Keep a call until it is finished."""
        self._calls.append(call)

    def expire_due(self, now_ms: int) -> None:
        """Expire the calls that are due, and drop all that have finished."""
        for call in self._calls:
            if now_ms >= call.due_ms:
                self._expire(call, "no answer in time")
        self._calls = [call for call in self._calls if call.is_open]

    def expire_all(self, reason: str) -> None:
        """Expire all calls; used where the results that they wait for may have been missed."""
        for call in self._calls:
            self._expire(call, reason)
        self._calls = []
