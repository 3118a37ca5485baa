"""Decides whether a request can still be served by an endpoint of its route.

Addresses overload of the plain endpoints of adaptive pools, which become slow
in turn: a request that can't be started before its caller leaves is refused at
once. The wait is estimated from what the endpoints stated; if one of them
stated nothing lately, the request is sent.

Times are seconds on a monotonic clock.
"""

import dataclasses
from collections.abc import Hashable, Sequence

from daisyhub.balancing import ReturnSchedule

__all__ = ["EndpointFigures", "RequestAdmissionCore", "RequestRefused"]

# Age in seconds from which a stated load is no longer used, as for the choice
# of endpoints.
_MAX_AGE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointFigures:
    """What is known of the load of one endpoint.

    Attributes:
        endpoint_id: Its id.
        load: Number of its open requests, of all daemons.
        slots: Number of requests that it serves concurrently.
        limit: Number of requests that it sustains without degradation.
        pace: How long work takes on its machine, relative to the usual time.
        age_s: Seconds since it stated its load.
    """

    endpoint_id: str
    load: int
    slots: int
    limit: float
    pace: float
    age_s: float

    def wait_s(self, usual_s: float) -> float:
        """Returns the seconds until it starts a further request, at least.

        What it served since it stated its load is deducted.

        Args:
            usual_s: Usual time that it works on a request of the route.
        """
        excess = self.load + 1 - self.slots
        if excess <= 0:
            return 0.0
        return max(0.0, excess * self.interval_s(usual_s) - self.age_s)

    def interval_s(self, usual_s: float) -> float:
        """Returns the seconds between two requests that it completes."""
        concurrent = max(1.0, min(self.limit, self.slots))
        return usual_s * self.pace / concurrent


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRefused:
    """A request that can't be started in time, with the figures for the log.

    Attributes:
        wait_s: Seconds until the first endpoint has room, at least.
        remaining_s: Seconds that the caller has left.
        retry_after_s: When the caller is to come back, in seconds.
        was_refused: Whether it was refused here before.
    """

    wait_s: float
    remaining_s: float
    retry_after_s: float
    was_refused: bool


class RequestAdmissionCore:
    """Decides about requests, and when refused ones come back."""

    def __init__(self):
        self._returns = ReturnSchedule()

    def decide(
        self,
        caller: Hashable,
        endpoints: Sequence[EndpointFigures],
        usual_s: float | None,
        remaining_s: float,
        now_s: float,
    ) -> RequestRefused | None:
        """Returns the refusal of a request, or None if it is to be sent.

        Args:
            caller: Tells callers apart; equal for repeats of a request.
            endpoints: All endpoints that may serve it.
            usual_s: Usual time that an endpoint works on a request of the
                route; None if unknown.
            remaining_s: Seconds that the caller has left.
            now_s: The time.
        """
        is_known = usual_s is not None and all(
            e.age_s <= _MAX_AGE_S for e in endpoints
        )
        if not endpoints or not is_known:
            return None
        wait_s = min(e.wait_s(usual_s) for e in endpoints)
        if wait_s <= remaining_s:
            self._returns.forget(caller)
            return None
        per_s = sum(1 / e.interval_s(usual_s) for e in endpoints)
        was_refused = self._returns.was_refused(caller)
        retry_after_s = self._returns.refuse(caller, wait_s, 1 / per_s, now_s)
        return RequestRefused(wait_s, remaining_s, retry_after_s, was_refused)
