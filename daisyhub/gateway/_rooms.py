"""Which endpoints have room, if some of them limit their rate."""

import math
import time
from collections.abc import Set

from daisyhub.balancing import (
    EndpointDirectory,
    PermitSource,
    Urgency,
    is_suspect,
)

__all__ = ["RoomView"]

Pools = tuple[str, ...]


class RoomView:
    """Combines the endpoints of pools with what permits were denied.

    Times are seconds on a monotonic clock.

    Args:
        directory: Known endpoints and their loads.
        permits: Permits for endpoints that limit their rate.
    """

    def __init__(self, directory: EndpointDirectory, permits: PermitSource):
        self._directory = directory
        self._permits = permits

    def passed_over(
        self, urgency: Urgency, pools: Pools, excluded: Set[str] = frozenset()
    ) -> set[str]:
        """Returns the endpoints that a request must not add to now.

        Those that limit their rate and have no room. Meanwhile the others of
        the pool get more: patient requests don't queue there, so that urgent
        ones are still served. Also cold ones while a warm one has a free slot.

        Args:
            urgency: Class of the request.
            pools: Names of the pools to choose from.
            excluded: Ids of endpoints that can't be chosen anyway.
        """
        rooms = self._without_room(urgency, pools)
        cold = self._spared_cold(pools, excluded | rooms.keys())
        if not rooms or urgency is Urgency.URGENT:
            return cold | rooms.keys()
        now_s = time.monotonic()
        busy = {
            endpoint.entry.endpoint_id
            for endpoint in self._directory.in_pools(pools)
            if endpoint.load(now_s) >= endpoint.entry.slots
        }
        return busy | cold | rooms.keys()

    def _spared_cold(self, pools: Pools, excluded: Set[str]) -> set[str]:
        """Returns the cold endpoints, while a warm one can serve instead."""
        if not self._permits.has_cold():
            return set()
        endpoints = self._directory.in_pools(pools)
        cold = {
            endpoint.entry.endpoint_id
            for endpoint in endpoints
            if self._permits.is_cold(endpoint.entry)
        }
        if not cold:
            return cold
        now_s = time.monotonic()
        has_warm = any(
            endpoint.entry.endpoint_id not in excluded | cold
            and endpoint.load(now_s) < endpoint.entry.slots
            and not is_suspect(endpoint, now_s)
            for endpoint in endpoints
        )
        return cold if has_warm else set()

    def limited(self, urgency: Urgency, pools: Pools) -> dict[str, float]:
        """Returns when the endpoints that limit their rate have room, by id.

        Without a known time, which is minus infinity, an endpoint may have
        limited its rate while a request was on its way.
        """
        rooms = self._permits.without_room(urgency)
        return {
            endpoint.entry.endpoint_id: rooms.get(
                endpoint.entry.endpoint_id, -math.inf
            )
            for endpoint in self._directory.in_pools(pools)
            if self._permits.is_limited(endpoint.entry)
        }

    def next_in_s(self, urgency: Urgency, pools: Pools) -> float | None:
        """Returns the seconds until an endpoint without room has some.

        None if no endpoint is without room.
        """
        rooms = self._without_room(urgency, pools)
        if not rooms:
            return None
        return max(0.0, min(rooms.values()) - time.monotonic())

    def _without_room(self, urgency: Urgency, pools: Pools) -> dict[str, float]:
        rooms = self._permits.without_room(urgency)
        if not rooms:
            return {}
        ids = {e.entry.endpoint_id for e in self._directory.in_pools(pools)}
        return {e: at_s for e, at_s in rooms.items() if e in ids}
