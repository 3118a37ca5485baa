"""Reads of lots at any daemon.

Results are asked of the daemon that holds the lots and kept here, as listed
results never change. If that daemon can't be asked, the store's chunks tell;
they also tell of ended lots, so that the holder's link is free for open steps.
"""

import dataclasses
import time
from collections import OrderedDict

import anyio
import msgspec

from daisyhub.cluster import (
    LotBodyAsked,
    LotEndTold,
    LotHeadAsked,
    LotResultsAsked,
    LotTold,
    PeerTable,
)
from daisyhub.exceptions import DaisyhubError, ErrorCode, Refusal
from daisyhub.logs import DecisionLog
from daisyhub.lots._holder import LotHolder
from daisyhub.lots._lot_store import LotStore
from daisyhub.lots._types import ItemResult, LotHead
from daisyhub.objects import ObjectStoreError
from daisyhub.peers import PeerNetwork

__all__ = ["LotReader"]

# Seconds beyond its own wait after which a holder's answer counts as lost.
_CALL_TIMEOUT_MARGIN_S = 0.4
# Seconds between looks at the store while a reader waits for results.
_STORE_POLL_INTERVAL_S = 0.3
# Seconds after which a caller that was refused may try again; the store's
# short outages and changes of the holder end in about a second.
_RETRY_AFTER_S = 0.5
# Lots whose results are kept for their readers; some steps of each trainer.
_MAX_CACHED_LOTS = 24


@dataclasses.dataclass(slots=True)
class _CachedLot:
    """What is known here of one lot."""

    head: LotHead
    is_ended: bool
    results: list[ItemResult] = dataclasses.field(default_factory=list)


