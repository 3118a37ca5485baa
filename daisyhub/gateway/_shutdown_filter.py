"""Filter that answers each request before the daemon ends.

A daemon that was told to stop still takes requests for a while, as callers
notice its leaving late. It ends after the grace time whatever is open, so a
request that can't end by then is refused at once, and one that turns out to
last longer is answered instead of cut.
"""

import math
import time
from collections.abc import Callable

import anyio

from daisyhub.base import Filter, Handler
from daisyhub.catalog import Route, RouteKind
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.messages import Request, Response

__all__ = ["ShutdownFilter"]

# Other daemons take the request at once.
_RETRY_AFTER_S = 0.05
# Median latencies for which there must be time. Few requests last longer.
_LATENCY_FACTOR = 4.0


class ShutdownFilter(Filter):
    """Refuses or answers requests that last longer than the daemon.

    Args:
        median_latency_s: Returns the median latency of a route, in seconds.
    """

    name = "shutdown"

    def __init__(self, median_latency_s: Callable[[str], float]):
        self._median_latency_s = median_latency_s
        self._ends_at_s = math.inf
        self._open: set[anyio.CancelScope] = set()

    def begin(self, ends_at_s: float) -> None:
        """Sets when the last requests are answered.

        Args:
            ends_at_s: Time on the monotonic clock.
        """
        self._ends_at_s = ends_at_s
        for scope in self._open:
            scope.deadline = self._scope_deadline()

    def _scope_deadline(self) -> float:
        """Returns the end on anyio's clock."""
        return anyio.current_time() + self._ends_at_s - time.monotonic()

    async def handle(self, req: Request, call_next: Handler) -> Response:
        """Returns the response of the chain, if it comes before the end.

        Raises:
            Refusal: The request can't end in time, and was not run; or it did
                not end in time, and may have run.
        """
        if not self._can_end(req):
            left_s = max(0.0, self._ends_at_s - time.monotonic())
            raise Refusal(
                ErrorCode.SHUTTING_DOWN,
                f"the daemon ends in {left_s:.1f} s, before the request would",
                ran=ExecutionStatus.NOT_RUN,
                retry_after_s=_RETRY_AFTER_S,
            )
        resp = None
        with anyio.CancelScope(deadline=self._scope_deadline()) as scope:
            self._open.add(scope)
            try:
                resp = await call_next(req)
            finally:
                self._open.discard(scope)
        if resp is None:
            raise Refusal(
                ErrorCode.ENDPOINT_TIMEOUT,
                "the daemon ended before the endpoint responded",
                ran=ExecutionStatus.UNKNOWN,
            )
        return resp

    def _can_end(self, req: Request) -> bool:
        """Whether a request is expected to end before the daemon does."""
        if req.deadline_s <= self._ends_at_s or req.lot_call is not None:
            return True
        left_s = self._ends_at_s - time.monotonic()
        return left_s > 0 and left_s >= self._longest_s(req.route)

    def _longest_s(self, route: Route | None) -> float:
        """Returns for how long a request may last, by its route."""
        if route is None or route.kind is RouteKind.ROLLOUT:
            # What peers send is bounded by its own deadline, and a lot is only
            # stored here.
            return 0.0
        if route.kind is RouteKind.STREAMING:
            # Only the latency of the heads of streams is known.
            return route.timeout_s
        return _LATENCY_FACTOR * self._median_latency_s(route.name)
