"""The feed at one node: the newest body of each key with its number. News is passed on to all
neighbours when first heard; digests, swapped every beat, find whatever was missed, and a node that
starts follows from nothing, which is the snapshot. A change to a large body travels as a merge patch
on the number before it. Numbers never go back."""

import json
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any

from gazette.messages import Digest, KeyNumber, News, NewsItem
from gazette.patches import merge, merge_diff
from vellum import Message, Origin, Part, decode, encode

__all__ = ["Gazette", "LEAST", "ROLL_KEY"]

ROLL_KEY = "fleet"
LEAST = 3


class Gazette(Part):
    """`neighbours` gives the addresses to relay to, `extra` further ones to swap digests with; `sure`
    says whether this node knows its feed to be the newest: a quorate control node, a ready edge."""

    __slots__ = ("_extra", "_items", "_neighbours", "_patches", "_quiet_until_ms", "_roll", "_sent_ms", "_since_ms", "_watchers", "confirmed", "contacts_ms",
                 "identity", "quorate_ms", "sent_bytes", "sure", "sure_edge_ms")
    HANDLES = (Digest, News)

    def __init__(self, identity: str, neighbours: Callable[[], Iterable[str]],
                 extra: Callable[[], Iterable[str]] = lambda: (), sure: Callable[[], bool] = lambda: False) -> None:
        self.identity = identity
        self.sure = sure
        self.quorate_ms = -1 << 40
        self.sure_edge_ms = -1 << 40
        self.contacts_ms: dict[str, int] = {}
        self.confirmed: dict[str, tuple[str, int, dict[str, int], str]] = {}
        self.sent_bytes = 0
        self._neighbours = neighbours
        self._extra = extra
        self._items: dict[str, tuple[int, str]] = {}
        self._patches: dict[str, NewsItem] = {}
        self._watchers: list[Callable[[str, int, str], None]] = []
        self._sent_ms = -1 << 40
        self._since_ms = 1 << 60
        self._roll: tuple[int, frozenset[str]] = (0, frozenset())
        self._quiet_until_ms = -1 << 40

    def watch(self, watcher: Callable[[str, int, str], None]) -> None:
        self._watchers.append(watcher)

    def number(self, key: str) -> int:
        return self._items.get(key, (0, ""))[0]

    def body(self, key: str) -> str:
        return self._items.get(key, (0, ""))[1]

    def value(self, key: str) -> Any:
        body = self.body(key)
        return json.loads(body) if body else None

    def numbers(self) -> dict[str, int]:
        return {key: number for key, (number, _) in self._items.items()}

    @property
    def place(self) -> int:
        return sum(self.numbers().values())

    # -- news ----------------------------------------------------------------------------------

    def publish(self, key: str, number: int, body: str) -> None:
        """Takes a version that control has decided and passes it on; older ones change nothing."""
        held_number, held_body = self._items.get(key, (0, ""))
        if number <= held_number:
            return
        self._patches.pop(key, None)
        if held_number and number == held_number + 1 and len(body) > 1024:
            patch = merge_diff(held_body, body)
            if merge(held_body, patch) == body:
                self._patches[key] = NewsItem(key=key, number=number, base_number=held_number, body=patch)
        self._take(key, number, body, "")

    def _take(self, key: str, number: int, body: str, sender: str) -> None:
        self._items[key] = (number, body)
        for watcher in self._watchers:
            watcher(key, number, body)
        patch = self._patches.get(key)
        item = patch if patch is not None and patch.number == number else self._whole(key)
        for address in self._addresses():
            if address != sender:
                self._send(address, [item])
                self._send_digest(address)

    def _addresses(self) -> list[str]:
        return sorted((set(self._neighbours()) | set(self._extra())) - {self.node.address})

    def _whole(self, key: str) -> NewsItem:
        number, body = self._items[key]
        return NewsItem(key=key, number=number, base_number=0, body=body)

    def _send(self, address: str, items: list[NewsItem]) -> None:
        if items:
            rows = [encode(item) for item in items]
            self.sent_bytes += sum(len(row) for row in rows)
            self.node.post(address, News(items=rows))

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        raise TypeError(type(message).__name__)

    @receive.register
    def _(self, message: News, origin: Origin) -> None:
        before = self.numbers()
        for data in message.items:
            item = decode(data)
            if item.number <= self.number(item.key):
                continue
            if item.base_number == 0:
                self._patches.pop(item.key, None)
                self._take(item.key, item.number, item.body, origin.sender)
            elif item.base_number == self.number(item.key):
                self._patches[item.key] = item
                self._take(item.key, item.number, merge(self.body(item.key), item.body), origin.sender)
            else:
                self._send_digest(origin.sender)
        if self.numbers() != before:
            self._send_digest(origin.sender)

    # -- digests -------------------------------------------------------------------------------

    def _digest(self) -> Digest:
        return Digest(identity=self.identity, role=self.node.params.role, sure=self.sure(),
                      numbers=[encode(KeyNumber(key=key, number=number)) for key, number in self.numbers().items()])

    def _send_digest(self, address: str) -> None:
        self.node.post(address, self._digest())

    @receive.register
    def _(self, message: Digest, origin: Origin) -> None:
        now_ms = self.node.env.now()
        theirs = {row.key: row.number for row in map(decode, message.numbers)}
        if now_ms >= self._quiet_until_ms:
            self.contacts_ms[message.identity] = now_ms
            if message.sure and message.role == "control":
                self.quorate_ms = now_ms
            elif message.sure:
                self.sure_edge_ms = now_ms
        self.confirmed[message.identity] = (message.role, now_ms, theirs, origin.sender)
        self._send(origin.sender, [self._newer(key, theirs.get(key, 0)) for key, number in self.numbers().items()
                                   if number > theirs.get(key, 0)])
        if any(number > self.number(key) for key, number in theirs.items()):
            self._send_digest(origin.sender)

    def _newer(self, key: str, their_number: int) -> NewsItem:
        patch = self._patches.get(key)
        if patch is not None and patch.base_number == their_number and patch.number == self.number(key):
            return patch
        return self._whole(key)

    def tick(self) -> None:
        now_ms = self.node.env.now()
        if now_ms - self._sent_ms < self.node.params.beat_ms:
            return
        self._sent_ms = now_ms
        self._since_ms = min(self._since_ms, now_ms)
        for identity in [identity for identity, row in self.confirmed.items()
                         if now_ms - row[1] > self.node.params.gone_ms]:
            del self.confirmed[identity]
            self.contacts_ms.pop(identity, None)
        digest = self._digest()
        for address in self._addresses():
            self.node.post(address, digest)

    def woke(self, gap_ms: int) -> None:
        """Digests that waited in buffers say nothing about now."""
        self._quiet_until_ms = self.node.env.now() + self.node.params.beat_ms
        self._since_ms = self.node.env.now()
        self.quorate_ms = self.sure_edge_ms = -1 << 40
        self.contacts_ms = dict.fromkeys(self.contacts_ms, -1 << 40)

    # -- confirmation --------------------------------------------------------------------------

    def all_confirm(self, key: str, number: int, roles: tuple[str, ...], within_ms: int) -> bool:
        """Whether every node of these roles heard from lately has this number in force."""
        floor_ms = self.node.env.now() - within_ms
        return all(numbers.get(key, 0) >= number for role, at_ms, numbers, _ in self.confirmed.values()
                   if role in roles and at_ms >= floor_ms)

    def roll(self) -> frozenset[str]:
        """The link addresses of the edges and stores that count."""
        number = self.number(ROLL_KEY)
        if number != self._roll[0]:
            self._roll = (number, frozenset(self.value(ROLL_KEY)["links"]))
        return self._roll[1]

    @property
    def binding(self) -> bool:
        return len(self.roll()) >= LEAST

    def heard_links(self, within_ms: int) -> set[str]:
        """Edges and stores whose own digests came here lately."""
        floor_ms = self.node.env.now() - within_ms
        return {link for role, at_ms, _, link in self.confirmed.values() if role != "control" and at_ms >= floor_ms}

    def most_confirm(self, key: str, number: int, within_ms: int) -> bool:
        """Whether most of the roll have said lately that they have this number. A roll of fewer than three
        binds nobody: no edge serves without control by it."""
        floor_ms = self.node.env.now() - within_ms
        have = {link for _, at_ms, numbers, link in self.confirmed.values()
                if at_ms >= floor_ms and numbers.get(key, 0) >= number}
        roll = self.roll()
        return not self.binding or 2 * len(roll & have) > len(roll)

    def listened(self, for_ms: int) -> bool:
        """Whether this node has been awake for so long."""
        return self.node.env.now() - self._since_ms > for_ms
