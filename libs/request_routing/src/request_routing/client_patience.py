"""How long the client of a forwarded request waits without an event (docs/interfaces.md)."""

from typing import Any

__all__ = ["client_patience_ms"]

# The interface promises of a stream's client that it gives up after a silence of the longest of
# these: a minimum, and multiples of the route's `target_ms` and `token_gap_ms`.
_MIN_PATIENCE_MS = 2000
_PATIENCE_TARGETS = 4
_PATIENCE_GAPS = 8


def client_patience_ms(profile: Any) -> int:
    """Return after how many milliseconds without an event the client of a stream gives it up."""
    target_ms: int = profile.target_ms
    gap_ms: int = profile.token_gap_ms
    return max(
        _MIN_PATIENCE_MS,
        _PATIENCE_TARGETS * target_ms,
        _PATIENCE_GAPS * gap_ms,
    )
