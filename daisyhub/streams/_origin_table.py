"""The origins of streams that a daemon knows, for a limited time."""

import dataclasses

from daisyhub.balancing import Release

__all__ = ["OriginTable", "StreamOrigin"]

# Bounds the memory: about 10 MB.
_MAX_ORIGINS = 50_000
# Number of added streams after which expired ones are removed.
_SWEEP_AFTER = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        release: The release that began it; None if two were named, so that
            nothing may go on with it.
        valid_until_s: When its caller has given it up, on the monotonic clock.
    """

    release: Release | None
    valid_until_s: float


class OriginTable:
    """Origins by the key of the stream's first request.

    Times are seconds on a monotonic clock.
    """

    def __init__(self):
        self._origins: dict[str, StreamOrigin] = {}
        self._added = 0

    def __len__(self) -> int:
        return len(self._origins)

    def add(
        self, key: str, release: Release, valid_until_s: float, now_s: float
    ) -> None:
        """Adds an origin; beyond the maximum the oldest is dropped.

        If another release was named for the same stream, neither counts.
        """
        known = self._origins.pop(key, None)
        if known is not None:
            valid_until_s = max(valid_until_s, known.valid_until_s)
            release = release if release == known.release else None
        self._origins[key] = StreamOrigin(release, valid_until_s)
        self._added += 1
        if self._added >= _SWEEP_AFTER:
            self._sweep(now_s)
        if len(self._origins) > _MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]

    def find(self, key: str, now_s: float) -> StreamOrigin | None:
        """Returns the origin of a stream; None if it is unknown."""
        origin = self._origins.get(key)
        if origin is None or now_s > origin.valid_until_s:
            return None
        return origin

    def _sweep(self, now_s: float) -> None:
        self._added = 0
        self._origins = {
            key: origin
            for key, origin in self._origins.items()
            if now_s <= origin.valid_until_s
        }
