"""A timer that can be started anew."""

import asyncio
from collections.abc import Callable

__all__ = ["Timer"]


class Timer:
    """Calls a function once its time has passed.

    Args:
        callback: The function.
    """

    def __init__(self, callback: Callable[[], None]):
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None

    def start(self, delay_s: float) -> None:
        """Starts the time, in place of one that runs."""
        self.cancel()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay_s, self._callback)

    def cancel(self) -> None:
        """Ends the time without a call."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
