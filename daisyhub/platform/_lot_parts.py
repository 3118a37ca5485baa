"""The fourth layer of a daemon: requests to endpoints, lots, usage."""

from daisyhub.billing import UsageReporter
from daisyhub.cluster import (
    LotHeadRequest,
    LotItemBodyRequest,
    LotResultsRequest,
    TaskOrders,
    TaskReport,
    WatchVerifier,
)
from daisyhub.fleet_settings import (
    FleetSettings,
    parse_address,
)
from daisyhub.gateway import (
    PeerRelays,
    Sender,
)
from daisyhub.lots import (
    ItemRunner,
    LotHolder,
    LotHolderDependencies,
    LotReader,
    LotRequestHandler,
    LotStore,
    RewardCaller,
    TaskWorker,
    WorkerPool,
)
from daisyhub.platform._desk import PlatformOrderDeskClient
from daisyhub.platform._engines import (
    PlatformEngineClient,
    PlatformVersionReader,
)
from daisyhub.platform._process_check import PlatformProcessCheck
from daisyhub.platform._retirements import RetirementController
from daisyhub.platform._watch_parts import WatchParts
from daisyhub.weights import WeightLoadController

__all__ = ["LotParts"]


class LotParts(WatchParts):
    """What a daemon sends to endpoints, and what it reports."""

    def __init__(self, cfg: FleetSettings):
        super().__init__(cfg)
        self._build_sender()
        self._build_lots()
        self._build_usage()

    def _build_sender(self) -> None:
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
                self.cfg.daemon_id,
                self.cfg.failure_domain,
                self.reach,
                self.relay_http,
                self.metrics,
            ),
            self.adaptive.heads,
            self.admission.requests,
            self.processes,
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
            self._known_rollouts_fencing,
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
            memory_bytes=self.memory.limit // 2,
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
        requests = LotRequestHandler(self.holder)
        self.network.add_request_handler(LotHeadRequest, requests.handle_head)
        self.network.add_request_handler(
            LotResultsRequest, requests.handle_results
        )
        self.network.add_request_handler(
            LotItemBodyRequest, requests.handle_body
        )
        self.network.add_receiver(self.holder.receive)

    def _known_rollouts_fencing(self) -> int:
        view = self.peers.last_holder_of(self.rollouts.duty)
        return view.fencing if view else 0

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

    def _build_usage(self) -> None:
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
            parse_address(cfg.order_desk),
            cfg.daemon_id,
            self.http,
            self.log,
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
