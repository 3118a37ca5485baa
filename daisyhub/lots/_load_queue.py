"""Order in which a new holder reads lots.

Addresses the time after a loss of power: the holder finds the lots of three
minutes at once, most of them ended, each of which takes tens of reads.
"""

import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator

import anyio

from daisyhub.lots._types import LotHead

__all__ = ["LoadQueue"]


class LoadQueue:
    """Admits a limited number of loads at a time, the most useful first.

    Open lots come first, the newest of them first, since older steps may have
    been given up. Ended lots are loaded while no open lot is or waits.

    Args:
        max_open: Maximum number of open lots that are loaded at a time.
        max_ended: Maximum number of ended lots that are loaded at a time.
    """

    def __init__(self, max_open: int, max_ended: int):
        self._limits = {False: max_open, True: max_ended}
        self._active = {False: 0, True: 0}
        self._waiting: dict[bool, list] = {False: [], True: []}
        self._numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def admit(
        self, head: LotHead, *, is_ended: bool
    ) -> AsyncIterator[None]:
        """Waits until a lot may be loaded; the load ends with the context."""
        admitted = anyio.Event()
        entry = (-head.accepted_s, next(self._numbers), admitted)
        heapq.heappush(self._waiting[is_ended], entry)
        self._admit_next()
        try:
            await admitted.wait()
            yield
        finally:
            if admitted.is_set():
                self._active[is_ended] -= 1
            else:
                self._waiting[is_ended].remove(entry)
                heapq.heapify(self._waiting[is_ended])
            self._admit_next()

    def _admit_next(self) -> None:
        for is_ended in (False, True):
            waiting = self._waiting[is_ended]
            if is_ended and (self._active[False] or self._waiting[False]):
                return
            while waiting and self._active[is_ended] < self._limits[is_ended]:
                *_, admitted = heapq.heappop(waiting)
                self._active[is_ended] += 1
                admitted.set()
