"""Node descriptions and the messages that carry them.

A node description holds the identity, addresses, role and location of a node. Its heartbeat counter
is incremented only by that node, so that two descriptions of a node can be ordered. Descriptions
are sent in view exchanges and in direct heartbeats. They are encoded within the message, so that a
forwarded one need not be decoded first.
"""

from messaging import Message

__all__ = ["Heartbeat", "NodeInfo", "ShuffleRequest", "ShuffleResponse"]


class NodeInfo(Message, wire_name="Card"):
    """Description of a node: its identity, addresses, role and failure domain.

    `address` is the address for messages between nodes and `http` that of the HTTP interface.
    `heartbeat` is the heartbeat counter. `ready` is True if the node accepts requests. `isolated`
    is set by a voter that is not in contact with a majority of the voters. `name` is the node name
    shown to operators.
    """

    identity: str
    address: str
    http: str
    role: str
    zone: str
    region: str
    heartbeat: int
    ready: bool
    isolated: bool
    name: str


class ShuffleRequest(Message, wire_name="Shuffle"):
    """Starts a view exchange: encoded `NodeInfo`s of the sender and of a sample of nodes."""

    sender: bytes
    sample: list[bytes]


class ShuffleResponse(Message, wire_name="Shuffled"):
    """The reply to a ShuffleRequest: encoded `NodeInfo`s of the responder and of a sample."""

    sender: bytes
    sample: list[bytes]


class Heartbeat(Message, wire_name="Beat"):
    """A direct heartbeat with the sender's encoded `NodeInfo`."""

    sender: bytes
