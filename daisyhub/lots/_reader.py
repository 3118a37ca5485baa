"""Serves reads of lots on any daemon.

Results are requested from the holder, the daemon that has the duty for lots,
and cached here, as listed results never change. The holder has those of an
ended lot in one piece, while the store has many chunks of them. If the holder
can't be reached or doesn't know the lot, the chunks are read.
"""

import dataclasses
import time
from collections import OrderedDict

import anyio
import msgspec

from daisyhub.cluster import (
    LotAcceptedNotification,
    LotEndedNotification,
    LotHeadRequest,
    LotItemBodyRequest,
    LotResultsRequest,
    PeerTable,
)
from daisyhub.exceptions import (
    DaisyhubError,
    ErrorCode,
    ExecutionStatus,
    Refusal,
)
from daisyhub.json_texts import decode_json
from daisyhub.logs import DecisionLog
from daisyhub.lots._holder import LotHolder
from daisyhub.lots._lot_store import LotStore
from daisyhub.lots._types import ItemResult, LotHead
from daisyhub.objects import ObjectStoreError, PacedRead, PacedReads
from daisyhub.peers import PeerNetwork

__all__ = ["LotReader"]

# Seconds added to the wait time of a call to the holder to get its timeout.
_CALL_TIMEOUT_MARGIN_S = 0.4
# Seconds between polls of the store while a caller waits for results.
_STORE_POLL_INTERVAL_S = 0.3
# Seconds after which a refused caller may retry. Short outages of the store and
# changes of the holder last about a second.
_RETRY_AFTER_S = 0.5
# Maximum number of lots whose results are cached: some steps of each trainer.
_MAX_CACHED_LOTS = 24


@dataclasses.dataclass(slots=True)
class _CachedLot:
    """This daemon's cached state of one lot.

    Attributes:
        head: The lot.
        is_ended: Whether a caller ended it.
        results: Its listed results from position 0 on.
        store_read: Reads the results from the end of `results` on from the
            store; replaced when they grow.
    """

    head: LotHead
    is_ended: bool
    results: list[ItemResult] = dataclasses.field(default_factory=list)
    store_read: PacedRead = dataclasses.field(default_factory=PacedRead)