class LotReader:
    """Serves reads of lots.

    Args:
        duty: Name of the duty of holding lots.
        lots: Lots in the store.
        holder: This daemon's own holder.
        peers: Tells who holds lots.
        network: Calls peers.
        log: Where decisions are noted.
    """

    def __init__(
        self,
        duty: str,
        lots: LotStore,
        holder: LotHolder,
        peers: PeerTable,
        network: PeerNetwork,
        log: DecisionLog,
    ):
        self._duty = duty
        self._lots = lots
        self._holder = holder
        self._peers = peers
        self._network = network
        self._log = log
        self._cache: OrderedDict[str, _CachedLot] = OrderedDict()

    async def results(
        self, lot_id: str, account: str, after: int, wait_s: float
    ) -> tuple[int, list[ItemResult]]:
        """Returns the number of items, and results from a position on.

        Raises:
            Refusal: There is no such lot, or nobody can tell now.
        """
        lot = await self._find(lot_id, account)
        if after >= len(lot.results) and not self._is_complete(lot):
            await self._fetch_results(lot, after, wait_s)
        return lot.head.total, lot.results[after:]

    async def body(self, lot_id: str, account: str, item_id: str) -> bytes:
        """Returns the body of an item.

        Raises:
            Refusal: There is no such item, or nobody can tell now.
        """
        lot = await self._find(lot_id, account)
        request = LotBodyAsked(lot_id=lot_id, item_id=item_id)
        answer = await self._call_holder(request, 0.0)
        if answer is not None and answer.is_held and answer.is_found:
            return answer.content
        try:
            spec = await self._lots.items(lot.head)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            raise _store_unavailable(exc) from exc
        for item in spec.items:
            if item.item_id == item_id:
                return item.body
        raise Refusal(
            ErrorCode.LOT_UNKNOWN, f"lot {lot_id} has no item {item_id}"
        )

    async def end(self, lot_id: str, account: str) -> None:
        """Ends a lot; the store holds the end before this returns.

        Raises:
            Refusal: There is no such lot, or the end isn't stored.
        """
        lot = await self._find(lot_id, account)
        if lot.is_ended:
            return
        try:
            await self._lots.end(lot_id)
        except ObjectStoreError as exc:
            raise _store_unavailable(exc) from exc
        lot.is_ended = True
        self._log.note("lot_ended", lot=lot_id)
        self._holder.end(lot_id)
        self._notify_holder(LotEndTold(lot_id=lot_id))

    def record_accepted(self, head: LotHead) -> None:
        """Keeps the head of a lot accepted here, and tells its holder.

        The holder's watch brings the lot as well; this is for the time in
        which its watch is silent or its way to the store is cut.
        """
        self._cache_lot(_CachedLot(head, is_ended=False))
        self._holder.add_accepted(head)
        self._notify_holder(LotTold(head=msgspec.json.encode(head)))

    async def _find(self, lot_id: str, account: str) -> _CachedLot:
        lot = self._cache.get(lot_id)
        if lot is None:
            lot = await self._head_from_holder(lot_id)
        if lot is None:
            lot = await self._head_from_store(lot_id)
        if lot is None or lot.head.account != account:
            raise Refusal(ErrorCode.LOT_UNKNOWN, f"there is no lot {lot_id}")
        return lot

    async def _head_from_holder(self, lot_id: str) -> _CachedLot | None:
        """Asks the holder, which spares the store a call for each daemon."""
        head = self._holder.head(lot_id)
        if head is None:
            answer = await self._call_holder(LotHeadAsked(lot_id=lot_id), 0.0)
            if answer is None or not answer.is_held:
                return None
            head = msgspec.json.decode(answer.content, type=LotHead)
        self._cache_lot(_CachedLot(head, is_ended=False))
        return self._cache[lot_id]

    async def _head_from_store(self, lot_id: str) -> _CachedLot | None:
        try:
            found = await self._lots.head(lot_id)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            raise _store_unavailable(exc) from exc
        if found is None:
            return None
        head, status = found
        lot = self._cache.get(lot_id)
        if lot is None:
            lot = _CachedLot(head, status.is_ended)
            self._cache_lot(lot)
        return lot

    def _cache_lot(self, lot: _CachedLot) -> None:
        self._cache.setdefault(lot.head.lot_id, lot)
        while len(self._cache) > _MAX_CACHED_LOTS:
            self._cache.popitem(last=False)

    def _is_complete(self, lot: _CachedLot) -> bool:
        return len(lot.results) >= lot.head.total

    async def _fetch_results(
        self, lot: _CachedLot, after: int, wait_s: float
    ) -> None:
        """Adds results until there is one at `after`, or time is up."""
        deadline_s = time.monotonic() + wait_s
        lot_id = lot.head.lot_id
        while len(lot.results) <= after and not self._is_complete(lot):
            left_s = max(0.0, deadline_s - time.monotonic())
            first = len(lot.results)
            found = None
            if not lot.is_ended:
                found = await self._results_from_holder(lot, first, left_s)
            if found is None:
                found = await self._results_from_store(lot_id, first)
            self._append(lot, first, found)
            left_s = deadline_s - time.monotonic()
            if not found and (left_s <= 0 or lot.is_ended):
                return
            if not found:
                await anyio.sleep(min(_STORE_POLL_INTERVAL_S, left_s))

    def _append(
        self, lot: _CachedLot, first: int, found: list[ItemResult]
    ) -> None:
        """Adds results that stand at `first`; others may have added some."""
        lot.results += found[len(lot.results) - first :]

    async def _results_from_holder(
        self, lot: _CachedLot, first: int, wait_s: float
    ) -> list[ItemResult] | None:
        """Asks the holder; None if the store has to tell."""
        lot_id = lot.head.lot_id
        own = await self._holder.results(lot_id, first, wait_s)
        if own is not None:
            return own
        request = LotResultsAsked(lot_id=lot_id, after=first, wait_s=wait_s)
        answer = await self._call_holder(request, wait_s)
        if answer is None:
            return None
        lot.is_ended = lot.is_ended or answer.is_ended
        if not answer.is_held:
            return None
        return msgspec.json.decode(answer.content, type=list[ItemResult])

    async def _results_from_store(
        self, lot_id: str, first: int
    ) -> list[ItemResult]:
        try:
            return await self._lots.chunks(lot_id, first)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            raise _store_unavailable(exc) from exc

    def _notify_holder(self, message: object) -> None:
        holder = self._peers.holder_of(self._duty)
        if holder is not None:
            self._network.send(holder.daemon_id, message)

    async def _call_holder(self, request: object, wait_s: float):
        """Calls the daemon that holds lots; None if it can't be asked."""
        holder = self._peers.holder_of(self._duty)
        if holder is None:
            return None
        try:
            return await self._network.call(
                holder.daemon_id, request, wait_s + _CALL_TIMEOUT_MARGIN_S
            )
        except DaisyhubError as exc:
            self._log.note(
                "holder_silent", holder=holder.daemon_id, reason=str(exc)
            )
            return None


def _store_unavailable(exc: Exception) -> Refusal:
    """Refuses what can't be told while the store is away."""
    return Refusal(
        ErrorCode.PLATFORM_UNAVAILABLE,
        f"the store doesn't tell: {exc}",
        retry_after_s=_RETRY_AFTER_S,
    )
