"""How a holder of the log answers requests.

An answer waits until an entry is settled or a read is confirmed, and a request is checked for a
recent stamp of the holder's epoch.
"""

from collections.abc import Callable
from typing import Any

from messaging import Message, Origin

__all__ = ["KEPT", "LeaderReplies"]

KEPT = "kept"


class LeaderReplies:
    """The answers of one holder under one epoch."""

    __slots__ = ("_holder", "node")

    def __init__(self, holder: Any, node: Any) -> None:
        self._holder, self.node = holder, node

    def stale(self, message: Any) -> bool:
        """Whether a request's stamp is of another holder or too old (`max_submission_age_ms`).

        Such a request may be one whose sender has already given up on it.
        """
        age_ms = self.node.env.now() - message.holder_ms
        return (
            message.epoch != self._holder.epoch
            or not 0 <= age_ms <= self.node.settings.max_submission_age_ms
        )

    def log(
        self,
        origin: Origin,
        rows: list[Message],
        make: Callable[[str], Message],
        urgent: bool = False,
    ) -> bool:
        """Append entries and answer once they are settled; False if they were refused.

        `make` gets the outcome: kept, full or unknown. A refusal for want of room is answered only
        once it is confirmed that this store was still the holder.
        """

        def logged(outcome: str) -> None:
            if outcome == "full":
                self._holder.read(
                    lambda ok: self.node.reply(origin, make("full" if ok else "unknown"))
                )
            else:
                self.node.reply(origin, make(str(outcome)))

        return self._holder.append(rows, True, logged, urgent)

    def when_settled(self, origin: Origin, make: Callable[[bool], Message]) -> None:
        """Answer once everything logged so far is settled; `make` gets False if that fails."""
        self._holder.append(
            [], True, lambda outcome: self.node.reply(origin, make(outcome == KEPT)), True
        )

    def when_confirmed(self, origin: Origin, make: Callable[[bool], Message]) -> None:
        """Answer once followers have confirmed the epoch; `make` gets False if that fails."""
        self._holder.read(lambda ok: self.node.reply(origin, make(ok)))
