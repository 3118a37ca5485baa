"""A time of day that all daemons of the cluster agree on.

A machine's time of day may jump by seconds. Each ping carries its sender's time
of day. The median of the offsets from this machine's monotonic clock is correct
as long as fewer than half of the clocks are wrong at once.
"""

import time

from daisyhub.clocks import boot_time_s

__all__ = ["ClusterClock"]

# Seconds after which the offset of a peer is no longer used. Several rounds of
# pings pass within this time.
_MAX_OFFSET_AGE_S = 5.0


class ClusterClock:
    """Tracks the offsets of the daemons' clocks from the monotonic clock."""

    def __init__(self):
        self._offsets: dict[str, tuple[float, float]] = {}

    def record_peer_time(self, daemon_id: str, wall_s: float) -> None:
        """Records a peer's time of day, received just now."""
        now_s = boot_time_s()
        self._offsets[daemon_id] = (wall_s - now_s, now_s)

    def now_s(self) -> float:
        """Returns the cluster's time of day, seconds since 1970."""
        now_s = boot_time_s()
        offsets = [time.time() - now_s]
        offsets += [
            offset
            for offset, at_s in self._offsets.values()
            if now_s - at_s <= _MAX_OFFSET_AGE_S
        ]
        offsets.sort()
        return now_s + offsets[(len(offsets) - 1) // 2]
