"""A card says who a node is and where; its beat counter, raised by the node alone, shows how fresh
what is passed on about it is. `deaf` is the own word of a voter that hears no majority of the voters. Cards travel in shuffles and in beats sent straight to kin.
"""

from vellum import Blob, Flag, Long, Message, Text, array_of

__all__ = ["Beat", "Card", "Shuffle", "Shuffled"]


class Card(Message):
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
    card: Blob
    cards: array_of(Blob)


class Shuffled(Message):
    card: Blob
    cards: array_of(Blob)


class Beat(Message):
    card: Blob
