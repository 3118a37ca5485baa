"""The true time of day, by the clocks of most daemons.

A machine's time of day may jump for seconds. Each ping carries its sender's
time; the median of the offsets to the own steady clock is true as long as
fewer than half of the clocks jump at one time.
"""

import time

from daisyhub.clocks import boot_time_s

__all__ = ["ClusterClock"]

# Seconds after which a peer's time no longer counts; some pings long.
_OFFSET_AGE_S = 5.0


class ClusterClock:
    """Keeps the offsets of all daemons' clocks to the own steady clock."""

    def __init__(self):
        self._offsets: dict[str, tuple[float, float]] = {}

    def record(self, daemon_id: str, wall_s: float) -> None:
        """Takes the time of day that a peer told just now."""
        now_s = boot_time_s()
        self._offsets[daemon_id] = (wall_s - now_s, now_s)

    def now_s(self) -> float:
        """Returns the true time, seconds since 1970."""
        now_s = boot_time_s()
        offsets = [time.time() - now_s]
        offsets += [
            offset
            for offset, at_s in self._offsets.values()
            if now_s - at_s <= _OFFSET_AGE_S
        ]
        offsets.sort()
        return now_s + offsets[(len(offsets) - 1) // 2]
