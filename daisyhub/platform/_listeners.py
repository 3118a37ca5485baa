"""The listeners of a daemon on the platform, and what their clients may cost.

All listeners share one budget of memory. Each has connections of its own, so
that callers can't keep peers and operators out.
"""

from daisyhub.catalog import CallerLimits, Manifest, ManifestController
from daisyhub.fleet_settings import FleetSettings, parse_address
from daisyhub.logs import DecisionLog
from daisyhub.memory import MemoryBudget
from daisyhub.metrics import Metrics
from daisyhub.serving import (
    ConnectionLimits,
    HttpServer,
    ListenerLimits,
    count_sockets,
)
from daisyhub.settings import Address

__all__ = ["Listeners"]

# Fractions of the clients' sockets for callers and for peers; and the maximum
# number of connections of a listener for operators.
_CALLERS_SHARE = 0.75
_PEERS_SHARE = 0.125
_MAX_OPERATORS = 64
_OPERATORS_SHARE = 0.0625
# Seconds by which a client within the limits may seem slower here than it is.
_TRANSIT_MARGIN_S = 1.0


class Listeners:
    """Builds the servers of a daemon.

    Args:
        cfg: Settings of the daemon.
        memory: Memory of the process for what clients and peers send.
        manifests: Provides the limits of callers.
        metrics: Counts connections that are closed for exceeding a limit.
        log: Log of the same.

    """

    def __init__(
        self,
        cfg: FleetSettings,
        memory: MemoryBudget,
        manifests: ManifestController,
        metrics: Metrics,
        log: DecisionLog,
    ):
        self._cfg = cfg
        self._memory = memory
        self._manifests = manifests
        self._metrics = metrics
        self._log = log
        self._sockets = count_sockets(cfg.sockets)
        self._seen: Manifest | None = None
        self._limits = _to_connection_limits(CallerLimits())

    def build_callers_server(self, app) -> HttpServer:
        """Returns the server of callers."""
        return HttpServer(
            app,
            parse_address(self._cfg.callers),
            self._cfg.grace_s,
            ListenerLimits(
                memory=self._memory,
                connections=int(_CALLERS_SHARE * self._sockets),
                get_limits=self._get_caller_limits,
                on_refused=self._on_refused,
            ),
        )

    def build_relay_servers(self, app) -> tuple[HttpServer, ...]:
        """Returns the server of peers; nothing without a port."""
        address = self._cfg.relay_address
        if address is None:
            return ()
        limits = ListenerLimits(
            memory=self._memory,
            connections=int(_PEERS_SHARE * self._sockets),
            on_refused=self._on_refused,
        )
        return (HttpServer(app, address, self._cfg.grace_s, limits),)

    def build_operators_server(self, app, address: Address) -> HttpServer:
        """Returns a server of operators or of the platform's checks."""
        most = min(_MAX_OPERATORS, int(_OPERATORS_SHARE * self._sockets))
        limits = ListenerLimits(
            memory=self._memory,
            connections=most,
            on_refused=self._on_refused,
        )
        return HttpServer(app, address, limits=limits)

    def status(self) -> dict[str, int]:
        """Returns what clients make the process hold, for JSON."""
        return {
            "held_bytes": self._memory.held,
            "limit_bytes": self._memory.limit,
            "evicted": self._memory.evicted,
        }

    def _get_caller_limits(self) -> ConnectionLimits:
        manifest = self._manifests.manifest
        if manifest is not self._seen:
            self._seen = manifest
            self._limits = _to_connection_limits(manifest.limits)
        return self._limits

    def _on_refused(self, reason: str) -> None:
        self._metrics.count("refused_connections", reason=reason)
        self._log.record("connection_refused", reason=reason)


def _to_connection_limits(limits: CallerLimits) -> ConnectionLimits:
    return ConnectionLimits(
        header_bytes=limits.header_bytes,
        head_timeout_s=limits.head_timeout_s + _TRANSIT_MARGIN_S,
        idle_timeout_s=limits.idle_s + _TRANSIT_MARGIN_S,
    )
