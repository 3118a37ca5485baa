"""Reads of the store that callers share, and that are paced while they fail.

Many trainers poll a lot at the same time. While the store fails, each poll
fails within milliseconds and is repeated, so that without a pace the reads of
the store grow with the number of its callers just when it is slow.
"""

import collections
import time
from collections.abc import Awaitable, Callable, Hashable

import anyio
import msgspec

from daisyhub.objects._base import ObjectStoreError

__all__ = ["PacedRead", "PacedReads"]

# Seconds after a failed read for which its failure is returned instead of
# another read. Callers are told to come back after half a second.
_FAILURE_PAUSE_S = 0.4
# Maximum number of reads whose state is kept by key: the lots of some steps of
# each trainer. If one is dropped, only sharing is lost.
_MAX_READS = 256


class PacedRead:
    """A read that concurrent callers share."""

    def __init__(self):
        # Held by the caller that reads.
        self._lock = anyio.Lock()
        self._started_s = float("-inf")
        self._ended_s = float("-inf")
        self._result = None
        self._failure: Exception | None = None

    async def run(
        self, read: Callable[[], Awaitable], *, max_age_s: float = 0.0
    ):
        """Returns the result of a read, or shares that of another caller.

        Args:
            read: Reads.
            max_age_s: Maximum time in seconds from the start of a shared read
                to this call.

        Raises:
            ObjectStoreError: The read failed, or failed just now.
            msgspec.DecodeError: The read found an object of another schema.
        """
        arrived_s = time.monotonic()
        # A caller that leaves during its read releases the lock without an
        # outcome, and the next one reads.
        async with self._lock:
            if not self._is_usable(arrived_s, max_age_s):
                await self._read(read)
        if self._failure is not None:
            raise self._failure.with_traceback(None)
        return self._result

    def _is_usable(self, arrived_s: float, max_age_s: float) -> bool:
        """Whether the last outcome serves a caller that arrived at a time."""
        if self._failure is not None:
            return self._ended_s >= arrived_s - _FAILURE_PAUSE_S
        return self._started_s >= arrived_s - max_age_s

    async def _read(self, read: Callable[[], Awaitable]) -> None:
        started_s = time.monotonic()
        result, failure = None, None
        try:
            result = await read()
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            failure = exc
        self._started_s, self._ended_s = started_s, time.monotonic()
        self._result, self._failure = result, failure


class PacedReads:
    """Paced reads by key; keeps those that were used last."""

    def __init__(self):
        self._reads: collections.OrderedDict[Hashable, PacedRead] = (
            collections.OrderedDict()
        )

    def get(self, key: Hashable) -> PacedRead:
        """Returns the read of a key."""
        read = self._reads.setdefault(key, PacedRead())
        self._reads.move_to_end(key)
        while len(self._reads) > _MAX_READS:
            self._reads.popitem(last=False)
        return read
