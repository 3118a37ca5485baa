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
_CALL_TIMEOUT_S = 0.4
# Seconds between looks at the store while a reader waits for results.
_STORE_POLL_S = 0.3
# Seconds after which a caller that was refused may try again; the store's
# short outages and changes of the holder end in about a second.
_RETRY_AFTER_S = 0.5
# Lots whose results are kept for their readers; some steps of each trainer.
_KEPT_LOTS = 24


@dataclasses.dataclass(slots=True)
class _Known:
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
        self._known: OrderedDict[str, _Known] = OrderedDict()

    async def results(
        self, lot_id: str, account: str, after: int, wait_s: float
    ) -> tuple[int, list[ItemResult]]:
        """Returns the number of items, and results from a position on.

        Raises:
            Refusal: There is no such lot, or nobody can tell now.
        """
        known = await self._find(lot_id, account)
        if after >= len(known.results) and not self._is_whole(known):
            await self._extend(known, after, wait_s)
        return known.head.total, known.results[after:]

    async def body(self, lot_id: str, account: str, item_id: str) -> bytes:
        """Returns the body of an item.

        Raises:
            Refusal: There is no such item, or nobody can tell now.
        """
        known = await self._find(lot_id, account)
        asked = LotBodyAsked(lot_id=lot_id, item_id=item_id)
        answer = await self._ask_holder(asked, 0.0)
        if answer is not None and answer.is_held and answer.is_found:
            return answer.content
        try:
            spec = await self._lots.items(known.head)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            raise _unsure(exc) from exc
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
        known = await self._find(lot_id, account)
        if known.is_ended:
            return
        try:
            await self._lots.end(lot_id)
        except ObjectStoreError as exc:
            raise _unsure(exc) from exc
        known.is_ended = True
        self._log.note("lot_ended", lot=lot_id)
        self._holder.end(lot_id)
        self._tell_holder(LotEndTold(lot_id=lot_id))

    def note_accepted(self, head: LotHead) -> None:
        """Keeps the head of a lot accepted here, and tells its holder.

        The holder's watch brings the lot as well; this is for the time in
        which its watch is silent or its way to the store is cut.
        """
        self._keep(_Known(head, is_ended=False))
        self._holder.take(head)
        self._tell_holder(LotTold(head=msgspec.json.encode(head)))

    async def _find(self, lot_id: str, account: str) -> _Known:
        known = self._known.get(lot_id)
        if known is None:
            known = await self._ask_head(lot_id)
        if known is None:
            known = await self._read_head(lot_id)
        if known is None or known.head.account != account:
            raise Refusal(ErrorCode.LOT_UNKNOWN, f"there is no lot {lot_id}")
        return known

    async def _ask_head(self, lot_id: str) -> _Known | None:
        """Asks the holder, which spares the store a call for each daemon."""
        head = self._holder.head(lot_id)
        if head is None:
            answer = await self._ask_holder(LotHeadAsked(lot_id=lot_id), 0.0)
            if answer is None or not answer.is_held:
                return None
            head = msgspec.json.decode(answer.content, type=LotHead)
        self._keep(_Known(head, is_ended=False))
        return self._known[lot_id]

    async def _read_head(self, lot_id: str) -> _Known | None:
        try:
            found = await self._lots.head(lot_id)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            raise _unsure(exc) from exc
        if found is None:
            return None
        head, status = found
        known = self._known.get(lot_id)
        if known is None:
            known = _Known(head, status.is_ended)
            self._keep(known)
        return known

    def _keep(self, known: _Known) -> None:
        self._known.setdefault(known.head.lot_id, known)
        while len(self._known) > _KEPT_LOTS:
            self._known.popitem(last=False)

    def _is_whole(self, known: _Known) -> bool:
        return len(known.results) >= known.head.total

    async def _extend(self, known: _Known, after: int, wait_s: float) -> None:
        """Adds results until there is one at `after`, or time is up."""
        deadline_s = time.monotonic() + wait_s
        lot_id = known.head.lot_id
        while len(known.results) <= after and not self._is_whole(known):
            left_s = max(0.0, deadline_s - time.monotonic())
            first = len(known.results)
            found = None
            if not known.is_ended:
                found = await self._from_holder(known, first, left_s)
            if found is None:
                found = await self._from_store(lot_id, first)
            self._add(known, first, found)
            left_s = deadline_s - time.monotonic()
            if not found and (left_s <= 0 or known.is_ended):
                return
            if not found:
                await anyio.sleep(min(_STORE_POLL_S, left_s))

    def _add(self, known: _Known, first: int, found: list[ItemResult]) -> None:
        """Adds results that stand at `first`; others may have added some."""
        known.results += found[len(known.results) - first :]

    async def _from_holder(
        self, known: _Known, first: int, wait_s: float
    ) -> list[ItemResult] | None:
        """Asks the holder; None if the store has to tell."""
        lot_id = known.head.lot_id
        own = await self._holder.results(lot_id, first, wait_s)
        if own is not None:
            return own
        asked = LotResultsAsked(lot_id=lot_id, after=first, wait_s=wait_s)
        answer = await self._ask_holder(asked, wait_s)
        if answer is None:
            return None
        known.is_ended = known.is_ended or answer.is_ended
        if not answer.is_held:
            return None
        return msgspec.json.decode(answer.content, type=list[ItemResult])

    async def _from_store(self, lot_id: str, first: int) -> list[ItemResult]:
        try:
            return await self._lots.chunks(lot_id, first)
        except (ObjectStoreError, msgspec.DecodeError) as exc:
            raise _unsure(exc) from exc

    def _tell_holder(self, message: object) -> None:
        holder = self._peers.holder_of(self._duty)
        if holder is not None:
            self._network.send(holder.daemon_id, message)

    async def _ask_holder(self, asked: object, wait_s: float):
        """Calls the daemon that holds lots; None if it can't be asked."""
        holder = self._peers.holder_of(self._duty)
        if holder is None:
            return None
        try:
            return await self._network.call(
                holder.daemon_id, asked, wait_s + _CALL_TIMEOUT_S
            )
        except DaisyhubError as exc:
            self._log.note(
                "holder_silent", holder=holder.daemon_id, reason=str(exc)
            )
            return None


def _unsure(exc: Exception) -> Refusal:
    """Refuses what can't be told while the store is away."""
    return Refusal(
        ErrorCode.PLATFORM_UNAVAILABLE,
        f"the store doesn't tell: {exc}",
        retry_after_s=_RETRY_AFTER_S,
    )
