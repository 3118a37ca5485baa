"""Leave to send a request to an endpoint that limits its rate.

Everything that is sent to an endpoint needs a permit: requests, second
attempts, items, reward calls, orders and reports. While the endpoint states no
limit and isn't cold, it is had at once.
"""

import abc
import dataclasses
import math
import time

from daisyhub.balancing._cold_core import BecameCold
from daisyhub.balancing._coldness import Coldness
from daisyhub.balancing._endpoint import EndpointEntry
from daisyhub.balancing._leaving import EndpointProcess
from daisyhub.balancing._permit_core import (
    Denial,
    Grant,
    PermitCore,
    Urgency,
)
from daisyhub.balancing._rate_limits import RateLimit, RateLimits

__all__ = ["Bound", "LocalPermits", "Permit", "PermitSource"]

# Seconds after its start for which a permit may be used: the time to open a
# connection.
_PERMIT_TTL_S = 0.5
# The same at a cold endpoint, where permits of half a second that are used at
# once would exceed the rate of a second by half.
_COLD_PERMIT_TTL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """What is accepted by a process now.

    Attributes:
        per_s: Requests a second from all daemons together; infinite if they
            aren't limited.
        is_cold: Whether the process is cold, so that the rate holds in any
            second.
    """

    per_s: float
    is_cold: bool

    @property
    def is_finite(self) -> bool:
        """Whether requests are limited."""
        return self.per_s < math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Leave to send one request.

    Attributes:
        process: The process of the endpoint.
        start_at_s: Monotonic time before which it must not be sent.
        is_limited: Whether the endpoint limited its rate. A permit that is had
            without a limit ends once there is one.
        is_cold: Whether the endpoint was cold. Other permits end once it is.
    """

    process: EndpointProcess
    start_at_s: float = -math.inf
    is_limited: bool = False
    is_cold: bool = False


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
    def observe_cold(
        self, entry: EndpointEntry, left_s: float | None, sent_at_s: float
    ) -> None:
        """Records what a response states about how long it stays cold.

        Args:
            entry: The endpoint to which the request was sent.
            left_s: Seconds for which it stays cold; None if the response says
                nothing about it.
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
        """Whether an endpoint limits its rate or is cold."""

    @abc.abstractmethod
    def has_cold(self) -> bool:
        """Whether any endpoint may be cold."""

    @abc.abstractmethod
    def is_cold(self, entry: EndpointEntry) -> bool:
        """Whether an endpoint is cold."""

    @abc.abstractmethod
    def without_room(self, urgency: Urgency) -> dict[str, float]:
        """Returns when endpoints have room, for those that have none now.

        Args:
            urgency: Class of the request.

        Returns:
            The time by the endpoint's id.
        """


class LocalPermits(PermitSource):
    """Permits of a daemon that decides for all endpoints itself.

    Args:
        coldness: Tells which endpoints are cold; by default none.
    """

    def __init__(self, coldness: Coldness | None = None):
        self._coldness = coldness or Coldness()
        self._limits = RateLimits()
        self._core = PermitCore()
        # The last denial by the endpoint's process and the class of the
        # request.
        self._room_at_s: dict[tuple[EndpointProcess, Urgency], float] = {}

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
            self._forget_denials(entry.process)
            self._on_change(entry.process, limit)

    def observe_entry(self, entry: EndpointEntry) -> None:
        """Records a new or changed entry, which may be cold."""
        began = self._coldness.observe_entry(entry)
        if began is not None:
            self._core.restart_strict(began.process)
            self._on_cold(began, is_listed=True)

    def observe_cold(
        self, entry: EndpointEntry, left_s: float | None, sent_at_s: float
    ) -> None:
        """Records what a response states; see `PermitSource`."""
        if left_s is None:
            return
        began = self._coldness.observe_response(entry, left_s, sent_at_s)
        if began is not None:
            self._core.restart_strict(began.process)
            self._on_cold(began, is_listed=False)

    def cold(self) -> dict[str, float]:
        """Returns for how long endpoints stay cold, for the status."""
        return self._coldness.status()

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
        bound = self._bound(process)
        if not bound.is_finite:
            return Permit(process)
        decision = await self._decide(process, bound, urgency, max_wait_s)
        if not self._bound(process).is_finite:
            return Permit(process)
        if isinstance(decision, Denial):
            self._room_at_s[process, urgency] = decision.room_at_s
            return decision
        return Permit(
            process,
            decision.start_at_s,
            is_limited=True,
            is_cold=bound.is_cold,
        )

    def may_send(self, permit: Permit) -> bool:
        """Whether a permit is in force; see `PermitSource.may_send`."""
        bound = self._bound(permit.process)
        if not bound.is_finite:
            return True
        if not permit.is_limited or (bound.is_cold and not permit.is_cold):
            return False
        ttl_s = _COLD_PERMIT_TTL_S if bound.is_cold else _PERMIT_TTL_S
        return time.monotonic() <= permit.start_at_s + ttl_s

    def is_limited(self, entry: EndpointEntry) -> bool:
        """Whether an endpoint limits its rate or is cold."""
        return self._bound(entry.process).is_finite

    def has_cold(self) -> bool:
        """Whether any endpoint may be cold."""
        return self._coldness.has_cold()

    def is_cold(self, entry: EndpointEntry) -> bool:
        """Whether an endpoint is cold."""
        return self._coldness.is_cold(entry.process)

    def _bound(self, process: EndpointProcess) -> Bound:
        """Returns the lower of the stated limit and the rate while cold."""
        stated = self._limits.get(process)
        cold_per_s = math.inf
        if self._coldness.has_cold():
            cold_per_s = self._coldness.per_s(process)
        per_s = min(stated.per_s if stated else math.inf, cold_per_s)
        return Bound(per_s, cold_per_s < math.inf)

    def without_room(self, urgency: Urgency) -> dict[str, float]:
        """Returns endpoints without room; see `PermitSource.without_room`."""
        if not self._room_at_s:
            return {}
        now_s = time.monotonic()
        for key, room_at_s in list(self._room_at_s.items()):
            # Coldness ends without a message.
            if room_at_s <= now_s or not self._bound(key[0]).is_finite:
                del self._room_at_s[key]
        return {
            process.endpoint_id: room_at_s
            for (process, asked), room_at_s in self._room_at_s.items()
            if asked is urgency
        }

    async def _decide(
        self,
        process: EndpointProcess,
        bound: Bound,
        urgency: Urgency,
        max_wait_s: float,
    ) -> Grant | Denial:
        """Decides about one request to a process that limits its rate."""
        return self._core.request(
            process,
            bound.per_s,
            urgency,
            max_wait_s,
            time.monotonic(),
            is_strict=bound.is_cold,
        )

    def _on_cold(self, began: BecameCold, *, is_listed: bool) -> None:
        """Called when a process became cold.

        Args:
            began: What became cold.
            is_listed: Whether its entry told it, not a response.
        """

    def _on_change(self, process: EndpointProcess, limit: RateLimit) -> None:
        """Called when a process became limited or is limited no more."""

    def _forget_denials(self, process: EndpointProcess) -> None:
        for urgency in Urgency:
            self._room_at_s.pop((process, urgency), None)
