"""One round of requests to all voters, with a count of their replies.

A round ends as soon as a majority has agreed, as soon as that can no longer happen, or when its
time is up. A round that waits for all ends only once all have replied or its time is up.
"""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar, cast

from messaging import Message, Node

__all__ = ["QuorumReply", "QuorumRound"]


class QuorumReply(Protocol):
    """What a voter's reply says: who replied, and whether it agrees."""

    identity: str
    ok: bool


Reply = TypeVar("Reply", bound=QuorumReply)


class QuorumRound(Generic[Reply]):
    """Sends `message` to all `voters` (identity to address) and calls `done` with the result once.

    `timeout_ms` is how long each voter's reply is waited for. `agreed` has the replies that agreed
    and `replies` all of them, by identity; both may grow after the round has ended.
    """

    __slots__ = ("_done", "_majority", "_outstanding", "_wait_for_all", "agreed", "replies")

    def __init__(
        self,
        node: Node,
        voters: dict[str, str],
        message: Message,
        timeout_ms: int,
        done: Callable[["QuorumRound[Reply]", bool], None],
        wait_for_all: bool = False,
    ) -> None:
        self._wait_for_all = wait_for_all
        self._done: Callable[[QuorumRound[Reply], bool], None] | None = done
        self._majority = len(voters) // 2 + 1
        self._outstanding = set(voters)
        self.agreed: dict[str, Reply] = {}
        self.replies: dict[str, Reply] = {}
        for identity, address in voters.items():
            node.request(address, message, timeout_ms, self._reply_handler(identity))

    def _reply_handler(self, identity: str) -> Callable[[Message | None], None]:
        return lambda reply: self._take(identity, reply)

    def _take(self, identity: str, message: Message | None) -> None:
        """Count the reply of the voter that `identity` was expected of; None if it timed out."""
        if identity not in self._outstanding:
            return
        self._outstanding.discard(identity)
        if message is not None:
            self._count(identity, cast(Reply, message))
        if self._done is None or (self._wait_for_all and self._outstanding):
            return
        if len(self.agreed) >= self._majority:
            self._end(self._done, True)
        elif len(self.agreed) + len(self._outstanding) < self._majority:
            self._end(self._done, False)

    def _count(self, identity: str, reply: Reply) -> None:
        if reply.identity != identity:
            return
        self.replies[identity] = reply
        if reply.ok:
            self.agreed[identity] = reply

    def _end(self, done: Callable[["QuorumRound[Reply]", bool], None], ok: bool) -> None:
        self._done = None
        done(self, ok)
