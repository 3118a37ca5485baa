"""Reads lots and their listed results from the store."""

from collections.abc import Callable

import anyio
import msgspec

from daisyhub.lots._holder_types import HeldLot, LotHolderDependencies
from daisyhub.lots._item_bodies import ItemPlace, bodies_size, without_bodies
from daisyhub.lots._item_failures import digest_body
from daisyhub.lots._load_queue import LoadQueue
from daisyhub.lots._lot_memory import LotMemory
from daisyhub.lots._run_states import Progress
from daisyhub.lots._types import ItemResult, ItemSpec, LotSpec
from daisyhub.objects import ObjectStoreError

__all__ = ["LotLoader"]

# Minimum interval in seconds between reads of a list that another daemon may
# have extended. A result that was read on any daemon must be readable on all of
# them within a second.
_LISTING_POLL_INTERVAL_S = 0.4
# Seconds before a failed load of a lot is retried; they double with each
# further failure up to the maximum.
_LOAD_RETRY_DELAY_S = 0.2
_MAX_LOAD_RETRY_DELAY_S = 0.8
# Maximum numbers of lots that are read at the same time, open ones and ended
# ones. A new holder finds all lots of the store at once, and a store that is
# flooded with reads is slow for requests, too.
_MAX_OPEN_LOADS = 16
_MAX_ENDED_LOADS = 4
# Maximum number of large open lots that are read at the same time, beside the
# others, so that they neither delay these nor take much memory.
_MAX_LARGE_LOADS = 4
# Size of the stored items from which on a lot is large, in bytes.
_LARGE_BYTES = 1 << 20


class LotLoader:
    """Loads the lots of a holder, a few at a time.

    Args:
        deps: The objects that the holder depends on.
        is_known: Whether the holder still has a lot.
        add_chunk: Called with each stored chunk of results, and the position
            of its first.
        memory: Admits the lots whose items are read.
        room: Returns the bytes of bodies that may be kept.
    """

    def __init__(
        self,
        deps: LotHolderDependencies,
        is_known: Callable[[HeldLot], bool],
        add_chunk: Callable[[HeldLot, int, tuple[ItemResult, ...]], None],
        memory: LotMemory,
        room: Callable[[], int],
    ):
        self._deps = deps
        self._is_known = is_known
        self._add_chunk = add_chunk
        self._memory = memory
        self._room = room
        self._loads = LoadQueue(_MAX_OPEN_LOADS, _MAX_ENDED_LOADS)
        self._large_loads = LoadQueue(_MAX_LARGE_LOADS, _MAX_ENDED_LOADS)
        # Bytes of the bodies of each lot that is being read.
        self._kept_bytes: dict[str, int] = {}

    async def load(self, lot: HeldLot) -> dict[str, Progress]:
        """Reads a lot's results, and its items if it is open.

        Failed reads are retried until they succeed or the lot is removed. An
        open lot of many items may have to wait for others.

        Returns:
            Texts of unfinished items that an earlier holder saved.
        """
        retry_delay_s = _LOAD_RETRY_DELAY_S
        if not lot.is_ended:
            await self._memory.admit(lot.head, is_inherited=lot.is_inherited)
        while self._is_known(lot):
            try:
                async with self._admit(lot):
                    return await self._read(lot)
            except (ObjectStoreError, msgspec.DecodeError) as exc:
                self._log_failure(lot, exc)
            await anyio.sleep(retry_delay_s)
            retry_delay_s = min(2 * retry_delay_s, _MAX_LOAD_RETRY_DELAY_S)
        return {}

    def _log_failure(self, lot: HeldLot, exc: Exception) -> None:
        self._deps.log.record(
            "lot_read_failed", lot=lot.head.lot_id, reason=str(exc)
        )

    def _admit(self, lot: HeldLot):
        """Returns a context in which a lot may be read."""
        is_large = lot.head.stored_bytes >= _LARGE_BYTES and not lot.is_ended
        queue = self._large_loads if is_large else self._loads
        return queue.admit(lot.head, is_ended=lot.is_ended)

    async def _read(self, lot: HeldLot) -> dict[str, Progress]:
        """Reads a lot's results, and what is needed to run it if it is open.

        Raises:
            ObjectStoreError: The store failed, or a part doesn't exist.
            msgspec.DecodeError: An object has another schema.
        """
        await self.load_chunks(lot)
        lot.is_listing_loaded = True
        if lot.is_ended or lot.listing.is_complete:
            return {}
        try:
            await self._read_items(lot)
            return await self._read_progress(lot) if lot.is_inherited else {}
        finally:
            self._kept_bytes.pop(lot.head.lot_id, None)

    async def _read_items(self, lot: HeldLot) -> None:
        """Reads a lot's items; keeps their bodies while there is room.

        Raises:
            ObjectStoreError: The store failed, or a part doesn't exist.
            msgspec.DecodeError: A part has another schema.
        """
        lot_id = lot.head.lot_id
        listed = {result.item_id for result in lot.listing.listed}
        items: list[ItemSpec] = []
        places: dict[str, ItemPlace] = {}
        self._kept_bytes[lot_id] = 0
        number = 0
        async for part in self._deps.lots.items.parts(lot.head):
            room = self._room() - sum(self._kept_bytes.values())
            for spec in part:
                size = bodies_size(spec)
                is_kept = size <= room and spec.item_id not in listed
                if is_kept:
                    room -= size
                    self._kept_bytes[lot_id] += size
                items.append(spec if is_kept else without_bodies(spec))
                places[spec.item_id] = ItemPlace(
                    number, size, digest_body(spec), is_kept
                )
            number += 1
        lot.spec = LotSpec(head=lot.head, items=tuple(items))
        lot.places = places

    async def _read_progress(self, lot: HeldLot) -> dict[str, Progress]:
        """Returns saved texts; none if they can't be decoded.

        Without them, the lot can still be run.

        Raises:
            ObjectStoreError: The store failed.
        """
        try:
            return await self._deps.lots.progress(lot.head.lot_id)
        except msgspec.DecodeError as exc:
            self._deps.log.record(
                "progress_unreadable", lot=lot.head.lot_id, reason=str(exc)
            )
            return {}

    async def load_chunks(self, lot: HeldLot) -> None:
        """Reads the stored chunks that the listing lacks."""
        while not lot.listing.is_complete:
            first = len(lot.listing.listed)
            results = await self._deps.lots.chunk(lot.head.lot_id, first)
            if results is None:
                return
            self._add_chunk(lot, first, results)

    async def refresh(self, lot: HeldLot) -> bool:
        """Reads results that another holder may have listed.

        Returns:
            Whether that succeeded.
        """
        try:
            await lot.refresh.run(
                lambda: self._read_new_chunks(lot),
                max_age_s=_LISTING_POLL_INTERVAL_S,
            )
        except (ObjectStoreError, msgspec.DecodeError):
            return False
        return True

    async def _read_new_chunks(self, lot: HeldLot) -> None:
        """Reads the chunks that the listing lacks; logs a failure once."""
        try:
            await self.load_chunks(lot)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            self._log_failure(lot, exc)
            raise
