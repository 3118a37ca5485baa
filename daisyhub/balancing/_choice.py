"""Ranks the endpoints that may get a request.

In most pools, a daemon ranks endpoints by what it measured itself, and takes
an endpoint to be busy when half of its slots are taken. In adaptive pools, the
measured capacity counts instead, which all daemons share.

Times are seconds on a monotonic clock.
"""

import dataclasses
import enum
import math
from collections.abc import Callable, Sequence

from daisyhub.balancing._capacity_core import CapacityCore, CapacitySample
from daisyhub.balancing._endpoint import (
    Endpoint,
    EndpointEntry,
    estimate_latency_ratio,
    queueing_factor,
)
from daisyhub.balancing._subset import order_endpoints
from daisyhub.settings import Address

__all__ = [
    "AdaptiveChoice",
    "ChoiceKey",
    "StandardChoice",
]

ChoiceKey = tuple[float, bool, float]

# What a new connection costs, in median latencies: a request on an open
# connection may take that much longer. Connecting takes both sides time, and an
# endpoint accepts a limited number of connections from all daemons. A daemon
# with few requests knows an endpoint's latency from a few samples only, of
# which one in a hundred is five times the median, so its estimate may be off by
# the first value. Load is known better: to a busy endpoint the second applies.
_NEW_CONNECTION_COST = 0.7
_NEW_CONNECTION_COST_IF_BUSY = 0.3
# Factor by which queueing lengthens requests from which on an endpoint is busy.
_BUSY_FACTOR = 1.2
# Factor per share of the limit by which a load above the limit counts more than
# one below it: an endpoint at its limit is used only if others are as slow.
_EXCESS_FACTOR = 3.0
# Expected latency up to which an endpoint of an adaptive pool is used, relative
# to that of a usual endpoint without load: kinds of machines differ by less,
# slow-downs by more. It isn't relative to the best endpoint: all daemons would
# move there as soon as it is found to be fast.
_MAX_RATING = 1.7
_USUAL_RATING = 1.0
# Expected latency up to which an endpoint of the subset is used because it has
# an open connection, which the preferred one lacks.
_MAX_STAND_IN_RATING = 1.5
# Seconds for which the order of preference is kept: capacities are published in
# steps, and daemons join and leave rarely.
_ORDER_TTL_S = 2.0


class _Tier(enum.IntEnum):
    """Order in which plain endpoints are used.

    Among crowded or slow ones, the expected latency decides.
    """

    PREFERRED = 0
    CONNECTED = 1
    UNCONNECTED = 2
    SUBSET = 3
    OTHER = 4
    CROWDED = 5


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    """A daemon's preference among endpoints.

    Attributes:
        places: Place of each endpoint, from 0.
        subset_size: Number of the first endpoints that form its subset.
    """

    places: dict[str, int]
    subset_size: int

    def tier(self, place: int, rating: float, *, is_connected: bool) -> _Tier:
        """Returns the tier of an endpoint that is neither crowded nor slow.

        An endpoint of the subset with an open connection comes before the
        preferred one without, as long as it has room.
        """
        if place == 0:
            return _Tier.PREFERRED if is_connected else _Tier.UNCONNECTED
        if place >= self.subset_size:
            return _Tier.OTHER
        has_room = rating <= _MAX_STAND_IN_RATING
        return _Tier.CONNECTED if is_connected and has_room else _Tier.SUBSET


class StandardChoice:
    """Ranks endpoints by this daemon's own latencies.

    Args:
        tie_break: See `EndpointDirectory`.
        has_connection: See `EndpointDirectory`.
    """

    def __init__(
        self,
        tie_break: Callable[[str], float],
        has_connection: Callable[[Address], bool],
    ):
        self._tie_break = tie_break
        self._has_connection = has_connection

    def key(self, endpoint: Endpoint, now_s: float) -> ChoiceKey:
        """Returns a sort key; the endpoint with the lowest one is chosen."""
        ratio = estimate_latency_ratio(endpoint, now_s)
        is_connected = self._has_connection(endpoint.entry.address)
        if is_connected:
            is_busy = queueing_factor(endpoint, now_s) > _BUSY_FACTOR
            ratio -= (
                _NEW_CONNECTION_COST_IF_BUSY
                if is_busy
                else _NEW_CONNECTION_COST
            )
        return (
            ratio,
            not is_connected,
            self._tie_break(endpoint.entry.endpoint_id),
        )


