"""Bounds of the values that messages between nodes can carry.

What clients, workers and operators send is checked against them before any component gets it: a
message that can't be encoded ends the process that sends it.
"""

__all__ = ["MAX_WHOLE_NUMBER", "is_valid_unicode"]

MAX_WHOLE_NUMBER = 1 << 53
"""The highest whole number taken from outside: sums of a few hundred still fit into 64 bits, and
readers of JSON with floating-point numbers keep it exactly."""


def is_valid_unicode(text: str) -> bool:
    """Whether a text can be encoded in UTF-8; lone surrogates, which JSON escapes allow, can't.

    Bytes of an HTTP head that are not UTF-8 also arrive as lone surrogates.
    """
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
