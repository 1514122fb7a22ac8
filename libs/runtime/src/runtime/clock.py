"""The two clocks of a process.

Leases, time-outs and failure detection use the boot clock, which neither an operator nor a time
daemon can step. The wall clock only gives the times in recordings, a lower bound of the heartbeat
counters, which strictly increase, and the start of the replicated log's own time, which advances
with the boot clock.
"""

import time

__all__ = ["boot_ms", "wall_ms"]

_NS_PER_MS = 1_000_000


def boot_ms() -> int:
    """Return the milliseconds since the machine booted, suspend included; never decreases."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


def wall_ms() -> int:
    """Return the wall-clock milliseconds since the Unix epoch; the clock may be stepped."""
    return time.time_ns() // _NS_PER_MS