class AdaptiveChoice:
    """Ranks endpoints of adaptive pools by their measured capacity.

    Args:
        core: Estimates limits and slowdowns.
        is_adaptive: Whether a pool is adaptive.
        daemon_id: Id of this daemon.
        list_daemons: Returns the ids of the live daemons.
        has_connection: Whether an idle connection to an address is open.
        is_cold: Whether an endpoint is cold; its service times say nothing
            about its capacity.
    """

    def __init__(
        self,
        core: CapacityCore,
        is_adaptive: Callable[[str], bool],
        daemon_id: str,
        list_daemons: Callable[[], Sequence[str]],
        has_connection: Callable[[Address], bool] = lambda _: False,
        is_cold: Callable[[EndpointEntry], bool] = lambda _: False,
    ):
        self._core = core
        self._is_adaptive = is_adaptive
        self._daemon_id = daemon_id
        self._list_daemons = list_daemons
        self._has_connection = has_connection
        self._is_cold = is_cold
        # The order of preference of each set of pools, and until when it is
        # used.
        self._orders: dict[frozenset[str], tuple[_Order, float]] = {}

    def applies_to(self, endpoints: list[Endpoint]) -> bool:
        """Whether all of some endpoints are in adaptive pools."""
        return all(self._is_adaptive(e.entry.pool) for e in endpoints)

    def best(
        self, candidates: list[Endpoint], listed: list[Endpoint], now_s: float
    ) -> Endpoint:
        """Returns the endpoint that a request is sent to.

        Of plain endpoints, that is the one that this daemon prefers; see
        `order_endpoints`. A change of an estimate moves only some of the
        daemons. A crowded or slow endpoint is left for the others of the
        daemon's subset, and these for the rest; see `_Tier`. Of engines, it is
        the one with the lowest expected latency.

        Args:
            candidates: The endpoints to choose from.
            listed: All endpoints of their pools.
            now_s: Current time.
        """
        order = self._order(listed, now_s)
        ratings = {
            e.entry.endpoint_id: self._rate(e, now_s) for e in candidates
        }
        bound = _MAX_RATING * max(_USUAL_RATING, min(ratings.values()))

        def key(endpoint: Endpoint) -> tuple[float, bool, int]:
            rating = ratings[endpoint.entry.endpoint_id]
            place = order.places.get(
                endpoint.entry.endpoint_id, len(order.places)
            )
            is_connected = self._has_connection(endpoint.entry.address)
            if endpoint.entry.versions:
                return (round(rating, 1), not is_connected, place)
            if rating > bound:
                return (rating + _Tier.CROWDED, not is_connected, place)
            tier = order.tier(place, rating, is_connected=is_connected)
            return (tier, not is_connected, place)

        return min(candidates, key=key)

    def _rate(self, endpoint: Endpoint, now_s: float) -> float:
        """Returns the expected latency of a request, relative to others."""
        limit, slowdown = self._capacity(endpoint.entry, now_s)
        return slowdown * _crowding_factor(endpoint.load(now_s) + 1, limit)

    def _order(self, listed: list[Endpoint], now_s: float) -> "_Order":
        """Returns this daemon's preference among the endpoints of pools."""
        pools = frozenset(e.entry.pool for e in listed)
        order, until_s = self._orders.get(pools, (None, -math.inf))
        if now_s < until_s:
            return order
        domains = {e.entry.endpoint_id: e.entry.domain for e in listed}
        capacities = {}
        for endpoint in listed:
            limit, slowdown = self._capacity(endpoint.entry, now_s)
            capacities[endpoint.entry.endpoint_id] = limit / slowdown
        names = order_endpoints(
            self._daemon_id, self._list_daemons(), domains, capacities
        )
        order = _Order(
            {name: place for place, name in enumerate(names)},
            len(set(domains.values())),
        )
        self._orders[pools] = (order, now_s + _ORDER_TTL_S)
        return order

    def _capacity(
        self, entry: EndpointEntry, now_s: float
    ) -> tuple[float, float]:
        limit = min(self._core.limit(entry.endpoint_id, now_s), entry.slots)
        return limit, self._core.slowdown(entry.endpoint_id, now_s)

    def observe_response(
        self, endpoint: Endpoint, route: str, latency_s: float, now_s: float
    ) -> None:
        """Adds the latency of a buffered response as a sample."""
        self._observe(endpoint, route, latency_s, now_s, is_lower_bound=False)

    def observe_abandoned(
        self, endpoint: Endpoint, route: str, elapsed_s: float, now_s: float
    ) -> None:
        """Adds a request that was cancelled before its response."""
        self._observe(endpoint, route, elapsed_s, now_s, is_lower_bound=True)

    def observe_pace(
        self, endpoint: Endpoint, pace: float, now_s: float
    ) -> None:
        """Adds a pace that an endpoint stated."""
        if self._may_observe(endpoint.entry):
            self._core.observe(
                endpoint.entry.endpoint_id, CapacitySample(pace=pace), now_s
            )

    def _observe(
        self,
        endpoint: Endpoint,
        route: str,
        service_s: float,
        now_s: float,
        *,
        is_lower_bound: bool,
    ) -> None:
        entry = endpoint.entry
        # Of engines, the events of streams are measured instead.
        if entry.versions or not self._may_observe(entry):
            return
        sample = CapacitySample(
            kind=route,
            service_s=service_s,
            concurrency=max(1, endpoint.load(now_s)),
            is_lower_bound=is_lower_bound,
        )
        self._core.observe(entry.endpoint_id, sample, now_s)

    def _may_observe(self, entry: EndpointEntry) -> bool:
        return (
            self._is_adaptive(entry.pool)
            and not entry.is_leaving
            and not self._is_cold(entry)
        )


def _crowding_factor(load: float, limit: float) -> float:
    """Estimates by what factor other requests lengthen a further one.

    Args:
        load: Requests at the endpoint, the further one included.
        limit: Requests that it sustains.
    """
    queueing = max(0.0, load - limit / 2) / limit
    excess = max(0.0, load - limit) / limit
    return 1 + queueing + _EXCESS_FACTOR * excess
