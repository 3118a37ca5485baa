"""A fake clock: callbacks in order of their times."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ["Clock"]


class Clock:
    """Runs callbacks at their times; ties go by order of scheduling."""

    def __init__(self):
        self.now_s = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, time_s: float, work: Callable[[], None]) -> None:
        """Runs `work` at `time_s`, or now if that is past."""
        place = (max(time_s, self.now_s), next(self._order), work)
        heapq.heappush(self._queue, place)

    def after(self, delay_s: float, work: Callable[[], None]) -> None:
        """Runs `work` in `delay_s`."""
        self.at(self.now_s + delay_s, work)

    def run(self, until_s: float) -> None:
        """Runs everything that is due before `until_s`."""
        while self._queue and self._queue[0][0] < until_s:
            self.now_s, _, work = heapq.heappop(self._queue)
            work()
        self.now_s = until_s
