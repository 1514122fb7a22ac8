"""Estimates the memory that the parsed form of a JSON text takes."""

import re

__all__ = ["parsed_json_bytes"]

# An object or array with little in it takes the most memory for its number of characters.
_BYTES_PER_MARK = 96
_MARKS = (b",", b":", b"[", b"{")
# Texts beyond this estimate are looked at more closely, if they have no more strings than that.
_CLOSE_LOOK_BYTES = 8 << 20
_MAX_STRINGS = 100_000
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)


def parsed_json_bytes(data: bytes) -> int:
    """Return an upper estimate of the memory for decoding and parsing a JSON text, in bytes.

    Every separator and every opening bracket counts as the value that it may begin. Those within
    strings are left out where the estimate would be large for their sake.
    """
    text_bytes = len(data) * (2 if data.isascii() else 8)
    mark_count = _count_marks(data)
    if mark_count * _BYTES_PER_MARK > _CLOSE_LOOK_BYTES and data.count(b'"') <= 2 * _MAX_STRINGS:
        mark_count = _count_marks(_STRING.sub(b"", data))
    return text_bytes + mark_count * _BYTES_PER_MARK


def _count_marks(data: bytes) -> int:
    return sum(data.count(mark) for mark in _MARKS)
