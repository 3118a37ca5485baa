"""An endpoint, its statistics in this daemon, and ratings by them."""

import dataclasses
import math

from daisyhub.balancing._leaving import EndpointProcess
from daisyhub.balancing._releases import Release
from daisyhub.settings import Address

__all__ = [
    "Endpoint",
    "EndpointEntry",
    "OpenRequest",
    "estimate_latency_ratio",
    "is_suspect",
    "queueing_factor",
]

# Half-life with which a latency ratio decays to 1, so that a slow endpoint is
# tried again; several times shorter than a typical slow-down.
_LATENCY_RATIO_HALF_LIFE_S = 3.0
# Time for which a reported load is used.
_REPORTED_LOAD_TTL_S = 1.0
# Back-off of an endpoint after a failure, doubled with each further failure up
# to the maximum. Both bounds lie between the typical time to restart a process
# and the time until the entry of a crashed endpoint expires.
_INITIAL_BACKOFF_S = 0.3
_MAX_BACKOFF_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointEntry:
    """An endpoint's entry in the platform's store.

    Attributes:
        endpoint_id: Its id; may be the same after a restart.
        pool: The pool that it belongs to.
        address: Where it listens.
        domain: Its failure domain.
        incarnation: Start time of its process, milliseconds since 1970; 0 if
            unknown.
        slots: Number of requests that it serves concurrently.
        is_leaving: Whether it accepts no new requests.
        is_cheap: Whether the platform may reclaim it (spot capacity).
        versions: Version of the weights by model.
        software: Version of its software; empty if unknown.
        cold_left_s: Seconds for which it stays cold, as of the entry.
    """

    endpoint_id: str
    pool: str
    address: Address
    domain: str
    incarnation: int = 0
    slots: int = 1
    is_leaving: bool = False
    is_cheap: bool = False
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    software: str = ""
    cold_left_s: float = 0.0

    @property
    def release(self) -> Release | None:
        """Its release; None if the version of its software is unknown."""
        return Release(self.pool, self.software) if self.software else None

    @property
    def process(self) -> EndpointProcess:
        """The process that the entry describes."""
        return EndpointProcess(self.endpoint_id, self.incarnation, self.address)


@dataclasses.dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request that was sent to an endpoint and has not ended.

    Attributes:
        route: Name of its route.
        sent_s: When it was sent.
        silence_timeout_s: Time without any response after which its endpoint
            counts as silent; infinite while the route's latency is unknown.
        is_queued: Whether all slots of its endpoint seemed to be taken.
    """

    route: str
    sent_s: float
    silence_timeout_s: float
    is_queued: bool = False


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An endpoint and its statistics in this daemon.

    Attributes:
        entry: The newest entry; leaving if the endpoint announced it, whatever
            the list shows.
        open_requests: Open requests of this daemon by token.
        latency_ratio: Moving average of its latency divided by the route's
            median latency.
        latency_ratio_at_s: When `latency_ratio` was last updated.
        reported_load: Open requests of all daemons, as it last reported.
        load_reported_at_s: When it reported them.
        pace: How long work takes on its machine, relative to the usual time,
            as it last stated; 1 if it never did.
        pace_at_s: When it stated that.
        failures: Consecutive failures.
        backoff_until_s: Time until which other endpoints are preferred.
        last_received_at_s: When a response or report last arrived.
        absent_since_s: When its entry disappeared while the store was
            unavailable; None if it is listed.
    """

    entry: EndpointEntry
    open_requests: dict[int, OpenRequest] = dataclasses.field(
        default_factory=dict
    )
    latency_ratio: float = 1.0
    latency_ratio_at_s: float = -math.inf
    reported_load: int = 0
    load_reported_at_s: float = -math.inf
    pace: float = 1.0
    pace_at_s: float = -math.inf
    failures: int = 0
    backoff_until_s: float = -math.inf
    last_received_at_s: float = -math.inf
    absent_since_s: float | None = None

    def load(self, now_s: float) -> int:
        """Returns its estimated number of open requests, of all daemons."""
        if now_s - self.load_reported_at_s > _REPORTED_LOAD_TTL_S:
            return len(self.open_requests)
        return max(len(self.open_requests), self.reported_load)

    def has_free_slot(self, now_s: float) -> bool:
        """Whether it stated lately that no request waits there."""
        is_known = now_s - self.load_reported_at_s <= _REPORTED_LOAD_TTL_S
        return is_known and self.load(now_s) <= self.entry.slots

    def current_pace(self, now_s: float) -> float:
        """Returns its pace; 1 if it didn't state one lately."""
        age_s = now_s - self.pace_at_s
        return self.pace if age_s <= _REPORTED_LOAD_TTL_S else 1.0

    def expected_latency_ratio(self, now_s: float) -> float:
        """Returns the latency ratio, decayed towards 1 by its age."""
        age_s = now_s - self.latency_ratio_at_s
        weight = 0.5 ** (age_s / _LATENCY_RATIO_HALF_LIFE_S)
        return weight * self.latency_ratio + (1 - weight)

    def is_silent(self, now_s: float) -> bool:
        """Whether an open request exceeds its silence timeout."""
        return any(
            now_s - max(req.sent_s, self.last_received_at_s)
            > req.silence_timeout_s
            for req in self.open_requests.values()
        )

    def start_backoff(self, now_s: float) -> None:
        """Counts a failure, after which other endpoints are preferred."""
        self.failures += 1
        backoff_s = _INITIAL_BACKOFF_S * 2 ** (self.failures - 1)
        self.backoff_until_s = now_s + min(backoff_s, _MAX_BACKOFF_S)


def estimate_latency_ratio(endpoint: Endpoint, now_s: float) -> float:
    """Estimates the latency of a further request, queueing included.

    The estimate is relative to the route's median and rounded to one decimal:
    near-equal endpoints tie, and the other criteria decide.
    """
    ratio = endpoint.expected_latency_ratio(now_s)
    return round(ratio * queueing_factor(endpoint, now_s), 1)


def queueing_factor(endpoint: Endpoint, now_s: float) -> float:
    """Estimates by what factor queueing lengthens a further request.

    Requests are assumed to queue once half of the slots are taken, since other
    daemons send to the endpoint as well.
    """
    load = endpoint.load(now_s) + 1
    slots = max(1, endpoint.entry.slots)
    return 1 + max(0.0, load - slots / 2) / slots


def is_suspect(endpoint: Endpoint, now_s: float) -> bool:
    """Whether an endpoint is in back-off, absent or silent."""
    if now_s < endpoint.backoff_until_s or endpoint.absent_since_s is not None:
        return True
    return endpoint.is_silent(now_s)
