"""Partial views of the fleet and failure detection.

Every `heartbeat_ms` a node exchanges part of its view with the peer at the head of its view and
sends heartbeats to the nodes of its own role, to the control nodes and to `extra_addresses`; an
edge sends them to `extra_addresses` only. A node is live if a message from it, or a forwarded
description of it with a higher heartbeat counter, came within the failure timeout.

With the setting `fan_out`, views are exchanged less often, heartbeats go to the own role and at
times to `extra_addresses`, a limited number of them at once, and edges send none.

The exchange of views is a shuffle as in CYCLON (Voulgaris, Gavidia and van Steen, 2005).
"""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from messaging import Component, Message, Origin, decode_as, encode

from membership.known_nodes import NEVER_MS, KnownNodes
from membership.messages import Heartbeat, NodeInfo, ShuffleRequest, ShuffleResponse

__all__ = ["Membership"]

_SAMPLE_SIZE = 6
_MIN_VIEW_SIZE = 3
_SEED_PROBABILITY = 0.1
# These apply only with fan_out.
_ROUNDS_PER_SHUFFLE = 5
_ROUNDS_PER_EXTRA_HEARTBEAT = 2
_MAX_HEARTBEATS_PER_ROUND = 16


class Membership(Component):
    """The component of a node that keeps track of the other nodes and detects their failures.

    Times are milliseconds of the node's boot clock.

    Attributes
    ----------
    identity
        The identity of this node.
    is_ready
        Returns the value of `NodeInfo.ready` for this node.
    is_isolated
        Returns the value of `NodeInfo.isolated` for this node.
    extra_addresses
        Returns further addresses to send heartbeats to, such as those of the members listed in a
        control key.
    """

    __slots__ = (
        "_heartbeat",
        "_known",
        "_rounds",
        "_sent_ms",
        "_view",
        "extra_addresses",
        "identity",
        "is_isolated",
        "is_ready",
    )
    HANDLES = (ShuffleRequest, ShuffleResponse, Heartbeat)

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.is_ready: Callable[[], bool] = lambda: True
        self.is_isolated: Callable[[], bool] = lambda: False
        self.extra_addresses: Callable[[], Iterable[str]] = lambda: ()
        self._known = KnownNodes()
        self._view: list[str] = []
        self._sent_ms = NEVER_MS
        self._heartbeat = 0
        self._rounds = 0

    def own_info(self) -> NodeInfo:
        """Return this node's own description, with the current heartbeat counter."""
        node = self.node
        return NodeInfo(
            identity=self.identity,
            address=node.address,
            http=node.settings.http,
            role=node.settings.role,
            zone=node.settings.zone,
            region=node.settings.region,
            heartbeat=self._heartbeat,
            ready=self.is_ready(),
            isolated=self.is_isolated(),
            name=node.settings.node_name or node.address,
        )

    def view(self) -> list[NodeInfo]:
        """Return the nodes in the partial view, the next partner of a view exchange first."""
        return [self._known.info(identity) for identity in self._view if identity in self._known]

    def nodes_in_role(self, role: str, within_ms: int) -> list[NodeInfo]:
        """Return the nodes of a role described, directly or not, within the last `within_ms`."""
        since_ms = self.node.env.now() - within_ms
        return [
            record.info
            for record in self._known
            if record.info.role == role and record.updated_ms >= since_ms
        ]

    def nodes_heard_directly(self, within_ms: int) -> list[NodeInfo]:
        """Return the nodes that sent this node a message within the time."""
        since_ms = self.node.env.now() - within_ms
        return [
            record.info
            for record in self._known
            if self._known.heard_ms(record.info.identity) >= since_ms
        ]

    def node_info(self, identity: str) -> NodeInfo | None:
        """Return the newest description of a node, or None if it is not known."""
        record = self._known.get(identity)
        return None if record is None else record.info

    def is_live(self, identity: str, within_ms: int | None = None) -> bool:
        """Return whether a node is live; this node itself always is.

        A node is live if a message from it or a newer description of it came within `within_ms`,
        by default `failure_timeout_ms`. With the default, a node whose address refused a connection
        is not live until another message from it arrives.
        """
        if identity == self.identity:
            return True
        record = self._known.get(identity)
        if within_ms is None and record is not None and record.has_refused:
            return False
        silent_ms = self.node.env.now() - self.last_heard_ms(identity)
        return silent_ms <= (within_ms or self.node.settings.failure_timeout_ms)

    def is_heard_directly(self, identity: str, within_ms: int) -> bool:
        """Return whether a node sent this node a message within the time.

        Forwarded descriptions don't count: they may have come by way of a third node, across a
        network partition between the two. This node itself always counts.
        """
        if identity == self.identity:
            return True
        return self.node.env.now() - self._known.heard_ms(identity) <= within_ms

    def has_majority_contact(self, identity: str) -> bool:
        """Return whether a node reports contact with a majority of the voters; True if unknown."""
        if identity == self.identity:
            return not self.is_isolated()
        info = self.node_info(identity)
        return info is None or not info.isolated

    def connection_refused(self, address: str) -> None:
        """Record that nothing listens at an address.

        The nodes with this address are not live until another message from them arrives.
        """
        for record in self._known:
            if record.info.address == address:
                record.has_refused = True

    def last_heard_ms(self, identity: str) -> int:
        """Return when the last message or newer description of a node came, or NEVER_MS."""
        return max(self._known.updated_ms(identity), self._known.heard_ms(identity))

    def known_since_ms(self, identity: str) -> int:
        """Return since when a node has been known without interruption; now if it is unknown."""
        record = self._known.get(identity)
        return self.node.env.now() if record is None else record.known_since_ms

    def tick(self) -> None:
        """Drop silent nodes, send heartbeats and start view exchanges, every `heartbeat_ms`."""
        now_ms = self.node.env.now()
        if now_ms - self._sent_ms < self.node.settings.heartbeat_ms:
            return
        self._sent_ms = now_ms
        self._heartbeat = max(self._heartbeat + 1, self.node.env.wall())
        self._drop_silent(now_ms)
        own_info = encode(self.own_info())
        for address in self._heartbeat_addresses():
            self.node.send(address, Heartbeat(sender=own_info))
        self._rounds += 1
        if self._shuffles_now():
            for address in self._shuffle_partners():
                self.node.send(address, ShuffleRequest(sender=own_info, sample=self._sample()))

    def _shuffles_now(self) -> bool:
        return (
            not self.node.settings.fan_out
            or self._rounds % _ROUNDS_PER_SHUFFLE == 0
            or len(self._view) < _MIN_VIEW_SIZE
        )

    def _addresses_in_role(self, role: str) -> set[str]:
        nodes = self.nodes_in_role(role, self.node.settings.removal_timeout_ms)
        return {info.address for info in nodes}

    def _heartbeat_addresses(self) -> list[str]:
        role = self.node.settings.role
        if self.node.settings.fan_out:
            return self._heartbeat_addresses_with_fan_out(role)
        addresses = set(self.extra_addresses())
        if role != "edge":
            addresses |= self._addresses_in_role(role) | self._addresses_in_role("control")
        return sorted(addresses - {self.node.address})

    def _heartbeat_addresses_with_fan_out(self, role: str) -> list[str]:
        """Return the addresses for this round; if there are too many, rounds take them in turn."""
        if role == "edge":
            return []
        addresses = self._addresses_in_role(role)
        if role == "control" or self._rounds % _ROUNDS_PER_EXTRA_HEARTBEAT == 0:
            addresses |= set(self.extra_addresses())
        ordered = sorted(addresses - {self.node.address})
        if len(ordered) <= _MAX_HEARTBEATS_PER_ROUND:
            return ordered
        start = self._rounds * _MAX_HEARTBEATS_PER_ROUND % len(ordered)
        return [*ordered[start:], *ordered[:start]][:_MAX_HEARTBEATS_PER_ROUND]

    def _shuffle_partners(self) -> list[str]:
        """Return the address at the head of the view, which moves to its end, and perhaps a seed's.

        A seed is added at random, and always while the view is smaller than the minimum.
        """
        rng = self.node.env.rng
        partners = set()
        if self._view:
            partners.add(self._known.info(self._view[0]).address)
            self._view.append(self._view.pop(0))
        if len(self._view) < _MIN_VIEW_SIZE or rng.random() < _SEED_PROBABILITY:
            partners.add(rng.choice(self.node.settings.seeds))
        return sorted(partners - {self.node.address})

    def _sample(self) -> list[bytes]:
        """Return encoded descriptions of random nodes in the view, control nodes and stores."""
        candidates = [
            record.info
            for record in self._known
            if record.info.identity in self._view or record.info.role != "edge"
        ]
        chosen = self.node.env.rng.sample(candidates, min(_SAMPLE_SIZE, len(candidates)))
        return [encode(info) for info in chosen]

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Process a heartbeat or a message of a view exchange.

        Raises TypeError for any other message.
        """
        raise TypeError(
            "expected ShuffleRequest, ShuffleResponse or Heartbeat, got " + type(message).__name__
        )

    @receive.register
    def _(self, message: ShuffleRequest, origin: Origin) -> None:
        response = ShuffleResponse(sender=encode(self.own_info()), sample=self._sample())
        self.node.send(origin.sender, response)
        self._merge(message.sender, message.sample)

    @receive.register
    def _(self, message: ShuffleResponse, origin: Origin) -> None:
        self._merge(message.sender, message.sample)

    @receive.register
    def _(self, message: Heartbeat, origin: Origin) -> None:
        self._merge(message.sender, [])

    def _merge(self, sender: bytes, sample: list[bytes]) -> None:
        """Merge the sender's own description, then those that it forwards.

        If the sender restarted after its clock was moved back, its heartbeat counter may be lower
        than the one recorded. Its own description is then accepted once no newer description of it
        has come for longer than `failure_timeout_ms`.
        """
        now_ms = self.node.env.now()
        info = decode_as(NodeInfo, sender)
        identity = info.identity
        silent_ms = now_ms - self._known.updated_ms(identity)
        was_silent = silent_ms > self.node.settings.failure_timeout_ms
        if was_silent and self._known.counter(identity) >= info.heartbeat:
            self._known.reset_counter(identity, info.heartbeat)
        self._merge_one(info)
        record = self._known.get(identity)
        if record is not None:
            record.has_refused = False
        if identity != self.identity:
            self._known.note_heard(identity, now_ms)
        for data in sample:
            self._merge_one(decode_as(NodeInfo, data))

    def _merge_one(self, info: NodeInfo) -> None:
        """Store a description if its counter is higher and no newer live node has its address."""
        if info.identity == self.identity:
            return
        if self._known.counter(info.identity) >= info.heartbeat:
            return
        if not self._replace_others_at(info):
            return
        self._known.put(info, self.node.env.now())
        if info.identity not in self._view:
            self._add_to_view(info.identity)

    def _replace_others_at(self, info: NodeInfo) -> bool:
        """Drop other nodes with the same address; return False if one of them is live and newer."""
        now_ms = self.node.env.now()
        for identity in self._known.identities_at(info.address):
            if identity == info.identity:
                continue
            is_recent = (
                self._known.updated_ms(identity) > now_ms - self.node.settings.failure_timeout_ms
            )
            if is_recent and self._known.info(identity).heartbeat > info.heartbeat:
                return False
            self._drop(identity)
        return True

    def _add_to_view(self, identity: str) -> None:
        """Add a node to the view; if the view is too large, remove a random other node from it."""
        self._view.append(identity)
        if len(self._view) > self.node.settings.view_size:
            self._view.pop(self.node.env.rng.randrange(len(self._view) - 1))

    def _drop_silent(self, now_ms: int) -> None:
        silent = [
            record.info.identity
            for record in self._known
            if now_ms - record.updated_ms > self.node.settings.removal_timeout_ms
        ]
        for identity in silent:
            self._drop(identity)
        self._known.prune_counters()

    def _drop(self, identity: str) -> None:
        self._known.drop(identity)
        if identity in self._view:
            self._view.remove(identity)
