"""Assembles a daemon from the product's components and platform adapters."""

import functools
import signal
import time
from collections.abc import AsyncIterator

import anyio

from daisyhub.balancing import (
    EndpointDirectory,
    EndpointEntry,
    EndpointProcess,
    LapseWindow,
    rank_by_daemon,
)
from daisyhub.base import Controller
from daisyhub.billing import UsageAggregator, UsageMeter, UsageReporter
from daisyhub.catalog import ManifestController
from daisyhub.cluster import (
    CLUSTER_PROTOCOL,
    ClusterClock,
    ClusterController,
    LeavingNews,
    LotHeadRequest,
    LotItemBodyRequest,
    LotResultsRequest,
    ManifestRequest,
    OwnerTable,
    PeerReaderProvider,
    PeerRelayProvider,
    PeerTable,
    PermitRequest,
    Ping,
    ReachMonitor,
    SharedPermits,
    SharedSuspects,
    StoreRequest,
    StoreRequestHandler,
    TaskOrders,
    TaskReport,
    TrialRequest,
    UsageReport,
    WatchVerifier,
)
from daisyhub.connections import HttpClient
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
    PeerRelays,
    RelayHandler,
    RelayWire,
    Sender,
    SendFilter,
    ShutdownFilter,
)
from daisyhub.logs import DecisionLog
from daisyhub.lots import (
    ItemRunner,
    LotHolder,
    LotHolderDependencies,
    LotReader,
    LotStore,
    RewardCaller,
    SubmittedLotsFilter,
    TaskWorker,
    WorkerPool,
)
from daisyhub.memory import MemoryBudget
from daisyhub.metrics import Metrics
from daisyhub.objects import (
    KindWatcher,
    RelayedStore,
    SharedWatch,
    StoredObject,
    WatchedCopy,
)
from daisyhub.peers import PeerNetwork
from daisyhub.platform._adaptive import AdaptiveParts
from daisyhub.platform._admission import AdmissionParts
from daisyhub.platform._capacity import CapacityController
from daisyhub.platform._coldness import build_coldness, make_health_recorder
from daisyhub.platform._desk import PlatformOrderDeskClient
from daisyhub.platform._duties import (
    ACCOUNTS_DUTY,
    ROLLOUTS_DUTY,
    build_duties,
)
from daisyhub.platform._engines import (
    PlatformEngineClient,
    PlatformVersionReader,
)
from daisyhub.platform._evacuations import build_evacuations, tell_evacuations
from daisyhub.platform._listeners import Listeners
from daisyhub.platform._lots_json import PlatformLotWire, may_be_lot
from daisyhub.platform._manifest import (
    CONFIG_KIND,
    CONFIG_NAME,
    PlatformManifestReader,
)
from daisyhub.platform._process_check import PlatformProcessCheck
from daisyhub.platform._retirements import RetirementController
from daisyhub.platform._server_list import ServerList
from daisyhub.platform._servers import SERVERS_KIND
from daisyhub.platform._shutdown import GracefulShutdown
from daisyhub.platform._store import PlatformStore
from daisyhub.platform._store_pages import UnreadableObjects
from daisyhub.platform._stream_origins import build_stream_origins
from daisyhub.platform._wire import PlatformCallerWire, PlatformEndpointWire
from daisyhub.serving import OperatorsApp
from daisyhub.settings import Address
from daisyhub.weights import WeightLoadController

__all__ = ["FleetDaemon"]

_NS_PER_US = 1000
# Names of the duties, and of their records in the store.
_MS_PER_S = 1000.0
# Seconds until a failed controller is restarted.
_CONTROLLER_RESTART_DELAY_S = 0.5
# Seconds for which server changes are batched, per known peer, and the maximum:
# half of the 2 s within which a leaving endpoint must be taken out of use.
_BATCH_DELAY_PER_PEER_S = 0.03
_MAX_BATCH_DELAY_S = 1.0
# Seconds for which a peer may have received newer changes than a watch before
# the watch is restarted: several round trips to the store.
_MAX_WATCH_LAG_S = 0.3
# Seconds between checks for endpoints whose entries expired while the store was
# unavailable and did not reappear.
_EXPIRY_CHECK_INTERVAL_S = 0.25
# Path for health checks of endpoints whose pool no manifest names.
_DEFAULT_HEALTH_PATH = "/health"


