"""One round of requests to all voters, which succeeds if a majority of them agrees.

A round ends as soon as a majority has agreed or can no longer be reached; a request that times out
counts as not agreed. With `wait_for_all` it ends only once every voter has replied or timed out.
"""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar, cast

from messaging import Message, Node

__all__ = ["QuorumReply", "QuorumRound"]


class QuorumReply(Protocol):
    """The fields that every voter's reply has: the voter's identity, and whether it agrees."""

    identity: str
    ok: bool


Reply = TypeVar("Reply", bound=QuorumReply)


class QuorumRound(Generic[Reply]):
    """Sends a request to all voters and calls back once, with whether a majority agreed.

    `agreed` has the positive replies and `replies` all replies, by identity. Both may grow after
    the round has ended. A reply from another identity than the one addressed is ignored.

    Parameters
    ----------
    voters
        Link address of each voter, by identity.
    timeout_ms
        Timeout of each request.
    done
        Called when the round ends, with the round and whether a majority agreed.
    wait_for_all
        Continue after the result is certain, until every voter has replied or timed out.
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
        return lambda reply: self._handle_reply(identity, reply)

    def _handle_reply(self, identity: str, message: Message | None) -> None:
        """Record the reply to the request sent to `identity`, or its timeout if it is None."""
        if identity not in self._outstanding:
            return
        self._outstanding.discard(identity)
        if message is not None:
            self._record(identity, cast(Reply, message))
        if self._done is None or (self._wait_for_all and self._outstanding):
            return
        if len(self.agreed) >= self._majority:
            self._end(self._done, True)
        elif len(self.agreed) + len(self._outstanding) < self._majority:
            self._end(self._done, False)

    def _record(self, identity: str, reply: Reply) -> None:
        if reply.identity != identity:
            return
        self.replies[identity] = reply
        if reply.ok:
            self.agreed[identity] = reply

    def _end(self, done: Callable[["QuorumRound[Reply]", bool], None], ok: bool) -> None:
        self._done = None
        done(self, ok)
