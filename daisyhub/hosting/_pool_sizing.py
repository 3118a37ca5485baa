"""How many endpoints a pool should have, and of which kind.

A pool grows at once and shrinks after a while of low load. Cheap endpoints,
which the platform may reclaim at seconds' notice, are ordered up to a share
of the pool, so that the rest can carry what must not be lost; after a mass
loss none is ordered for a while, and replacements come a few at a time.
"""

import dataclasses
import math

__all__ = ["ObservedEndpoint", "PoolState", "PoolSizer", "SizingDecision"]

ORDERS_IN_FLIGHT = 4
SHRINK_AFTER_S = 60.0
CHEAP_PAUSE_S = 60.0
MASS_LOSS_SHARE = 0.5
_SPARE_LOAD = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObservedEndpoint:
    """One endpoint as the holder sees it."""

    endpoint_id: str
    cheap: bool
    is_leaving: bool = False
    load: float = 0.0
    capacity: int = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolState:
    """What a pool has and may have.

    Attributes:
        pool: Its name.
        endpoints: What is there now.
        min_endpoints: Smallest number of endpoints.
        max_endpoints: Largest number of endpoints, leaving ones included.
        target_load: Wanted share of the capacity in use, 0 to 1.
        cheap_share: Largest share of endpoints that may be cheap, 0 to 1.
    """

    pool: str
    endpoints: tuple[ObservedEndpoint, ...]
    min_endpoints: int
    max_endpoints: int
    target_load: float
    cheap_share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SizingDecision:
    """What to order for a pool now.

    Attributes:
        start_regular: Regular endpoints to start.
        start_cheap: Cheap endpoints to start.
        stop: Ids of endpoints to stop.
    """

    start_regular: int = 0
    start_cheap: int = 0
    stop: tuple[str, ...] = ()


class PoolSizer:
    """Remembers one pool's low load and losses; decides its orders."""

    def __init__(self):
        self._low_since_s: float | None = None
        self._cheap_seen: frozenset[str] = frozenset()
        self._cheap_paused_until_s = 0.0

    def observe(self, demand: PoolState, now_s: float) -> None:
        """Notes a mass loss of cheap endpoints."""
        cheap = frozenset(
            sight.endpoint_id
            for sight in demand.endpoints
            if sight.cheap and not sight.is_leaving
        )
        lost = len(self._cheap_seen - cheap)
        if lost > len(self._cheap_seen) * MASS_LOSS_SHARE:
            self._cheap_paused_until_s = now_s + CHEAP_PAUSE_S
        self._cheap_seen = cheap

    def decide(
        self,
        demand: PoolState,
        *,
        starting: tuple[bool, ...],
        stopping: frozenset[str],
        now_s: float,
    ) -> SizingDecision:
        """Returns the orders that the pool needs beyond the pending ones.

        Args:
            demand: What the pool has and may have.
            starting: For each pending start, whether it is cheap.
            stopping: Endpoints that pending orders stop.
            now_s: Monotonic time in seconds.
        """
        staying = [
            sight
            for sight in demand.endpoints
            if not sight.is_leaving and sight.endpoint_id not in stopping
        ]
        count = len(staying) + len(starting)
        wanted = _wanted_count(demand, count)
        free = max(0, ORDERS_IN_FLIGHT - len(starting) - len(stopping))
        if count < wanted:
            self._low_since_s = None
            room = demand.max_endpoints - len(demand.endpoints) - len(starting)
            cheap_count = sum(s.cheap for s in staying) + sum(starting)
            return self._grow(
                demand,
                count,
                cheap_count,
                min(wanted - count, room, free),
                now_s,
            )
        if count == wanted or not free or not staying:
            self._low_since_s = None
            return SizingDecision()
        return self._shrink(staying, now_s)

    def _grow(self, demand, count, cheap_count, new, now_s) -> SizingDecision:
        may_be_cheap = now_s >= self._cheap_paused_until_s
        cheap = 0
        for total in range(count + 1, count + new + 1):
            is_within = cheap_count + cheap + 1 <= demand.cheap_share * total
            cheap += may_be_cheap and is_within
        regular = max(0, new) - cheap
        return SizingDecision(start_regular=regular, start_cheap=cheap)

    def _shrink(self, staying, now_s: float) -> SizingDecision:
        """Stops one endpoint, the least loaded, after a while of low load."""
        if self._low_since_s is None:
            self._low_since_s = now_s
        if now_s - self._low_since_s < SHRINK_AFTER_S:
            return SizingDecision()
        self._low_since_s = None
        idle = min(staying, key=lambda s: (s.load, s.endpoint_id))
        return SizingDecision(stop=(idle.endpoint_id,))


def _wanted_count(demand: PoolState, count: int) -> int:
    """Returns how many endpoints the load calls for, within the budget."""
    load = sum(sight.load for sight in demand.endpoints)
    capacity = max((sight.capacity for sight in demand.endpoints), default=1)
    useful = capacity * demand.target_load
    wanted = math.ceil(load / useful) if useful else demand.min_endpoints
    # Keeps an endpoint while half of its load is there, so that the count
    # doesn't swing between two values.
    if wanted == count - 1 and load > (wanted - _SPARE_LOAD) * useful:
        wanted = count
    return min(demand.max_endpoints, max(demand.min_endpoints, wanted))
