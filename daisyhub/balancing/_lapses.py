"""Tells which removals of endpoints' entries may be lapses.

While the store is unavailable, the entries of live endpoints expire, and are
written again within about two seconds of its return. An endpoint whose entry
lapsed is kept for that time. An endpoint that left is not, since the store
confirmed its removal while it was available.

Both ends of that time are counted from the start of the last call that found
the store unavailable. That call can't have started after the store's return.
An endpoint is therefore kept for no longer than a daemon that was cut off, or
whose store was away, needs to be up to date again, however late the daemon
notices the removal.
"""

import math
from collections.abc import Callable

__all__ = ["LapseWindow"]

# Seconds after a failed call within which a removal may be a lapse, and after
# which no lapsed endpoint is kept.
_WINDOW_S = 3.0
# Seconds for which a lapsed endpoint is kept at most, counted from its removal
# or a later failure: the platform states that live servers are listed again
# within about two seconds.
_MAX_ABSENCE_S = 2.0


class LapseWindow:
    """The time in which removed entries may be those of live endpoints.

    Args:
        failed_call_at_s: Returns the start of the last call that found the
            store unavailable, minus infinity for none.
    """

    def __init__(
        self, failed_call_at_s: Callable[[], float] = lambda: -math.inf
    ):
        self._failed_call_at_s = failed_call_at_s

    def is_open(self, now_s: float) -> bool:
        """Whether an entry that is removed now may have lapsed."""
        return now_s - self._failed_call_at_s() <= _WINDOW_S

    def keeps(self, absent_since_s: float, now_s: float) -> bool:
        """Whether an endpoint that is absent may still be used.

        Args:
            absent_since_s: When its removal was seen.
            now_s: Current time.
        """
        failed_at_s = self._failed_call_at_s()
        ends_s = max(absent_since_s, failed_at_s) + _MAX_ABSENCE_S
        if absent_since_s - failed_at_s <= _WINDOW_S:
            ends_s = min(ends_s, failed_at_s + _WINDOW_S)
        return now_s <= ends_s
