"""Refuses lots that can't be served before their trainers give up."""

import math
import time
from collections.abc import Callable

from daisyhub.cluster import PoolBacklog
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.logs import DecisionLog
from daisyhub.lots._admission_core import LotAdmissionCore
from daisyhub.lots._lot_routes import choose_pool
from daisyhub.lots._lot_store import LotStore
from daisyhub.lots._types import LotSpec
from daisyhub.messages import Request
from daisyhub.metrics import Metrics

__all__ = ["LotAdmission"]


# Maximum number of lots whose latest attempt at this daemon is remembered.
_MAX_ATTEMPTS = 1024


class LotAdmission:
    """Decides about submitted lots before anything of them is stored.

    Args:
        lots: Lots in the store, read for the evidence of a refusal.
        find_backlog: Returns the current figures of a pool at a time; None
            without any, or if the pool isn't adaptive.
        metrics: Counts refusals.
        log: Receives a line for each refusal.
        clock: Returns the monotonic time.
    """

    def __init__(
        self,
        lots: LotStore,
        find_backlog: Callable[[str, float], PoolBacklog | None],
        metrics: Metrics,
        log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._lots = lots
        self._find_backlog = find_backlog
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._core = LotAdmissionCore()
        # When the latest attempt to store a lot ends at the latest, by its id.
        self._attempts: dict[str, float] = {}

    async def check(self, spec: LotSpec, req: Request, until_s: float) -> None:
        """Refuses a lot that can't be served in time and isn't stored.

        Args:
            spec: The lot, of which this attempt has stored nothing.
            req: Its request.
            until_s: Monotonic time after which this attempt sends no create of
                the lot's head.

        Raises:
            Refusal: No submission of the lot was stored, and it can't be
                complete before its trainer gives up.
        """
        now_s = self._clock()
        head = spec.head
        pool = choose_pool(head.lot_id, req.route.shares)
        backlog = self._find_backlog(pool, now_s)
        stated_s = req.stated_deadline_s
        remaining_s = None if stated_s is None else stated_s - now_s
        refused = self._core.decide(spec, backlog, remaining_s, now_s)
        if refused is None or not await self._is_refusable(spec):
            self._core.record_accepted(spec)
            self._record_attempt(head.lot_id, until_s)
            return
        self._metrics.count("lots_refused", pool=pool)
        self._log.record(
            "lot_refused",
            id=head.lot_id,
            account=head.account,
            step=head.step,
            pool=pool,
            slots=refused.slots,
            expected_s=round(refused.expected_s, 2),
            give_up_s=round(refused.give_up_s, 2),
            ahead_slot_s=round(refused.ahead_s, 1),
            own_slot_s=round(refused.own_s, 1),
            room_in_s=_rounded(refused.room_in_s),
            retry_after_s=_rounded(refused.retry_after_s),
            was_refused=refused.was_refused,
        )
        raise Refusal(
            ErrorCode.OVERLOADED,
            f"the lot would take {refused.expected_s:.1f} s at least, its"
            f" trainer gives up after {refused.give_up_s:.1f} s",
            ran=ExecutionStatus.NOT_RUN,
            retry_after_s=refused.retry_after_s,
        )

    async def _is_refusable(self, spec: LotSpec) -> bool:
        """Whether no attempt stored the lot, and none here may go on to."""
        lot_id = spec.head.lot_id
        if self._is_under_way(lot_id) or not await self._lots.is_absent(spec):
            return False
        # An attempt of a repeat may have begun during the read.
        return not self._is_under_way(lot_id)

    def _is_under_way(self, lot_id: str) -> bool:
        return self._clock() <= self._attempts.get(lot_id, -math.inf)

    def _record_attempt(self, lot_id: str, until_s: float) -> None:
        earlier_s = self._attempts.pop(lot_id, -math.inf)
        self._attempts[lot_id] = max(earlier_s, until_s)
        if len(self._attempts) > _MAX_ATTEMPTS:
            del self._attempts[next(iter(self._attempts))]


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 2)
