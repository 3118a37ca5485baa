"""The listeners of `daisyhubd`, and what their clients may cost.

`daisyhub.platform` has its own, as its limits come from a manifest.
"""

from daisyhub.memory import MemoryBudget
from daisyhub.metrics import Metrics
from daisyhub.serving import (
    CallersApp,
    ConnectionLimits,
    HttpServer,
    ListenerLimits,
    OperatorsApp,
    count_sockets,
)
from daisyhub.settings import DaemonSettings

__all__ = ["DaemonListeners"]

# Fraction of the clients' sockets for callers, and for operators, with a
# maximum number.
_CALLERS_SHARE = 0.85
_OPERATORS_SHARE = 0.1
_MAX_OPERATORS = 64


class DaemonListeners:
    """Builds the servers of a daemon.

    Args:
        cfg: Settings of the daemon.
        memory: Memory of the process for what clients send.
        metrics: Counts connections that are closed for exceeding a limit.
    """

    def __init__(
        self, cfg: DaemonSettings, memory: MemoryBudget, metrics: Metrics
    ):
        self._cfg = cfg
        self._memory = memory
        self._metrics = metrics
        self._sockets = count_sockets(cfg.limits.sockets)

    def build_callers_server(self, app: CallersApp) -> HttpServer:
        """Returns the server of callers and trainers."""
        limits = self._cfg.limits
        connection_limits = ConnectionLimits(
            header_bytes=limits.header_bytes,
            head_timeout_s=limits.head_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )
        return HttpServer(
            app,
            self._cfg.callers_address,
            self._cfg.timing.drain_limit_s,
            ListenerLimits(
                memory=self._memory,
                connections=int(_CALLERS_SHARE * self._sockets),
                get_limits=lambda: connection_limits,
                on_refused=self._count_refused,
            ),
        )

    def build_operators_server(self, app: OperatorsApp) -> HttpServer:
        """Returns the server of operators."""
        most = min(_MAX_OPERATORS, int(_OPERATORS_SHARE * self._sockets))
        return HttpServer(
            app,
            self._cfg.operators_address,
            limits=ListenerLimits(
                memory=self._memory,
                connections=most,
                on_refused=self._count_refused,
            ),
        )

    def _count_refused(self, reason: str) -> None:
        self._metrics.count("refused_connections", reason=reason)
