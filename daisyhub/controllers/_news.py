"""Watches the platform for news: configuration, withdrawn keys, weights."""

from collections.abc import Awaitable, Callable

import anyio

from daisyhub.base import Controller
from daisyhub.exceptions import PlatformUnavailableError
from daisyhub.logs import get_logger
from daisyhub.platform import PlatformClient, PlatformObject
from daisyhub.settings import TimingSettings

__all__ = ["NewsController"]

NEWS_PREFIX = "news/"
_RETRY_S = 0.5

log = get_logger("news")

Listener = Callable[[PlatformObject], Awaitable[None]]


class NewsController(Controller):
    """One watch for everything that all daemons must hear.

    Args:
        client: The platform.
        timing: How long a watch waits.
    """

    name = "news"

    def __init__(self, client: PlatformClient, timing: TimingSettings):
        self._client = client
        self._timing = timing
        self._listeners: list[tuple[str, Listener]] = []
        self._revision = 0
        self._is_connected = False

    def add_listener(self, prefix: str, listener: Listener) -> None:
        """Calls `listener` with each changed object under `prefix`."""
        self._listeners.append((prefix, listener))

    def status(self) -> dict[str, object]:
        """Tells whether the platform answers."""
        return {"platform": self._is_connected, "revision": self._revision}

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            try:
                await self._watch_once()
                self._is_connected = True
            except PlatformUnavailableError as exc:
                self._is_connected = False
                log.warning("the platform does not answer: {}", exc)
                await anyio.sleep(_RETRY_S)

    async def _watch_once(self) -> None:
        # The first watch lists what is there and does not wait.
        wait_s = self._timing.watch_wait_s if self._is_connected else 0.0
        revision, objects = await self._client.watch(
            NEWS_PREFIX, after_revision=self._revision, wait_s=wait_s
        )
        for found in objects:
            for prefix, listener in self._listeners:
                if found.key.startswith(prefix):
                    await listener(found)
        self._revision = max(self._revision, revision)
