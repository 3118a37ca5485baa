"""Records what the heads of endpoints' responses state."""

import time

from daisyhub.balancing import (
    AdaptivePools,
    EndpointDirectory,
    EndpointEntry,
    EndpointProcess,
    PermitSource,
)
from daisyhub.gateway._wire import EndpointResponseHead
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics

__all__ = ["HeadRecorder"]

# Maximum number of processes whose unreadable headers are remembered, so that
# each is logged once; beyond it, all are forgotten.
_MAX_LOGGED = 4096


class HeadRecorder:
    """Updates the state of endpoints from the heads of their responses.

    Args:
        directory: Known endpoints.
        permits: Permits for endpoints that limit their rate.
        pools: The pools whose endpoints state a pace.
        metrics: Counts headers that can't be read.
        log: Log of these, once for each process of an endpoint.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        permits: PermitSource,
        pools: AdaptivePools | None = None,
        metrics: Metrics | None = None,
        log: DecisionLog | None = None,
    ):
        self._directory = directory
        self._permits = permits
        self._pools = pools or AdaptivePools()
        self._metrics = metrics or Metrics()
        self._log = log
        self._logged: set[tuple[EndpointProcess, str]] = set()

    def record(
        self,
        entry: EndpointEntry,
        head: EndpointResponseHead,
        call: str,
        sent_at_s: float,
    ) -> None:
        """Records a response head.

        Args:
            entry: The endpoint to which the request was sent.
            head: The head of its response.
            call: Kind of the call, for the log.
            sent_at_s: Monotonic time at which the request was sent.
        """
        now_s = time.monotonic()
        if head.is_leaving:
            self._directory.record_leaving(entry, call, now_s)
        self._permits.observe(entry, head.rate_limit, sent_at_s)
        self.record_cold(entry, head, call, sent_at_s)
        if head.load_error:
            self._report_unreadable(entry, "load", head.load_error, call)
        load = head.load
        if load is None or head.is_misdirected:
            return
        self._directory.record_load(
            entry.endpoint_id, load.open_requests, now_s
        )
        if load.pace is not None:
            self._pools.add_stated((entry.pool,))
            self._directory.record_pace(entry.endpoint_id, load.pace, now_s)

    def record_cold(
        self,
        entry: EndpointEntry,
        head: EndpointResponseHead,
        call: str,
        sent_at_s: float,
    ) -> None:
        """Records only how long an endpoint states to stay cold.

        See `record`; for calls that name no endpoint, whose response may be of
        another process at the address. That it is cold is then a safe mistake.
        """
        self._permits.observe_cold(entry, head.cold_left_s, sent_at_s)
        if head.cold_error:
            self._report_unreadable(entry, "cold", head.cold_error, call)

    def _report_unreadable(
        self, entry: EndpointEntry, header: str, error: str, call: str
    ) -> None:
        self._metrics.count(f"{header}_headers_unreadable", pool=entry.pool)
        key = (entry.process, header)
        if self._log is None or key in self._logged:
            return
        if len(self._logged) >= _MAX_LOGGED:
            self._logged.clear()
        self._logged.add(key)
        self._log.record(
            f"{header}_unreadable",
            endpoint=entry.endpoint_id,
            incarnation=entry.incarnation,
            call=call,
            reason=error,
        )
