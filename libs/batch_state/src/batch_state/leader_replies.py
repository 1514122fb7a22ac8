"""How the leader of the log answers requests.

A response waits until an entry is committed or a read is confirmed, and a request is checked for a
recent stamp of the leader's epoch.
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
        """Whether a request's stamp is of another leader or too old (`max_submission_age_ms`).

        Such a request may be one whose sender has already given up on it.
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
        """Append entries and answer once they are committed; False if they were refused.

        `make_response` gets an `AppendOutcome`. A refusal for want of space is answered only once
        it is confirmed that this store was still the leader.
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
        """Answer once everything logged so far is committed, or with False if that fails."""
        self._leader.append(
            [],
            True,
            lambda outcome: self.node.reply(
                origin, make_response(outcome == AppendOutcome.COMMITTED)
            ),
            True,
        )

    def when_confirmed(self, origin: Origin, make_response: Callable[[bool], Message]) -> None:
        """Answer once followers have confirmed the epoch, or with False if that fails."""
        self._leader.read(lambda ok: self.node.reply(origin, make_response(ok)))
