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
_REFUSED = ("full", "no_path", "no_room")


class _Ask:
    __slots__ = ("done", "due_ms", "last_ms", "message", "next_ms", "sends")

    def __init__(self, message: Message, now_ms: int, wait_ms: int, hold_ms: int, done: Callable) -> None:
        self.message = message
        self.due_ms = now_ms + wait_ms
        self.last_ms = now_ms + wait_ms - hold_ms
        self.next_ms = now_ms
        self.done: Callable | None = done
        self.sends = 0


class HolderClient(Part):
    __slots__ = ("_address", "_asks", "_epoch", "_log_key", "_stores", "heard_ms", "holder_ms")

    def __init__(self, log_key: Callable[[], str], stores: Callable[[], list[str]]) -> None:
        self._log_key = log_key
        self._stores = stores
        self._address = ""
        self._epoch = 0
        self._asks: list[_Ask] = []
        self.heard_ms = -1 << 40
        self.holder_ms = 0

    @property
    def epoch(self) -> int:
        return self._epoch

    def address(self) -> str:
        body = self._log_key()
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

    def heard(self, message: m.HolderBeat, asked_ms: int) -> None:
        """The claim runs from when it was asked for, not from when the word came."""
        if message.epoch >= self._epoch:
            self._epoch = message.epoch
            self.heard_ms = asked_ms
            self.holder_ms = message.holder_ms

    def redirected(self, receipt: m.NotHolder) -> None:
        if receipt.address and self._is_news(receipt.epoch):
            self._epoch, self._address = receipt.epoch, receipt.address

    def ask(self, message: Message, wait_ms: int, done: Callable[[Any], None]) -> None:
        """done gets the receipt, or None if there was none in time. What is stamped holds its tongue
        for as long as a stamp may live, beyond the time given."""
        hold_ms = self.node.params.fresh_ms if isinstance(message, _STAMPED) else 0
        ask = _Ask(message, self.node.env.now(), wait_ms + hold_ms, hold_ms, done)
        self._asks.append(ask)
        self._send(ask)

    def _send(self, ask: _Ask) -> None:
        now_ms = self.node.env.now()
        ask.next_ms = now_ms + self.node.params.ask_ms
        address = self.address()
        if not address:
            ask.next_ms = now_ms + self.node.params.beat_ms // 2
            return
        if isinstance(ask.message, _STAMPED):
            ask.message = type(ask.message)(**{**ask.message.as_dict(), "epoch": self._epoch, "holder_ms": self.holder_ms})
        ask.sends += 1
        number = ask.sends
        self.node.ask(address, ask.message, self.node.params.ask_ms * 2,
                      lambda receipt: self._answered(ask, number, receipt))

    def _answered(self, ask: _Ask, number: int, receipt: Message | None) -> None:
        """A refusal counts only of the last send: a later one may have been taken meanwhile."""
        if ask.done is None or receipt is None:
            return
        now_ms = self.node.env.now()
        if isinstance(receipt, m.NotHolder):
            self.redirected(receipt)
            ask.next_ms = min(ask.next_ms, now_ms + self.node.params.beat_ms // 2)
            return
        if getattr(receipt, "outcome", "") in _RETRIED:
            ask.next_ms = min(ask.next_ms, now_ms + self.node.params.beat_ms // 2)
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
        now_ms = self.node.env.now()
        for ask in list(self._asks):
            if now_ms >= ask.due_ms:
                self._finish(ask, None)
            elif now_ms >= ask.next_ms and now_ms < ask.last_ms:
                self._send(ask)
