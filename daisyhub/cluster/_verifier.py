"""Compares watches with the store while this daemon has a duty.

One daemon looks, as each look is a call of the store; the others hear of what
it finds by its pings.
"""

import anyio

from daisyhub.base import Controller
from daisyhub.objects import KindWatcher

__all__ = ["WatchVerifier"]

# Seconds between looks: with a ping and a fetch, a change is in force well
# before the two seconds after which it must be.
_VERIFY_S = 1.0


class WatchVerifier(Controller):
    """Verifies watchers, one after the other.

    Args:
        duty: Tells whether this daemon is the one that looks.
        watchers: What to verify.
    """

    name = "watch_verifier"

    def __init__(self, duty, watchers: tuple[KindWatcher, ...]):
        self._duty = duty
        self._watchers = watchers

    def status(self) -> dict[str, object]:
        """Tells the kinds that are verified."""
        return {"kinds": [watcher.kind for watcher in self._watchers]}

    async def run(self) -> None:
        """Verifies until cancelled."""
        while True:
            await anyio.sleep(_VERIFY_S)
            if not self._duty.fencing:
                continue
            async with anyio.create_task_group() as tasks:
                for watcher in self._watchers:
                    tasks.start_soon(watcher.verify)
