"""Responses of the leader of the log, and the check for stale requests.

A response is sent once entries are committed or a read is confirmed by followers.
"""

from collections.abc import Callable

from messaging import Message, Node, Origin

from batch_state.interfaces import LogLeader, StampedRequest
from batch_state.outcomes import AppendOutcome

__all__ = ["LeaderReplies"]


class LeaderReplies:
    """Sends the responses of one leader under one epoch."""

    __slots__ = ("_leader", "node")

    def __init__(self, leader: LogLeader, node: Node) -> None:
        self._leader, self.node = leader, node

    def stale(self, message: StampedRequest) -> bool:
        """Whether a request is for another epoch, or older than `max_submission_age_ms`.

        Its sender may have given up on such a request already. A clock value that is ahead of the
        leader's clock counts as stale too.
        """
        age_ms = self.node.env.now() - message.leader_ms
        return (
            message.epoch != self._leader.epoch
            or not 0 <= age_ms <= self.node.settings.max_submission_age_ms
        )

    def append(
        self,
        origin: Origin,
        entries: list[Message],
        make_response: Callable[[str], Message],
        urgent: bool = False,
    ) -> bool:
        """Append entries and respond once they are committed; return False if they were refused.

        `make_response` is called with an `AppendOutcome`. A refusal for lack of space is answered
        once followers have confirmed the epoch, or with UNKNOWN if they don't. An `urgent` append
        may use reserved space.
        """

        def appended(outcome: str) -> None:
            if outcome == AppendOutcome.FULL:
                self._leader.read(
                    lambda ok: self.node.reply(
                        origin, make_response(AppendOutcome.FULL if ok else AppendOutcome.UNKNOWN)
                    )
                )
            else:
                self.node.reply(origin, make_response(str(outcome)))

        return self._leader.append(entries, True, appended, urgent)

    def when_committed(self, origin: Origin, make_response: Callable[[bool], Message]) -> None:
        """Respond once all entries appended so far are committed.

        `make_response` is called with False if that fails.
        """
        self._leader.append(
            [],
            True,
            lambda outcome: self.node.reply(
                origin, make_response(outcome == AppendOutcome.COMMITTED)
            ),
            True,
        )

    def when_confirmed(self, origin: Origin, make_response: Callable[[bool], Message]) -> None:
        """Respond once followers have confirmed the epoch.

        `make_response` is called with False if that fails.
        """
        self._leader.read(lambda ok: self.node.reply(origin, make_response(ok)))
