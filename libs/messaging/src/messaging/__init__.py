"""Messages between the processes of the fleet.

Typed messages in Avro encoding, the links that carry them, and the framework in which cores without
input or output of their own run.
"""

from messaging.components import Component, Environment, Node, Origin
from messaging.message import BadMessageError, Message, decode, decode_as, encode

__all__ = [
    "BadMessageError",
    "Environment",
    "Message",
    "Node",
    "Origin",
    "Component",
    "decode",
    "decode_as",
    "encode",
]
