"""A fake clock that runs callbacks in order of their times."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ["Clock"]


class Clock:
    """Runs callbacks at their times, at equal times in scheduling order."""

    def __init__(self):
        self.now_s = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Schedules `callback` at `time_s`, or now if that time has passed."""
        entry = (max(time_s, self.now_s), next(self._order), callback)
        heapq.heappush(self._queue, entry)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules `callback` after `delay_s`."""
        self.call_at(self.now_s + delay_s, callback)

    def run(self, until_s: float) -> None:
        """Runs all callbacks that are due before `until_s`."""
        while self._queue and self._queue[0][0] < until_s:
            self.now_s, _, callback = heapq.heappop(self._queue)
            callback()
        self.now_s = until_s
