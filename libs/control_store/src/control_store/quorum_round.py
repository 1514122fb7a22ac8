"""One round of asking all voters and counting their replies.

A round ends as soon as a majority has agreed, as soon as that can no longer happen, or when its
time is up. A patient round waits until all have replied or its time is up.
"""

from collections.abc import Callable
from typing import Any

from messaging import Message

__all__ = ["QuorumRound"]


class QuorumRound:
    """Sends `message` to all `voters` (identity to address) and calls `done` with the result once.

    `wait_ms` is how long each voter's reply is waited for. `yes` has the replies that agreed and
    `replies` all of them, by identity; both may grow after the round has ended.
    """

    __slots__ = ("_done", "_left", "_need", "_patient", "replies", "yes")

    def __init__(
        self,
        node: Any,
        voters: dict[str, str],
        message: Message,
        wait_ms: int,
        done: Callable[["QuorumRound", bool], None],
        patient: bool = False,
    ) -> None:
        self._patient = patient
        self._done: Callable | None = done
        self._need = len(voters) // 2 + 1
        self._left = set(voters)
        self.yes: dict[str, Message] = {}
        self.replies: dict[str, Message] = {}
        for identity, address in voters.items():
            node.request(
                address, message, wait_ms, lambda receipt, name=identity: self._take(name, receipt)
            )

    def _take(self, name: str, receipt: Any) -> None:
        if name not in self._left:
            return
        self._left.discard(name)
        if receipt is not None and receipt.identity == name:
            self.replies[name] = receipt
            if receipt.ok:
                self.yes[name] = receipt
        if self._done is None or (self._patient and self._left):
            return
        if len(self.yes) >= self._need:
            done, self._done = self._done, None
            done(self, True)
        elif len(self.yes) + len(self._left) < self._need:
            done, self._done = self._done, None
            done(self, False)
