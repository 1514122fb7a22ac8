"""The config feed at one node: the newest body of each key with its version.

A new version is relayed to all peers when it first arrives. Digests, exchanged every
heartbeat_ms, find versions that were missed; a node that starts has none and is sent all, which
serves as its snapshot. A change of a large body is sent as a merge patch on the version before it.
Versions never go back.

With fan_out, digests and versions travel through the voters: a node that is not a voter reports to
a few of them, at a longer interval, and each voter relays new versions to the nodes that report to
it first and tells the other voters the lowest versions reported to it.
"""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any

from messaging import Message, Origin, decode_as, encode

from config_feed.digest_targets import Candidate, DigestTargets
from config_feed.messages import KeyUpdate, KeyUpdates, VersionDigest
from config_feed.version_tracker import CONFIRMING_ROLES, NEVER_MS, DigestReport, VersionTracker
from config_feed.versioned_keys import VersionedKeys, VersionWatcher

__all__ = ["ConfigFeed"]

# With fan_out: heartbeats between reports to the voters, and between digests to a peer.
_REPORT_EVERY = 2
_PEER_DIGEST_EVERY = 5


class ConfigFeed(VersionTracker):
    """Holds, relays and compares the versions of all keys at one node.

    `peer_addresses` returns the addresses to relay to, and `extra_addresses` further ones to
    exchange digests with. `is_current` returns whether this node knows its versions to be the
    newest: a control node in contact with a majority, or a ready edge. `serves_updates` returns
    whether it answers digests of edges and stores with updates; a control node without a
    majority does not, since they may be stale. Times are ms of the node's clock:
    `control_quorum_heard_ms` and `current_edge_heard_ms` are when the last digest came from such a
    control node or edge, and `digest_heard_ms` when the last came from each identity.
    """

    __slots__ = (
        "_behind_since_ms",
        "_digest_targets",
        "_extra_addresses",
        "_ignore_digests_until_ms",
        "_keys",
        "_peer_addresses",
        "_rounds",
        "_sent_ms",
        "_sent_watermarks",
        "control_quorum_heard_ms",
        "current_edge_heard_ms",
        "digest_heard_ms",
        "identity",
        "is_current",
        "sent_bytes",
        "serves_updates",
        "target_candidates",
    )
    HANDLES = (VersionDigest, KeyUpdates)

    def __init__(
        self,
        identity: str,
        peer_addresses: Callable[[], Iterable[str]],
        extra_addresses: Callable[[], Iterable[str]] = lambda: (),
        is_current: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__()
        self.identity = identity
        self.is_current = is_current
        self.serves_updates: Callable[[], bool] = lambda: True
        self._behind_since_ms: dict[str, int] = {}
        self.target_candidates: Callable[[], Iterable[Candidate]] = lambda: ()
        self.control_quorum_heard_ms = NEVER_MS
        self.current_edge_heard_ms = NEVER_MS
        self.digest_heard_ms: dict[str, int] = {}
        self.sent_bytes = 0
        self._peer_addresses = peer_addresses
        self._extra_addresses = extra_addresses
        self._keys = VersionedKeys()
        self._sent_ms = NEVER_MS
        self._ignore_digests_until_ms = NEVER_MS
        self._rounds = 0
        self._sent_watermarks: dict[str, int] = {}

    def attach(self, node: Any) -> None:
        """Bind the feed to its node, whose settings choose the targets of digests."""
        super().attach(node)
        self._digest_targets = DigestTargets(node)

    def watch(self, watcher: VersionWatcher) -> None:
        """Call `watcher` with key, version and body of each version that this node takes."""
        self._keys.watch(watcher)

    def version(self, key: str) -> int:
        """Return the version held of a key, 0 for none."""
        return self._keys.version(key)

    def body(self, key: str) -> str:
        """Return the body held of a key, empty for none."""
        return self._keys.body(key)

    def value(self, key: str) -> Any:
        """Return the decoded JSON body held of a key, None for none."""
        return self._keys.value(key)

    def versions(self) -> dict[str, int]:
        """Return the version held of each key."""
        return self._keys.versions()

    @property
    def position(self) -> int:
        """The sum of all versions held, by which operators compare nodes."""
        return sum(self.versions().values())

    # -- new versions --------------------------------------------------------------------------

    def publish(self, key: str, version: int, body: str) -> None:
        """Take a version that control has decided and relay it; older ones change nothing."""
        if version <= self.version(key):
            return
        self._keys.store(key, version, body, self._keys.make_patch(key, version, body))
        self._announce(key, version, body, "")

    def _announce(self, key: str, version: int, body: str, sender: str) -> None:
        """Pass a version just stored to the watchers and on to other nodes."""
        self._behind_since_ms.pop(key, None)
        self._keys.notify(key, version, body)
        self._relay(key, sender)

    def _relay(self, key: str, sender: str) -> None:
        """Send a version just accepted on to others, but not to the node that sent it."""
        updates = [encode(self._keys.latest_update(key))]
        if self.node.settings.fan_out:
            for address in self._relay_addresses(sender):
                self._send(address, updates)
            return
        for address in self._addresses():
            if address != sender:
                self._send(address, updates)
                self._send_digest(address)

    def _relay_addresses(self, sender: str) -> list[str]:
        """Return the addresses that a new version is relayed to at once, with fan_out.

        A voter relays to its first reporters, and to the other voters unless one of them sent it.
        """
        if not self.is_voter():
            return []
        voters = self._voter_addresses()
        since_ms = self._live_since_ms()
        reporters = {
            report.link
            for identity, report in self.reports.items()
            if self._ranks.get(identity) == 1 and report.received_ms >= since_ms
        }
        return sorted(
            (reporters | (set() if sender in voters else voters)) - {self.node.address, sender}
        )

    def _voter_addresses(self) -> set[str]:
        return set(self._extra_addresses())

    def _addresses(self) -> list[str]:
        return sorted(
            (set(self._peer_addresses()) | set(self._extra_addresses())) - {self.node.address}
        )

    def _send(self, address: str, updates: list[bytes]) -> None:
        if updates:
            self.sent_bytes += sum(map(len, updates))
            self.node.send(address, KeyUpdates(updates=updates))

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Process another node's digest or updates."""
        raise TypeError(type(message).__name__)

    @receive.register
    def _(self, message: KeyUpdates, origin: Origin) -> None:
        before = self.versions()
        for data in message.updates:
            update = decode_as(KeyUpdate, data)
            if update.version <= self.version(update.key):
                continue
            if update.base_version == 0:
                self._keys.store(update.key, update.version, update.body)
            elif update.base_version == self.version(update.key):
                self._keys.apply_patch(update)
            else:
                self._send_digest(origin.sender)
                continue
            self._announce(update.key, update.version, self.body(update.key), origin.sender)
        if self.versions() != before:
            if self.node.settings.fan_out and not self.is_voter():
                self._report()
            else:
                self._send_digest(origin.sender)

    # -- digests -------------------------------------------------------------------------------

    def _digest(self, rank: int = 0, edge_count: int = 0) -> VersionDigest:
        versions = self.versions()
        lows = self.low_watermarks() if self.node.settings.fan_out and self.is_voter() else {}
        return VersionDigest(
            identity=self.identity,
            role=self.node.settings.role,
            is_current=self.is_current(),
            keys=list(versions),
            versions=list(versions.values()),
            low_keys=list(lows),
            low_versions=list(lows.values()),
            rank=rank,
            edge_count=edge_count,
        )

    def _send_digest(self, address: str) -> None:
        self.node.send(
            address,
            self._digest(
                rank=self._digest_targets.rank(address), edge_count=self._edge_count_for(address)
            ),
        )

    @receive.register
    def _(self, message: VersionDigest, origin: Origin) -> None:
        their_versions = dict(zip(message.keys, message.versions, strict=True))
        has_changed = self._record_report(message, origin, their_versions)
        if self.node.settings.fan_out:
            self._note_report(message, origin, has_changed)
        if message.role == "control" or self.serves_updates():
            self._send(origin.sender, self._keys.missing_updates(their_versions))
        if self._wants_digest(message, origin) or (
            self._will_send_updates(message)
            and any(version > self.version(key) for key, version in their_versions.items())
        ):
            self._send_digest(origin.sender)

    def _record_report(
        self, message: VersionDigest, origin: Origin, their_versions: dict[str, int]
    ) -> bool:
        """Record a digest; return whether its versions differ from the sender's previous one."""
        now_ms = self.node.env.now()
        if now_ms >= self._ignore_digests_until_ms:
            self.digest_heard_ms[message.identity] = now_ms
            if message.role == "control":
                self._note_control_digest(message.is_current, their_versions, now_ms)
            elif message.is_current:
                self.current_edge_heard_ms = now_ms
        previous = self.reports.get(message.identity)
        self.reports[message.identity] = DigestReport(
            message.role, now_ms, their_versions, origin.sender
        )
        return previous is None or previous.versions != their_versions

    def _will_send_updates(self, message: VersionDigest) -> bool:
        """Whether the sender answers a digest from here with the updates that this node lacks."""
        return (
            self.node.settings.role == "control" or message.role != "control" or message.is_current
        )

    def _note_control_digest(
        self, is_current: bool, their_versions: dict[str, int], now_ms: int
    ) -> None:
        if is_current:
            self.control_quorum_heard_ms = now_ms
        for key in CONFIRMING_ROLES:
            if their_versions.get(key, 0) > self.version(key):
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
            and self.is_voter()
            and (message.role != "control" or origin.sender not in self._voter_addresses())
        )

    # -- reports to the voters (fan_out) -------------------------------------------------------

    def _note_report(self, message: VersionDigest, origin: Origin, changed: bool) -> None:
        self._ranks[message.identity] = message.rank
        if message.role == "control":
            self._low_watermarks[message.identity] = dict(
                zip(message.low_keys, message.low_versions, strict=True)
            )
            self._edge_counts[message.identity] = message.edge_count
            self._digest_targets.replied(origin.sender, message.is_current)
        elif (
            (changed or message.rank == 0)
            and self.is_voter()
            and self.low_watermarks() != self._sent_watermarks
        ):
            self._send_watermarks()

    def _edge_count_for(self, address: str) -> int:
        if not (self.node.settings.fan_out and self.is_voter()):
            return 0
        return self._own_edge_count() if address in self._voter_addresses() else self.edge_count()

    def _send_watermarks(self) -> None:
        self._sent_watermarks = self.low_watermarks()
        digest = self._digest(edge_count=self._own_edge_count())
        for address in sorted(self._voter_addresses() - {self.node.address}):
            self.node.send(address, digest)

    def _report(self) -> None:
        for address in self._digest_targets.choose(self.target_candidates()):
            self._digest_targets.sent_to(address)
            self._send_digest(address)

    def _tick_with_fan_out(self) -> None:
        self._rounds += 1
        if self.is_voter():
            self._send_watermarks()
        elif self._rounds % _REPORT_EVERY == 0 or not self.versions():
            self._report()
        peers = sorted(
            set(self._peer_addresses())
            - {self.node.address, *(node.address for node in self.target_candidates())}
        )
        if peers and not self.is_voter() and self._rounds % _PEER_DIGEST_EVERY == 0:
            self._send_digest(peers[self._rounds // _PEER_DIGEST_EVERY % len(peers)])

    def tick(self) -> None:
        """Send digests every heartbeat_ms."""
        now_ms = self.node.env.now()
        if now_ms - self._sent_ms < self.node.settings.heartbeat_ms:
            return
        self._sent_ms = now_ms
        self._since_ms = min(self._since_ms, now_ms)
        for identity in self._forget_silent(now_ms):
            self.digest_heard_ms.pop(identity, None)
        if self.node.settings.fan_out:
            self._tick_with_fan_out()
            return
        digest = self._digest()
        for address in self._addresses():
            self.node.send(address, digest)

    def resumed(self, gap_ms: int) -> None:
        """Disregard digests for heartbeat_ms after a pause of the process.

        Those that waited in buffers say nothing about the present.
        """
        self._ignore_digests_until_ms = self.node.env.now() + self.node.settings.heartbeat_ms
        self._since_ms = self.node.env.now()
        self.control_quorum_heard_ms = self.current_edge_heard_ms = NEVER_MS
        self.digest_heard_ms = dict.fromkeys(self.digest_heard_ms, NEVER_MS)
        self._digest_targets.resumed()
