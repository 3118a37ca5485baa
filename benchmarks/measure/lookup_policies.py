"""Policies and figures of look-ups, and a baseline for admission."""

import dataclasses
from collections.abc import Sequence
from typing import Literal

from daisyhub.balancing import EndpointState
from daisyhub.exceptions import ErrorCode
from daisyhub.filters import (
    AdmitRequest,
    ConcurrencyLimitChanged,
    RequestArrived,
    ShedRequest,
)

__all__ = [
    "MAX_CONCURRENCY_LIMIT",
    "FirstComeFirstServed",
    "LookupPolicy",
    "LookupResult",
    "prefer_regular",
]

MAX_CONCURRENCY_LIMIT = 512  # Default of the setting `concurrent_requests`.


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LookupPolicy:
    """Options of a look-up simulation.

    Attributes:
        name: Name in the table.
        is_limit_adaptive: Whether a daemon's concurrency limit follows the
            capacity that endpoints report, instead of being constantly
            `MAX_CONCURRENCY_LIMIT`.
        is_fair: Whether admission uses fair queueing instead of first come
            first served.
        is_least_loaded: Whether balancing chooses the less loaded of two
            endpoints instead of round robin.
        is_hedged: Whether idempotent requests are hedged.
        is_site_wide: Whether daemons also use servers of other domains.
        is_regular_first: Whether requests that may run only once prefer
            regular servers to cheap ones.
        extra: Kind of the additional server in each domain: `none`, `cheap`
            (may be reclaimed) or `dear` (regular price, never reclaimed).
    """

    name: str
    is_limit_adaptive: bool = True
    is_fair: bool = True
    is_least_loaded: bool = True
    is_hedged: bool = True
    is_site_wide: bool = False
    is_regular_first: bool = False
    extra: Literal["none", "cheap", "dear"] = "none"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LookupResult:
    """Figures of one run.

    `worst_` figures are those of the worst-served account, except for the
    account that bursts and so exceeds its share; `any_refused` includes that
    account. Both refused shares are of the account's requests and count each
    request without a response, for any reason. Other shares are of all
    requests.

    Attributes:
        worst_p99_s: 99th percentile of the latency of answered requests.
        worst_refused: Share of requests without a response.
        any_refused: Highest share of requests without a response.
        failed: Share of requests without a response.
        price: Price of the servers' busy time per answered request, in seconds
            of a regular server.
        cheap_share: Share of requests that cheap servers answered.
        unknown: Share of requests that failed without it being known whether
            they ran.
    """

    worst_p99_s: float
    worst_refused: float
    any_refused: float
    failed: float
    price: float
    cheap_share: float
    unknown: float


class FirstComeFirstServed:
    """Admission baseline: one queue with the same bound as `AdmissionCore`."""

    def __init__(self, concurrency_limit: int):
        self.concurrency_limit = concurrency_limit
        self._in_service: set[str] = set()
        self._queue: list[RequestArrived] = []

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles the events of `AdmissionCore` except its ticks."""
        if isinstance(event, ConcurrencyLimitChanged):
            self.concurrency_limit = event.concurrency_limit
        elif isinstance(event, RequestArrived):
            if len(self._queue) >= 2 * self.concurrency_limit:
                return [
                    ShedRequest(event.request_id, ErrorCode.OVERLOADED, 1.0)
                ]
            self._queue.append(event)
        else:
            self._in_service.discard(event.request_id)
        actions = []
        while self._queue and len(self._in_service) < self.concurrency_limit:
            request = self._queue.pop(0)
            if request.deadline_s <= now_s:
                shed = ShedRequest(
                    request.request_id, ErrorCode.OVERLOADED, 1.0
                )
                actions.append(shed)
                continue
            self._in_service.add(request.request_id)
            actions.append(AdmitRequest(request.request_id))
        return actions


def prefer_regular(
    candidates: Sequence[EndpointState],
) -> Sequence[EndpointState]:
    """Returns the candidates that can't be reclaimed, or all if there are none.

    A request that may run only once fails if its endpoint is reclaimed. Cheap
    endpoints alone still serve it, since they announce that they will leave.
    """
    if not any(state.cheap for state in candidates):
        return candidates
    regular = [state for state in candidates if not state.cheap]
    return regular or candidates
