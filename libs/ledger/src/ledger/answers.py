"""How a holder of the log answers: when an entry has settled, when a read is confirmed, and whether an ask
carries a stamp of this term that is recent enough.
"""

from collections.abc import Callable
from typing import Any

from messaging import Message, Origin

__all__ = ["KEPT", "Answers"]

KEPT = "kept"


class Answers:
    """Bound to one term of one holder."""

    __slots__ = ("_holder", "node")

    def __init__(self, holder: Any, node: Any) -> None:
        self._holder, self.node = holder, node

    def stale(self, message: Any) -> bool:
        """A stamp of another holder or of long ago: the ask may be one that was given up."""
        age_ms = self.node.env.now() - message.holder_ms
        return message.epoch != self._holder.epoch or not 0 <= age_ms <= self.node.params.fresh_ms

    def log(
        self,
        origin: Origin,
        rows: list[Message],
        make: Callable[[str], Message],
        urgent: bool = False,
    ) -> bool:
        """A refusal for want of room counts only if this store still was the holder when it refused."""

        def logged(outcome: str) -> None:
            if outcome == "full":
                self._holder.read(
                    lambda ok: self.node.reply(origin, make("full" if ok else "unknown"))
                )
            else:
                self.node.reply(origin, make(str(outcome)))

        return self._holder.append(rows, True, logged, urgent)

    def when_settled(self, origin: Origin, make: Callable[[bool], Message]) -> None:
        self._holder.append(
            [], True, lambda outcome: self.node.reply(origin, make(outcome == KEPT)), True
        )

    def when_confirmed(self, origin: Origin, make: Callable[[bool], Message]) -> None:
        self._holder.read(lambda ok: self.node.reply(origin, make(ok)))
