"""Messages between the processes of the fleet, and the framework in which cores without I/O run.

- `message`: typed messages in Avro encoding; how they look on the wire and on disk.
- `environment`, `components`: what a node is made of, and its table of open requests.
- `envelope`, `send_queue`, `links`: the connections that carry messages between processes.
- `node_runner`: the service that runs a node in a real process.

Invariants: a message type never changes its wire name, nor the order and types of its fields; no
component blocks; each request gets one reply or, after its time-out, None. This package imports
`runtime` only. A new kind of field goes to `message`; message types belong to the packages whose
components handle them.
"""

from messaging.components import Component, Node, Origin
from messaging.environment import Environment
from messaging.message import BadMessageError, Message, decode, decode_as, encode

__all__ = [
    "BadMessageError",
    "Component",
    "Environment",
    "Message",
    "Node",
    "Origin",
    "decode",
    "decode_as",
    "encode",
]
