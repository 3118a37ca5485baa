"""What requests and responses tell of endpoints."""

import dataclasses
import math

from daisyhub.balancing._choice import AdaptiveChoice
from daisyhub.balancing._endpoint import Endpoint, OpenRequest
from daisyhub.balancing._latencies import RouteLatencies

__all__ = ["EndpointRecords"]

# Weight of a new response in the moving average of the latency ratio, which
# averages over about ten responses.
_LATENCY_RATIO_SMOOTHING = 0.2
# Upper bound of the ratio. An endpoint this slow is used only if all are.
_MAX_LATENCY_RATIO = 20.0
# Added to latencies before they are compared, in seconds: differences of some
# milliseconds between short requests tell nothing about an endpoint.
_LATENCY_FLOOR_S = 0.02


class EndpointRecords:
    """Records requests and responses of the endpoints of a directory."""

    def __init__(self):
        self._endpoints: dict[str, Endpoint] = {}
        self._adaptive: AdaptiveChoice | None = None
        self._latencies = RouteLatencies()
        self._last_token = 0

    def median_latency_s(self, route: str) -> float:
        """Returns a route's median latency; see `RouteLatencies.median_s`."""
        return self._latencies.median_s(route)

    def unloaded_latency_s(self, route: str) -> float | None:
        """Returns a route's usual latency; see `RouteLatencies`."""
        return self._latencies.unloaded_median_s(route)

    def record_sent(self, endpoint_id: str, route: str, now_s: float) -> int:
        """Records that a request is sent.

        Returns:
            The request's token, with which its end is recorded.
        """
        self._last_token += 1
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.open_requests[self._last_token] = OpenRequest(
                route,
                now_s,
                self._latencies.silence_timeout_s(route),
                endpoint.load(now_s) >= endpoint.entry.slots,
            )
        return self._last_token

    def record_answered(
        self, endpoint_id: str, token: int, now_s: float
    ) -> None:
        """Records a response without server error; updates the latencies.

        Of a streamed response the head counts.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        req = endpoint.open_requests.pop(token, None)
        endpoint.last_received_at_s = now_s
        endpoint.failures = 0
        endpoint.backoff_until_s = -math.inf
        if req is None:
            return
        latency_s = now_s - req.sent_s
        self._update_latency_ratio(endpoint, req.route, latency_s, now_s)
        self._latencies.add(req.route, latency_s)
        if self._adaptive is not None:
            self._adaptive.observe_response(
                endpoint, req.route, latency_s, now_s
            )
        if not req.is_queued and endpoint.has_free_slot(now_s):
            pace = max(1.0, endpoint.current_pace(now_s))
            self._latencies.add_unloaded(req.route, latency_s / pace)

    def _update_latency_ratio(
        self, endpoint: Endpoint, route: str, latency_s: float, now_s: float
    ) -> None:
        ratio = min(
            _MAX_LATENCY_RATIO,
            (latency_s + _LATENCY_FLOOR_S)
            / (self.median_latency_s(route) + _LATENCY_FLOOR_S),
        )
        known = endpoint.expected_latency_ratio(now_s)
        endpoint.latency_ratio = known + _LATENCY_RATIO_SMOOTHING * (
            ratio - known
        )
        endpoint.latency_ratio_at_s = now_s

    def record_abandoned(
        self, endpoint_id: str, token: int, now_s: float
    ) -> None:
        """Records a request that was cancelled before its response.

        If it was open for longer than expected, the elapsed time raises the
        endpoint's latency ratio; not while the route's latency is unknown.
        """
        endpoint = self._endpoints.get(endpoint_id)
        req = endpoint.open_requests.pop(token, None) if endpoint else None
        if req is None or req.silence_timeout_s == math.inf:
            return
        elapsed_s = now_s - req.sent_s
        if self._adaptive is not None:
            self._adaptive.observe_abandoned(
                endpoint, req.route, elapsed_s, now_s
            )
        ratio = elapsed_s / self.median_latency_s(req.route)
        if ratio > endpoint.expected_latency_ratio(now_s):
            endpoint.latency_ratio = min(_MAX_LATENCY_RATIO, ratio)
            endpoint.latency_ratio_at_s = now_s

    def record_failed(self, endpoint_id: str, token: int, now_s: float) -> None:
        """Records a failed request and starts the endpoint's back-off."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        endpoint.open_requests.pop(token, None)
        endpoint.start_backoff(now_s)

    def record_closed(self, endpoint_id: str, token: int) -> None:
        """Records the end of a request that gives no latency.

        For responses that report a server error or that the request was not
        run.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.open_requests.pop(token, None)

    def record_load(self, endpoint_id: str, load: int, now_s: float) -> None:
        """Records the load that an endpoint reported."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.reported_load = load
            endpoint.load_reported_at_s = now_s
            endpoint.last_received_at_s = now_s

    def record_pace(self, endpoint_id: str, pace: float, now_s: float) -> None:
        """Records the pace of its machine that an endpoint stated."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.pace = pace
            endpoint.pace_at_s = now_s
            if self._adaptive is not None:
                self._adaptive.observe_pace(endpoint, pace, now_s)

    def record_versions(
        self, endpoint_id: str, versions: dict[str, int]
    ) -> None:
        """Records the weight versions that an engine reported.

        They are newer than those of its entry.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.entry = dataclasses.replace(
                endpoint.entry, versions=versions
            )
