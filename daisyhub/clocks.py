"""Clocks. Cores get times as arguments; only shells read these."""

import time

__all__ = ["boot_time_s", "wall_time_s"]


def boot_time_s() -> float:
    """Returns seconds since boot, counted on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time_s() -> float:
    """Returns seconds since the epoch."""
    return time.time()
