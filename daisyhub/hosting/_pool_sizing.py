"""Decides how many regular and cheap endpoints a pool should have.

A pool grows immediately and shrinks after a period of low load. Cheap
endpoints, which the platform may reclaim at a few seconds' notice, are limited
to a share of the pool, so that regular endpoints can serve the load that must
not be lost. After a mass loss of cheap endpoints, none is ordered for a period,
and the number of pending orders limits how fast replacements start.
"""

import dataclasses
import math

__all__ = ["ObservedEndpoint", "PoolState", "PoolSizer", "SizingDecision"]

MAX_PENDING_ORDERS = 4  # In one pool.
SHRINK_DELAY_S = 60.0
CHEAP_BACKOFF_S = 60.0
MASS_LOSS_SHARE = 0.5  # Of the cheap endpoints, between two observations.
_SHRINK_HYSTERESIS = 0.5  # Share of the target load of one endpoint.


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObservedEndpoint:
    """An endpoint's state as observed by the lease holder.

    Attributes:
        endpoint_id: Unique id.
        cheap: Whether the platform may reclaim it at a few seconds' notice.
        is_leaving: Whether it is about to stop.
        load: Estimated number of open requests.
        capacity: Number of requests that it serves concurrently.
    """

    endpoint_id: str
    cheap: bool
    is_leaving: bool = False
    load: float = 0.0
    capacity: int = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolState:
    """Observed endpoints and sizing limits of a pool.

    Attributes:
        pool: Name of the pool.
        endpoints: The observed endpoints.
        min_endpoints: Minimum number of endpoints.
        max_endpoints: Maximum number of endpoints, including leaving ones.
        target_load: Target utilization of the capacity, 0 to 1.
        cheap_share: Maximum share of endpoints that may be cheap, 0 to 1.
    """

    pool: str
    endpoints: tuple[ObservedEndpoint, ...]
    min_endpoints: int
    max_endpoints: int
    target_load: float
    cheap_share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SizingDecision:
    """Orders to create for a pool.

    Attributes:
        start_regular: Number of regular endpoints to start.
        start_cheap: Number of cheap endpoints to start.
        stop: Ids of endpoints to stop.
    """

    start_regular: int = 0
    start_cheap: int = 0
    stop: tuple[str, ...] = ()


class PoolSizer:
    """Tracks low load and losses of one pool, and decides its orders."""

    def __init__(self):
        self._low_since_s: float | None = None
        self._cheap_endpoint_ids: frozenset[str] = frozenset()
        self._cheap_paused_until_s = 0.0

    def observe(self, pool_state: PoolState, now_s: float) -> None:
        """Detects a mass loss of cheap endpoints since the previous call."""
        cheap_ids = frozenset(
            endpoint.endpoint_id
            for endpoint in pool_state.endpoints
            if endpoint.cheap and not endpoint.is_leaving
        )
        lost_count = len(self._cheap_endpoint_ids - cheap_ids)
        if lost_count > len(self._cheap_endpoint_ids) * MASS_LOSS_SHARE:
            self._cheap_paused_until_s = now_s + CHEAP_BACKOFF_S
        self._cheap_endpoint_ids = cheap_ids

    def decide(
        self,
        pool_state: PoolState,
        *,
        starting: tuple[bool, ...],
        stopping: frozenset[str],
        now_s: float,
    ) -> SizingDecision:
        """Returns the orders that the pool needs beyond the pending ones.

        Args:
            pool_state: Observed endpoints and limits of the pool.
            starting: For each pending start order, whether it is cheap.
            stopping: Ids of the endpoints with pending stop orders.
            now_s: Monotonic time in seconds.
        """
        remaining = [
            endpoint
            for endpoint in pool_state.endpoints
            if not endpoint.is_leaving and endpoint.endpoint_id not in stopping
        ]
        count = len(remaining) + len(starting)
        target = _target_count(pool_state, count)
        order_slots = max(0, MAX_PENDING_ORDERS - len(starting) - len(stopping))
        if count < target:
            self._low_since_s = None
            headroom = (
                pool_state.max_endpoints
                - len(pool_state.endpoints)
                - len(starting)
            )
            cheap_count = sum(e.cheap for e in remaining) + sum(starting)
            return self._grow(
                pool_state,
                count,
                cheap_count,
                min(target - count, headroom, order_slots),
                now_s,
            )
        if count == target or not order_slots or not remaining:
            self._low_since_s = None
            return SizingDecision()
        return self._shrink(remaining, now_s)

    def _grow(
        self, pool_state, count, cheap_count, new_count, now_s
    ) -> SizingDecision:
        """Starts `new_count` endpoints, cheap ones as far as allowed."""
        may_be_cheap = now_s >= self._cheap_paused_until_s
        cheap = 0
        for total in range(count + 1, count + new_count + 1):
            is_within = (
                cheap_count + cheap + 1 <= pool_state.cheap_share * total
            )
            cheap += may_be_cheap and is_within
        regular = max(0, new_count) - cheap
        return SizingDecision(start_regular=regular, start_cheap=cheap)

    def _shrink(self, endpoints, now_s: float) -> SizingDecision:
        """Stops the least loaded endpoint after a period of low load."""
        if self._low_since_s is None:
            self._low_since_s = now_s
        if now_s - self._low_since_s < SHRINK_DELAY_S:
            return SizingDecision()
        self._low_since_s = None
        least_loaded = min(endpoints, key=lambda e: (e.load, e.endpoint_id))
        return SizingDecision(stop=(least_loaded.endpoint_id,))


def _target_count(pool_state: PoolState, count: int) -> int:
    """Returns the number of endpoints for the load, within the limits.

    Args:
        pool_state: Observed endpoints and limits of the pool.
        count: Number of remaining and starting endpoints.
    """
    load = sum(endpoint.load for endpoint in pool_state.endpoints)
    # Those that are leaving may be of another size than the next ones.
    staying = [e for e in pool_state.endpoints if not e.is_leaving]
    capacity = max(
        (e.capacity for e in staying or pool_state.endpoints), default=1
    )
    target_capacity = capacity * pool_state.target_load
    target = (
        math.ceil(load / target_capacity)
        if target_capacity
        else pool_state.min_endpoints
    )
    # Hysteresis: keeps an endpoint while more than half of its target load
    # remains, so that the count doesn't oscillate between two values.
    if (
        target == count - 1
        and load > (target - _SHRINK_HYSTERESIS) * target_capacity
    ):
        target = count
    return min(pool_state.max_endpoints, max(pool_state.min_endpoints, target))
