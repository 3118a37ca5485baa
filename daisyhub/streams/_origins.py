"""Records and finds the release that began a stream."""

import abc
import dataclasses
import time

from daisyhub.balancing import Release
from daisyhub.streams._origin_table import OriginTable, StreamOrigin

__all__ = ["LocalStreamOrigins", "StreamOrigins", "StreamSearch"]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamSearch:
    """The result of a search for a stream's origin.

    Attributes:
        origin: The origin; None if no daemon that answered knows it.
        is_conclusive: Whether all daemons that may know it have answered.
    """

    origin: StreamOrigin | None
    is_conclusive: bool = True


class StreamOrigins(abc.ABC):
    """Knows which release began each stream.

    A stream is named by the key of the request that brought its first event.
    """

    @abc.abstractmethod
    async def record(self, key: str, release: Release, valid_s: float) -> None:
        """Records an origin; returns once others know it, or soon.

        Args:
            key: Key of the stream's first request.
            release: The release that began it.
            valid_s: Seconds for which its caller may come back.
        """

    @abc.abstractmethod
    async def find(self, key: str) -> StreamSearch:
        """Searches the origin of a stream."""


class LocalStreamOrigins(StreamOrigins):
    """Origins of a daemon without peers."""

    def __init__(self):
        self._table = OriginTable()

    async def record(self, key: str, release: Release, valid_s: float) -> None:
        """Records an origin; see `StreamOrigins.record`."""
        self.remember(key, release, valid_s)

    async def find(self, key: str) -> StreamSearch:
        """Searches an origin; see `StreamOrigins.find`."""
        return StreamSearch(self._table.find(key, time.monotonic()))

    def remember(self, key: str, release: Release, valid_s: float) -> None:
        """Keeps an origin without telling others; see `record`."""
        now_s = time.monotonic()
        self._table.add(key, release, now_s + valid_s, now_s)
