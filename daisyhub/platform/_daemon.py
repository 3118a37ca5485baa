"""A daemon on the users' platform: its servers, its status, its life.

Its other parts are in layers, from `StoreParts` to `LotParts`.
"""

import functools
import signal
import time
from collections.abc import AsyncIterator

import anyio

from daisyhub.base import Controller
from daisyhub.cluster import (
    Ping,
)
from daisyhub.duties import DutyController, list_challenges
from daisyhub.exceptions import DocumentError
from daisyhub.filters import build_chain
from daisyhub.fleet_settings import (
    FleetSettings,
    load_fleet_settings,
    parse_address,
)
from daisyhub.gateway import (
    BodyFilter,
    FindRouteFilter,
    GatewayApp,
    KeyFilter,
    RelayHandler,
    RelayWire,
    SendFilter,
    ShutdownFilter,
)
from daisyhub.lots import (
    SubmittedLotsFilter,
)
from daisyhub.metrics import Metrics
from daisyhub.platform._evacuations import tell_evacuations
from daisyhub.platform._listeners import Listeners
from daisyhub.platform._lot_parts import LotParts
from daisyhub.platform._lots_json import may_be_lot
from daisyhub.platform._shutdown import GracefulShutdown
from daisyhub.platform._wire import PlatformCallerWire
from daisyhub.serving import OperatorsApp

__all__ = ["FleetDaemon"]

# Names of the duties, and of their records in the store.
_MS_PER_S = 1000.0
# Seconds until a failed controller is restarted.
_CONTROLLER_RESTART_DELAY_S = 0.5
# Seconds between checks for endpoints whose entries expired while the store was
# unavailable and did not reappear.
_EXPIRY_CHECK_INTERVAL_S = 0.25


