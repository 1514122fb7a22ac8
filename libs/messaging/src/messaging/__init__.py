"""Messages between the processes of the fleet.

Typed messages in Avro encoding, the links that carry them, and the framework in which cores without
input or output of their own run.
"""

from messaging.cores import Env, Node, Origin, Part
from messaging.message import BadMessageError, Message, decode, encode

__all__ = [
    "BadMessageError",
    "Env",
    "Message",
    "Node",
    "Origin",
    "Part",
    "decode",
    "encode",
]
