"""Vellum: the messages that the fleet's processes send one another, written with Avro, the links
that carry them, and the frame in which cores without input or output of their own are run.
"""

from vellum.cores import Env, Node, Origin, Part
from vellum.message import Arr, Blob, Flag, Long, Message, Opt, Real, Text, decode, encode

__all__ = [
    "Arr",
    "Blob",
    "Env",
    "Flag",
    "Long",
    "Message",
    "Node",
    "Opt",
    "Origin",
    "Part",
    "Real",
    "Text",
    "decode",
    "encode",
]
