"""The latencies of routes, over all of their endpoints."""

import collections
import math
import statistics

__all__ = ["RouteLatencies"]

# Latency assumed for a route without responses so far; typical of a lookup.
_DEFAULT_LATENCY_S = 0.05
# Most recent responses of a route over which the median is taken.
_MAX_LATENCY_SAMPLES = 31
# Responses of a route needed before its median is used to detect silence.
_MIN_LATENCY_SAMPLES = 3
# Responses of a route needed before the time that it takes is known: one in a
# hundred takes five times as long as the median, hardly two.
_MIN_UNLOADED_SAMPLES = 2
# Multiple of the median latency after which an endpoint with an open request
# that has sent nothing counts as silent.
_SILENCE_TIMEOUT_FACTOR = 4.0


class RouteLatencies:
    """The most recent latencies by route."""

    def __init__(self):
        self._latencies_s: dict[str, collections.deque[float]] = {}
        self._unloaded_s: dict[str, collections.deque[float]] = {}

    def add(self, route: str, latency_s: float) -> None:
        """Adds the latency of a response."""
        latencies_s = self._latencies_s.setdefault(
            route, collections.deque(maxlen=_MAX_LATENCY_SAMPLES)
        )
        latencies_s.append(latency_s)

    def add_unloaded(self, route: str, latency_s: float) -> None:
        """Adds a latency without a wait in the endpoint, at the usual pace."""
        latencies_s = self._unloaded_s.setdefault(
            route, collections.deque(maxlen=_MAX_LATENCY_SAMPLES)
        )
        latencies_s.append(latency_s)

    def unloaded_median_s(self, route: str) -> float | None:
        """Returns the median of these, the lower of two; None without two.

        In a large cluster a daemon gets few responses.
        """
        latencies_s = self._unloaded_s.get(route, ())
        if len(latencies_s) < _MIN_UNLOADED_SAMPLES:
            return None
        return statistics.median_low(latencies_s)

    def median_s(self, route: str) -> float:
        """Returns the median latency of a route's recent responses.

        A default if the route had no response yet.
        """
        latencies_s = self._latencies_s.get(route)
        return (
            statistics.median_low(latencies_s)
            if latencies_s
            else _DEFAULT_LATENCY_S
        )

    def silence_timeout_s(self, route: str) -> float:
        """Returns the time without response after which a request is silent.

        Infinite while the route's latency is unknown.
        """
        if len(self._latencies_s.get(route, ())) < _MIN_LATENCY_SAMPLES:
            return math.inf
        return _SILENCE_TIMEOUT_FACTOR * self.median_s(route)
