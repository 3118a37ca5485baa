"""Decides when the results of one lot are listed, and at which position.

Results are appended to the lot's list in chunks. The store decides which chunk
occupies a position: if another daemon stored one there first, that chunk is
adopted and the local results are appended after it. A complete group is listed
immediately, as trainers wait for whole groups.
"""

import dataclasses
import math

from daisyhub.base import Core
from daisyhub.lots._types import ItemResult

__all__ = [
    "ChunkStored",
    "ChunkWriteFailed",
    "ItemFinished",
    "ListingCore",
    "ListingTick",
    "WriteChunk",
]

# Maximum time in seconds for which a result waits for the rest of its group:
# half of the interval between two reads of a trainer.
_MAX_GROUP_WAIT_S = 0.25
# Seconds before a failed write is retried: some round trips to the store. They
# double with each further failure up to the maximum, which a trainer's step of
# several seconds can spare.
_WRITE_RETRY_DELAY_S = 0.2
_MAX_WRITE_RETRY_DELAY_S = 0.8
# Maximum text length of a chunk that contains several results. An object may
# have a megabyte, JSON escapes included.
_MAX_CHUNK_CHARACTERS = 400_000


@dataclasses.dataclass(frozen=True, slots=True)
class ItemFinished:
    """An item has its result.

    Attributes:
        result: The result to list.
        is_group_done: Whether all items of its group have results.
    """

    result: ItemResult
    is_group_done: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkStored:
    """This chunk is stored at a position.

    Attributes:
        first: Position of its first result.
        results: Its results, which another daemon may have written.
    """

    first: int
    results: tuple[ItemResult, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkWriteFailed:
    """A write returned no usable response; it may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListingTick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteChunk:
    """Action: create a chunk and report which chunk is stored there.

    Attributes:
        first: Position of its first result.
        results: Its results.
    """

    first: int
    results: tuple[ItemResult, ...]


class ListingCore(Core):
    """Lists the results of one lot.

    Args:
        total: Number of items of the lot.
    """

    def __init__(self, total: int):
        self._total = total
        self._listed: list[ItemResult] = []
        self._listed_ids: set[str] = set()
        self._chunk_positions: list[int] = []
        self._pending: dict[str, ItemResult] = {}
        self._write_at_s = math.inf
        self._retry_at_s = -math.inf
        self._is_writing = False
        self._failures = 0

    @property
    def listed(self) -> list[ItemResult]:
        """All results known to be stored, by position; don't modify."""
        return self._listed

    @property
    def chunk_positions(self) -> list[int]:
        """Positions of the first results of the stored chunks."""
        return self._chunk_positions

    @property
    def is_complete(self) -> bool:
        """Whether every item is listed."""
        return len(self._listed) >= self._total

    @property
    def next_wakeup_s(self) -> float | None:
        """When pending results are to be written; None for never."""
        if self._is_writing or not self._pending:
            return None
        return max(self._write_at_s, self._retry_at_s)

    def is_listed(self, item_id: str) -> bool:
        """Whether an item's result is known to be stored."""
        return item_id in self._listed_ids

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event; returns at most one `WriteChunk`."""
        match event:
            case ItemFinished():
                self._on_item_finished(event, now_s)
            case ChunkStored():
                self._on_chunk_stored(event, now_s)
            case ChunkWriteFailed():
                self._on_write_failed(now_s)
            case ListingTick():
                pass
            case _:
                raise TypeError(f"not a listing event: {event!r}")
        return self._write(now_s)

    def _on_item_finished(self, event: ItemFinished, now_s: float) -> None:
        result = event.result
        if result.item_id in self._listed_ids:
            return
        self._pending[result.item_id] = result
        is_last = len(self._listed) + len(self._pending) >= self._total
        wait_s = 0.0 if event.is_group_done or is_last else _MAX_GROUP_WAIT_S
        self._write_at_s = min(self._write_at_s, now_s + wait_s)

    def _on_write_failed(self, now_s: float) -> None:
        delay_s = _WRITE_RETRY_DELAY_S * 2 ** min(self._failures, 8)
        self._failures += 1
        self._is_writing = False
        self._write_at_s = now_s
        self._retry_at_s = now_s + min(delay_s, _MAX_WRITE_RETRY_DELAY_S)

    def _on_chunk_stored(self, event: ChunkStored, now_s: float) -> None:
        self._is_writing = False
        self._failures = 0
        if event.first != len(self._listed):
            # Another read or write already reported the chunk at this position.
            return
        self._chunk_positions.append(event.first)
        for result in event.results:
            self._listed.append(result)
            self._listed_ids.add(result.item_id)
            self._pending.pop(result.item_id, None)
        if self._pending:
            self._write_at_s = min(self._write_at_s, now_s + _MAX_GROUP_WAIT_S)

    def _write(self, now_s: float) -> list[object]:
        due_s = self.next_wakeup_s
        if due_s is None or now_s < due_s:
            return []
        chunk = []
        size = 0
        for result in self._pending.values():
            size += len(result.text)
            if chunk and size > _MAX_CHUNK_CHARACTERS:
                break
            chunk.append(result)
        is_all = len(chunk) == len(self._pending)
        self._write_at_s = math.inf if is_all else now_s
        self._is_writing = True
        return [WriteChunk(len(self._listed), tuple(chunk))]