class LotReader:
    """Serves reads of lots.

    The `account` of a call is that of its key: empty without one, and None
    where the manifest states no accounts. A lot is accessible to its account,
    a lot without an account to everybody, and each lot while the manifest
    states none.

    Args:
        duty: Name of the duty for lots.
        lots: Lots in the store.
        holder: This daemon's own holder, active only while the daemon has the
            duty.
        peers: Known peers, used to find the holder.
        network: Sends calls and messages to peers.
        log: Log of decisions.
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
        self._head_reads = PacedReads()

    async def results(
        self, lot_id: str, account: str | None, after: int, wait_s: float
    ) -> tuple[int, list[ItemResult]]:
        """Returns the lot's number of items, and results from a position on.

        Waits up to `wait_s` seconds for a result at the position.

        Raises:
            Refusal: The account has no such lot, or its results can't be read
                now.
        """
        lot = await self._find(lot_id, account)
        if after >= len(lot.results) and not self._is_complete(lot):
            await self._fetch_results(lot, after, wait_s)
        return lot.head.total, lot.results[after:]

    async def body(
        self, lot_id: str, account: str | None, item_id: str
    ) -> bytes:
        """Returns the request body of an item.

        Raises:
            Refusal: The account has no such lot, the lot has no such item, or
                the item can't be read now.
        """
        lot = await self._find(lot_id, account)
        request = LotItemBodyRequest(lot_id=lot_id, item_id=item_id)
        response = await self._call_holder(request, 0.0)
        if response is not None and response.is_held and response.is_found:
            return response.content
        part = response.part if response is not None else None
        try:
            item = await self._lots.items.item(lot.head, item_id, part)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            raise _store_unavailable(exc) from exc
        if item is not None:
            return item.body
        raise Refusal(
            ErrorCode.ITEM_UNKNOWN,
            f"lot {lot_id} has no item {item_id}",
            ran=ExecutionStatus.NOT_RUN,
        )

    async def end(self, lot_id: str, account: str | None) -> None:
        """Ends a lot; its end is stored when this returns.

        Raises:
            Refusal: The account has no such lot, or its end may not be stored.
        """
        lot = await self._find(lot_id, account)
        if lot.is_ended:
            return
        try:
            await self._lots.end(lot_id)
        except ObjectStoreError as exc:
            raise _end_failed(exc) from exc
        lot.is_ended = True
        self._log.record("lot_ended", lot=lot_id)
        self._holder.end(lot_id)
        self._notify_holder(LotEndedNotification(lot_id=lot_id))

    def record_accepted(self, head: LotHead, *, is_ended: bool) -> None:
        """Caches the head of a lot accepted here, and notifies the holder.

        The holder isn't notified of a repeat of a lot that was ended: it must
        not run it again.

        The holder's watch reports the lot, too. The notification covers the
        time in which that watch is silent or the holder can't reach the store.
        """
        self._cache_lot(_CachedLot(head, is_ended))
        if is_ended:
            return
        self._holder.add_accepted(head)
        self._notify_holder(
            LotAcceptedNotification(head=msgspec.json.encode(head))
        )

    async def _find(self, lot_id: str, account: str | None) -> _CachedLot:
        """Returns a lot from the cache, the holder or the store.

        Raises:
            Refusal: The account has no such lot, or the store can't be read.
        """
        lot = self._cache.get(lot_id)
        if lot is None:
            lot = await self._head_from_holder(lot_id)
        if lot is None:
            lot = await self._head_from_store(lot_id)
        if lot is None or not _may_access(account, lot.head):
            raise Refusal(
                ErrorCode.LOT_UNKNOWN,
                f"there is no lot {lot_id}",
                ran=ExecutionStatus.NOT_RUN,
            )
        return lot

    async def _head_from_holder(self, lot_id: str) -> _CachedLot | None:
        """Returns a lot as the holder reports it, or None.

        Asking the holder saves each daemon a read of the store.
        """
        head = self._holder.head(lot_id)
        if head is None:
            response = await self._call_holder(
                LotHeadRequest(lot_id=lot_id), 0.0
            )
            if response is None or not response.is_held:
                return None
            head = decode_json(response.content, type=LotHead)
        self._cache_lot(_CachedLot(head, is_ended=False))
        return self._cache[lot_id]

    async def _head_from_store(self, lot_id: str) -> _CachedLot | None:
        read = self._head_reads.get(lot_id)
        try:
            found = await read.run(lambda: self._lots.head(lot_id))
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
        """Appends results until there is one at `after`, or time is up."""
        deadline_s = time.monotonic() + wait_s
        while len(lot.results) <= after and not self._is_complete(lot):
            remaining_s = max(0.0, deadline_s - time.monotonic())
            first = len(lot.results)
            found = None
            if not lot.is_ended or not lot.results:
                found = await self._results_from_holder(lot, first, remaining_s)
            if found is None:
                await self._read_store(lot)
            else:
                self._append(lot, first, found)
            is_new = len(lot.results) > first
            remaining_s = deadline_s - time.monotonic()
            if not is_new and (remaining_s <= 0 or lot.is_ended):
                return
            if not is_new:
                await anyio.sleep(min(_STORE_POLL_INTERVAL_S, remaining_s))

    def _append(
        self, lot: _CachedLot, first: int, found: list[ItemResult]
    ) -> None:
        """Appends results that start at position `first`.

        Concurrent calls may have appended some of them already.
        """
        new = found[len(lot.results) - first :]
        if new:
            lot.results += new
            lot.store_read = PacedRead()

    async def _results_from_holder(
        self, lot: _CachedLot, first: int, wait_s: float
    ) -> list[ItemResult] | None:
        """Returns results from this daemon's own holder or from a peer.

        None if the store must be read.
        """
        lot_id = lot.head.lot_id
        own = await self._holder.results(lot_id, first, wait_s)
        if own is not None:
            return own
        request = LotResultsRequest(lot_id=lot_id, after=first, wait_s=wait_s)
        response = await self._call_holder(request, wait_s)
        if response is None:
            return None
        lot.is_ended = lot.is_ended or response.is_ended
        if not response.is_held:
            return None
        return decode_json(response.content, type=list[ItemResult])

    async def _read_store(self, lot: _CachedLot) -> None:
        """Appends the results that the store has beyond those known here.

        Raises:
            Refusal: The store can't be read.
        """
        try:
            await lot.store_read.run(
                lambda: self._append_stored(lot),
                max_age_s=_STORE_POLL_INTERVAL_S,
            )
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            raise _store_unavailable(exc) from exc

    async def _append_stored(self, lot: _CachedLot) -> None:
        first = len(lot.results)
        found = await self._lots.results(lot.head.lot_id, first)
        self._append(lot, first, found)

    def _notify_holder(self, message: object) -> None:
        holder = self._peers.holder_of(self._duty)
        if holder is not None:
            self._network.send(holder.daemon_id, message)

    async def _call_holder(self, request: object, wait_s: float):
        """Calls the holder; returns None if it is unknown or unreachable."""
        holder = self._peers.holder_of(self._duty)
        if holder is None:
            return None
        try:
            return await self._network.call(
                holder.daemon_id, request, wait_s + _CALL_TIMEOUT_MARGIN_S
            )
        except DaisyhubError as exc:
            self._log.record(
                "holder_silent", holder=holder.daemon_id, reason=str(exc)
            )
            return None


def _may_access(account: str | None, head: LotHead) -> bool:
    """Whether a caller may read and end a lot; see `LotReader`."""
    return account is None or not head.account or head.account == account


def _store_unavailable(exc: Exception) -> Refusal:
    """Returns the refusal of a read that needs the store."""
    return Refusal(
        ErrorCode.PLATFORM_UNAVAILABLE,
        f"access to the store failed: {exc}",
        ran=ExecutionStatus.NOT_RUN,
        retry_after_s=_RETRY_AFTER_S,
    )


def _end_failed(exc: ObjectStoreError) -> Refusal:
    """Returns the refusal of a call to end a lot."""
    if not exc.may_be_done:
        return _store_unavailable(exc)
    return Refusal(
        ErrorCode.DEADLINE_EXCEEDED,
        f"the end of the lot may be stored: {exc}",
        ran=ExecutionStatus.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )
