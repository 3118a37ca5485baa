"""The daemon `daisyhubd`: builds its components, runs them, shuts them down.

`daisyhub.platform` has the daemon that runs on the users' platform.
"""

import signal
import sys
import time

import anyio
from absl import app

from daisyhub.accounting import RateShares, ShareCore, UsageCounters
from daisyhub.balancing import DRAIN_PREFIX, EndpointTable, LeastLoaded
from daisyhub.base import Controller, Filter
from daisyhub.clocks import boot_time_s
from daisyhub.connections import HttpClient
from daisyhub.controllers import (
    ConfigController,
    EndpointController,
    LotController,
    OrderController,
    PeerController,
    UsageController,
    WatchController,
    WeightController,
)
from daisyhub.controllers._lot_server import LotServerDependencies
from daisyhub.daemon_listeners import DaemonListeners
from daisyhub.exceptions import DocumentError
from daisyhub.filters import (
    AccountFilter,
    AdmissionCore,
    AdmitFilter,
    ClaimController,
    ForwardFilter,
    IdempotencyFilter,
    IdentifyFilter,
    LotsFilter,
    MeasureFilter,
    RouteFilter,
    ValidateFilter,
    build_chain,
    compute_concurrency_limit,
)
from daisyhub.hosting import LeaseFactory, PlatformClient, rank_candidates
from daisyhub.identity import KeyTable
from daisyhub.logs import get_logger, set_up_logs
from daisyhub.memory import MemoryBudget
from daisyhub.metrics import Metrics
from daisyhub.peers import (
    ConfigRequest,
    EndpointsRequest,
    LotCallRequest,
    PeerNetwork,
)
from daisyhub.process_flags import SETTINGS
from daisyhub.serving import CallersApp, OperatorsApp, count_links
from daisyhub.settings import DaemonSettings, load_settings

__all__ = ["Daemon", "main"]

_NS_PER_US = 1000
_CONTROLLER_RESTART_DELAY_S = 1.0
# Number of live daemons of a failure domain that try to acquire a duty.
_CANDIDATE_COUNT = 2
EXIT_OK = 0
EXIT_SETTINGS = 2

log = get_logger("daemon")


