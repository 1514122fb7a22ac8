"""The envelope around each message between processes, and its framing on a connection.

A frame is the length of the envelope as 4 bytes in big-endian order, followed by the envelope in
Avro encoding: the values of its fields in order, without their names.
"""

import io
import struct
from typing import Any, cast

from fastavro import parse_schema, schemaless_reader, schemaless_writer

from messaging.message import Message, decode, encode

__all__ = ["Envelope", "FrameTooLongError", "pack_frame", "take_frames"]

_SCHEMA = parse_schema(
    {
        "type": "record",
        "name": "Envelope",
        "fields": [
            {"name": "sender", "type": "string"},
            {"name": "ref", "type": "long"},
            {"name": "re", "type": "long"},
            {"name": "body", "type": "bytes"},
        ],
    }
)
_LENGTH = struct.Struct(">I")
_MAX_FRAME_BYTES = 1 << 26


class FrameTooLongError(ValueError):
    """The announced length of a frame exceeds the limit; no node sends frames that long."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(
            f"frame of {size_bytes} bytes is over the limit of {_MAX_FRAME_BYTES} bytes"
        )
        self.size_bytes = size_bytes


class Envelope:
    """A received message with its sender's address and its request numbers.

    `body` is the encoded message. See `messaging.Environment.send` for `request_id` and
    `in_reply_to`.
    """

    __slots__ = ("body", "in_reply_to", "request_id", "sender")

    def __init__(self, frame: bytes) -> None:
        """Decode the envelope; the Avro decoder's errors are raised if the bytes are not one."""
        values = cast("dict[str, Any]", schemaless_reader(io.BytesIO(frame), _SCHEMA, None))
        self.sender: str = values["sender"]
        self.request_id: int = values["ref"]
        self.in_reply_to: int = values["re"]
        self.body: bytes = values["body"]

    def message(self) -> Message:
        """Decode and return the message. Raises BadMessageError."""
        return decode(self.body)


def pack_frame(sender: str, request_id: int, in_reply_to: int, message: Message) -> bytes:
    """Return the frame of a message: its envelope, preceded by the length."""
    buffer = io.BytesIO()
    schemaless_writer(
        buffer,
        _SCHEMA,
        {"sender": sender, "ref": request_id, "re": in_reply_to, "body": encode(message)},
    )
    data = buffer.getvalue()
    return _LENGTH.pack(len(data)) + data


def take_frames(received: bytearray) -> list[bytes]:
    """Remove the complete frames from the front of the buffer; return them without their lengths.

    Raises FrameTooLongError if a frame announces a length beyond the limit.
    """
    frames, start = [], 0
    while len(received) - start >= _LENGTH.size:
        (size_bytes,) = _LENGTH.unpack_from(received, start)
        if size_bytes > _MAX_FRAME_BYTES:
            raise FrameTooLongError(size_bytes)
        end = start + _LENGTH.size + size_bytes
        if end > len(received):
            break
        frames.append(bytes(received[start + _LENGTH.size : end]))
        start = end
    del received[:start]
    return frames
