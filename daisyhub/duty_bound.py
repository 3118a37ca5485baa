"""Base class of controllers that run only while this daemon holds a duty."""

import abc
import typing

import anyio

from daisyhub.base import Controller
from daisyhub.objects import KindWatcher

if typing.TYPE_CHECKING:
    from daisyhub.duties import DutyController

__all__ = ["DutyBoundController"]

# Seconds after which the duty is checked again if no change was reported.
_POLL_INTERVAL_S = 0.5


class DutyBoundController(Controller):
    """Runs `run_with_duty` whenever this daemon holds a duty.

    Args:
        duty: The duty's controller.
    """

    def __init__(self, duty: "DutyController"):
        self._duty = duty

    @property
    def term(self) -> int:
        """The fencing number with which this controller works; 0 if none.

        Controllers whose work needs no fencing return the duty's tenure.
        """
        return self._duty.fencing

    @abc.abstractmethod
    async def run_with_duty(self) -> None:
        """Runs until the duty is lost, then returns."""

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            if self.term:
                await self.run_with_duty()
            with anyio.move_on_after(_POLL_INTERVAL_S):
                await self._duty.changed.wait()

    async def verify(self, watcher: KindWatcher, interval_s: float) -> None:
        """Verifies a watcher against the store periodically until cancelled.

        Args:
            watcher: The watcher to verify.
            interval_s: Seconds before each verification.
        """
        while True:
            await anyio.sleep(interval_s)
            await watcher.verify()
