"""Controllers that work only while this daemon has a duty."""

import abc
import typing

import anyio

from daisyhub.base import Controller
from daisyhub.objects import KindWatcher

if typing.TYPE_CHECKING:
    from daisyhub.duties import DutyController

__all__ = ["DutyBoundController"]

# Seconds between looks at a duty that others have.
_IDLE_S = 0.5


class DutyBoundController(Controller):
    """Holds something whenever the duty is here.

    Args:
        duty: Tells whether this daemon has it.
    """

    def __init__(self, duty: "DutyController"):
        self._duty = duty

    @abc.abstractmethod
    async def run_with_duty(self) -> None:
        """Works until the duty is lost, then returns."""

    async def run(self) -> None:
        """Holds whenever the duty is here, until cancelled."""
        while True:
            if self._duty.fencing:
                await self.run_with_duty()
            with anyio.move_on_after(_IDLE_S):
                await self._duty.changed.wait()

    async def verify(self, watcher: KindWatcher, each_s: float) -> None:
        """Lists a watcher's kind beside its watch, until cancelled."""
        while True:
            await anyio.sleep(each_s)
            await watcher.verify()
