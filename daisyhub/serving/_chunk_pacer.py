"""Paces the reading of bodies whose chunks have a few bytes each.

Each chunk costs a fixed time to parse, so that a full read of small ones would
keep all other connections waiting. Such a body is read in small parts, each in
its turn; see `WorkShare`.
"""

import time

from daisyhub.work_share import WorkShare

__all__ = ["ChunkPacer"]

# Chunks of one read from which on their mean size counts.
_MANY_CHUNKS = 64
# Mean size below which chunks are small, in bytes. A read of larger ones is
# parsed in a few milliseconds.
_SMALL_CHUNK_BYTES = 512
# Share of the loop for parsing such bodies: the rest is left to other requests.
_SMALL_CHUNKS = WorkShare(0.25)


class ChunkPacer:
    """Tells how to go on reading the chunked bodies of one connection.

    Attributes:
        has_small_chunks: Whether the last read of the current body showed it
            to consist of small chunks.
    """

    def __init__(self):
        self.has_small_chunks = False
        self._chunks = 0
        self._bytes = 0
        self._started_s = 0.0

    def begin_body(self) -> None:
        """Starts a body, of which nothing is known yet."""
        self.has_small_chunks = False

    def begin_read(self) -> None:
        """Starts to count the chunks of one read."""
        self._chunks = self._bytes = 0
        self._started_s = time.monotonic()

    def add_chunk(self, size: int) -> None:
        """Counts a chunk."""
        self._chunks += 1
        self._bytes += size

    def end_read(self) -> float:
        """Returns the seconds to wait before the next read; usually 0."""
        if self._chunks < _MANY_CHUNKS:
            return 0.0
        small_bytes = self._chunks * _SMALL_CHUNK_BYTES
        self.has_small_chunks = self._bytes < small_bytes
        if not self.has_small_chunks:
            return 0.0
        now_s = time.monotonic()
        return _SMALL_CHUNKS.add(now_s - self._started_s, now_s)
