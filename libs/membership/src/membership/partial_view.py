"""Partial views of the fleet and failure detection.

Each heartbeat a node exchanges part of its view with its oldest neighbour and sends heartbeats to
its kin: the nodes of its own role and those with disks. A node counts as live if it was itself
heard lately, or if its heartbeat counter rose in a forwarded card. Where `fan_out` is set, views
are exchanged less often, and kin is the node's own role, a limited number at a time.
"""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from messaging import Component, Message, Origin, decode, encode

from membership.messages import Heartbeat, NodeInfo, ShuffleRequest, ShuffleResponse

__all__ = ["Membership"]

_SHARE = 6
_REMEMBERED = 4096
_SHUFFLE_BEATS = 5
_CONTROL_BEATS = 2
_KIN_AT_ONCE = 16
_FEW = 3


class Membership(Component):
    """The part of a node that knows other nodes and judges whether they are live.

    `identity` is this node's own. `ready` and `deaf` give what its card says of it; `wanted` gives
    further addresses to send heartbeats to, such as members that a control key names. Times are
    milliseconds of the node's boot clock.
    """

    __slots__ = (
        "_beat_count",
        "_beat_ms",
        "_beats",
        "_cards",
        "_first_ms",
        "_fresh_ms",
        "_heard_ms",
        "_refused",
        "_sent_ms",
        "_view",
        "deaf",
        "identity",
        "ready",
        "wanted",
    )
    HANDLES = (ShuffleRequest, ShuffleResponse, Heartbeat)

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.ready: Callable[[], bool] = lambda: True
        self.deaf: Callable[[], bool] = lambda: False
        self.wanted: Callable[[], Iterable[str]] = lambda: ()
        self._cards: dict[str, NodeInfo] = {}
        self._beats: dict[str, int] = {}
        self._fresh_ms: dict[str, int] = {}
        self._first_ms: dict[str, int] = {}
        self._refused: set[str] = set()
        self._heard_ms: dict[str, int] = {}
        self._view: list[str] = []
        self._sent_ms = -1 << 40
        self._beat_ms = 0
        self._beat_count = 0

    def card(self) -> NodeInfo:
        """Return this node's own card, with the current heartbeat counter."""
        node = self.node
        return NodeInfo(
            identity=self.identity,
            address=node.address,
            http=node.settings.http,
            role=node.settings.role,
            zone=node.settings.zone,
            region=node.settings.region,
            beat=self._beat_ms,
            ready=self.ready(),
            deaf=self.deaf(),
            name=node.settings.node_name or node.address,
        )

    # -- what is known -------------------------------------------------------------------------

    def view(self) -> list[NodeInfo]:
        """Return the cards in the partial view, oldest neighbour first."""
        return [self._cards[identity] for identity in self._view if identity in self._cards]

    def of_role(self, role: str, within_ms: int) -> list[NodeInfo]:
        """Return the cards of a role that were fresh within the time, direct or forwarded."""
        floor_ms = self.node.env.now() - within_ms
        return [
            card
            for identity, card in self._cards.items()
            if card.role == role and self._fresh_ms[identity] >= floor_ms
        ]

    def known(self, identity: str) -> NodeInfo | None:
        """Return the newest card of a node, or None."""
        return self._cards.get(identity)

    def live(self, identity: str, within_ms: int | None = None) -> bool:
        """Return whether a node was heard of within the time, by default `failure_timeout_ms`.

        Without a given time, a node whose address refused a connection is not live until it is
        heard again. The node itself always is.
        """
        if identity == self.identity:
            return True
        if within_ms is None and identity in self._refused:
            return False
        return self.node.env.now() - self.heard_ms(identity) <= (
            within_ms or self.node.settings.failure_timeout_ms
        )

    def heard_itself(self, identity: str, within_ms: int) -> bool:
        """Return whether a node was heard directly within the time.

        Forwarded cards don't count, since they may have come around a network partition.
        """
        return (
            identity == self.identity
            or self.node.env.now() - self._heard_ms.get(identity, -1 << 40) <= within_ms
        )

    def hears(self, identity: str) -> bool:
        """Return whether a node hears a majority of voters, by its newest card; True if unknown."""
        card = self._cards.get(identity)
        return not self.deaf() if identity == self.identity else card is None or not card.deaf

    def connection_refused(self, address: str) -> None:
        """Note that nothing listens at an address.

        Its nodes are not live until they are heard again.
        """
        self._refused.update(
            identity for identity, card in self._cards.items() if card.address == address
        )

    def heard_ms(self, identity: str) -> int:
        """When the last sign of life came, direct or forwarded."""
        return max(self._fresh_ms.get(identity, -1 << 40), self._heard_ms.get(identity, -1 << 40))

    def first_ms(self, identity: str) -> int:
        """Since when a node has been known without interruption; now if it isn't known."""
        return self._first_ms.get(identity, self.node.env.now())

    def heard_directly(self, within_ms: int) -> list[NodeInfo]:
        """Return the cards of the nodes that were themselves heard within the time."""
        floor_ms = self.node.env.now() - within_ms
        return [
            card
            for identity, card in self._cards.items()
            if self._heard_ms.get(identity, -1 << 40) >= floor_ms
        ]

    # -- beats and shuffles --------------------------------------------------------------------

    def tick(self) -> None:
        """Send heartbeats and exchange views, once each `heartbeat_ms`."""
        now_ms = self.node.env.now()
        if now_ms - self._sent_ms < self.node.settings.heartbeat_ms:
            return
        self._sent_ms = now_ms
        self._beat_ms = max(self._beat_ms + 1, self.node.env.wall())
        self._forget(now_ms)
        mine = encode(self.card())
        for address in self._kin():
            self.node.send(address, Heartbeat(card=mine))
        self._beat_count += 1
        if (
            self.node.settings.fan_out
            and self._beat_count % _SHUFFLE_BEATS
            and len(self._view) >= _FEW
        ):
            return
        for address in self._partners():
            self.node.send(address, ShuffleRequest(card=mine, cards=self._some()))

    def _kin(self) -> list[str]:
        role = self.node.settings.role
        if self.node.settings.fan_out:
            return self._own_kin(role)
        kin = (
            {card.address for card in self.of_role(role, self.node.settings.removal_timeout_ms)}
            if role != "edge"
            else set()
        )
        if role != "edge":
            kin |= {
                card.address
                for card in self.of_role("control", self.node.settings.removal_timeout_ms)
            }
        return sorted((kin | set(self.wanted())) - {self.node.address})

    def _own_kin(self, role: str) -> list[str]:
        if role == "edge":
            return []
        kin = {card.address for card in self.of_role(role, self.node.settings.removal_timeout_ms)}
        if role == "control" or self._beat_count % _CONTROL_BEATS == 0:
            kin |= set(self.wanted())
        kin = sorted(kin - {self.node.address})
        if len(kin) <= _KIN_AT_ONCE:
            return kin
        start = self._beat_count * _KIN_AT_ONCE % len(kin)
        return [*kin[start:], *kin[:start]][:_KIN_AT_ONCE]

    def _partners(self) -> list[str]:
        rng = self.node.env.rng
        partners = set()
        if self._view:
            partners.add(self._cards[self._view[0]].address)
            self._view.append(self._view.pop(0))
        if len(self._view) < _FEW or rng.random() < 0.1:
            partners.add(rng.choice(self.node.settings.seeds))
        return sorted(partners - {self.node.address})

    def _some(self) -> list[bytes]:
        names = [
            name for name in self._cards if name in self._view or self._cards[name].role != "edge"
        ]
        chosen = self.node.env.rng.sample(names, min(_SHARE, len(names)))
        return [encode(self._cards[name]) for name in chosen]

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        """Take a heartbeat or one side of a view exchange; TypeError for any other message."""
        raise TypeError(type(message).__name__)

    @receive.register
    def _(self, message: ShuffleRequest, origin: Origin) -> None:
        self.node.send(origin.sender, ShuffleResponse(card=encode(self.card()), cards=self._some()))
        self._take(message.card, message.cards)

    @receive.register
    def _(self, message: ShuffleResponse, origin: Origin) -> None:
        self._take(message.card, message.cards)

    @receive.register
    def _(self, message: Heartbeat, origin: Origin) -> None:
        self._take(message.card, [])

    def _take(self, card: bytes, cards: list[bytes]) -> None:
        """Take the sender's own card, then the cards that it forwards.

        After a restart with its clock moved back, a sender's counter may be lower than the one
        remembered; its own card is accepted all the same once the node had fallen silent.
        """
        first = decode(card)
        fresh = (
            self.node.env.now() - self._fresh_ms.get(first.identity, -1 << 40)
            <= self.node.settings.failure_timeout_ms
        )
        if self._beats.get(first.identity, -1) >= first.beat and not fresh:
            self._beats[first.identity] = first.beat - 1
        self._note(first)
        self._refused.discard(first.identity)
        if first.identity != self.identity:
            self._heard_ms[first.identity] = self.node.env.now()
        for data in cards:
            self._note(decode(data))

    def _note(self, card: NodeInfo) -> None:
        """Accept a card if its counter rose; of two nodes at an address keep the latest heard."""
        if card.identity == self.identity:
            return
        if self._beats.get(card.identity, -1) >= card.beat:
            return
        now_ms = self.node.env.now()
        for identity in [
            identity
            for identity, other in self._cards.items()
            if other.address == card.address and identity != card.identity
        ]:
            if (
                self._cards[identity].beat > card.beat
                and self._fresh_ms[identity] > now_ms - self.node.settings.failure_timeout_ms
            ):
                return
            self._drop(identity)
        self._cards[card.identity] = card
        self._beats[card.identity] = card.beat
        self._fresh_ms[card.identity] = now_ms
        self._first_ms.setdefault(card.identity, now_ms)
        if card.identity not in self._view:
            self._view.append(card.identity)
            if len(self._view) > self.node.settings.view_size:
                self._view.pop(self.node.env.rng.randrange(len(self._view) - 1))

    def _forget(self, now_ms: int) -> None:
        for identity in [
            identity
            for identity in self._cards
            if now_ms - self._fresh_ms[identity] > self.node.settings.removal_timeout_ms
        ]:
            self._drop(identity)
        for identity in list(self._beats)[: max(0, len(self._beats) - _REMEMBERED)]:
            if identity not in self._cards:
                del self._beats[identity]

    def _drop(self, identity: str) -> None:
        self._cards.pop(identity, None)
        self._fresh_ms.pop(identity, None)
        self._first_ms.pop(identity, None)
        self._refused.discard(identity)
        self._heard_ms.pop(identity, None)
        if identity in self._view:
            self._view.remove(identity)
