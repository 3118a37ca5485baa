"""Runs asyncio programs on a clock that jumps from one timer to the next.

Simulations of many seconds take milliseconds and are deterministic. The clocks
that daisyhub's shells read are replaced as well.
"""

import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable
from unittest import mock

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]

# Start of the virtual clocks; any value that isn't zero.
_START_S = 1000.0


class _InstantSelector(selectors.SelectSelector):
    """Advances the loop's clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = _START_S

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("the program waits for nothing: a deadlock")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is that of its selector."""

    def __init__(self):
        self._virtual = _InstantSelector()
        super().__init__(self._virtual)

    def time(self):
        """Returns the virtual time in seconds."""
        return self._virtual.now_s


def run_in_virtual_time(main: Callable[[], Awaitable[object]]) -> object:
    """Runs `main` to its end and returns its result."""
    loop = VirtualTimeLoop()

    def clock_gettime(_):
        return loop.time()

    try:
        with (
            mock.patch.object(time, "monotonic", loop.time),
            mock.patch.object(time, "clock_gettime", clock_gettime),
            asyncio.Runner(loop_factory=lambda: loop) as runner,
        ):
            return runner.run(main())
    finally:
        loop.close()
