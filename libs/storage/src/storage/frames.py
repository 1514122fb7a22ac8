"""Frames in a file: a length, a CRC-32 checksum, and the payload.

`scan_frames` returns the intact frames from the start of a file and whether an intact frame follows
after other bytes. If none does, the rest is a torn tail, which may be cut off. Otherwise the file
is damaged, and cutting it would lose frames that may have been flushed.
"""

import struct
import zlib

__all__ = ["DamageError", "find_frame_after_hole", "frame", "read_frames", "scan_frames"]

_HEADER = struct.Struct(">II")
_MAX_FIRST_BYTE = 4


class DamageError(Exception):
    """The file `name` is damaged at the byte `offset`."""

    def __init__(self, name: str, offset: int) -> None:
        super().__init__(f"{name}: damaged at byte {offset}")
        self.name = name
        self.offset = offset


def frame(payload: bytes) -> bytes:
    """Return the payload as a frame."""
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _payload_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, or None if no intact frame starts there."""
    if offset + _HEADER.size > len(data):
        return None
    size, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if size == 0 or start + size > len(data):
        return None
    payload = data[start : start + size]
    return payload if zlib.crc32(payload) == checksum else None


def find_frame_after_hole(data: bytes, offset: int) -> int | None:
    """Return the offset of an intact frame right after a run of zeros, or None.

    `offset` is where the run starts. The zeros are bytes that were never written, because the later
    frames were written at their own offsets. The last zeros may be the first bytes of the frame's
    length.
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
    """Return the intact frames from an offset on, as (offset, payload), and where they end."""
    frames = []
    while (payload := _payload_at(data, offset)) is not None:
        frames.append((offset, payload))
        offset += _HEADER.size + len(payload)
    return frames, offset


def scan_frames(data: bytes) -> tuple[list[tuple[int, bytes]], int, int | None]:
    """Return what `read_frames` returns, and the offset of the next intact frame, or None.

    The next frame is searched for byte by byte. A frame has less than 64 MiB, so its first byte is
    below 4.
    """
    frames, offset = read_frames(data)
    if offset < len(data):
        for later in range(offset + 1, len(data) - _HEADER.size):
            if data[later] < _MAX_FIRST_BYTE and _payload_at(data, later) is not None:
                return frames, offset, later
    return frames, offset, None
