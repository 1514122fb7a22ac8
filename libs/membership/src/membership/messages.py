"""Node descriptions and the messages that carry them.

A node description says who a node is and where. Its heartbeat counter is raised by that node alone
and shows how recent a forwarded description is. Descriptions travel in exchanges of partial views
and in direct heartbeats, encoded, so that a forwarded one need not be decoded first.
"""

from messaging import Message

__all__ = ["Heartbeat", "NodeInfo", "ShuffleRequest", "ShuffleResponse"]


class NodeInfo(Message, wire_name="Card"):
    """Description of a node: its identity, addresses, role and failure domain.

    `heartbeat` is the heartbeat counter. `isolated` is set by a voter that does not hear a majority
    of the voters; `ready` says whether the node takes requests; `name` is for operators.
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
    """Opens an exchange of views: the sender's `NodeInfo` and a sample of those that it knows."""

    sender: bytes
    sample: list[bytes]


class ShuffleResponse(Message, wire_name="Shuffled"):
    """Answers a ShuffleRequest with the same content from the other side."""

    sender: bytes
    sample: list[bytes]


class Heartbeat(Message, wire_name="Beat"):
    """A direct heartbeat with the sender's `NodeInfo`."""

    sender: bytes
