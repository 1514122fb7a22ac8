"""Estimates the memory that the parsed form of a JSON text takes."""

import re

__all__ = ["parsed_json_bytes"]

# An object or array with little in it takes the most memory for its number of characters.
_BYTES_PER_MARK = 96
_PARSER_BYTES = 1 << 12
_MARKS = (b",", b":", b"[", b"{")
# Texts beyond this estimate are looked at more closely, if they have no more strings than that.
_CLOSE_LOOK_BYTES = 8 << 20
_MAX_STRINGS = 100_000
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)
# A string takes as many bytes for each character as its widest one: 1, 2, or 4 beyond the first
# plane of Unicode, which takes a pair of escapes or a sequence that begins with 0xf0 or more.
_FOUR_BYTES_WIDE = re.compile(rb"[\xf0-\xff]|\\u[dD][89abAB]")


def parsed_json_bytes(data: bytes) -> int:
    """Return an upper estimate of the memory for decoding and parsing a JSON text, in bytes.

    Every separator and every opening bracket counts as the value that it may begin. Those within
    strings are left out where the estimate would be large for their sake.
    """
    text_bytes = 2 * len(data) * _character_bytes(data)
    mark_count = _count_marks(data)
    if mark_count * _BYTES_PER_MARK > _CLOSE_LOOK_BYTES and data.count(b'"') <= 2 * _MAX_STRINGS:
        mark_count = _count_marks(_STRING.sub(b"", data))
    return _PARSER_BYTES + text_bytes + mark_count * _BYTES_PER_MARK


def _character_bytes(data: bytes) -> int:
    if data.isascii() and b"\\u" not in data:
        return 1
    return 4 if _FOUR_BYTES_WIDE.search(data) else 2


def _count_marks(data: bytes) -> int:
    return sum(data.count(mark) for mark in _MARKS)
