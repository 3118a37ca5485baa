"""Answers peers that ask the holder about lots."""

import msgspec

from daisyhub.cluster import (
    LotHeadRequest,
    LotItemBodyRequest,
    LotResponse,
    LotResultsRequest,
)
from daisyhub.lots._holder import LotHolder

__all__ = ["LotRequestHandler"]


class LotRequestHandler:
    """Serves requests of daemons whose callers read lots.

    Args:
        holder: Has the lots while this daemon has the duty.
    """

    def __init__(self, holder: LotHolder):
        self._holder = holder

    async def handle_head(self, request: LotHeadRequest) -> LotResponse:
        """Answers a peer that doesn't know a lot that its caller named."""
        head = self._holder.head(request.lot_id)
        if head is None:
            return LotResponse(is_held=False)
        return LotResponse(is_held=True, content=msgspec.json.encode(head))

    async def handle_results(self, request: LotResultsRequest) -> LotResponse:
        """Answers a peer that reads results for its caller."""
        found = await self._holder.results(
            request.lot_id, request.after, request.wait_s
        )
        if found is None:
            lot = self._holder.find(request.lot_id)
            is_ended = lot is not None and lot.is_ended
            return LotResponse(is_held=False, is_ended=is_ended)
        lot = self._holder.find(request.lot_id)
        return LotResponse(
            is_held=True,
            content=msgspec.json.encode(found),
            is_ended=lot is not None and lot.is_ended,
        )

    async def handle_body(self, request: LotItemBodyRequest) -> LotResponse:
        """Answers a peer that reads an item's body for its caller."""
        item = self._holder.find_item(request.lot_id, request.item_id)
        if item is None:
            return LotResponse(is_held=False)
        if not item.place.is_read:
            return LotResponse(is_held=False, part=item.place.part)
        return LotResponse(is_held=True, content=item.spec.body)
