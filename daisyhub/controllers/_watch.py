"""Watches the platform for changed objects that concern every daemon.

These are the configuration, withdrawn keys, drain orders and weight versions.
"""

import time
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.base import Controller
from daisyhub.controllers._watch_core import (
    DeliverObject,
    DeliveryFailed,
    ObjectDelivered,
    WatchCore,
    WatchFailed,
    WatchObjects,
    WatchResponseReceived,
    WatchStarted,
)
from daisyhub.exceptions import PlatformUnavailableError
from daisyhub.hosting import PlatformClient, PlatformObject
from daisyhub.logs import get_logger
from daisyhub.settings import TimingSettings

__all__ = ["WatchController"]

WATCHED_PREFIX = "news/"

log = get_logger("news")

Listener = Callable[[PlatformObject], Awaitable[None]]


class WatchController(Controller):
    """Watches one key prefix and delivers changed objects to listeners.

    Args:
        client: Client of the platform.
        timing: Contains the maximum duration of a watch request.
    """

    name = "news"

    def __init__(self, client: PlatformClient, timing: TimingSettings):
        self._client = client
        self._timing = timing
        self._prefixes: list[str] = []
        self._listeners: list[Listener] = []
        self._core = WatchCore((), timing.watch_wait_s)

    def add_listener(self, prefix: str, listener: Listener) -> None:
        """Calls `listener` with each changed object under `prefix`.

        An object may be delivered twice or in an earlier state. Listeners are
        called in the order in which they were added. If a listener raises,
        the delivery is retried later. All listeners must be added before
        `run` is called, since adding a listener resets the watch.
        """
        self._prefixes.append(prefix)
        self._listeners.append(listener)
        self._core = WatchCore(tuple(self._prefixes), self._timing.watch_wait_s)

    def status(self) -> dict[str, object]:
        """Returns the state of the watch and the count of failed deliveries."""
        return {
            "platform": self._core.is_connected,
            "revision": self._core.revision,
            "undelivered": self._core.undelivered_count,
        }

    async def run(self) -> None:
        """Runs the watch until cancelled."""
        event = WatchStarted()
        while True:
            for action in self._core.handle(event, time.monotonic()):
                match action:
                    case DeliverObject():
                        await self._deliver(action)
                    case WatchObjects():
                        event = await self._watch(action)

    async def _deliver(self, action: DeliverObject) -> None:
        event = ObjectDelivered(action.listener, action.found)
        try:
            await self._listeners[action.listener](action.found)
        except Exception as exc:  # noqa: BLE001 - must not stop the others.
            log.warning("delivery of {} failed: {!r}", action.found.key, exc)
            event = DeliveryFailed(action.listener, action.found)
        self._core.handle(event, time.monotonic())

    async def _watch(self, action: WatchObjects) -> object:
        await anyio.sleep(action.pause_s)
        try:
            revision, objects = await self._client.watch(
                WATCHED_PREFIX,
                after_revision=action.after_revision,
                wait_s=action.wait_s,
            )
        except PlatformUnavailableError as exc:
            log.warning("watch request to the platform failed: {}", exc)
            return WatchFailed()
        return WatchResponseReceived(revision, objects)
