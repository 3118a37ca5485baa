"""Connects the measured capacity of endpoints to peers, logs and metrics."""

import math
import time

import anyio

from daisyhub.balancing import (
    AdaptiveChoice,
    AdaptivePools,
    CapacityCore,
    CapacityDigest,
    EndpointCapacity,
    EndpointDirectory,
    EndpointEntry,
)
from daisyhub.base import Controller
from daisyhub.cluster import PeerTable, Ping
from daisyhub.connections import HttpClient
from daisyhub.logs import DecisionLog
from daisyhub.lots import EngineCapacity
from daisyhub.metrics import Metrics

__all__ = ["CapacityController"]

# Seconds between looks at the estimates for logs and metrics.
_REPORT_INTERVAL_S = 1.0
# Factor by which a limit or a slowdown must have changed to be logged again.
_LOGGED_FACTOR = 1.5
# Lines a look, so that a change of all endpoints doesn't fill the log.
_MAX_LINES = 5


class CapacityController(Controller):
    """Measures endpoints of adaptive pools and shares the samples with peers.

    The directory ranks the endpoints of these pools by the estimates.

    Args:
        daemon_id: Id of this daemon.
        incarnation: Start of this process, microseconds since 1970.
        directory: Known endpoints.
        pools: The adaptive pools.
        peers: The live daemons, among which endpoints are divided.
        http: Client that sends requests to endpoints.
        metrics: Shows the estimates.
        log: Log of large changes.

    Attributes:
        engines: Measures engines by the streams of items.
    """

    name = "capacity"

    def __init__(
        self,
        daemon_id: str,
        incarnation: int,
        directory: EndpointDirectory,
        pools: AdaptivePools,
        peers: PeerTable,
        http: HttpClient,
        metrics: Metrics,
        log: DecisionLog,
    ):
        self._directory = directory
        self._pools = pools
        self._metrics = metrics
        self._log = log
        self._core = CapacityCore(
            self._find_entry, incarnation, random_state=incarnation
        )
        self.engines = EngineCapacity(self._core, directory, pools.is_adaptive)
        directory.set_adaptive_choice(
            AdaptiveChoice(
                self._core,
                pools.is_adaptive,
                daemon_id,
                lambda: [peer.daemon_id for peer in peers.live()],
                http.has_connection,
            )
        )
        self._logged: dict[str, EndpointCapacity] = {}

    def _find_entry(self, endpoint_id: str) -> EndpointEntry | None:
        endpoint = self._directory.get(endpoint_id)
        return endpoint.entry if endpoint else None

    def digest(self) -> CapacityDigest | None:
        """Returns some samples for a ping; None if there are none."""
        digest = self._core.digest(time.monotonic())
        return digest if digest.entries or digest.usual_times else None

    def limit(self, endpoint_id: str, now_s: float) -> float:
        """Returns the number of requests that an endpoint sustains."""
        return self._core.limit(endpoint_id, now_s)

    def receive(self, envelope, message: object) -> None:
        """Takes the adaptive pools and the samples of a peer's ping in."""
        if not isinstance(message, Ping):
            return
        self._pools.add_stated(message.adaptive_pools)
        if message.capacity is not None:
            self._core.merge(
                envelope.sender, message.capacity, time.monotonic()
            )

    async def run(self) -> None:
        """Shows the estimates in metrics and logs until cancelled."""
        while True:
            await anyio.sleep(_REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Updates the metrics; logs estimates that changed by a lot."""
        lines = 0
        known = self._core.all(time.monotonic())
        for endpoint_id, capacity in known.items():
            for name, value in (
                ("endpoint_limit", capacity.limit),
                ("endpoint_slowdown", capacity.slowdown),
                ("endpoint_capacity_samples", capacity.samples),
            ):
                self._metrics.set_gauge(name, value, endpoint=endpoint_id)
            logged = self._logged.get(endpoint_id)
            if lines < _MAX_LINES and _has_changed(logged, capacity):
                lines += 1
                self._log_change(endpoint_id, logged, capacity)
        for endpoint_id in self._logged.keys() - known.keys():
            del self._logged[endpoint_id]
            self._metrics.set_gauge(
                "endpoint_capacity_samples", 0, endpoint=endpoint_id
            )

    def _log_change(
        self,
        endpoint_id: str,
        logged: EndpointCapacity | None,
        capacity: EndpointCapacity,
    ) -> None:
        self._logged[endpoint_id] = capacity
        if logged is None:
            # The first estimate is no change.
            return
        self._log.record(
            "endpoint_capacity",
            endpoint=endpoint_id,
            limit=capacity.limit,
            limit_before=logged.limit,
            slowdown=round(capacity.slowdown, 2),
            slowdown_before=round(logged.slowdown, 2),
            pace=round(capacity.pace, 2),
            samples=round(capacity.samples, 1),
        )

    def status(self) -> dict[str, object]:
        """Returns limit, slowdown, pace and samples by endpoint."""
        return {
            endpoint_id: {
                "limit": capacity.limit,
                "slowdown": round(capacity.slowdown, 2),
                "pace": round(capacity.pace, 2),
                "samples": round(capacity.samples, 1),
            }
            for endpoint_id, capacity in self._core.all(
                time.monotonic()
            ).items()
        }


def _has_changed(
    logged: EndpointCapacity | None, capacity: EndpointCapacity
) -> bool:
    if logged is None:
        return True
    return any(
        abs(math.log(new / old)) >= math.log(_LOGGED_FACTOR)
        for new, old in (
            (capacity.limit, logged.limit),
            (capacity.slowdown, logged.slowdown),
        )
    )
