"""Clocks for the I/O code; cores receive times as arguments instead."""

import time

__all__ = ["boot_time_s", "wall_time_s"]


def boot_time_s() -> float:
    """Returns seconds since boot, including time spent in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time_s() -> float:
    """Returns seconds since the Unix epoch."""
    return time.time()
