"""The config feed at one node: the newest body of each key with its number.

A new version is relayed to all neighbours when it first arrives. Digests, exchanged every
heartbeat_ms, find versions that were missed; a node that starts has none and is sent all, which
serves as its snapshot. A change of a large body is sent as a merge patch on the number before it.
Numbers never go back.

With fan_out, digests and versions travel through the voters: a node that is not a voter reports to
a few of them, at a longer interval, and each voter relays new versions to the nodes that report to
it first and tells the other voters the lowest numbers reported to it.
"""

import json
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any

from messaging import Message, Origin, decode, encode

from config_feed.digest_targets import Candidate, DigestTargets
from config_feed.messages import KeyUpdate, KeyUpdates, VersionDigest
from config_feed.patches import merge, merge_diff
from config_feed.version_tracker import CONFIRMERS, VersionTracker

__all__ = ["ConfigFeed"]

_REPORT_BEATS = 2
_PEER_BEATS = 5


class ConfigFeed(VersionTracker):
    """Holds, relays and compares the versions of all keys at one node.

    `neighbours` returns the addresses to relay to, and `extra` further ones to exchange digests
    with. `sure` returns whether this node knows its versions to be the newest: a control node in
    contact with a majority, or a ready edge. `hands_out` returns whether it answers digests of
    edges and stores with items; a control node without a majority does not, since its items may be
    stale. Times are ms of the node's clock: `quorate_ms` and `sure_edge_ms` are when the last
    digest came from such a control node or edge, and `contacts_ms` when the last came from each
    identity.
    """

    __slots__ = (
        "_beat_count",
        "_behind_since_ms",
        "_contacts",
        "_extra",
        "_items",
        "_lows_told",
        "_neighbours",
        "_patches",
        "_quiet_until_ms",
        "_sent_ms",
        "_watchers",
        "candidates",
        "contacts_ms",
        "hands_out",
        "identity",
        "quorate_ms",
        "sent_bytes",
        "sure",
        "sure_edge_ms",
    )
    HANDLES = (VersionDigest, KeyUpdates)

    def __init__(
        self,
        identity: str,
        neighbours: Callable[[], Iterable[str]],
        extra: Callable[[], Iterable[str]] = lambda: (),
        sure: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__()
        self.identity = identity
        self.sure = sure
        self.hands_out: Callable[[], bool] = lambda: True
        self._behind_since_ms: dict[str, int] = {}
        self.candidates: Callable[[], Iterable[Candidate]] = lambda: ()
        self.quorate_ms = -1 << 40
        self.sure_edge_ms = -1 << 40
        self.contacts_ms: dict[str, int] = {}
        self.sent_bytes = 0
        self._neighbours = neighbours
        self._extra = extra
        self._items: dict[str, tuple[int, str]] = {}
        self._patches: dict[str, KeyUpdate] = {}
        self._watchers: list[Callable[[str, int, str], None]] = []
        self._sent_ms = -1 << 40
        self._quiet_until_ms = -1 << 40
        self._beat_count = 0
        self._contacts: DigestTargets | None = None
        self._lows_told: dict[str, int] = {}

    def attach(self, node: Any) -> None:
        """Attach the node, whose settings choose the contacts."""
        super().attach(node)
        self._contacts = DigestTargets(node)

    def watch(self, watcher: Callable[[str, int, str], None]) -> None:
        """Call `watcher` with key, number and body of each version that this node takes."""
        self._watchers.append(watcher)

    def number(self, key: str) -> int:
        """Return the number held of a key, 0 for none."""
        return self._items.get(key, (0, ""))[0]

    def body(self, key: str) -> str:
        """Return the body held of a key, empty for none."""
        return self._items.get(key, (0, ""))[1]

    def value(self, key: str) -> Any:
        """Return the decoded JSON body held of a key, None for none."""
        body = self.body(key)
        return json.loads(body) if body else None

    def numbers(self) -> dict[str, int]:
        """Return the number held of each key."""
        return {key: number for key, (number, _) in self._items.items()}

    @property
    def place(self) -> int:
        """The sum of all numbers held, by which operators compare nodes."""
        return sum(self.numbers().values())

    # -- new versions --------------------------------------------------------------------------

    def publish(self, key: str, number: int, body: str) -> None:
        """Take a version that control has decided and relay it; older ones change nothing."""
        held_number, held_body = self._items.get(key, (0, ""))
        if number <= held_number:
            return
        self._patches.pop(key, None)
        if held_number and number == held_number + 1 and len(body) > 1024:
            patch = merge_diff(held_body, body)
            if merge(held_body, patch) == body:
                self._patches[key] = KeyUpdate(
                    key=key, number=number, base_number=held_number, body=patch
                )
        self._take(key, number, body, "")

    def _take(self, key: str, number: int, body: str, sender: str) -> None:
        self._items[key] = (number, body)
        self._behind_since_ms.pop(key, None)
        for watcher in self._watchers:
            watcher(key, number, body)
        patch = self._patches.get(key)
        rows = [encode(patch if patch is not None and patch.number == number else self._whole(key))]
        if self.node.settings.fan_out:
            for address in self._onward(sender):
                self._send(address, rows)
            return
        for address in self._addresses():
            if address != sender:
                self._send(address, rows)
                self._send_digest(address)

    def _onward(self, sender: str) -> list[str]:
        """Return the addresses that a new version is relayed to at once, with fan_out.

        A voter relays to its first reporters, and to the other voters unless one of them sent it.
        """
        if not self.votes():
            return []
        voters = self._voters()
        floor_ms = self.node.env.now() - self.node.settings.failure_timeout_ms
        reporters = {
            row[3]
            for identity, row in self.confirmed.items()
            if self._ranks.get(identity) == 1 and row[1] >= floor_ms
        }
        return sorted(
            (reporters | (set() if sender in voters else voters)) - {self.node.address, sender}
        )

    def _voters(self) -> set[str]:
        return set(self._extra())

    def _addresses(self) -> list[str]:
        return sorted((set(self._neighbours()) | set(self._extra())) - {self.node.address})

    def _whole(self, key: str) -> KeyUpdate:
        number, body = self._items[key]
        return KeyUpdate(key=key, number=number, base_number=0, body=body)

    def _send(self, address: str, rows: list[bytes]) -> None:
        if rows:
            self.sent_bytes += sum(len(row) for row in rows)
            self.node.send(address, KeyUpdates(items=rows))

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Process another node's digest or news."""
        raise TypeError(type(message).__name__)

    @receive.register
    def _(self, message: KeyUpdates, origin: Origin) -> None:
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
                self._take(
                    item.key, item.number, merge(self.body(item.key), item.body), origin.sender
                )
            else:
                self._send_digest(origin.sender)
        if self.numbers() != before:
            if self.node.settings.fan_out and not self.votes():
                self._report()
            else:
                self._send_digest(origin.sender)

    # -- digests -------------------------------------------------------------------------------

    def _digest(self, rank: int = 0, edges: int = 0) -> VersionDigest:
        numbers = self.numbers()
        lows = self.lows() if self.node.settings.fan_out and self.votes() else {}
        return VersionDigest(
            identity=self.identity,
            role=self.node.settings.role,
            sure=self.sure(),
            keys=list(numbers),
            numbers=list(numbers.values()),
            low_keys=list(lows),
            lows=list(lows.values()),
            rank=rank,
            edges=edges,
        )

    def _send_digest(self, address: str) -> None:
        self.node.send(
            address, self._digest(rank=self._contacts.rank(address), edges=self._edges_for(address))
        )

    @receive.register
    def _(self, message: VersionDigest, origin: Origin) -> None:
        now_ms = self.node.env.now()
        theirs = dict(zip(message.keys, message.numbers, strict=True))
        if now_ms >= self._quiet_until_ms:
            self.contacts_ms[message.identity] = now_ms
            if message.role == "control":
                self._note_control(message.sure, theirs, now_ms)
            elif message.sure:
                self.sure_edge_ms = now_ms
        before = self.confirmed.get(message.identity)
        self.confirmed[message.identity] = (message.role, now_ms, theirs, origin.sender)
        if self.node.settings.fan_out:
            self._note_report(message, origin, before is None or before[2] != theirs)
        if message.role == "control" or self.hands_out():
            self._send(
                origin.sender,
                [
                    encode(self._newer(key, theirs.get(key, 0)))
                    for key, number in self.numbers().items()
                    if number > theirs.get(key, 0)
                ],
            )
        if self._wants_digest(message, origin) or (
            self._may_give(message)
            and any(number > self.number(key) for key, number in theirs.items())
        ):
            self._send_digest(origin.sender)

    def _may_give(self, message: VersionDigest) -> bool:
        """Whether the sender answers a digest from here with the items that this node lacks."""
        return self.node.settings.role == "control" or message.role != "control" or message.sure

    def _note_control(self, sure: bool, theirs: dict[str, int], now_ms: int) -> None:
        if sure:
            self.quorate_ms = now_ms
        for key in CONFIRMERS:
            if theirs.get(key, 0) > self.number(key):
                self._behind_since_ms.setdefault(key, now_ms)

    def behind_ms(self) -> int:
        """Return for how long a control node has been known to have a newer version, in ms.

        Only the confirmed keys count: the profiles and the list of workers. 0 if none is known.
        """
        return self.node.env.now() - min(
            self._behind_since_ms.values(), default=self.node.env.now()
        )

    def _wants_digest(self, message: VersionDigest, origin: Origin) -> bool:
        """Whether the sender reports to this voter, and so expects a digest as a heartbeat."""
        return (
            bool(self.node.settings.fan_out)
            and self.votes()
            and (message.role != "control" or origin.sender not in self._voters())
        )

    # -- reports to the voters (fan_out) -------------------------------------------------------

    def _note_report(self, message: VersionDigest, origin: Origin, changed: bool) -> None:
        self._ranks[message.identity] = message.rank
        if message.role == "control":
            self._lows[message.identity] = dict(zip(message.low_keys, message.lows, strict=True))
            self._edges_told[message.identity] = message.edges
            self._contacts.heard(origin.sender, message.sure)
        elif (changed or message.rank == 0) and self.votes() and self.lows() != self._lows_told:
            self._tell_voters()

    def _edges_for(self, address: str) -> int:
        if not (self.node.settings.fan_out and self.votes()):
            return 0
        return self._own_edges() if address in self._voters() else self.edge_count()

    def _tell_voters(self) -> None:
        self._lows_told = self.lows()
        digest = self._digest(edges=self._own_edges())
        for address in sorted(self._voters() - {self.node.address}):
            self.node.send(address, digest)

    def _report(self) -> None:
        for address in self._contacts.choose(self.candidates()):
            self._contacts.asked(address)
            self._send_digest(address)

    def _tick_by_way_of_voters(self) -> None:
        self._beat_count += 1
        if self.votes():
            self._tell_voters()
        elif self._beat_count % _REPORT_BEATS == 0 or not self._items:
            self._report()
        peers = sorted(
            set(self._neighbours()) - {self.node.address, *(row[0] for row in self.candidates())}
        )
        if peers and not self.votes() and self._beat_count % _PEER_BEATS == 0:
            self._send_digest(peers[self._beat_count // _PEER_BEATS % len(peers)])

    def _newer(self, key: str, their_number: int) -> KeyUpdate:
        patch = self._patches.get(key)
        if (
            patch is not None
            and patch.base_number == their_number
            and patch.number == self.number(key)
        ):
            return patch
        return self._whole(key)

    def tick(self) -> None:
        """Send digests every heartbeat_ms."""
        now_ms = self.node.env.now()
        if now_ms - self._sent_ms < self.node.settings.heartbeat_ms:
            return
        self._sent_ms = now_ms
        self._since_ms = min(self._since_ms, now_ms)
        for identity in self._forget_silent(now_ms):
            self.contacts_ms.pop(identity, None)
        if self.node.settings.fan_out:
            self._tick_by_way_of_voters()
            return
        digest = self._digest()
        for address in self._addresses():
            self.node.send(address, digest)

    def resumed(self, gap_ms: int) -> None:
        """Disregard digests for heartbeat_ms after a pause of the process.

        Those that waited in buffers say nothing about the present.
        """
        self._quiet_until_ms = self.node.env.now() + self.node.settings.heartbeat_ms
        self._since_ms = self.node.env.now()
        self.quorate_ms = self.sure_edge_ms = -1 << 40
        self.contacts_ms = dict.fromkeys(self.contacts_ms, -1 << 40)
        self._contacts.resumed()
