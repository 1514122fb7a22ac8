"""Node descriptions and the messages that carry them.

A card says who a node is and where. Its heartbeat counter is raised by that node alone and shows
how fresh a forwarded card is. Cards travel in exchanges of partial views and in direct heartbeats.
"""

from messaging import Blob, Flag, Long, Message, Text, array_of

__all__ = ["Beat", "Card", "Shuffle", "Shuffled"]


class Card(Message):
    """Description of a node: its identity, addresses, role and place.

    `beat` is the heartbeat counter. `deaf` is set by a voter that does not hear a majority of the
    voters; `ready` says whether the node takes requests; `name` is for operators.
    """

    identity: Text
    address: Text
    http: Text
    role: Text
    zone: Text
    region: Text
    beat: Long
    ready: Flag
    deaf: Flag
    name: Text


class Shuffle(Message):
    """Opens an exchange of views: the sender's card and a sample of the cards that it knows."""

    card: Blob
    cards: array_of(Blob)


class Shuffled(Message):
    """Answers a Shuffle with the same content from the other side."""

    card: Blob
    cards: array_of(Blob)


class Beat(Message):
    """A direct heartbeat with the sender's card."""

    card: Blob
