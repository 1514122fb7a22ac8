"""The two clocks of a process.

Leases, time-outs and failure detection use the boot clock, which neither an operator nor a time
daemon can step. `wall_ms` is used only for

- the times in recordings and in the names of their files,
- a lower bound of the heartbeat counters, which strictly increase,
- the stamps of the replicated log's records, which strictly increase even if the clock is stepped
  back: the leader adds 1 ms to the last record's stamp if the clock isn't past that stamp,
- the start of the replicated log's own time if the log's state holds no job and no key; otherwise
  that time starts at their latest admission. It advances with the boot clock.
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
