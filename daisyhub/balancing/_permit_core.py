"""Paces the requests of all daemons to endpoints that limit their rate.

One daemon at a time decides for an endpoint, so that the sum over all daemons
keeps to the limit however many there are. Requests are paced by the generic
cell rate algorithm: each takes one interval of the endpoint's time, and a
request may be granted ahead of time if its sender is willing to wait.

Two classes of requests share an endpoint: urgent ones, for which somebody
waits, and patient ones, such as items and reward calls. While a class is denied
permits, the other one is held to its share, so that neither starves the other;
what one class doesn't use, the other one may.

Times are seconds on a monotonic clock.
"""

import dataclasses
import enum
import math

from daisyhub.balancing._leaving import EndpointProcess
from daisyhub.balancing._slot_grid import SlotGrid

__all__ = ["Denial", "Grant", "PermitCore", "Urgency"]


class Urgency(enum.Enum):
    """How urgent a request is."""

    URGENT = "urgent"
    PATIENT = "patient"


# Share of the rate that each class has while the other one is denied permits.
_SHARES = {Urgency.URGENT: 0.75, Urgency.PATIENT: 0.25}
_OTHER = {
    Urgency.URGENT: Urgency.PATIENT,
    Urgency.PATIENT: Urgency.URGENT,
}
# Intervals of its share for which a class counts as denied after a denial: it
# asks again once there is room.
_DENIED_INTERVALS = 2.0
# Requests a second that are sent to an endpoint with a lower limit, even 0.
# Only a response tells that the limit has changed.
_MIN_RATE_PER_S = 0.25
# Seconds of the rate that may be used at once after a pause.
_BURST_S = 0.25
# Seconds for which nothing is granted at an endpoint with strict pace that this
# daemon didn't pace strictly before: requests that others granted, or that were
# sent without a permit, may have arrived until then.
_STRICT_START_S = 1.0
# Seconds for which any request waits for the next slot at an endpoint with
# strict pace; requests that don't wait would hardly ever meet one.
_MAX_SLOT_WAIT_S = 0.25
# Seconds within which rejected callers are told to return, one an interval.
_MAX_RETURN_SPREAD_S = 4.0
# Seconds without a request after which the state of an endpoint is dropped.
_IDLE_TTL_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """One request may be sent.

    Attributes:
        start_at_s: Not before this time.
    """

    start_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """No request may be sent for now.

    Attributes:
        room_at_s: When a request can be granted.
    """

    room_at_s: float


@dataclasses.dataclass(slots=True)
class _Pace:
    """The pace of some requests at one endpoint.

    Attributes:
        rate_per_s: Rate with which `next_s` was last set.
        next_s: Theoretical arrival time of the next request.
        burst_s: Seconds of the rate that may be used at once.
    """

    rate_per_s: float
    next_s: float = -math.inf
    burst_s: float = _BURST_S

    @property
    def interval_s(self) -> float:
        """Seconds between two requests."""
        return 1 / self.rate_per_s

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Changes the rate; what is granted ahead takes its time at it."""
        if self.next_s > now_s:
            ahead_s = self.next_s - now_s
            self.next_s = now_s + ahead_s * self.rate_per_s / rate_per_s
        self.rate_per_s = rate_per_s

    def earliest_s(self, now_s: float) -> float:
        """Returns when a further request may be sent."""
        return max(now_s, self.next_s - self.burst_s)

    def add(self, now_s: float) -> None:
        """Counts a granted request."""
        self.next_s = max(self.next_s, now_s) + self.interval_s


@dataclasses.dataclass(slots=True)
class _Endpoint:
    """The requests to one endpoint.

    Attributes:
        total: Pace of all requests.
        classes: Pace of each class at its share of the rate.
        denied_until_s: Until when a class counts as denied.
        return_at_s: When the last rejected caller was told to return.
        asked_at_s: When a permit was last asked for.
        grid: The slots of requests, if no second may have more than the rate.
    """

    total: _Pace
    classes: dict[Urgency, _Pace]
    denied_until_s: dict[Urgency, float]
    return_at_s: float = -math.inf
    asked_at_s: float = -math.inf
    grid: SlotGrid | None = None

    def set_strict(self, is_strict: bool, now_s: float) -> None:
        """Changes whether bursts are allowed; follows a changed rate."""
        rate_per_s = self.total.rate_per_s
        if self.grid is not None and is_strict:
            if rate_per_s != self.grid.rate_per_s:
                self.grid = self.grid.resume(rate_per_s, now_s)
            return
        if is_strict == (self.grid is not None):
            return
        burst_s = 0.0 if is_strict else _BURST_S
        for pace in (self.total, *self.classes.values()):
            pace.burst_s = burst_s
            # Permits of the usual pace that weren't used are withdrawn.
            pace.next_s = min(pace.next_s, now_s + _STRICT_START_S)
        from_s = now_s + _STRICT_START_S
        self.grid = SlotGrid(rate_per_s, from_s) if is_strict else None

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Changes the rate of all paces."""
        if rate_per_s == self.total.rate_per_s:
            return
        self.total.set_rate(rate_per_s, now_s)
        for urgency, pace in self.classes.items():
            pace.set_rate(_SHARES[urgency] * rate_per_s, now_s)

    def earliest_s(self, urgency: Urgency, now_s: float) -> float:
        """Returns when a further request of a class may be sent."""
        earliest_s = now_s if self.grid else self.total.earliest_s(now_s)
        if now_s < self.denied_until_s[_OTHER[urgency]]:
            own_s = self.classes[urgency].earliest_s(now_s)
            earliest_s = max(earliest_s, own_s)
        return self.grid.earliest_s(earliest_s) if self.grid else earliest_s

    def add(self, urgency: Urgency, start_at_s: float, now_s: float) -> None:
        """Counts a granted request."""
        self.total.add(now_s)
        if self.grid is not None:
            self.grid.take(start_at_s, now_s)
        pace = self.classes[urgency]
        pace.add(now_s)
        # What it used beyond its share while the other class didn't need it
        # isn't held against it.
        latest_s = start_at_s + pace.interval_s + pace.burst_s
        pace.next_s = min(pace.next_s, latest_s)

    def deny(self, urgency: Urgency, now_s: float) -> None:
        """Counts a denied request."""
        pace = self.classes[urgency]
        self.denied_until_s[urgency] = (
            now_s + _DENIED_INTERVALS * pace.interval_s
        )


