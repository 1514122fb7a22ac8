"""The two clocks. Claims, waits and standing run on boot time, which no operator or time daemon
can step; only the stamps of the log start from the wall clock, and those are forced upwards.
"""

import time

__all__ = ["boot_ms", "wall_ms"]


def boot_ms() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms() -> int:
    return time.time_ns() // 1_000_000