class FleetDaemon:
    """One daemon on the users' platform.

    Args:
        cfg: Its settings.
        settings_path: The settings file, checked for changes on SIGHUP.

    Attributes:
        incarnation: Start of this process, microseconds since the epoch.
    """

    def __init__(self, cfg: FleetSettings, settings_path: str):
        self.cfg = cfg
        self._settings_path = settings_path
        self.incarnation = time.time_ns() // _NS_PER_US
        self.log = DecisionLog(cfg.daemon_id)
        self.metrics = Metrics()
        self._endpoint_wire = PlatformEndpointWire()
        self._lot_wire = PlatformLotWire()
        self.memory = MemoryBudget(cfg.memory_mb)
        self._is_draining = False
        self._build_store()
        self._build_state()
        self._build_servers()

    @property
    def process(self) -> str:
        """Name that is unique to this start of this daemon."""
        return f"{self.cfg.daemon_id}/{self.incarnation}"

    def _build_store(self) -> None:
        cfg = self.cfg
        self.http = HttpClient(
            connect_timeout_s=cfg.connect_timeout_s,
            idle_s=cfg.connection_idle_s,
        )
        self.endpoint_http = HttpClient(
            connect_timeout_s=cfg.connect_timeout_s,
            idle_s=cfg.connection_idle_s,
            on_exchange=self._record_exchange,
            memory=self.memory,
        )
        self.network = PeerNetwork(
            cfg, self.incarnation, CLUSTER_PROTOCOL, self.memory
        )
        self.peers = PeerTable(cfg.daemon_id, self.log)
        direct = PlatformStore(
            parse_address(cfg.store),
            self.http,
            cfg.call_timeout_s,
            UnreadableObjects(self.metrics, self.log).record,
        )
        relay_provider = PeerRelayProvider(
            self.network, self.peers, cfg.failure_domain, cfg.call_timeout_s
        )
        self.store = RelayedStore(direct, relay_provider, self.log)
        self._direct_store = direct
        readers = PeerReaderProvider(
            self.network, self.peers, cfg.failure_domain, cfg.call_timeout_s
        )
        self.shared_watch = SharedWatch(self.store, readers, self.log)

    def _build_state(self) -> None:
        cfg = self.cfg
        self.clock = ClusterClock()
        self.meter = UsageMeter(cfg.usage_window_s, self.clock.now_s)
        self.manifests = ManifestController(PlatformManifestReader(), self.log)
        lapses = LapseWindow(lambda: self.store.failed_call_at_s)
        self.directory = EndpointDirectory(
            lambda name: rank_by_daemon(cfg.daemon_id, name),
            self.endpoint_http.has_connection,
            self._announce_leaving,
            lapses=lapses,
        )
        self.reach = ReachMonitor(
            self.directory,
            self.peers,
            self.network,
            self._health_path,
            self.metrics,
            self.log,
        )
        self.leaving_news = LeavingNews(
            self.directory, self.network, self.peers, self.metrics, self.log
        )
        self.owners = OwnerTable(
            cfg.daemon_id, self.peers, lambda: self._is_draining
        )
        self.permits = SharedPermits(
            self.owners,
            self.network,
            self.peers,
            self.metrics,
            self.log,
            build_coldness(self.manifests, self.clock, self.metrics, self.log),
            lambda: not self.shared_watch.is_follower,
        )
        self.adaptive = AdaptiveParts(
            cfg,
            lambda: self.manifests.manifest,
            self.directory,
            self.permits,
            self.metrics,
            self.log,
        )
        self.capacity = CapacityController(
            cfg.daemon_id,
            self.incarnation,
            self.directory,
            self.adaptive.pools,
            self.peers,
            self.endpoint_http,
            self.metrics,
            self.log,
        )
        self.reach.set_client(
            self.endpoint_http,
            self.permits,
            make_health_recorder(self._endpoint_wire, self.adaptive.heads),
        )
        self.admission = AdmissionParts(
            ROLLOUTS_DUTY,
            self.directory,
            self.adaptive.pools,
            self.metrics,
            self.log,
            self.capacity.limit,
        )
        self.suspects = SharedSuspects(
            self._is_currently_listed,
            self.owners,
            self.network,
            self.peers,
            self.log,
        )
        self.stream_origins = build_stream_origins(
            cfg,
            self.network,
            self.peers,
            self.store,
            self.clock,
            self.manifests,
            self.metrics,
            self.log,
        )
        self.cluster = ClusterController(
            cfg.daemon_id,
            cfg.peer_address,
            tuple(parse_address(seed) for seed in cfg.seeds),
            self.network,
            self.peers,
            self.clock,
            self.manifests,
            self.store,
            self._ping,
            self._make_usage_report,
            ACCOUNTS_DUTY,
            self.log,
        )
        self.usage_aggregator = UsageAggregator()
        # A response goes to the address that a ping told to `cluster`.
        self.network.add_receiver(self.cluster.receive)
        self.network.add_receiver(self.leaving_news.receive)
        self.network.add_receiver(self.permits.receive)
        self.network.add_request_handler(
            PermitRequest, self.permits.handle_request
        )
        self.network.add_receiver(self.suspects.receive)
        self.network.add_request_handler(
            TrialRequest, self.suspects.handle_request
        )
        self.network.add_receiver(self.reach.receive)
        self.network.add_receiver(self._record_usage)
        self.network.add_receiver(self.capacity.receive)
        self.network.add_receiver(self.admission.receive)
        self.network.add_request_handler(
            ManifestRequest, self.cluster.handle_manifest_request
        )
        self.evacuations = build_evacuations(
            cfg,
            self.shared_watch,
            self.network,
            self.directory,
            self.metrics,
            self.log,
        )
        servers = ServerList(
            self.directory,
            self.permits,
            self.leaving_news,
            lapses,
            self.metrics,
            self.log,
        )
        self.watchers = (
            *(evacuations.watcher for evacuations in self.evacuations),
            KindWatcher(
                self.shared_watch,
                CONFIG_KIND,
                self.log,
                self._on_config,
                can_be_stale=self._can_be_stale,
            ),
            KindWatcher(
                self.shared_watch,
                SERVERS_KIND,
                self.log,
                servers.on_change,
                self._batch_delay_s,
                self._can_be_stale,
                self._max_servers_lag_s,
            ),
        )
        request_handler = StoreRequestHandler(
            self._direct_store, WatchedCopy(self.watchers)
        )
        self.network.add_request_handler(StoreRequest, request_handler.handle)
        self.cluster.set_watchers(self.watchers)
        self.rollouts, self.accounts = build_duties(
            cfg,
            self.process,
            self.store,
            self.peers,
            self.log,
            is_cut_off=lambda: self.reach.is_cut_off,
            has_adaptive_pool=self.adaptive.pools.has_any,
        )
        self.engine_client = PlatformEngineClient(self.endpoint_http, self.log)
        self.processes = PlatformProcessCheck(
            self.engine_client,
            self.store,
            self.directory.accepts,
            self.metrics,
            self.log,
        )
        self.sender = Sender(
            self.directory,
            self.endpoint_http,
            self._endpoint_wire,
            self.metrics,
            self.log,
            self.permits,
            self.suspects,
            self.stream_origins,
            PeerRelays(
                cfg.daemon_id,
                cfg.failure_domain,
                self.reach,
                self.http,
                self.metrics,
            ),
            self.adaptive.heads,
            self.admission.requests,
            self.processes,
        )
        self._build_lots()
        self.verifier = WatchVerifier(self.accounts, self.watchers)
        self.retirements = RetirementController(
            self.accounts, self.store, self.log
        )
        self.reporters = self._build_reporters()

    def _build_reporters(self) -> tuple[UsageReporter, ...]:
        """Returns the usage reporter; nothing without an order desk."""
        cfg = self.cfg
        if not cfg.order_desk:
            return ()
        order_desk = PlatformOrderDeskClient(
            parse_address(cfg.order_desk), cfg.daemon_id, self.http, self.log
        )
        reporter = UsageReporter(
            self.accounts,
            self.usage_aggregator,
            self._live_incarnations,
            self.store,
            order_desk,
            self.clock.now_s,
            cfg.usage_window_s,
            cfg.usage_late_s,
            self.log,
        )
        return (reporter,)

    def _record_exchange(self, address: Address, is_answered: bool) -> None:
        """Tells `reach`, which is built after the client."""
        self.reach.record_exchange(address, is_answered)

    def _health_path(self, pool: str) -> str:
        """Returns the path for health checks of a pool."""
        manifest = self.manifests.manifest
        known = manifest.pools.get(pool) if manifest else None
        return known.health_path if known else _DEFAULT_HEALTH_PATH

    def _announce_leaving(self, entry: EndpointEntry, call: str) -> None:
        """Tells peers; `leaving_news` is built after the directory."""
        self.leaving_news.announce(entry, call)

    def _is_currently_listed(self, process: EndpointProcess) -> bool:
        """Whether the list, which is up to date, contains a process."""
        known = self.directory.get(process.endpoint_id)
        is_current = all(watcher.is_current for watcher in self.watchers)
        return (
            is_current
            and self.directory.is_listed(process)
            and known.absent_since_s is None
        )

    def _live_incarnations(self) -> dict[str, int]:
        """Returns the live daemons' incarnations by id, this one included.

        Updates this daemon's own usage counts first.
        """
        own = (self.cfg.daemon_id, self.incarnation)
        self.usage_aggregator.update(
            *own, self.meter.snapshot(), self.meter.closed_before()
        )
        live = {p.daemon_id: p.incarnation for p in self.peers.live()}
        return {**live, self.cfg.daemon_id: self.incarnation}

    def _record_usage(self, envelope, message: object) -> None:
        if isinstance(message, UsageReport):
            self.usage_aggregator.update(
                envelope.sender,
                envelope.incarnation,
                message.usage,
                message.closed_before,
            )

    def _build_lots(self) -> None:
        self.lots = LotStore(self.store)
        self.worker = TaskWorker(
            ItemRunner(
                self.directory,
                self.endpoint_http,
                self._endpoint_wire,
                self._lot_wire,
                self.permits,
                lambda: self.reach.is_cut_off,
                self.adaptive.heads,
                self.processes,
            ),
            RewardCaller(
                self.manifests, self.sender, self._endpoint_wire, self.log
            ),
            self._send_task_report,
            self.metrics,
            self.log,
        )
        self.pool = WorkerPool(
            self.cfg.daemon_id,
            self.cfg.processor_speed,
            self.peers,
            self.network,
            self.directory,
            lambda orders: self.worker.receive(self.cfg.daemon_id, orders),
            self.log,
        )
        self.network.add_receiver(self._receive_task_message)
        dependencies = LotHolderDependencies(
            store=self.store,
            lots=self.lots,
            directory=self.directory,
            manifests=self.manifests,
            pool=self.pool,
            is_loading=self._is_loading,
            has_lost_peers=self.peers.has_lost_peers,
            clock=self.clock,
            log=self.log,
            unsent_bytes=lambda: self.network.unsent_bytes,
            status_s=self.cfg.status_s,
            is_adaptive=self.adaptive.pools.is_adaptive,
            is_cold=self.permits.is_cold,
            capacity=self.capacity.engines,
        )
        self.holder = LotHolder(self.rollouts, dependencies)
        self.rollouts.before_release = self.holder.save_unfinished_texts
        self.weights = WeightLoadController(
            self.rollouts,
            self.cfg.daemon_id,
            self.store,
            PlatformVersionReader(),
            self.engine_client,
            self.directory,
            self.manifests,
            self.holder.open_run_count,
            self.holder.demand,
            self.cfg.loads_share,
            self.permits,
            self.log,
        )
        self.reader = LotReader(
            self.rollouts.duty,
            self.lots,
            self.holder,
            self.peers,
            self.network,
            self.log,
        )
        self.network.add_request_handler(
            LotHeadRequest, self.holder.handle_head_request
        )
        self.network.add_request_handler(
            LotResultsRequest, self.holder.handle_results_request
        )
        self.network.add_request_handler(
            LotItemBodyRequest, self.holder.handle_body_request
        )
        self.network.add_receiver(self.holder.receive)

    def _send_task_report(self, holder_id: str, report: TaskReport) -> None:
        if holder_id == self.cfg.daemon_id:
            self.pool.receive(holder_id, report)
        else:
            self.network.send(holder_id, report)

    def _receive_task_message(self, envelope, message: object) -> None:
        if isinstance(message, TaskOrders):
            self.worker.receive(envelope.sender, message)
        elif isinstance(message, TaskReport):
            self.pool.receive(envelope.sender, message)

    def _is_loading(self, endpoint_id: str) -> bool:
        """Calls `weights.is_loading`; `weights` is built after the holder."""
        return self.weights.is_loading(endpoint_id)

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

    def _make_usage_report(self) -> UsageReport:
        return UsageReport(
            usage=self.meter.snapshot(),
            closed_before=self.meter.closed_before(),
        )

    def _choose_standbys(self) -> tuple[str, ...]:
        """Returns the daemons that may take over the duties held here."""
        chosen: set[str] = set()
        for duty in (self.rollouts, self.accounts):
            if duty.tenure:
                chosen.update(duty.standbys())
        return tuple(sorted(chosen))

    def _held_duties(self) -> dict[str, int]:
        """Returns the fencing numbers of the duties that are held here."""
        duties = (self.rollouts, self.accounts)
        return {d.duty: d.tenure for d in duties if d.tenure}

    def _batch_delay_s(self) -> float:
        """Returns how many seconds to batch changes before the next watch.

        Every change causes a store call by every reader, so the delay grows
        with the number of daemons. It is limited because a leaving endpoint
        must receive no requests after two seconds. What a reader passes on is
        batched already.
        """
        if self.shared_watch.is_follower:
            return 0.0
        return min(
            _MAX_BATCH_DELAY_S, _BATCH_DELAY_PER_PEER_S * len(self.peers.all())
        )

    def _max_servers_lag_s(self) -> float:
        """Returns the seconds for which a peer may know newer servers.

        A follower gets changes after its reader's batch delay.
        """
        if self.shared_watch.is_follower:
            return _MAX_WATCH_LAG_S + _MAX_BATCH_DELAY_S
        return _MAX_WATCH_LAG_S

    def _can_be_stale(self) -> bool:
        """Whether watches may return stale data.

        Only if a live duty holder reaches the store: its pings report the
        newest revisions, so that changes missed here are detected.
        """
        return (
            not self._held_duties() and self.peers.has_live_holder_with_store()
        )

    def _on_config(self, found: StoredObject) -> None:
        if found.name == CONFIG_NAME:
            self.manifests.adopt(found, "store")

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
