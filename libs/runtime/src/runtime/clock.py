"""The two clocks of a process.

Leases, timeouts and failure detection run on the boot clock, which neither an operator nor a time
daemon can step. Only the stamps of the log start from the wall clock, and the log makes them
strictly increasing.
"""

import time

__all__ = ["boot_ms", "wall_ms"]

_NS_PER_MS = 1_000_000


def boot_ms() -> int:
    """Return the milliseconds since the machine booted, suspend included; never steps back."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


def wall_ms() -> int:
    """Return the milliseconds since the Unix epoch by the wall clock, which may be stepped."""
    return time.time_ns() // _NS_PER_MS