class PermitCore:
    """Grants requests to the endpoints for which this daemon decides."""

    def __init__(self):
        self._endpoints: dict[EndpointProcess, _Endpoint] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def request(
        self,
        process: EndpointProcess,
        rate_per_s: float,
        urgency: Urgency,
        max_wait_s: float,
        now_s: float,
        *,
        is_strict: bool = False,
    ) -> Grant | Denial:
        """Grants or denies one request.

        Args:
            process: The endpoint's process.
            rate_per_s: Requests a second that it accepts.
            urgency: Class of the request.
            max_wait_s: How long its sender would wait before sending it. A
                sender that won't wait has other endpoints to ask; one that
                would is rejected by a denial, and is told when to return.
            now_s: Current time.
            is_strict: Whether no second may have more requests than the rate,
                the first second included. A request may then have to wait for
                its slot in any case.
        """
        rate_per_s = max(rate_per_s, _MIN_RATE_PER_S)
        endpoint = self._endpoints.get(process)
        if endpoint is None:
            self._drop_idle(now_s)
            endpoint = self._endpoints[process] = _make_endpoint(rate_per_s)
        endpoint.asked_at_s = now_s
        endpoint.set_rate(rate_per_s, now_s)
        endpoint.set_strict(is_strict, now_s)
        start_at_s = endpoint.earliest_s(urgency, now_s)
        patience_s = max_wait_s
        if endpoint.grid is not None:
            slot_s = endpoint.total.interval_s
            patience_s = max(max_wait_s, min(slot_s, _MAX_SLOT_WAIT_S))
        if start_at_s - now_s <= patience_s:
            endpoint.add(urgency, start_at_s, now_s)
            return Grant(start_at_s)
        endpoint.deny(urgency, now_s)
        if not max_wait_s:
            return Denial(start_at_s)
        endpoint.return_at_s = min(
            max(start_at_s, endpoint.return_at_s + endpoint.total.interval_s),
            start_at_s + _MAX_RETURN_SPREAD_S,
        )
        return Denial(endpoint.return_at_s)

    def restart_strict(self, process: EndpointProcess) -> None:
        """Has strict pace at an endpoint begin anew, after a time without it.

        Requests that were sent without permits meanwhile may still arrive.
        """
        endpoint = self._endpoints.get(process)
        if endpoint is not None:
            endpoint.grid = None

    def _drop_idle(self, now_s: float) -> None:
        """Drops the state of endpoints that nobody asked for lately."""
        self._endpoints = {
            process: endpoint
            for process, endpoint in self._endpoints.items()
            if now_s - endpoint.asked_at_s < _IDLE_TTL_S
        }


def _make_endpoint(rate_per_s: float) -> _Endpoint:
    return _Endpoint(
        total=_Pace(rate_per_s),
        classes={u: _Pace(_SHARES[u] * rate_per_s) for u in Urgency},
        denied_until_s=dict.fromkeys(Urgency, -math.inf),
    )
