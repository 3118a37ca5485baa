"""Leave to send a request to an endpoint that limits its rate.

Everything that is sent to an endpoint needs a permit: requests, second
attempts, items, reward calls, orders and reports. While the endpoint states no
limit, it is had at once.
"""

import abc
import dataclasses
import math
import time

from daisyhub.balancing._endpoint import EndpointEntry
from daisyhub.balancing._leaving import EndpointProcess
from daisyhub.balancing._permit_core import (
    Denial,
    Grant,
    PermitCore,
    Urgency,
)
from daisyhub.balancing._rate_limits import RateLimit, RateLimits

__all__ = ["LocalPermits", "Permit", "PermitSource"]

# Seconds after its start for which a permit may be used: the time to open a
# connection.
_PERMIT_TTL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Leave to send one request.

    Attributes:
        process: The process of the endpoint.
        start_at_s: Monotonic time before which it must not be sent.
        is_limited: Whether the endpoint limited its rate. A permit that is had
            without a limit ends once there is one.
    """

    process: EndpointProcess
    start_at_s: float = -math.inf
    is_limited: bool = False


class PermitSource(abc.ABC):
    """Gives permits, and learns limits from responses.

    Times are seconds on a monotonic clock.
    """

    @abc.abstractmethod
    def observe(
        self, entry: EndpointEntry, rate_limit: float | None, sent_at_s: float
    ) -> None:
        """Records what a response states about the endpoint's limit.

        Args:
            entry: The endpoint to which the request was sent.
            rate_limit: Requests a second that it accepts, infinite if it states
                no limit; None if the response says nothing about it.
            sent_at_s: When the request was sent.
        """

    @abc.abstractmethod
    async def acquire(
        self, entry: EndpointEntry, urgency: Urgency, max_wait_s: float = 0.0
    ) -> Permit | Denial:
        """Returns a permit for one request, or when to ask for one.

        Args:
            entry: The endpoint.
            urgency: Class of the request.
            max_wait_s: How far ahead the permit may start.
        """

    @abc.abstractmethod
    def may_send(self, permit: Permit) -> bool:
        """Whether a permit is in force now."""

    @abc.abstractmethod
    def is_limited(self, entry: EndpointEntry) -> bool:
        """Whether an endpoint limits its rate."""

    @abc.abstractmethod
    def without_room(self, urgency: Urgency) -> dict[str, float]:
        """Returns when endpoints have room, for those that have none now.

        Args:
            urgency: Class of the request.

        Returns:
            The time by the endpoint's id.
        """


class LocalPermits(PermitSource):
    """Permits of a daemon that decides for all endpoints itself."""

    def __init__(self):
        self._limits = RateLimits()
        self._core = PermitCore()
        # The last denial by the endpoint's id and the class of the request.
        self._room_at_s: dict[tuple[str, Urgency], float] = {}

    def observe(
        self, entry: EndpointEntry, rate_limit: float | None, sent_at_s: float
    ) -> None:
        """Records what a response states; see `PermitSource.observe`."""
        if rate_limit is None:
            return
        is_finite = rate_limit < math.inf
        valid_from_s = time.monotonic() if is_finite else sent_at_s
        limit = RateLimit(rate_limit, valid_from_s)
        if self._limits.record(entry.process, limit):
            self._forget_denials(entry.endpoint_id)
            self._on_change(entry.process, limit)

    def limited(self) -> dict[str, float]:
        """Returns the limits in force by the endpoint's id, for the status."""
        return {
            process.endpoint_id: limit.per_s
            for process, limit in self._limits.limited().items()
        }

    async def acquire(
        self, entry: EndpointEntry, urgency: Urgency, max_wait_s: float = 0.0
    ) -> Permit | Denial:
        """Returns a permit or a denial; see `PermitSource.acquire`."""
        process = entry.process
        limit = self._limits.get(process)
        if limit is None or not limit.is_finite:
            return Permit(process)
        decision = await self._decide(process, limit, urgency, max_wait_s)
        if not self._limits.is_limited(process):
            return Permit(process)
        if isinstance(decision, Denial):
            key = (entry.endpoint_id, urgency)
            self._room_at_s[key] = decision.room_at_s
            return decision
        return Permit(process, decision.start_at_s, is_limited=True)

    def may_send(self, permit: Permit) -> bool:
        """Whether a permit is in force; see `PermitSource.may_send`."""
        if not self._limits.is_limited(permit.process):
            return True
        if not permit.is_limited:
            return False
        return time.monotonic() <= permit.start_at_s + _PERMIT_TTL_S

    def is_limited(self, entry: EndpointEntry) -> bool:
        """Whether an endpoint limits its rate."""
        return self._limits.is_limited(entry.process)

    def without_room(self, urgency: Urgency) -> dict[str, float]:
        """Returns endpoints without room; see `PermitSource.without_room`."""
        if not self._room_at_s:
            return {}
        now_s = time.monotonic()
        for key, room_at_s in list(self._room_at_s.items()):
            if room_at_s <= now_s:
                del self._room_at_s[key]
        return {
            endpoint_id: room_at_s
            for (endpoint_id, asked), room_at_s in self._room_at_s.items()
            if asked is urgency
        }

    async def _decide(
        self,
        process: EndpointProcess,
        limit: RateLimit,
        urgency: Urgency,
        max_wait_s: float,
    ) -> Grant | Denial:
        """Decides about one request to a process that limits its rate."""
        return self._core.request(
            process, limit.per_s, urgency, max_wait_s, time.monotonic()
        )

    def _on_change(self, process: EndpointProcess, limit: RateLimit) -> None:
        """Called when a process became limited or is limited no more."""

    def _forget_denials(self, endpoint_id: str) -> None:
        for urgency in Urgency:
            self._room_at_s.pop((endpoint_id, urgency), None)
