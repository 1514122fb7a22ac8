"""Asking the holder. The feed tells where it is, a store that is not the holder tells better; what
gets no answer is asked again until its time is up. An ask that may run something later is stamped
with the holder's own time as last heard, and in its last stretch is only waited for, so that doubt
is told when nothing of it can be under way any more."""

import json
from collections.abc import Callable
from typing import Any

from ledger import messages as m
from vellum import Message, Part

__all__ = ["HolderClient"]

_STAMPED = (m.HandIn, m.OpenKey)
_RETRIED = ("stale", "unknown")
_REFUSED = ("full", "noPath", "noRoom")


class _Ask:
    __slots__ = ("done", "dueMs", "lastMs", "message", "nextMs", "sends")

    def __init__(self, message: Message, nowMs: int, waitMs: int, holdMs: int, done: Callable) -> None:
        self.message = message
        self.dueMs = nowMs + waitMs
        self.lastMs = nowMs + waitMs - holdMs
        self.nextMs = nowMs
        self.done: Callable | None = done
        self.sends = 0


class HolderClient(Part):
    __slots__ = ("_address", "_asks", "_epoch", "_logKey", "_stores", "heardMs", "holderMs")

    def __init__(self, logKey: Callable[[], str], stores: Callable[[], list[str]]) -> None:
        self._logKey = logKey
        self._stores = stores
        self._address = ""
        self._epoch = 0
        self._asks: list[_Ask] = []
        self.heardMs = -1 << 40
        self.holderMs = 0

    @property
    def epoch(self) -> int:
        return self._epoch

    def address(self) -> str:
        body = self._logKey()
        value = json.loads(body) if body else {}
        if value and self._is_news(value["epoch"]):
            self._epoch = value["epoch"]
            self._address = next((row["address"] for row in value["members"] if row["identity"] == value["holder"]), "")
        if not self._address:
            stores = self._stores()
            return self.node.env.rng.choice(stores) if stores else ""
        return self._address

    def _is_news(self, epoch: int) -> bool:
        return epoch > self._epoch or (epoch == self._epoch and not self._address)

    def heard(self, message: m.HolderBeat, askedMs: int) -> None:
        """The claim runs from when it was asked for, not from when the word came."""
        if message.epoch >= self._epoch:
            self._epoch = message.epoch
            self.heardMs = askedMs
            self.holderMs = message.holderMs

    def redirected(self, receipt: m.NotHolder) -> None:
        if receipt.address and self._is_news(receipt.epoch):
            self._epoch, self._address = receipt.epoch, receipt.address

    def ask(self, message: Message, waitMs: int, done: Callable[[Any], None]) -> None:
        """done gets the receipt, or None if there was none in time. What is stamped holds its tongue
        for as long as a stamp may live, beyond the time given."""
        holdMs = self.node.params.freshMs if isinstance(message, _STAMPED) else 0
        ask = _Ask(message, self.node.env.now(), waitMs + holdMs, holdMs, done)
        self._asks.append(ask)
        self._send(ask)

    def _send(self, ask: _Ask) -> None:
        nowMs = self.node.env.now()
        ask.nextMs = nowMs + self.node.params.askMs
        address = self.address()
        if not address:
            ask.nextMs = nowMs + self.node.params.beatMs // 2
            return
        if isinstance(ask.message, _STAMPED):
            ask.message = type(ask.message)(**{**ask.message.as_dict(), "epoch": self._epoch, "holderMs": self.holderMs})
        ask.sends += 1
        number = ask.sends
        self.node.ask(address, ask.message, self.node.params.askMs * 2,
                      lambda receipt: self._answered(ask, number, receipt))

    def _answered(self, ask: _Ask, number: int, receipt: Message | None) -> None:
        """A refusal counts only of the last send: a later one may have been taken meanwhile."""
        if ask.done is None or receipt is None:
            return
        nowMs = self.node.env.now()
        if isinstance(receipt, m.NotHolder):
            self.redirected(receipt)
            ask.nextMs = min(ask.nextMs, nowMs + self.node.params.beatMs // 2)
            return
        if getattr(receipt, "outcome", "") in _RETRIED:
            ask.nextMs = min(ask.nextMs, nowMs + self.node.params.beatMs // 2)
            return
        if getattr(receipt, "outcome", "") in _REFUSED and number != ask.sends:
            return
        self._finish(ask, receipt)

    def _finish(self, ask: _Ask, receipt: Message | None) -> None:
        done, ask.done = ask.done, None
        if ask in self._asks:
            self._asks.remove(ask)
        if done is not None:
            done(receipt)

    def tick(self) -> None:
        nowMs = self.node.env.now()
        for ask in list(self._asks):
            if nowMs >= ask.dueMs:
                self._finish(ask, None)
            elif nowMs >= ask.nextMs and nowMs < ask.lastMs:
                self._send(ask)
