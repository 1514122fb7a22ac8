"""The config feed of one node, which holds the newest version of each control key.

A new version is relayed to all peers when it first arrives. Versions that were missed are found by
digests, which are exchanged every `heartbeat_ms`; a node that has just started holds no version and
is sent the newest of each key as its snapshot. A change of a large body is sent as a merge patch on
the version before it. The version of a key never decreases.

With `fan_out`, digests and updates go through the voters. A node that is not a voter sends its
digests to a few voters only, and less often. Each voter relays new versions to the nodes that have
it as their preferred target, and sends the other voters its low watermarks: the lowest version of
each key among the nodes that report to it.
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

# These apply only with fan_out, to nodes that are not voters; a round takes heartbeat_ms.
_ROUNDS_PER_REPORT = 2
_ROUNDS_PER_PEER_DIGEST = 5


class ConfigFeed(VersionTracker):
    """The component of a node that holds the newest versions and exchanges them with other nodes.

    Times are milliseconds of the node's clock.

    Parameters
    ----------
    identity
        The identity of this node.
    peer_addresses
        Returns the addresses of the peers to relay to and exchange digests with.
    extra_addresses
        Returns further such addresses: those of the voters or control nodes.
    is_current
        Returns whether this node knows its versions to be the newest. True for a control node in
        contact with a majority of the voters, and for a ready edge.

    Attributes
    ----------
    serves_updates
        Returns whether this node answers digests of edges and stores with updates. A control node
        without contact with a majority does not, since its versions may be stale.
    target_candidates
        Returns the control nodes that may be selected as digest targets.
    control_quorum_heard_ms
        When the last digest came from a control node that is current.
    current_edge_heard_ms
        When the last digest came from an edge that is current.
    digest_heard_ms
        When the last digest came from each node, by identity.
    sent_bytes
        The total size of the updates sent.
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
        """Attach the feed to its node, whose settings also determine the digest targets."""
        super().attach(node)
        self._digest_targets = DigestTargets(node)

    def watch(self, watcher: VersionWatcher) -> None:
        """Register a function to call with each version that this node accepts."""
        self._keys.watch(watcher)

    def version(self, key: str) -> int:
        """Return this node's version of a key, or 0 if it holds none."""
        return self._keys.version(key)

    def body(self, key: str) -> str:
        """Return this node's body of a key, or an empty string if it holds none."""
        return self._keys.body(key)

    def value(self, key: str) -> Any:
        """Return this node's decoded JSON body of a key, or None if it holds none."""
        return self._keys.value(key)

    def versions(self) -> dict[str, int]:
        """Return this node's version of each key."""
        return self._keys.versions()

    @property
    def position(self) -> int:
        """The sum of the versions that this node holds; operators compare nodes by it."""
        return sum(self.versions().values())

    def publish(self, key: str, version: int, body: str) -> None:
        """Accept a version that the control nodes decided, and relay it; ignore it if not newer."""
        if version <= self.version(key):
            return
        self._keys.store(key, version, body, self._keys.make_patch(key, version, body))
        self._announce(key, version, body, "")

    def _announce(self, key: str, version: int, body: str, sender: str) -> None:
        """Pass a newly stored version to the watchers and to other nodes, except its sender."""
        self._behind_since_ms.pop(key, None)
        self._keys.notify(key, version, body)
        self._relay(key, sender)

    def _relay(self, key: str, sender: str) -> None:
        """Send a newly stored version to other nodes, except the one that sent it."""
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
        """Return the addresses to which a new version is relayed at once, with `fan_out`.

        A voter relays to the live nodes that have it as their preferred target, and to the other
        voters unless one of them sent the version. Other nodes do not relay.
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
        """Process another node's digest or updates. Raises TypeError for any other message."""
        raise TypeError("expected VersionDigest or KeyUpdates, got " + type(message).__name__)

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
        """Record a digest; return whether its versions differ from those of the previous one."""
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
        """Whether the sender will answer a digest of this node with the updates that it lacks."""
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
        """Return for how many ms this node has known that a control node holds a newer version.

        Only the keys in CONFIRMING_ROLES count. Returns 0 if no newer version is known.
        """
        return self.node.env.now() - min(
            self._behind_since_ms.values(), default=self.node.env.now()
        )

    def _wants_digest(self, message: VersionDigest, origin: Origin) -> bool:
        """Whether the sender reports to this voter and needs a digest in reply, as a heartbeat."""
        return (
            bool(self.node.settings.fan_out)
            and self.is_voter()
            and (message.role != "control" or origin.sender not in self._voter_addresses())
        )

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
        elif self._rounds % _ROUNDS_PER_REPORT == 0 or not self.versions():
            self._report()
        peers = sorted(
            set(self._peer_addresses())
            - {self.node.address, *(node.address for node in self.target_candidates())}
        )
        if peers and not self.is_voter() and self._rounds % _ROUNDS_PER_PEER_DIGEST == 0:
            self._send_digest(peers[self._rounds // _ROUNDS_PER_PEER_DIGEST % len(peers)])

    def tick(self) -> None:
        """Drop silent nodes and send digests, every `heartbeat_ms`."""
        now_ms = self.node.env.now()
        if now_ms - self._sent_ms < self.node.settings.heartbeat_ms:
            return
        self._sent_ms = now_ms
        self._running_since_ms = min(self._running_since_ms, now_ms)
        for identity in self._drop_silent(now_ms):
            self.digest_heard_ms.pop(identity, None)
        if self.node.settings.fan_out:
            self._tick_with_fan_out()
            return
        digest = self._digest()
        for address in self._addresses():
            self.node.send(address, digest)

    def resumed(self, gap_ms: int) -> None:
        """Forget when digests came, and do not record such times for another `heartbeat_ms`.

        Digests that arrived during the pause of the process wait in buffers and do not show that
        their senders are still live.
        """
        self._ignore_digests_until_ms = self.node.env.now() + self.node.settings.heartbeat_ms
        self._running_since_ms = self.node.env.now()
        self.control_quorum_heard_ms = self.current_edge_heard_ms = NEVER_MS
        self.digest_heard_ms = dict.fromkeys(self.digest_heard_ms, NEVER_MS)
        self._digest_targets.resumed()
