"""Node descriptions and the messages that carry them.

A card says who a node is and where. Its heartbeat counter is raised by that node alone and shows
how fresh a forwarded card is. Cards travel in exchanges of partial views and in direct heartbeats.
"""

from messaging import Message

__all__ = ["Beat", "Card", "Shuffle", "Shuffled"]


class Card(Message):
    """Description of a node: its identity, addresses, role and place.

    `beat` is the heartbeat counter. `deaf` is set by a voter that does not hear a majority of the
    voters; `ready` says whether the node takes requests; `name` is for operators.
    """

    identity: str
    address: str
    http: str
    role: str
    zone: str
    region: str
    beat: int
    ready: bool
    deaf: bool
    name: str


class Shuffle(Message):
    """Opens an exchange of views: the sender's card and a sample of the cards that it knows."""

    card: bytes
    cards: list[bytes]


class Shuffled(Message):
    """Answers a Shuffle with the same content from the other side."""

    card: bytes
    cards: list[bytes]


class Beat(Message):
    """A direct heartbeat with the sender's card."""

    card: bytes
