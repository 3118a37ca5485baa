"""Policies of look-ups, their figures, and the plain admission."""

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
    "MOST_PLACES",
    "FirstComeFirstServed",
    "LookupPolicy",
    "LookupResult",
    "prefer_regular",
]

MOST_PLACES = 512


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LookupPolicy:
    """What decides.

    Attributes:
        name: For the table.
        follows_capacity: Whether a daemon's places follow what the live
            endpoints tell, or are `MOST_PLACES`.
        is_fair: Fair queueing, or first come first served.
        is_least_loaded: Less loaded of two, or round robin.
        hedges: Whether hedging is on.
        is_site_wide: Whether daemons use other domains' servers too.
        is_regular_first: Whether requests that may run only once go to
            regular servers while there are any.
        extra: One more server in each domain: `none`, `cheap` or `dear`.
    """

    name: str
    follows_capacity: bool = True
    is_fair: bool = True
    is_least_loaded: bool = True
    hedges: bool = True
    is_site_wide: bool = False
    is_regular_first: bool = False
    extra: Literal["none", "cheap", "dear"] = "none"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LookupResult:
    """Figures of one run; shares are of all requests.

    `worst_` figures are of the worst-served account among those that stay
    within their share; `any_refused` includes the one that bursts. A request
    is refused if it got no answer for whatever reason.
    """

    worst_p99_s: float
    worst_refused: float
    any_refused: float
    failed: float
    price: float
    cheap_share: float
    unknown: float


class FirstComeFirstServed:
    """One queue with the same bound; the plain baseline of admission."""

    def __init__(self, concurrency_limit: int):
        self.concurrency_limit = concurrency_limit
        self._in_service: set[str] = set()
        self._queue: list[RequestArrived] = []

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes the events of `AdmissionCore`."""
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
            waiting = self._queue.pop(0)
            if waiting.deadline_s <= now_s:
                shed = ShedRequest(
                    waiting.request_id, ErrorCode.OVERLOADED, 1.0
                )
                actions.append(shed)
                continue
            self._in_service.add(waiting.request_id)
            actions.append(AdmitRequest(waiting.request_id))
        return actions


def prefer_regular(
    candidates: Sequence[EndpointState],
) -> Sequence[EndpointState]:
    """Returns the candidates that can't be reclaimed, if there are any.

    A request that may run only once is lost with a reclaimed endpoint; with
    cheap endpoints alone it is still served, since they tell before they go.
    """
    if not any(state.cheap for state in candidates):
        return candidates
    regular = [state for state in candidates if not state.cheap]
    return regular or candidates
