"""Node descriptions and the messages that carry them.

A card says who a node is and where. Its heartbeat counter is raised by that node alone and shows
how fresh a forwarded card is. Cards travel in exchanges of partial views and in direct heartbeats.
"""

from messaging import Message

__all__ = ["Heartbeat", "NodeInfo", "ShuffleRequest", "ShuffleResponse"]


class NodeInfo(Message, wire_name="Card"):
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


class ShuffleRequest(Message, wire_name="Shuffle"):
    """Opens an exchange of views: the sender's card and a sample of the cards that it knows."""

    card: bytes
    cards: list[bytes]


class ShuffleResponse(Message, wire_name="Shuffled"):
    """Answers a Shuffle with the same content from the other side."""

    card: bytes
    cards: list[bytes]


class Heartbeat(Message, wire_name="Beat"):
    """A direct heartbeat with the sender's card."""

    card: bytes
