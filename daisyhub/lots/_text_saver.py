"""Keeps the texts of unfinished items for later runs and holders."""

from collections.abc import Callable, Mapping

import anyio

from daisyhub.lots._dispatch_core import DispatchCore
from daisyhub.lots._holder_types import HeldLot, LotHolderDependencies
from daisyhub.lots._item_failures import ItemIdentity
from daisyhub.lots._run_states import Progress
from daisyhub.lots._types import LotHead
from daisyhub.objects import ObjectConflictError, ObjectStoreError

__all__ = ["TextCache", "TextSaver"]

# Timeout in seconds for saving unfinished texts, also at a graceful shutdown. A
# write to the store takes milliseconds, and requests are served meanwhile.
_SAVE_TIMEOUT_S = 1.0
# Maximum number of texts of unfinished items of closed lots that are cached.
# Trainers resubmit at most half of the groups of a step.
_MAX_CACHED_TEXTS = 2000


class TextCache:
    """The latest texts of unfinished items, which a later lot may resume."""

    def __init__(self):
        self._texts: dict[ItemIdentity, Progress] = {}

    def add(self, texts: Mapping[ItemIdentity, Progress]) -> None:
        """Adds texts; drops the oldest beyond the maximum."""
        self._texts.update(texts)
        while len(self._texts) > _MAX_CACHED_TEXTS:
            del self._texts[next(iter(self._texts))]

    def of_items(
        self, identities: Mapping[str, ItemIdentity]
    ) -> dict[str, Progress]:
        """Returns the texts that are known of items, by their ids."""
        return {
            item_id: self._texts[identity]
            for item_id, identity in identities.items()
            if identity in self._texts
        }


class TextSaver:
    """Writes what runs have generated so far to the store.

    Args:
        deps: The objects that the holder depends on.
        is_adaptive: Whether the pool that is to serve a lot is adaptive.
    """

    def __init__(
        self,
        deps: LotHolderDependencies,
        is_adaptive: Callable[[LotHead], bool],
    ):
        self._deps = deps
        self._is_adaptive = is_adaptive

    async def save(self, core: DispatchCore, lots: dict[str, HeldLot]) -> None:
        """Saves the texts of all open lots; gives up after a timeout."""
        with anyio.move_on_after(_SAVE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for lot_id in core.open_lots:
                    tasks.start_soon(self._save_lot, core, lots[lot_id])

    async def _save_lot(self, core: DispatchCore, lot: HeldLot) -> None:
        lot_id = lot.head.lot_id
        progress = core.progress_of(lot_id)
        if not progress:
            return
        if progress == lot.saved_progress and self._is_adaptive(lot.head):
            return
        try:
            lot.progress_revision = await self._deps.lots.save_progress(
                lot_id, progress, lot.progress_revision
            )
        except (ObjectStoreError, ObjectConflictError) as exc:
            lot.progress_revision = 0
            self._deps.log.record(
                "progress_not_kept", lot=lot_id, reason=str(exc)
            )
            return
        # Without a revision, the object was deleted meanwhile.
        lot.saved_progress = progress if lot.progress_revision else {}
        self._deps.log.record("progress_kept", lot=lot_id, items=len(progress))
