"""Writes the listed results of lots to the store."""

import time
from collections.abc import Callable

import anyio
import msgspec

from daisyhub.lots._holder_types import HeldLot, LotHolderDependencies
from daisyhub.lots._listing_core import (
    ChunkStored,
    ChunkWriteFailed,
    WriteChunk,
)
from daisyhub.lots._types import ItemResult
from daisyhub.objects import ObjectStoreError

__all__ = ["ListingWriter"]


class ListingWriter:
    """Runs the listing cores of a holder's lots.

    Args:
        deps: The objects that the holder depends on.
        on_complete: Called once all items of a lot are listed.

    Attributes:
        tasks: Runs the writes; None without the duty.
    """

    def __init__(
        self,
        deps: LotHolderDependencies,
        on_complete: Callable[[HeldLot], None],
    ):
        self._deps = deps
        self._on_complete = on_complete
        self.tasks = None

    def feed(self, lot: HeldLot, event: object) -> None:
        """Passes an event to a lot's listing core and runs its actions.

        A read for a caller may end after the duty was lost. Nothing is written
        then: the next holder lists what is missing.
        """
        actions = lot.listing.handle(event, time.monotonic())
        if self.tasks is None:
            return
        for action in actions:
            self.tasks.start_soon(self._write_chunk, lot, action)

    async def _write_chunk(self, lot: HeldLot, action: WriteChunk) -> None:
        lot_id = lot.head.lot_id
        started_s = time.monotonic()
        try:
            results = await self._deps.lots.write_chunk(
                lot_id, action.first, action.results
            )
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            self._deps.log.record(
                "list_failed", lot=lot_id, first=action.first, reason=str(exc)
            )
            self.feed(lot, ChunkWriteFailed())
            return
        self._deps.log.record(
            "listed",
            lot=lot_id,
            first=action.first,
            count=len(results),
            is_own=results == action.results,
            took_s=round(time.monotonic() - started_s, 3),
        )
        self.add_chunk(lot, action.first, results)

    def add_chunk(
        self, lot: HeldLot, first: int, results: tuple[ItemResult, ...]
    ) -> None:
        """Adds a stored chunk to a lot's list; closes a lot that is complete.

        The chunk was written here, or read back after another daemon wrote it.
        """
        # A result that became due during a write is listed now.
        self.feed(lot, ChunkStored(first, results))
        lot.results_added.set()
        lot.results_added = anyio.Event()
        if lot.listing.is_complete:
            self._on_complete(lot)