class Daemon:
    """One daemon process.

    Args:
        cfg: Settings of the process.

    Attributes:
        incarnation: Start time in microseconds since the Unix epoch, so that
            it is higher after a restart.
    """

    def __init__(self, cfg: DaemonSettings):
        self.cfg = cfg
        self.incarnation = time.time_ns() // _NS_PER_US
        self.metrics = Metrics()
        self.memory = MemoryBudget(cfg.limits.memory_mb)
        self.keys = KeyTable(cfg.key_hash_secret)
        self.table = EndpointTable()
        self._build_clients()
        self._build_controllers()
        self._build_servers()
        self._is_draining = False

    @property
    def process_id(self) -> str:
        """Id of this process, `daemon id/incarnation`; unique per start."""
        return f"{self.cfg.daemon_id}/{self.incarnation}"

    def _build_clients(self) -> None:
        timing = self.cfg.timing
        self.http = HttpClient(
            connect_timeout_s=timing.connect_timeout_s,
            idle_s=timing.connection_idle_s,
            memory=self.memory,
        )
        self.platform = PlatformClient(
            self.cfg.platform_address, self.http, timing.platform_timeout_s
        )
        self.lease_factory = LeaseFactory(
            self.platform, self.process_id, timing
        )
        self.network = PeerNetwork(
            self.cfg,
            self.incarnation,
            memory=self.memory,
            most_links=count_links(self.cfg.limits.sockets),
        )
        self.counters = UsageCounters(
            self.cfg.daemon_id, self.incarnation, timing.usage_window_s
        )
        started_s = boot_time_s()
        share_core = ShareCore(
            self.incarnation,
            1 + len(self.cfg.domain_peers),
            timing.lease_term_s,
            timing.lease_margin_s,
            started_s,
        )
        self.shares = RateShares(share_core, started_s)

    def _build_controllers(self) -> None:
        cfg = self.cfg
        self.config = ConfigController(self.platform, self.network, self.keys)
        self.peers = PeerController(
            cfg,
            self.incarnation,
            self.network,
            self.config,
            self.table,
            self.counters,
            self.shares,
        )
        self.table.add_listener(self.peers.add_update)
        self.lease_factory.set_candidate_rule(self._is_candidate)
        self.endpoints = EndpointController(
            cfg,
            self.platform,
            self.http,
            self.table,
            self.peers,
            self.network,
        )
        self.weights = WeightController(
            cfg, self.lease_factory, self.http, self.table, self.config
        )
        self.orders = OrderController(
            cfg, self.platform, self.lease_factory, self.table, self.config
        )
        self.usage = UsageController(
            cfg,
            self.platform,
            self.lease_factory,
            self.counters,
            self.peers,
            self.metrics,
        )
        self.lots = LotController(self._lot_server_dependencies(), self.network)
        self.claims = ClaimController(self.platform)
        self.watch = WatchController(self.platform, cfg.timing)
        self.watch.add_listener("news/keys", self.config.on_withdrawn)
        self.watch.add_listener("news/config", self.config.on_head)
        self.watch.add_listener(DRAIN_PREFIX, self.endpoints.on_drain)
        self.watch.add_listener("news/weights/", self.weights.on_weights)
        self.config.add_listener(self.peers.wake)
        self.network.add_receiver(self.peers.receive)
        self.network.add_request_handler(
            ConfigRequest, self.config.handle_fetch_request
        )
        self.network.add_request_handler(
            EndpointsRequest, self.endpoints.handle_fetch_request
        )
        self.network.add_request_handler(
            LotCallRequest, self.lots.handle_forwarded_call
        )

    def _is_candidate(self, duty: str) -> bool:
        """Whether this daemon should try to acquire a duty of its domain."""
        domain_ids = {peer.daemon_id for peer in self.cfg.domain_peers}
        live_ids = domain_ids.intersection(self.peers.live_peers())
        ranked = rank_candidates(duty, [self.cfg.daemon_id, *live_ids])
        return self.cfg.daemon_id in ranked[:_CANDIDATE_COUNT]

    def _lot_server_dependencies(self) -> LotServerDependencies:
        return LotServerDependencies(
            cfg=self.cfg,
            client=self.platform,
            lease_factory=self.lease_factory,
            http=self.http,
            table=self.table,
            balancer=LeastLoaded(self.incarnation),
            config=self.config,
            counters=self.counters,
            metrics=self.metrics,
        )

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """All controllers, in the order in which they are started."""
        return (
            self.watch,
            self.config,
            self.peers,
            self.endpoints,
            self.weights,
            self.orders,
            self.usage,
            self.lots,
            self.claims,
        )

    def _filters(self) -> tuple[Filter, ...]:
        return (
            IdentifyFilter(self.keys),
            RouteFilter(lambda: self.config.route_table),
            MeasureFilter(self.metrics, lambda: self.config.document),
            ValidateFilter(self.cfg.limits),
            AdmitFilter(
                AdmissionCore(self.cfg.limits.concurrent_requests),
                lambda: self.config.document,
                self.shares,
                self._get_concurrency_limit,
            ),
            LotsFilter(self.lots.serve),
            IdempotencyFilter(self.claims),
            AccountFilter(self.counters),
            ForwardFilter(
                self.table,
                LeastLoaded(self.incarnation),
                self.http,
                self.cfg.limits,
                self.metrics,
            ),
        )

    def _get_concurrency_limit(self) -> int:
        """Returns the maximum number of requests in service."""
        routes = self.config.document.routes.values()
        return compute_concurrency_limit(
            self.table.reported_capacity({route.pool for route in routes}),
            1 + len(self.peers.live_peers()),
            self.cfg.limits.concurrent_requests,
        )

    def _build_servers(self) -> None:
        cfg = self.cfg
        self.callers_app = CallersApp(
            build_chain(self._filters()),
            self.keys,
            self.metrics,
            cfg.daemon_id,
            self.memory,
        )
        listeners = DaemonListeners(cfg, self.memory, self.metrics)
        self.callers_server = listeners.build_callers_server(self.callers_app)
        self.operators_server = listeners.build_operators_server(
            OperatorsApp(self.metrics, self.is_ready, self.status)
        )

    def is_ready(self) -> bool:
        """Whether callers should send new requests to this daemon."""
        return self.config.version > 0 and not self._is_draining

    def status(self) -> dict[str, object]:
        """Returns the state of the daemon and its controllers for operators."""
        status_by_controller = {
            controller.name: controller.status()
            for controller in self.controllers
        }
        return {
            "daemon_id": self.cfg.daemon_id,
            "failure_domain": self.cfg.failure_domain,
            "incarnation": self.incarnation,
            "is_ready": self.is_ready(),
            "open_requests": self.callers_app.open_requests,
            **status_by_controller,
        }

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down gracefully."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.network.run)
            for controller in self.controllers:
                tasks.start_soon(self._run_controller, controller)
            tasks.start_soon(self.callers_server.run_until_stopped)
            tasks.start_soon(self.operators_server.run_until_stopped)
            log.info("{} listens on {}", self.process_id, self._address)
            # Stays open during the shutdown, so that a further signal doesn't
            # terminate the process.
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT
            ) as signals:
                async for _ in signals:
                    break
                await self._shut_down()
                tasks.cancel_scope.cancel()
        await self.http.aclose()
        self.network.close()

    async def _run_controller(self, controller: Controller) -> None:
        """Runs a controller and restarts it after a failure.

        An error in one controller must not stop the daemon from serving
        requests.
        """
        while True:
            try:
                await controller.run()
            except Exception:
                log.exception(
                    "controller {} failed, restarting it", controller.name
                )
                self.metrics.count("controller_failures", part=controller.name)
            else:
                return
            await anyio.sleep(_CONTROLLER_RESTART_DELAY_S)

    @property
    def _address(self) -> str:
        return str(self.cfg.callers_address)

    async def _shut_down(self) -> None:
        """Shuts down gracefully.

        Reports the daemon as not ready, waits for callers to notice, releases
        the lots, closes the callers' listener, waits for open requests and
        connections, then writes the remaining state and releases the duties.
        """
        log.info(
            "shutting down, {} requests are open",
            self.callers_app.open_requests,
        )
        self._is_draining = True
        self.callers_app.is_draining = True
        self.peers.set_leaving()
        await anyio.sleep(self.cfg.timing.drain_notice_s)
        await self.lots.release()
        self.callers_server.stop()
        while self.callers_app.open_requests or self._has_connections():
            await anyio.sleep(0.05)
        await self.claims.release()
        await self.usage.release()
        await self.weights.release()
        await self.orders.release()
        self.operators_server.stop()
        log.info("shut down")

    def _has_connections(self) -> bool:
        return bool(self.callers_server.server_state.connections)


_USAGE = """usage: daisyhubd --settings=FILE

Serves callers and trainers until SIGTERM or SIGINT, then drains and exits.

flags:
  --settings=FILE  settings of this process, JSON with comments; every field
                   is described in docs/CONFIGURATION.md

exit codes:
  0  ended after a graceful shutdown
  2  invalid arguments or settings; all errors in the settings are printed
     with their lines
"""


def _run(argv: list[str]) -> int:
    if len(argv) > 1 or not SETTINGS.value:
        print(_USAGE, file=sys.stderr)
        return EXIT_SETTINGS
    try:
        cfg = load_settings(SETTINGS.value)
    except (DocumentError, OSError) as exc:
        print(exc, file=sys.stderr)
        return EXIT_SETTINGS
    set_up_logs(cfg.log_format)
    anyio.run(Daemon(cfg).run)
    return EXIT_OK


def main() -> None:
    """Runs the daemon; exits with 0, or 2 for invalid arguments or settings."""
    # absl prints the docstring of the main module for `--help`.
    sys.modules["__main__"].__doc__ = _USAGE
    app.run(_run)


if __name__ == "__main__":
    main()
