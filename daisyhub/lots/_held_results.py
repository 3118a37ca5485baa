"""Results of the holder's lots for callers that wait for them."""

import anyio

from daisyhub.duties import DutyController
from daisyhub.lots._holder_types import HeldLot, LotHolderDependencies
from daisyhub.lots._lot_loader import LotLoader
from daisyhub.lots._types import ItemResult

__all__ = ["HeldResults"]

# Bytes that wait to be sent above which reads of ended lots are left to the
# store, so that many at once, as after a loss of power, neither fill the memory
# nor delay open lots: a few lots.
_MAX_UNSENT_BYTES = 1_000_000


class HeldResults:
    """Reads the listings of lots while the duty is held.

    Args:
        duty: The duty for lots.
        deps: The objects that the holder depends on.
        loader: Reads what another daemon may have listed.
    """

    def __init__(
        self,
        duty: DutyController,
        deps: LotHolderDependencies,
        loader: LotLoader,
    ):
        self._duty = duty
        self._deps = deps
        self._loader = loader

    async def read(
        self, lot: HeldLot, after: int, wait_s: float
    ) -> list[ItemResult] | None:
        """Returns results from a position on; see `LotHolder.results`."""
        if lot.is_ended and self._deps.unsent_bytes() > _MAX_UNSENT_BYTES:
            return None
        if len(lot.listing.listed) <= after and not lot.is_ended:
            with anyio.move_on_after(wait_s):
                await lot.results_added.wait()
        is_empty = len(lot.listing.listed) <= after
        if is_empty and not await self._refresh_listing(lot):
            return None
        return lot.listing.listed[after:]

    async def _refresh_listing(self, lot: HeldLot) -> bool:
        """Returns whether the listing is up to date, or could be read anew."""
        # A daemon that no longer receives this one's pings may have acquired
        # the duty and listed results.
        is_own = not lot.is_inherited and not self._deps.has_lost_peers()
        is_confirmed = self._duty.fencing != 0
        if (is_own and is_confirmed) or lot.listing.is_complete:
            return True
        return await self._loader.refresh(lot)
