"""Partial views and standing. Every beat a node swaps part of its view with its oldest neighbour and
tells its kin (the nodes of its own role, and those with disks) that it lives. A node's standing
comes from what it was itself heard to say, or from its beat counter rising in what others pass on.
Where fan_out is set, swaps come at a slower beat and kin is the node's own role, so many at a time.
"""

from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from vellum import Message, Origin, Part, decode, encode

from commons.cards import Beat, Card, Shuffle, Shuffled

__all__ = ["Neighbours"]

_SHARE = 6
_REMEMBERED = 4096
_SHUFFLE_BEATS = 5
_CONTROL_BEATS = 2
_KIN_AT_ONCE = 16
_FEW = 3


class Neighbours(Part):
    """`wanted` says which further addresses are to be beaten to, such as members named by a key."""

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
    HANDLES = (Shuffle, Shuffled, Beat)

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.ready: Callable[[], bool] = lambda: True
        self.deaf: Callable[[], bool] = lambda: False
        self.wanted: Callable[[], Iterable[str]] = lambda: ()
        self._cards: dict[str, Card] = {}
        self._beats: dict[str, int] = {}
        self._fresh_ms: dict[str, int] = {}
        self._first_ms: dict[str, int] = {}
        self._refused: set[str] = set()
        self._heard_ms: dict[str, int] = {}
        self._view: list[str] = []
        self._sent_ms = -1 << 40
        self._beat_ms = 0
        self._beat_count = 0

    def card(self) -> Card:
        node = self.node
        return Card(
            identity=self.identity,
            address=node.address,
            http=node.params.http,
            role=node.params.role,
            zone=node.params.zone,
            region=node.params.region,
            beat=self._beat_ms,
            ready=self.ready(),
            deaf=self.deaf(),
            name=node.params.node_name or node.address,
        )

    # -- what is known -------------------------------------------------------------------------

    def view(self) -> list[Card]:
        return [self._cards[identity] for identity in self._view if identity in self._cards]

    def of_role(self, role: str, within_ms: int) -> list[Card]:
        """Cards of a role that were fresh within the time, whoever told of them."""
        floor_ms = self.node.env.now() - within_ms
        return [
            card
            for identity, card in self._cards.items()
            if card.role == role and self._fresh_ms[identity] >= floor_ms
        ]

    def known(self, identity: str) -> Card | None:
        return self._cards.get(identity)

    def live(self, identity: str, within_ms: int | None = None) -> bool:
        if identity == self.identity:
            return True
        if within_ms is None and identity in self._refused:
            return False
        return self.node.env.now() - self.heard_ms(identity) <= (
            within_ms or self.node.params.dead_ms
        )

    def heard_itself(self, identity: str, within_ms: int) -> bool:
        """Whether it was lately heard by its own word; what others pass on of it may have come round a cut."""
        return (
            identity == self.identity
            or self.node.env.now() - self._heard_ms.get(identity, -1 << 40) <= within_ms
        )

    def hears(self, identity: str) -> bool:
        """Whether it takes itself to hear a majority of the voters, as its newest card says."""
        card = self._cards.get(identity)
        return not self.deaf() if identity == self.identity else card is None or not card.deaf

    def refused(self, address: str) -> None:
        """Nothing listens there: it is live for no duty until it is heard again."""
        self._refused.update(
            identity for identity, card in self._cards.items() if card.address == address
        )

    def heard_ms(self, identity: str) -> int:
        """When there was last a sign of life, by itself or through others."""
        return max(self._fresh_ms.get(identity, -1 << 40), self._heard_ms.get(identity, -1 << 40))

    def first_ms(self, identity: str) -> int:
        """Since when it has been known without a break."""
        return self._first_ms.get(identity, self.node.env.now())

    def heard_directly(self, within_ms: int) -> list[Card]:
        floor_ms = self.node.env.now() - within_ms
        return [
            card
            for identity, card in self._cards.items()
            if self._heard_ms.get(identity, -1 << 40) >= floor_ms
        ]

    # -- beats and shuffles --------------------------------------------------------------------

    def tick(self) -> None:
        now_ms = self.node.env.now()
        if now_ms - self._sent_ms < self.node.params.beat_ms:
            return
        self._sent_ms = now_ms
        self._beat_ms = max(self._beat_ms + 1, self.node.env.wall())
        self._forget(now_ms)
        mine = encode(self.card())
        for address in self._kin():
            self.node.post(address, Beat(card=mine))
        self._beat_count += 1
        if (
            self.node.params.fan_out
            and self._beat_count % _SHUFFLE_BEATS
            and len(self._view) >= _FEW
        ):
            return
        for address in self._partners():
            self.node.post(address, Shuffle(card=mine, cards=self._some()))

    def _kin(self) -> list[str]:
        role = self.node.params.role
        if self.node.params.fan_out:
            return self._own_kin(role)
        kin = (
            {card.address for card in self.of_role(role, self.node.params.gone_ms)}
            if role != "edge"
            else set()
        )
        if role != "edge":
            kin |= {card.address for card in self.of_role("control", self.node.params.gone_ms)}
        return sorted((kin | set(self.wanted())) - {self.node.address})

    def _own_kin(self, role: str) -> list[str]:
        if role == "edge":
            return []
        kin = {card.address for card in self.of_role(role, self.node.params.gone_ms)}
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
            partners.add(rng.choice(self.node.params.seeds))
        return sorted(partners - {self.node.address})

    def _some(self) -> list[bytes]:
        names = [
            name for name in self._cards if name in self._view or self._cards[name].role != "edge"
        ]
        chosen = self.node.env.rng.sample(names, min(_SHARE, len(names)))
        return [encode(self._cards[name]) for name in chosen]

    @singledispatchmethod
    def receive(self, message: Message, origin: Origin) -> None:
        raise TypeError(type(message).__name__)

    @receive.register
    def _(self, message: Shuffle, origin: Origin) -> None:
        self.node.post(origin.sender, Shuffled(card=encode(self.card()), cards=self._some()))
        self._take(message.card, message.cards)

    @receive.register
    def _(self, message: Shuffled, origin: Origin) -> None:
        self._take(message.card, message.cards)

    @receive.register
    def _(self, message: Beat, origin: Origin) -> None:
        self._take(message.card, [])

    def _take(self, card: bytes, cards: list[bytes]) -> None:
        """The first card is the sender's own: after a restart with its clock moved back, its counter may
        be lower than what is remembered, and its own word stands.
        """
        first = decode(card)
        fresh = (
            self.node.env.now() - self._fresh_ms.get(first.identity, -1 << 40)
            <= self.node.params.dead_ms
        )
        if self._beats.get(first.identity, -1) >= first.beat and not fresh:
            self._beats[first.identity] = first.beat - 1
        self._note(first)
        self._refused.discard(first.identity)
        if first.identity != self.identity:
            self._heard_ms[first.identity] = self.node.env.now()
        for data in cards:
            self._note(decode(data))

    def _note(self, card: Card) -> None:
        """A counter that rises is news; of two nodes at one address the one last heard of stays."""
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
                and self._fresh_ms[identity] > now_ms - self.node.params.dead_ms
            ):
                return
            self._drop(identity)
        self._cards[card.identity] = card
        self._beats[card.identity] = card.beat
        self._fresh_ms[card.identity] = now_ms
        self._first_ms.setdefault(card.identity, now_ms)
        if card.identity not in self._view:
            self._view.append(card.identity)
            if len(self._view) > self.node.params.view_size:
                self._view.pop(self.node.env.rng.randrange(len(self._view) - 1))

    def _forget(self, now_ms: int) -> None:
        for identity in [
            identity
            for identity in self._cards
            if now_ms - self._fresh_ms[identity] > self.node.params.gone_ms
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
