"""Messages between the processes of a fleet, and the framework that runs components without I/O.

- `message`: typed messages and their Avro encoding, which is used on the wire and on disk.
- `environment`: the interface through which a node gets clocks, randomness, sending and logging.
- `components`: nodes, their components, and the table of open requests.
- `envelope`, `send_queue`, `links`: the connections that carry messages between processes.
- `node_runner`: the service that runs a node in a process.

Invariants: a message type never changes its wire name, nor the order and types of its fields; no
component blocks; each request is completed once, with the reply or, after its time-out, with None.

This package imports `runtime` only. Support for a new field type is added to `message`; message
types are defined in the packages whose components handle them.
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
