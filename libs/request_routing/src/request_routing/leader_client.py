"""The client of the log's leader (the holder): finds it, asks, and retries until an answer comes.

The configuration feed tells where the leader is, and a store that is not the leader may know newer.
A request that may run something later is stamped with the leader's own time as last heard. For our
own interface the last stretch of the time is only waited for, so that a doubtful answer is given
when nothing of the request can be in flight any more. News of another leader has all requests in
flight sent again at once.
"""

import json
from collections.abc import Callable
from typing import Any

from batch_state import messages as m
from messaging import Component, Message

__all__ = ["LeaderClient"]

_STAMPED = (m.SubmitJob, m.OpenKey, m.SubmitForwardJob, m.SubmitRollout)
_WAITED_FOR = (m.SubmitJob, m.OpenKey, m.SubmitRollout)
_RETRIED = ("stale", "unknown")
_REFUSED = ("full", "no_path", "no_room")


class _Ask:
    __slots__ = ("done", "due_ms", "epoch", "last_ms", "message", "next_ms", "sends")

    def __init__(
        self, message: Message, now_ms: int, wait_ms: int, hold_ms: int, done: Callable
    ) -> None:
        self.message = message
        self.due_ms = now_ms + wait_ms
        self.last_ms = now_ms + wait_ms - hold_ms
        self.next_ms = now_ms
        self.done: Callable | None = done
        self.sends = 0
        self.epoch = 0


class LeaderClient(Component):
    """Asks the leader of the log; `log_key` gives the feed's body, `stores` addresses to try first.

    `heard_ms` is when the last answered heartbeat was asked for, by this node's clock; `leader_ms`
    the leader's own time as last heard; both in milliseconds.
    """

    __slots__ = (
        "_address",
        "_asks",
        "_epoch",
        "_log_key",
        "_read",
        "_stores",
        "heard_ms",
        "leader_ms",
    )

    def __init__(self, log_key: Callable[[], str], stores: Callable[[], list[str]]) -> None:
        self._log_key = log_key
        self._stores = stores
        self._address = ""
        self._epoch = 0
        self._read = ""
        self._asks: list[_Ask] = []
        self.heard_ms = -1 << 40
        self.leader_ms = 0

    @property
    def epoch(self) -> int:
        """The highest leader epoch heard of."""
        return self._epoch

    def address(self) -> str:
        """Return the leader's address, else that of any store, else an empty string."""
        self._read_key()
        if not self._address:
            stores = self._stores()
            return self.node.env.rng.choice(stores) if stores else ""
        return self._address

    def _read_key(self) -> None:
        body = self._log_key()
        if body == self._read:
            return
        self._read = body
        value = json.loads(body) if body else {}
        if value and self._is_news(value["epoch"]):
            self._epoch = value["epoch"]
            self._address = next(
                (row["address"] for row in value["members"] if row["identity"] == value["holder"]),
                "",
            )

    def _is_news(self, epoch: int) -> bool:
        return epoch > self._epoch or (epoch == self._epoch and not self._address)

    def heard(self, message: m.EdgeHeartbeatResponse, asked_ms: int) -> None:
        """Take the leader's heartbeat; the lease runs from `asked_ms`, when it was asked for."""
        if message.epoch >= self._epoch:
            self._epoch = message.epoch
            self.heard_ms = asked_ms
            self.leader_ms = message.leader_ms

    def redirected(self, receipt: m.NotLeader) -> bool:
        """Take a store's word that another one leads; true if that is news."""
        news = bool(receipt.address) and self._is_news(receipt.epoch)
        if news:
            self._epoch, self._address = receipt.epoch, receipt.address
        return news

    def ask(self, message: Message, wait_ms: int, done: Callable[[Any], None]) -> _Ask:
        """Ask the leader, with retries, for at most `wait_ms` milliseconds.

        `done` gets the receipt, or None if there was none in time; while the returned ask's `sends`
        is 0 nothing of it was sent. A stamped request of our own interface is waited for longer, by
        as long as its stamp may live, and is not sent again in that time.
        """
        hold_ms = (
            self.node.settings.max_submission_age_ms if isinstance(message, _WAITED_FOR) else 0
        )
        ask = _Ask(message, self.node.env.now(), wait_ms + hold_ms, hold_ms, done)
        self._asks.append(ask)
        self._send(ask)
        return ask

    def _send(self, ask: _Ask) -> None:
        now_ms = self.node.env.now()
        held_ms = getattr(ask.message, "wait_ms", 0)
        ask.next_ms = now_ms + held_ms + self.node.settings.request_timeout_ms
        address = self.address()
        if not address:
            ask.next_ms = now_ms + self.node.settings.heartbeat_ms // 2
            return
        if isinstance(ask.message, _STAMPED):
            ask.message = type(ask.message)(
                **{**ask.message.as_dict(), "epoch": self._epoch, "leader_ms": self.leader_ms}
            )
        ask.sends += 1
        ask.epoch = self._epoch
        number = ask.sends
        self.node.request(
            address,
            ask.message,
            held_ms + self.node.settings.request_timeout_ms * 2,
            lambda receipt: self._answered(ask, number, receipt),
        )

    def _answered(self, ask: _Ask, number: int, receipt: Message | None) -> None:
        """Take an answer to one send of a request.

        A refusal counts only of the last send, as a later one may have been taken meanwhile.
        """
        if ask.done is None or receipt is None:
            return
        now_ms = self.node.env.now()
        if isinstance(receipt, m.NotLeader):
            wait_ms = 0 if self.redirected(receipt) else self.node.settings.heartbeat_ms // 2
            self._again(ask, now_ms + wait_ms)
        elif isinstance(receipt, m.StaleRequest):
            if receipt.epoch >= self._epoch:
                self._epoch, self.leader_ms = receipt.epoch, receipt.leader_ms
                self._again(ask, now_ms)
        elif getattr(receipt, "outcome", "") in _RETRIED:
            self._again(ask, now_ms + self.node.settings.heartbeat_ms // 2)
        elif getattr(receipt, "outcome", "") not in _REFUSED or number == ask.sends:
            self._finish(ask, receipt)

    def _again(self, ask: _Ask, at_ms: int) -> None:
        ask.next_ms = min(ask.next_ms, at_ms)
        now_ms = self.node.env.now()
        if ask.next_ms <= now_ms < ask.last_ms:
            self._send(ask)

    def _finish(self, ask: _Ask, receipt: Message | None) -> None:
        done, ask.done = ask.done, None
        if ask in self._asks:
            self._asks.remove(ask)
        if done is not None:
            done(receipt)

    def tick(self) -> None:
        """Send again what is due, and end what is out of time."""
        now_ms = self.node.env.now()
        if self._asks:
            self._read_key()
        for ask in list(self._asks):
            if 0 < ask.sends and ask.epoch < self._epoch:
                ask.next_ms = now_ms
            if now_ms >= ask.due_ms:
                self._finish(ask, None)
            elif now_ms >= ask.next_ms and now_ms < ask.last_ms:
                self._send(ask)