class FleetDaemon(LotParts):
    """One daemon on the users' platform.

    Args:
        cfg: Its settings.
        settings_path: The settings file, checked for changes on SIGHUP.

    Attributes:
        incarnation: Start of this process, microseconds since the epoch.
    """

    def __init__(self, cfg: FleetSettings, settings_path: str):
        super().__init__(cfg)
        self._settings_path = settings_path
        self._build_servers()

    def _build_servers(self) -> None:
        cfg = self.cfg
        self.shutdown_filter = ShutdownFilter(self.directory.median_latency_s)
        handler = build_chain(
            (
                FindRouteFilter(self.manifests, may_be_lot),
                KeyFilter(self.manifests),
                BodyFilter(self.manifests),
                self.shutdown_filter,
                SubmittedLotsFilter(
                    self.lots,
                    self.reader,
                    self._lot_wire,
                    self.clock,
                    self.log,
                    self.admission.make_lot_admission(self.lots),
                ),
                SendFilter(self.sender, self.meter),
            )
        )
        listeners = Listeners(
            cfg, self.memory, self.manifests, self.metrics, self.log
        )
        self.listeners = listeners
        self.app = GatewayApp(
            handler,
            PlatformCallerWire(),
            self.metrics,
            self.log,
            self.memory,
        )
        self.callers_server = listeners.build_callers_server(self.app)
        self.relay_servers = listeners.build_relay_servers(
            self._build_relay_app()
        )
        operators = OperatorsApp(
            self.metrics,
            self.is_ready,
            self.status,
            "/v1/readiness",
            self.suspects.lift,
        )
        self.readiness_server = listeners.build_operators_server(
            operators, parse_address(cfg.readiness)
        )
        self.metrics_server = listeners.build_operators_server(
            operators, cfg.metrics_address
        )

    def _build_relay_app(self) -> GatewayApp:
        """Returns the application for relayed requests."""
        relay = RelayHandler(self.sender, self.reach, self.metrics, self.log)
        handler = functools.partial(
            self.shutdown_filter.handle, call_next=relay
        )
        # Responses to callers are counted where their requests were accepted.
        return GatewayApp(
            handler,
            RelayWire(PlatformCallerWire()),
            Metrics(),
            self.log,
            self.memory,
        )

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """The controllers that `run` starts and `status` reports."""
        return (
            self.cluster,
            self.reach,
            self.capacity,
            *self.watchers,
            *self.evacuations,
            self.rollouts,
            self.accounts,
            self.worker,
            self.holder,
            self.weights,
            *self.reporters,
            self.verifier,
            self.retirements,
            self.stream_origins,
        )

    def is_ready(self) -> bool:
        """Whether the platform should send callers to this daemon."""
        has_endpoints = bool(self.directory.all())
        return (
            self.manifests.manifest is not None
            and has_endpoints
            and not self._is_draining
        )

    def status(self) -> dict[str, object]:
        """Returns the state of the daemon and its controllers, for JSON."""
        manifest = self.manifests.manifest
        return {
            "daemon_id": self.cfg.daemon_id,
            "failure_domain": self.cfg.failure_domain,
            "incarnation": self.incarnation,
            "is_ready": self.is_ready(),
            "manifest": manifest.version if manifest else 0,
            "open_requests": self.app.open_requests,
            "clients": self.listeners.status(),
            "leaving_endpoints": self.directory.announced_leaving(),
            "limited_endpoints": self.permits.limited(),
            "cold_endpoints": self.permits.cold(),
            "blocked_requests": self.suspects.status(),
            "adaptive_pools": self.adaptive.status(),
            **{_status_key(c): c.status() for c in self.controllers},
        }

    def _ping(self) -> Ping:
        return Ping(
            domain=self.cfg.failure_domain,
            address=self.cfg.peer,
            wall_s=time.time(),
            speed=self.cfg.processor_speed,
            is_leaving=self._is_draining,
            reaches_store=self.store.is_directly_reachable,
            manifest_revision=self.manifests.revision,
            duties=self._held_duties(),
            newest={w.kind: w.newest_revision for w in self.watchers},
            standbys=self._choose_standbys(),
            leaving_digest=self.leaving_news.digest(),
            suspects=self.suspects.news_for_ping(),
            evacuations=tell_evacuations(self.evacuations),
            answer_age_s=self.reach.answer_age_s(),
            is_cut_off=self.reach.is_cut_off,
            relay=str(self.cfg.relay_address or ""),
            adaptive_pools=self.adaptive.pools.stated(),
            capacity=self.capacity.digest(),
            backlog=self.admission.news_for_ping(self.holder),
            loads=self.admission.requests.loads_for_ping(),
            challenges=list_challenges(self.rollouts, self.accounts),
        )

    def _choose_standbys(self) -> tuple[str, ...]:
        """Returns the daemons that may take over the duties held here."""
        chosen: set[str] = set()
        for duty in (self.rollouts, self.accounts):
            if duty.tenure:
                chosen.update(duty.standbys())
        return tuple(sorted(chosen))

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then stops within the grace time."""
        self.log.record(
            "start", process=self.process, domain=self.cfg.failure_domain
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.network.run)
            for controller in self.controllers:
                tasks.start_soon(self._run_with_restarts, controller)
            tasks.start_soon(self._expire_entries)
            for server in (
                self.callers_server,
                self.readiness_server,
                self.metrics_server,
                *self.relay_servers,
            ):
                tasks.start_soon(server.run_until_stopped)
            handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
            # Open until the end: without the receiver, a further signal would
            # kill the process.
            with anyio.open_signal_receiver(*handled_signals) as signals:
                await self._wait_for_stop_signal(signals)
                await self._shut_down()
                tasks.cancel_scope.cancel()
        await self.http.aclose()
        await self.relay_http.aclose()
        await self.endpoint_http.aclose()
        self.network.close()

    async def _wait_for_stop_signal(self, signals: AsyncIterator[int]) -> None:
        async for signal_number in signals:
            if signal_number != signal.SIGHUP:
                return
            self._check_settings_file()

    def _check_settings_file(self) -> None:
        """Logs whether the settings file is valid and has changed.

        Changes take effect at a restart.
        """
        try:
            cfg = load_fleet_settings(self._settings_path)
        except (DocumentError, OSError) as exc:
            self.log.record("reload_failed", reason=str(exc))
            return
        self.log.record("reload", is_changed=cfg != self.cfg)

    async def _run_with_restarts(self, controller: Controller) -> None:
        """Runs a controller and restarts it after an exception.

        A fault in one controller must not end the others.
        """
        while True:
            try:
                await controller.run()
            except Exception as exc:
                self.log.record(
                    "controller_fault",
                    controller=controller.name,
                    reason=repr(exc),
                )
                self.metrics.count("controller_faults", part=controller.name)
            else:
                return
            await anyio.sleep(_CONTROLLER_RESTART_DELAY_S)

    async def _expire_entries(self) -> None:
        """Removes absent endpoints; ends watches that nobody guards."""
        while True:
            await anyio.sleep(_EXPIRY_CHECK_INTERVAL_S)
            self._update_unreachable_domains()
            for watcher in self.watchers:
                watcher.end_unguarded_watch()
            for name in self.directory.expire(time.monotonic()):
                self.log.record("endpoint_lapsed", name=name)

    def _update_unreachable_domains(self) -> None:
        """Passes the failure domains without live peers to the directory."""
        own = frozenset((self.cfg.failure_domain,))
        self.directory.set_unreachable_domains(
            self.peers.unreachable_domains() - own
        )

    async def _shut_down(self) -> None:
        """Releases the duties, drains open requests and stops the servers."""
        self._is_draining = True
        await GracefulShutdown(
            self.cfg.grace_s,
            self.app,
            self.shutdown_filter,
            (self.callers_server, *self.relay_servers),
            self._hand_over,
            self.log,
        ).run()
        self.readiness_server.stop()
        self.metrics_server.stop()

    async def _hand_over(self) -> None:
        """Lets other daemons go on with what this one has a duty for."""
        await self.holder.save_unfinished_texts()
        for duty in (self.rollouts, self.accounts):
            duty.set_leaving()
            await duty.release()
        self.cluster.announce_shutdown()


def _status_key(controller: Controller) -> str:
    """Returns a controller's key in the status; duties share one name."""
    if isinstance(controller, DutyController):
        return f"duty {controller.duty}"
    return controller.name
