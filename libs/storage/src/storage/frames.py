"""Frames in a file: a length, a CRC-32 checksum, and the payload.

`scan_frames` returns the intact frames from the start of a file and says what follows them: either
a torn tail, which may be cut off, or damage, because intact frames that were flushed lie behind it
and cutting would lose them.
"""

import struct
import zlib

__all__ = ["DamageError", "find_frame_after_hole", "frame", "read_frames", "scan_frames"]

_HEADER = struct.Struct(">II")
_MAX_FIRST_BYTE = 4


class DamageError(Exception):
    """A file is damaged at a byte offset; `name` is the file."""

    def __init__(self, name: str, offset: int) -> None:
        super().__init__(f"{name}: damaged at byte {offset}")
        self.name = name
        self.offset = offset


def frame(payload: bytes) -> bytes:
    """Return the payload as a frame."""
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _payload_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, or None if there is no intact frame."""
    if offset + _HEADER.size > len(data):
        return None
    size, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if size == 0 or start + size > len(data):
        return None
    payload = data[start : start + size]
    return payload if zlib.crc32(payload) == checksum else None


def find_frame_after_hole(data: bytes, offset: int) -> int | None:
    """Return where an intact frame begins right behind a run of zeros, or None.

    Zeros are bytes that were never written, since later frames were written at their own offsets.
    """
    first = len(data) - len(data[offset:].lstrip(b"\0"))
    return next(
        (
            at
            for at in range(max(offset + 1, first - 3), min(first + 1, len(data)))
            if _payload_at(data, at) is not None
        ),
        None,
    )


def read_frames(data: bytes, offset: int = 0) -> tuple[list[tuple[int, bytes]], int]:
    """Return the intact frames from an offset on as (offset, payload), and where they end."""
    frames = []
    while (payload := _payload_at(data, offset)) is not None:
        frames.append((offset, payload))
        offset += _HEADER.size + len(payload)
    return frames, offset


def scan_frames(data: bytes) -> tuple[list[tuple[int, bytes]], int, int | None]:
    """Return what `read_frames` returns, and where an intact frame lies behind the end, or None.

    The search goes byte by byte. A frame is shorter than 64 MiB, so its first byte is below 4.
    """
    frames, offset = read_frames(data)
    if offset < len(data):
        for later in range(offset + 1, len(data) - _HEADER.size):
            if data[later] < _MAX_FIRST_BYTE and _payload_at(data, later) is not None:
                return frames, offset, later
    return frames, offset, None
