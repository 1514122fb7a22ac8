"""Messages between the processes of the fleet.

Typed messages in Avro encoding, the links that carry them, and the framework in which cores without
input or output of their own run.
"""

from messaging.cores import Env, Node, Origin, Part
from messaging.message import (
    Blob,
    Flag,
    Long,
    Message,
    Real,
    Text,
    array_of,
    decode,
    encode,
    optional,
)

__all__ = [
    "array_of",
    "Blob",
    "Env",
    "Flag",
    "Long",
    "Message",
    "Node",
    "optional",
    "Origin",
    "Part",
    "Real",
    "Text",
    "decode",
    "encode",
]
