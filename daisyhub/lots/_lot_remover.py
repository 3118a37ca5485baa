"""Deletes lots that nobody may read any more."""

from collections.abc import Callable

import anyio

from daisyhub.lots._holder_types import HeldLot, LotHolderDependencies
from daisyhub.objects import KindWatcher, ObjectStoreError

__all__ = ["LotRemover"]

# Seconds between checks for lots that may be deleted.
_DELETE_INTERVAL_S = 10.0
# A lot that its trainer never ended is retained this many times longer.
_UNENDED_RETENTION_FACTOR = 20
# Seconds for which a lot is retained beyond the time for which it must stay
# readable.
_DELETE_MARGIN_S = 60.0


class LotRemover:
    """Deletes lots whose retention time is over.

    Args:
        deps: The objects that the holder depends on.
        find: Returns the holder's state of a lot; None if it is unknown.

    Attributes:
        min_retention_s: Seconds after its acceptance before which no lot is
            deleted.
    """

    def __init__(
        self,
        deps: LotHolderDependencies,
        find: Callable[[str], HeldLot | None],
    ):
        self._deps = deps
        self._find = find
        self.min_retention_s = deps.status_s + _DELETE_MARGIN_S

    async def run(self, watcher: KindWatcher) -> None:
        """Deletes lots whose retention time is over, at intervals.

        A failed attempt is repeated at the next interval.
        """
        while True:
            await anyio.sleep(_DELETE_INTERVAL_S)
            now_s = self._deps.clock.now_s()
            for found in list(watcher.objects.values()):
                lot = self._find(found.name)
                if lot is None:
                    continue
                retention_s = (
                    self.min_retention_s
                    if lot.is_ended
                    else _UNENDED_RETENTION_FACTOR * self.min_retention_s
                )
                if now_s - lot.head.accepted_s < retention_s:
                    continue
                await self._delete(lot)

    async def _delete(self, lot: HeldLot) -> None:
        lot_id = lot.head.lot_id
        try:
            await self._deps.lots.delete(lot.head, lot.listing.chunk_positions)
        except ObjectStoreError as exc:
            self._deps.log.record(
                "lot_delete_failed", lot=lot_id, reason=str(exc)
            )
            return
        self._deps.log.record("lot_deleted", lot=lot_id)
