"""Compares watches with the store while this daemon has a duty.

Only one daemon does so, as each comparison costs a call to the store. The
others learn of missed changes from the revisions in its pings.
"""

import anyio

from daisyhub.base import Controller
from daisyhub.objects import KindWatcher

__all__ = ["WatchVerifier"]

# Seconds between comparisons. With the time for a ping and a fetch added, a
# missed change becomes active well within the required two seconds.
_VERIFY_INTERVAL_S = 1.0


class WatchVerifier(Controller):
    """Verifies all watchers at an interval, concurrently.

    Args:
        duty: The duty whose holder verifies; its `fencing` is 0 on all others.
        watchers: The watchers to verify.
    """

    name = "watch_verifier"

    def __init__(self, duty, watchers: tuple[KindWatcher, ...]):
        self._duty = duty
        self._watchers = watchers

    def status(self) -> dict[str, object]:
        """Returns the kinds that are verified."""
        return {"kinds": [watcher.kind for watcher in self._watchers]}

    async def run(self) -> None:
        """Verifies until cancelled."""
        while True:
            await anyio.sleep(_VERIFY_INTERVAL_S)
            if not self._duty.fencing:
                continue
            async with anyio.create_task_group() as tasks:
                for watcher in self._watchers:
                    tasks.start_soon(watcher.verify)
